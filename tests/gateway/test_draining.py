"""Targets that leave as planned, with stand-ins for targets."""

import asyncio
import json

import pytest

from samphirestand import clock as clock_module
from samphirestand.fleet import watch
from samphirestand.gateway import draining
from samphirestand.gateway import policy
from samphirestand import node_settings
from samphirestand.platform import store as store_module
from samphirestand import types
from tests.gateway import test_evacuation
from tests import nodes

# Short, so that the tests are. A report may be read 2 s late, and the margin
# leaves the rest to the target.
DRAIN_MS = 4_000
BOUNDS = node_settings.Bounds(drain_ms=DRAIN_MS)

# How far a replica is behind: some writes of the callers.
LAG_MS = 100

Waiver = policy.Waiver


def replica(target_id, offset, **fields):
    return policy.ReplicaState(
        target_id,
        types.Position(1, offset),
        fields.pop('is_draining', False),
        **fields,
    )


@pytest.mark.parametrize(
    ('waiver', 'expected'),
    [
        (Waiver.NONE, None),
        (Waiver.CATCH_UP, 'stays'),
        (Waiver.EXTEND, 'leaves'),
        (Waiver.RELAY, 'leaves'),
    ],
)
@pytest.mark.parametrize('is_synchronous', [True, False])
def test_staying_replica_that_lacks_two_records(
    waiver, expected, is_synchronous
):
    """Fails if a draining replica leads although its log can be passed on."""
    states = [replica('leaves', 9, is_draining=True), replica('stays', 7)]
    chosen = policy.choose_candidate(states, [], is_synchronous, waiver=waiver)
    assert getattr(chosen, 'target_id', None) == expected


@pytest.mark.parametrize(
    ('waiver', 'expected'),
    [
        (Waiver.CATCH_UP, None),
        (Waiver.EXTEND, 'open'),
        (Waiver.RELAY, 'newest'),
    ],
)
def test_all_replicas_drain(waiver, expected):
    """Fails if primaries change without need, or none is left."""
    states = [
        replica('open', 7, is_draining=True),
        replica('newest', 7 + (waiver is Waiver.RELAY), is_draining=True),
    ]
    if waiver is Waiver.EXTEND:
        states[1] = replica('newest', 7, is_draining=True, is_open=False)
    chosen = policy.choose_candidate(states, [], True, waiver=waiver)
    assert getattr(chosen, 'target_id', None) == expected


def test_all_replicas_but_the_draining_one_are_silent():
    """Fails if the draining one is promoted without asking the others."""
    states = [replica('leaves', 9, is_draining=True)]
    for waiver in Waiver:
        assert not policy.choose_candidate(
            states, ['silent'], True, waiver=waiver
        )


@pytest.mark.parametrize(
    ('is_open', 'staying_count', 'open_draining_count', 'expected'),
    [
        (True, 1, 0, True),
        (True, 0, 1, False),
        (False, 0, 1, True),
        (False, 0, 0, False),
    ],
)
def test_primary_that_drains_with_others(
    is_open, staying_count, open_draining_count, expected
):
    """Fails if replicas are paused again and again for no candidate."""
    assert (
        draining.must_replace(
            is_draining=True,
            is_open=is_open,
            staying_count=staying_count,
            open_draining_count=open_draining_count,
        )
        is expected
    )


@pytest.mark.parametrize(
    ('earlier', 'expected'),
    [
        ([('ready', 1)], 700),
        ([('ready', 1), ('draining', 1)], 700),
        ([], None),
        ([('ready', 0)], None),  # an earlier start
    ],
)
def test_report_is_as_old_as_it_can_be(earlier, expected):
    """Fails if a report counts from when this host read it."""
    clock = clock_module.ManualClock()
    targets = watch.TargetWatch(None, clock, lambda: None)
    for number, (state, born) in enumerate([*earlier, ('draining', 1)], 1):
        row = {
            'Service': nodes.SERVICE,
            'Addr': '127.0.0.1:1',
            'Zone': 'north',
            'Version': 'v1',
            'Slots': 1,
            'State': state,
            'DbRole': 'replica',
            'WarmLeftMs': 0,
            'Seq': number,
            'born': born,
        }
        value = json.dumps(row).encode()
        targets._apply_rows((store_module.Row('servers', 't', value, number),))
        targets._read_sent_ms = 700 * number
    assert targets.draining_since_ms('t') == expected


class Drains:
    """Lets servers report that they drain; records what reaches them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self._until_by_server = {}

    def drain(self, server):
        server.state = 'draining'
        server.register()
        loop = asyncio.get_running_loop()
        self._until_by_server[server] = loop.time() + DRAIN_MS / 1000

    def received(self, server):
        return [
            each.text
            for each in self.fleet.group.statements
            if each.server_id == server.server_id
            and each.text.partition(' ')[0] not in test_evacuation.COMMANDS
        ]

    async def stay_unused(self, server, during):
        """Fail if a request reaches a server too late, also ``during``."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._until_by_server[server] - loop.time())
        count = len(self.received(server))
        await during
        assert self.received(server)[count:] == []


