"""How often the registry is read, and by which hosts."""

import asyncio

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import watch
from samphirestand.platform import store as store_module
from tests import nodes


class FakeStore:
    """A store without rows that counts reads of the registry."""

    def __init__(self):
        self.reads = 0

    async def read(self, table):
        self.reads += 1
        return store_module.TableRows((), 1, 0)

    async def changes(self, table, after_version, wait_ms):
        return await self.read(table)


def test_registry_is_not_read_where_no_job_needs_it():
    """Guards against hundreds of hosts that read all registrations."""

    async def scenario():
        store = FakeStore()
        targets = watch.TargetWatch(
            store, clock_module.SystemClock(), lambda: None
        )
        task = asyncio.create_task(targets.run())
        await asyncio.sleep(0.05)
        assert store.reads == 0
        targets.is_needed = True
        await asyncio.sleep(0.05)
        assert store.reads == 1
        task.cancel()

    asyncio.run(scenario())


def test_registry_is_read_soon_when_a_target_fails():
    """Guards against waiting for a registration that has lapsed already."""

    async def scenario():
        store = FakeStore()
        targets = watch.TargetWatch(
            store, clock_module.SystemClock(), lambda: None
        )
        targets.is_needed = True
        targets.set_interval(60_000)
        task = asyncio.create_task(targets.run())
        await asyncio.sleep(0.05)
        assert store.reads == 1
        targets.set_interval(20)
        await asyncio.sleep(0.3)
        assert store.reads > 3
        task.cancel()

    asyncio.run(scenario())


def test_settled_departure_of_an_earlier_start_settles_no_later_one():
    """Guards against ignoring a replica that left again under its id."""
    clock = clock_module.ManualClock()
    targets = watch.TargetWatch(FakeStore(), clock, lambda: None)
    first, second = (
        catalog.Target(
            'i-1', 'svc', '127.0.0.1', 1, 'north', 2, False, False, started_ms
        )
        for started_ms in (1, 2)
    )
    # The claim may arrive before the departure is noticed.
    targets.settle_departures({first.start})
    for target in (first, second):
        targets._departures.append(watch.Departure(target, clock.now()))
    departures = targets.departed_replicas('svc')
    assert [each.target for each in departures] == [second]
    assert targets.settled_departures('svc') == {first.start}
    clock.set(clock.now() + watch.SETTLEMENT_KEPT_MS)
    targets.settle_departures(())
    assert targets.settled_departures('svc') == set()


def test_gateway_reads_the_registry_often_only_while_a_target_fails():
    """Guards against calls to the store that nothing depends on."""

    async def scenario():
        async with nodes.running(1) as fleet:
            gateways = fleet.nodes[0].gateways
            gateway = gateways._get_or_open_gateway(nodes.SERVICE)
            await fleet.until(lambda: gateway.group.primary is not None)
            assert gateways._registry_interval_ms() == (
                watch.TARGETS_INTERVAL_MS
            )
            gateway.group.primary.is_down = True
            assert gateways._registry_interval_ms() == (
                watch.URGENT_TARGETS_INTERVAL_MS
            )

    asyncio.run(scenario())
