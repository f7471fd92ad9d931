"""Targets that leave as planned, with stand-ins for targets."""

import asyncio
import json

import pytest

from samphirestand import clock as clock_module
from samphirestand.fleet import watch
from samphirestand.gateway import draining
from samphirestand import node_settings
from samphirestand.platform import store as store_module
from tests.gateway import test_evacuation
from tests import nodes

# Short, so that the tests are. A report may be read 2 s late, and the margin
# leaves the rest to the target.
DRAIN_MS = 4_000
BOUNDS = node_settings.Bounds(drain_ms=DRAIN_MS)


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
