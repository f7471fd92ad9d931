"""Hosts that start while registrations of targets are missing."""

import asyncio
import itertools

import pytest

from samphirestand.fleet import watch
from tests import nodes

# Registrations are back within about two seconds of the store's return.
REREGISTRATION_S = 1.9


def run_scenario(scenario, hosts=1):
    async def main():
        async with nodes.running(hosts) as fleet:
            return await scenario(fleet)

    return asyncio.run(main())


def lapse(fleet, servers):
    for each in servers:
        fleet.store.delete('servers', each.server_id)


async def keep_writing(fleet, node):
    """Write until cancelled."""
    while True:
        client = await nodes.Client.connect(node)
        await client.query('WRITE x y')
        client.close()
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    'present',
    [
        each
        for count in range(3)
        for each in itertools.combinations(range(3), count)
    ],
)
@pytest.mark.parametrize('starts_during_outage', [True, False])
def test_host_that_starts_with_a_partial_registry_replaces_no_primary(
    present, starts_during_outage
):
    """Guards against a promotion beside replicas that were never seen.

    The store was down and the registrations return one after the other. A
    host that starts meanwhile found no primary, or not all replicas, and
    promoted one that lacked commits which the others went on confirming.
    """

    async def scenario(fleet):
        servers = list(fleet.group.servers.values())
        writing = asyncio.create_task(keep_writing(fleet, fleet.nodes[0]))
        fleet.store.is_down = True
        lapse(fleet, servers)
        # The other host has noticed the outage.
        await asyncio.sleep(2.2)
        if starts_during_outage:
            await fleet.start_node('south')
            await asyncio.sleep(0.5)
        for number in present:
            servers[number].register()
        fleet.store.is_down = False
        if not starts_during_outage:
            await fleet.start_node('south')
        await asyncio.sleep(REREGISTRATION_S)
        assert fleet.store.promotions == []
        assert not any(each.paused_term for each in servers)
        for each in servers:
            each.register()
        started = fleet.nodes[1]
        await fleet.until(lambda: started.targets.is_complete)
        await asyncio.sleep(0.5)
        assert fleet.store.promotions == []
        writing.cancel()

    run_scenario(scenario)


def test_second_outage_does_not_complete_a_partial_registry():
    """Guards against counting time without the store as time to return."""

    async def scenario(fleet):
        servers = list(fleet.group.servers.values())
        fleet.store.is_down = True
        lapse(fleet, servers)
        started = await fleet.start_node('south')
        await asyncio.sleep(2.2)
        servers[2].register()
        fleet.store.is_down = False
        await fleet.until(lambda: started.targets.has_read)
        fleet.store.is_down = True
        await fleet.until(lambda: started.targets._complete_from_ms is None)
        await asyncio.sleep(watch.REREGISTRATION_GRACE_MS / 1000)
        assert not started.targets.is_complete
        fleet.store.is_down = False
        await asyncio.sleep(1)
        assert not started.targets.is_complete
        assert fleet.store.promotions == []

    run_scenario(scenario)


def test_target_that_stays_missing_is_treated_as_gone():
    """Guards against a host that waits for a target that has left."""

    async def scenario(fleet):
        primary = fleet.group.primary
        primary.crash()
        fleet.store.delete('servers', primary.server_id)
        await fleet.start_node('south')
        await fleet.until(lambda: fleet.group.primary is not None)

    run_scenario(scenario, hosts=0)