def run_loaded(scenario, bounds=BOUNDS):
    async def main():
        async with test_evacuation.loaded_fleet(bounds=bounds) as (
            fleet,
            _,
            callers,
        ):
            await scenario(fleet, Drains(fleet), callers)

    asyncio.run(main())


async def refused(fleet):
    """Return how a write is refused, and that this is done at once."""
    loop = asyncio.get_running_loop()
    client = await nodes.Client.connect(fleet.nodes[0])
    started_s = loop.time()
    _, result, _ = await client.query('WRITE x refused')
    client.close()
    assert loop.time() - started_s < 0.3
    return result


def copy_log(fleet, server):
    """Let a server that was cut off receive from the primary again."""
    server.is_deaf = False
    server.log = list(fleet.group.primary.log)


def test_newest_commits_of_a_draining_replica_are_passed_on():
    """Fails if they are lost, or callers use the replica after its time."""

    async def scenario(fleet, drains, callers):
        primary, leaving, staying = fleet.group.servers.values()
        staying.is_deaf = True
        await callers.until_served()
        drains.drain(leaving)

        async def replace():
            primary.crash()
            fleet.store.delete('servers', primary.server_id)
            await fleet.until(lambda: fleet.group.primary is leaving)
            await asyncio.sleep(1)
            assert fleet.group.primary is leaving
            copy_log(fleet, staying)
            await fleet.until(lambda: fleet.group.primary is staying)
            await callers.until_served()

        await drains.stay_unused(leaving, replace())
        assert callers.lost() == []

    run_loaded(scenario)


def test_draining_primary_waits_for_the_staying_replica():
    """Fails if a draining replica leads, or a replica without all commits."""

    async def scenario(fleet, drains, callers):
        primary, leaving, staying = fleet.group.servers.values()
        staying.is_deaf = True
        await callers.until_served()
        drains.drain(leaving)
        drains.drain(primary)
        await asyncio.sleep(2)
        assert fleet.group.primary is primary
        copy_log(fleet, staying)
        await fleet.until(lambda: fleet.group.primary is staying)
        await drains.stay_unused(primary, callers.until_served())
        assert callers.lost() == []

    run_loaded(scenario)


def test_nothing_is_sent_while_all_others_are_silent():
    """Fails if callers use a draining primary for as long as it runs."""

    async def scenario(fleet, drains, callers):
        primary, leaving, silent = fleet.group.servers.values()
        drains.drain(primary)
        drains.drain(leaving)
        silent.is_silent = True

        async def wait():
            assert 'draining' in await refused(fleet)
            await asyncio.sleep(1)

        await drains.stay_unused(primary, wait())
        assert fleet.store.promotions == []
        silent.is_silent = False
        await fleet.until(lambda: fleet.group.primary is silent)
        await callers.until_served()
        assert callers.lost() == []

    run_loaded(scenario)


def test_two_primaries_are_replaced_within_the_time_of_one():
    """Fails if the first one gets requests again when the second fails."""

    async def scenario(fleet, drains, callers):
        first, _, _ = fleet.group.servers.values()
        drains.drain(first)
        await fleet.until(lambda: fleet.group.primary not in (None, first))
        second = fleet.group.primary
        [third] = set(fleet.group.servers.values()) - {first, second}
        third.is_deaf = True
        await callers.until_served()

        async def replace():
            second.crash()
            fleet.store.delete('servers', second.server_id)
            await fleet.until(lambda: fleet.group.primary is first)
            await asyncio.sleep(1)
            copy_log(fleet, third)
            await fleet.until(lambda: fleet.group.primary is third)
            await callers.until_served()

        await drains.stay_unused(first, replace())
        assert callers.lost() == []

    run_loaded(scenario)


def test_staying_replica_catches_up_under_load():
    """Fails if a draining replica leads because it is always a bit ahead."""

    async def scenario(fleet, drains, callers):
        primary, leaving, staying = fleet.group.servers.values()
        loop = asyncio.get_running_loop()

        def receive(term, log):
            if staying.receives_log and not staying.is_primary:
                staying.log, staying.term = log, term

        def commit(leader, writes):
            leader.log.append(writes)
            log, term = list(leader.log), leader.term
            if leaving.receives_log and leader is primary:
                leaving.log, leaving.term = list(log), term
                loop.call_later(LAG_MS / 1000, receive, term, log)
                return True
            for each in fleet.group.servers.values():
                if each is not leader and each.receives_log:
                    each.log, each.term = list(log), term
            return any(
                each.receives_log
                for each in fleet.group.servers.values()
                if each is not leader
            )

        fleet.group.commit_writes = commit
        await callers.until_served()
        drains.drain(leaving)
        drains.drain(primary)
        # Long before the primary gets no more requests.
        await fleet.until(lambda: fleet.group.primary is staying, 5)
        assert {each[1] for each in fleet.store.promotions} == {
            staying.server_id
        }
        await callers.until_served()
        assert callers.lost() == []

    run_loaded(scenario, node_settings.Bounds(drain_ms=15_000))
