"""Tests of failure detection, election, promotion and repair."""

import asyncio
import pathlib

import pytest

from samphirestand import targets
from samphirestand.targets import election
from samphirestand import types
from tests.targets import fakes

FIRST_ZONE_AND_REST = ({'h0', 't0'}, {'h1', 'h2', 't1', 't2'})


def promotion_rows(fleet):
    """Return the audit rows of promotions on all hosts."""
    return [
        row
        for host in fleet.hosts_by_id.values()
        for row in host.recorder.rows
        if row[0] == 'failover'
    ]


def crash_primary(fleet):
    fleet.servers_by_id['t0'].is_down = True


def crash_primary_and_host(fleet):
    crash_primary(fleet)
    fleet.network.cut.add('h0')


def isolate_primary(fleet):
    fleet.network.partition(*FIRST_ZONE_AND_REST)


def lose_promote_answers(fleet):
    crash_primary(fleet)
    for target_id in ('t1', 't2'):
        fleet.network.answers_to_lose[target_id, 'Promote'] = 1


def lose_fence_answers(fleet):
    crash_primary(fleet)
    fleet.network.answers_to_lose['t1', 'Fence'] = 1


@pytest.mark.parametrize(
    'fail',
    [
        crash_primary,
        crash_primary_and_host,
        isolate_primary,
        lose_promote_answers,
        lose_fence_answers,
    ],
)
@pytest.mark.parametrize('confirmation', list(types.Confirmation))
@pytest.mark.parametrize('seed', [1, 2])
def test_a_failed_primary_is_replaced_once(fail, confirmation, seed):
    """Guards against a failover that is late, repeated or loses writes."""

    async def case(fleet):
        writer = fakes.Writer(fleet)
        await writer.write_for(500)
        fail(fleet)
        failed_at = fleet.clock.now()
        while len(writer.acknowledged) == 5 or not writer.acknowledged:
            await writer.write_for(100)
            assert fleet.clock.now() - failed_at < 19_000
        await writer.write_for(1_000)
        fleet.servers_by_id['t0'].is_down = False
        fleet.network.heal()
        await fleet.clock.advance(8_000)
        await writer.write_for(300)
        writer.check_acknowledged_writes()
        assert len(promotion_rows(fleet)) == 1
        states = [each.database.state for each in fleet.servers_by_id.values()]
        assert len({state.term for state in states}) == 1
        assert len(fleet.primaries()) == 1
        assert len({state.history for state in states}) == 1

    fakes.run_with_fleet(case, seed=seed, confirmation=confirmation)


@pytest.mark.parametrize('confirmation', list(types.Confirmation))
def test_a_cut_off_primary_acknowledges_nothing_after_replacement(
    confirmation,
):
    """Guards against acknowledgements by a replaced primary, invariant 2."""

    async def case(fleet):
        writer = fakes.Writer(fleet, 'h0')
        await writer.write_for(500)
        fleet.network.partition(*FIRST_ZONE_AND_REST)
        while len(fleet.primaries()) < 2:
            await fleet.clock.advance(50)
        outcomes_before = len(writer.outcomes)
        await writer.write_for(3_000, target_id='t0')
        read = await fleet.run(
            't0', mode=types.Mode.READ, statement='GET h0-0', request_id='r'
        )
        later_outcomes = [*writer.outcomes[outcomes_before:], read]
        assert {each.code for each in later_outcomes} == {
            'primary_unconfirmed'
        }
        assert all(isinstance(each, types.NotRun) for each in later_outcomes)

    fakes.run_with_fleet(case, confirmation=confirmation)


@pytest.mark.parametrize('pause_after_ms', [0, 2, 5, 7, 9, 12])
@pytest.mark.parametrize('confirmation', list(types.Confirmation))
def test_a_paused_gateway_acknowledges_nothing_stale(
    pause_after_ms, confirmation
):
    """Guards against a paused gateway that trusts answers from before."""

    async def case(fleet):
        # Round trips take 2 ms to t0 and 8 ms to the other hosts.
        fleet.network.delay_ms[frozenset(('h0', 't0'))] = 1
        for host_id in ('h1', 'h2'):
            fleet.network.delay_ms[frozenset(('h0', host_id))] = 4
        await fleet.clock.advance(2_000)
        task = asyncio.ensure_future(
            fleet.hosts_by_id['h0'].gateways.run(
                fakes.request('t0', deadline_ms=60_000)
            )
        )
        await fleet.clock.advance(pause_after_ms)
        was_done = task.done()
        fleet.network.paused_host_ids.add('h0')
        fleet.network.partition({'t0'}, {'t1', 't2', 'h1', 'h2'})
        while len(fleet.primaries()) < 2:
            await fleet.clock.advance(50)
        await fleet.clock.advance(1_000)
        fleet.network.paused_host_ids.clear()
        await fleet.advance_until(task, step_ms=10)
        replaced = [
            each.database
            for each in fleet.servers_by_id.values()
            if each.database.role == 'primary' and each.database.term == 2
        ]
        is_kept = any(entry.account == 'a' for entry in replaced[0].entries)
        if isinstance(task.result(), types.Done):
            assert is_kept or was_done
        if confirmation is types.Confirmation.TERM and not was_done:
            assert isinstance(task.result(), types.Unknown)

    fakes.run_with_fleet(case, confirmation=confirmation)


