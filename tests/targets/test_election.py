"""Tests of single elections and of confirmation by other servers."""

import asyncio
import random

import pytest

from samphirestand import exceptions
from samphirestand.targets import confirmation
from samphirestand.targets import context
from samphirestand.targets import election
from samphirestand.targets import messages
from samphirestand import types
from tests.targets import fakes


def make_election(fleet, host_id):
    """Return an election that a host's gateway would run."""
    context_of_host = fleet.gateway(f't{host_id[1:]}').failover._context
    return election.Election(
        context_of_host,
        list(fleet.configuration.current.targets_by_id.values()),
        '',
    )


async def stop_failover_monitors(fleet):
    """Stop the gateways from starting elections themselves."""
    for target_id in fakes.TARGET_IDS:
        fleet.gateway(target_id)._tasks[2].cancel()
    await fleet.clock.settle()


async def elect(fleet, host_id, known_term, preferred_id):
    """Run one election to its end."""
    task = asyncio.ensure_future(
        make_election(fleet, host_id).run(known_term, preferred_id)
    )
    await fleet.advance_until(task)
    return task.result()


def test_a_minority_is_not_fenced():
    """Guards against a cut-off candidate that fences only its own replica."""

    async def case(fleet):
        await stop_failover_monitors(fleet)
        fleet.network.partition({'h1'}, {'t0', 't2'})
        assert not await elect(fleet, 'h1', 1, 't1')
        assert fleet.servers_by_id['t1'].database.term == 1

    fakes.run_with_fleet(case)


def test_the_most_advanced_server_wins():
    """Guards against a new primary that lacks acknowledged writes."""

    async def case(fleet):
        await stop_failover_monitors(fleet)
        fleet.network.partition({'t2'}, {'t0'})
        assert isinstance(await fleet.run('t0'), types.Done)
        fleet.servers_by_id['t0'].is_down = True
        route = await elect(fleet, 'h2', 1, 't2')
        assert route.primary_target_id == 't1'

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('fenced_ids', 'is_promoted'),
    [(('t1',), False), (('t1', 't2'), False), (('t1', 't2'), True)],
)
def test_a_candidate_gives_up_for_another(fenced_ids, is_promoted):
    """Guards against two candidates that replace each other's primary."""

    async def case(fleet):
        await stop_failover_monitors(fleet)
        fleet.servers_by_id['t0'].is_down = True
        for target_id in fenced_ids:
            await fleet.call_server(target_id, messages.Fence(2, 'other'))
        if is_promoted:
            await fleet.call_server('t1', messages.Promote(2, 'other'))
        assert not await elect(fleet, 'h2', 1 + is_promoted, 't2')
        assert fleet.servers_by_id['t1'].database.term == 2

    fakes.run_with_fleet(case)


@pytest.mark.parametrize('seed', range(20))
def test_two_candidates_make_one_primary_of_a_term(seed):
    """Guards against two primaries of one term, whatever the delays."""

    async def case(fleet):
        await stop_failover_monitors(fleet)
        rng = random.Random(seed)
        fleet.servers_by_id['t0'].is_down = True
        for host_id in ('h1', 'h2'):
            for target_id in ('t1', 't2'):
                link = frozenset((host_id, target_id))
                fleet.network.delay_ms[link] = rng.randint(1, 40)
        # Only one task may advance the clock, so both elections run in it.
        elections = asyncio.gather(
            make_election(fleet, 'h1').run(1, 't1'),
            make_election(fleet, 'h2').run(1, 't2'),
        )
        await fleet.advance_until(elections)
        terms = [
            fleet.servers_by_id[each].database.term
            for each in fleet.primaries()
            if each != 't0'
        ]
        assert len(terms) <= 1

    fakes.run_with_fleet(case)


class PausingRouter:
    """Advances the clock by each given pause, then answers the given term."""

    def __init__(self, clock, answers):
        self._clock = clock
        self._answers = answers

    async def target_status(self, target_id, for_write, wait_ms, timeout_ms):
        pause_ms, term = self._answers.pop(0) if self._answers else (0, 2)
        self._clock.set(self._clock.now() + pause_ms)
        state = types.TargetState(
            target_id, term, 'replica', types.History(((1, 0),), 9)
        )
        return types.TargetStatus(state, 0)


@pytest.mark.parametrize(
    ('pause_ms', 'expected'), [(0, True), (900, True), (5_000, False)]
)
def test_an_answer_read_after_a_pause_confirms_nothing(pause_ms, expected):
    """Guards against a gateway that trusts an answer read after a pause."""

    async def main():
        clock = fakes.Clock()
        context_of_host = context.Context(
            clock,
            random.Random(1),
            fakes.Connector('h0', None, {}),
            fakes.Configuration(
                fakes._configuration(2, 16, types.Confirmation.TERM)
            ),
            None,
            None,
            PausingRouter(clock, [(pause_ms, 1)]),
            None,
            None,
        )
        target = context_of_host.configuration.current.targets_by_id['t0']
        term_confirmation = confirmation.TermConfirmation(
            context_of_host, target
        )
        task = asyncio.ensure_future(
            term_confirmation.wait_for_confirmation(
                1, None, clock.now() + 60_000
            )
        )
        await clock.advance(6_000)
        return task.result()

    assert asyncio.run(main()) is expected


def test_sentinel_names_the_reason():
    """Guards against an election that fails without a reason."""

    async def case(fleet):
        await stop_failover_monitors(fleet)
        result = await elect(fleet, 'h1', 1, 't1')
        assert isinstance(result, exceptions.Sentinel)
        assert result.reason == 't0 is primary'

    fakes.run_with_fleet(case)
