"""A seeded soak: overlapping faults while callers write, and nothing is lost.

By default two short runs. For more, set ``SOAK_SEEDS`` (a range like 1-50) and
``SOAK_SECONDS``.
"""

import asyncio
import contextlib
import os
import random

import pytest

from tests.gateway import writers as writers_module
from tests import nodes

HEARTBEAT_S = 1.2
LAPSE_S = 3.6

# Faults end this long before the run does, so that it can end in good order.
CALM_S = 15


def soak_seeds():
    first, _, last = os.environ.get('SOAK_SEEDS', '1-2').partition('-')
    return range(int(first), int(last or first) + 1)


class Soak:
    """Disturbs a fleet at random until its time has passed."""

    def __init__(self, fleet, writers, seed):
        self.fleet = fleet
        self.writers = writers
        self.random = random.Random(seed)
        self.cut_from_store = set()
        self.lost = []
        self.events = []
        self._tasks = set()
        self._store_users = 0
        self._last_beat_s = {}

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def watch_promotions(self):
        """Check at each promotion that the new primary has all commits."""
        promote = self.fleet.group.promote_server

        def promote_and_check(server_id):
            log = {
                data
                for writes in self.fleet.group.servers[server_id].log
                for _, data in writes
            }
            missing = [each for each in self.writers.served if each not in log]
            if missing:
                self.lost.append((server_id, missing, self.events[-12:]))
            promote(server_id)

        self.fleet.group.promote_server = promote_and_check

    def describe_losses(self):
        return '; '.join(
            f'{server_id} lacked {len(missing)} writes ({missing[0]} to '
            f'{missing[-1]}) after {", ".join(events)}'
            for server_id, missing, events in self.lost
        )

    async def beat(self):
        """Register servers as their heartbeats do, and let others lapse."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for server in self.fleet.group.servers.values():
                server_id = server.server_id
                reaches_store = (
                    server.is_running
                    and server_id not in self.cut_from_store
                    and not self.fleet.store.is_down
                )
                last_s = self._last_beat_s.setdefault(server_id, now)
                if reaches_store and now - last_s >= HEARTBEAT_S:
                    self._last_beat_s[server_id] = now
                    server.register()
                elif now - last_s >= LAPSE_S and self.fleet.store.get(
                    'servers', server_id
                ):
                    self.fleet.store.delete('servers', server_id)
            await asyncio.sleep(0.1)

    async def run(self, duration_s):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s - CALM_S
        faults = [
            self.take_store_down,
            self.cut_server_from_store,
            self.make_replica_deaf,
            self.silence_primary,
            self.silence_primary,
            self.drain_primary,
            self.hold_orders,
            self.hold_orders,
            self.restart_replica,
            self.exchange_host,
        ]
        while loop.time() < end_s:
            fault = self.random.choice(faults)
            self.events.append(
                f'{fault.__name__} {loop.time() - end_s + duration_s:.1f} s'
            )
            self.spawn(fault())
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def pick_replica(self):
        group = self.fleet.group
        return self.random.choice(
            [each for each in group.servers.values() if not each.is_primary]
        )

    async def take_store_down(self):
        self._store_users += 1
        self.fleet.store.is_down = True
        await asyncio.sleep(self.random.uniform(1, 6))
        self._store_users -= 1
        if self._store_users:
            return
        loop = asyncio.get_running_loop()
        for server_id in self._last_beat_s:
            # Servers register again within two seconds.
            self._last_beat_s[server_id] = max(
                self._last_beat_s[server_id],
                loop.time() - HEARTBEAT_S + self.random.uniform(0, 1.9),
            )
        self.fleet.store.is_down = False

    async def cut_server_from_store(self):
        server_id = self.random.choice(list(self.fleet.group.servers))
        if self.cut_from_store:
            return
        self.cut_from_store.add(server_id)
        await asyncio.sleep(self.random.uniform(2, 10))
        self.cut_from_store.discard(server_id)

    async def make_replica_deaf(self):
        replica = self.pick_replica()
        if any(each.is_deaf for each in self.fleet.group.servers.values()):
            return
        replica.is_deaf = True
        await asyncio.sleep(self.random.uniform(1, 6.5))
        replica.is_deaf = False

    async def silence_primary(self):
        primary = self.fleet.group.primary
        if primary is None or primary.is_silent:
            return
        primary.is_silent = True
        await asyncio.sleep(self.random.uniform(0.5, 6))
        primary.is_silent = False
        for writer in list(primary._writers):
            writer.transport.abort()

    async def drain_primary(self):
        primary = self.fleet.group.primary
        if primary is None:
            return
        primary.state = 'draining'
        with contextlib.suppress(AssertionError):
            await self.fleet.until(lambda: not primary.is_primary, 8)
        primary.state = 'ready'

    async def hold_orders(self):
        store = self.fleet.store
        if store.orders_are_held:
            return
        store.orders_are_held = True
        await asyncio.sleep(self.random.uniform(2, 8))
        store.orders_are_held = False
        held_orders, store.held_orders = store.held_orders, []
        for order in held_orders:
            self.spawn(self.carry_out(order, self.random.uniform(1, 9)))

    async def carry_out(self, order, delay_s):
        await asyncio.sleep(delay_s)
        self.fleet.store.request_promotion(*order)

    async def restart_replica(self):
        replica = self.pick_replica()
        for writer in list(replica._writers):
            writer.transport.abort()
        replica.paused_term = 0

    async def exchange_host(self):
        """Start a host and stop an earlier one as planned."""
        if len(self.fleet.nodes) > 3:
            return
        earlier = self.fleet.nodes[0]
        self.fleet.nodes.append(self.fleet.nodes.pop(0))
        self.fleet.host_count += 1
        await self.fleet.start_node(
            self.random.choice(nodes.ZONES), f'host-{self.fleet.host_count}'
        )
        await asyncio.sleep(self.random.uniform(0, 2))
        await earlier.stop()
        self.fleet.nodes.remove(earlier)


@contextlib.asynccontextmanager
async def report_tasks_after(limit_s):
    """Fail after a time, and print what all tasks are waiting for."""
    try:
        async with asyncio.timeout(limit_s):
            yield
    except TimeoutError:
        for task in asyncio.all_tasks():
            task.print_stack()
        raise


@pytest.mark.parametrize('seed', soak_seeds())
def test_no_acknowledged_commit_is_lost(seed):
    """Guards against faults that lose commits only when they overlap."""
    duration_s = float(os.environ.get('SOAK_SECONDS', '45'))

    async def scenario():
        async with nodes.running(3, grace_ms=6_000) as fleet:
            fleet.group.promotion_ms = 300
            fleet.host_count = len(fleet.nodes)
            async with writers_module.Writers(fleet) as writers:
                await writers.until_served()
                soak = Soak(fleet, writers, seed)
                soak.watch_promotions()
                beating = asyncio.create_task(soak.beat())
                async with report_tasks_after(duration_s + CALM_S):
                    await soak.run(duration_s)
                await writers.until_served(30)
                beating.cancel()
                assert soak.lost == [], soak.describe_losses()
                assert writers.lost() == []

    asyncio.run(scenario())