def test_a_returning_primary_drops_unreplicated_entries():
    """Guards against entries of a discarded term that come back."""

    async def case(fleet):
        await fleet.run('t0', request_id='kept', statement='SET kept 1')
        fleet.network.partition({'t0'}, {'t1', 't2'})
        lost = await fleet.run(
            't0', request_id='lost', statement='SET lost 1', deadline_ms=500
        )
        assert isinstance(lost, types.Unknown)
        discarded = fleet.servers_by_id['t0'].database.history.last
        fleet.servers_by_id['t0'].is_down = True
        await fleet.clock.advance(6_000)
        fleet.servers_by_id['t0'].is_down = False
        fleet.network.heal()
        await fleet.clock.advance(8_000)
        returned = fleet.servers_by_id['t0'].database
        assert returned.role == 'replica'
        assert [entry.request_key for entry in returned.entries] == ['a/kept']
        for target_id in fakes.TARGET_IDS:
            read = await fleet.run(
                target_id,
                mode=types.Mode.READ,
                statement='GET lost',
                max_age_ms=5_000,
                session=discarded,
            )
            assert read.code == 'session_position_discarded'
            assert isinstance(read, types.NotRun)

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('cut_ms', 'healed_ms', 'max_promotions'),
    [(2_000, 1_000, 0), (8_000, 4_000, 1)],
)
def test_a_flapping_link_causes_few_promotions(
    cut_ms, healed_ms, max_promotions
):
    """Guards against a promotion for each short interruption."""

    async def case(fleet):
        started = fleet.clock.now()
        while fleet.clock.now() - started < 30_000:
            fleet.network.partition(*FIRST_ZONE_AND_REST)
            await fleet.clock.advance(cut_ms)
            fleet.network.heal()
            await fleet.clock.advance(healed_ms)
        assert len(promotion_rows(fleet)) <= max_promotions

    fakes.run_with_fleet(case)


@pytest.mark.parametrize('fenced_ids', [('t1',), ('t1', 't2'), ('t0', 't1')])
def test_an_abandoned_election_is_repaired(fenced_ids):
    """Guards against replicas that stay fenced to a term without primary."""

    async def case(fleet):
        writer = fakes.Writer(fleet)
        await writer.write_for(300)
        for target_id in fenced_ids:
            await fleet.call_server(
                target_id, election.messages.Fence(7, 'gone')
            )
        await fleet.clock.advance(12_000)
        assert len(fleet.primaries()) == 1
        await writer.write_for(300)
        assert isinstance(writer.outcomes[-1], types.Done)
        states = [each.database.state for each in fleet.servers_by_id.values()]
        assert {state.term for state in states} == {8}
        writer.check_acknowledged_writes()

    fakes.run_with_fleet(case)


def test_a_failed_new_primary_is_replaced_within_the_interval():
    """Guards against waiting 30 s when the new primary fails as well."""

    async def case(fleet):
        fleet.servers_by_id['t0'].is_down = True
        await fleet.clock.advance(6_000)
        first_promoted = [each for each in fleet.primaries() if each != 't0']
        fleet.servers_by_id['t0'].is_down = False
        await fleet.clock.advance(8_000)
        fleet.servers_by_id[first_promoted[0]].is_down = True
        await fleet.clock.advance(6_000)
        assert len(promotion_rows(fleet)) == 2

    fakes.run_with_fleet(case)


def test_a_dead_gateway_host_causes_no_promotion():
    """Guards against a promotion when only the gateway's host is gone."""

    async def case(fleet):
        fleet.network.cut.add('h0')
        await fleet.clock.advance(15_000)
        assert not promotion_rows(fleet)

    fakes.run_with_fleet(case)


def test_targets_package_does_not_use_the_platform():
    """Guards against a failover that fails during a platform outage."""
    for path in pathlib.Path(targets.__file__).parent.glob('*.py'):
        assert 'platform' not in path.read_text(), path.name


def test_one_suspecting_gateway_causes_no_promotion():
    """Guards against a promotion because of one gateway's broken link."""

    async def case(fleet):
        fleet.network.partition({'h1'}, {'h0', 't0'})
        await fleet.clock.advance(20_000)
        assert not promotion_rows(fleet)

    fakes.run_with_fleet(case)


def test_promotions_are_limited_by_the_interval():
    """Guards against repeated promotions on one gateway's suspicion."""

    async def case(fleet):
        crash_primary(fleet)
        await fleet.clock.advance(6_000)
        fleet.servers_by_id['t0'].is_down = False
        await fleet.clock.advance(4_000)
        (primary,) = fleet.primaries()
        (other_id,) = {'t1', 't2'} - {primary}
        suspecting_host, other_host = f'h{other_id[1:]}', f'h{primary[1:]}'
        # Only this gateway suspects the primary, and it can't ask h0.
        fleet.network.partition({suspecting_host}, {other_host, primary, 'h0'})
        await fleet.clock.advance(15_000)
        assert len(promotion_rows(fleet)) == 1
        await fleet.clock.advance(15_000)
        assert len(promotion_rows(fleet)) == 2

    fakes.run_with_fleet(case)
