"""Reads and writes of the platform by fleets of up to 3,000 hosts.

The parts of the hosts that use the platform run in one process on a manual
clock, against the state of the platform stand-in. Gossip is not part of it:
every host counts all others as live.
"""

import asyncio
import collections
import dataclasses
import json
import random
from typing import Any

from samphirestand import clock as clocks
from samphirestand.control import client
from samphirestand.control import configuration
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand.hosts import discovery
from samphirestand.hosts import rate_slots
from samphirestand import log
from samphirestand import types
from standins import platform as standin

# 3,000 hosts take about 90 s.
HOSTS = (100, 300, 1_000)
ZONES = 9
STAGGER_MS = 15_000
WARM_UP_MS = 25_000
# The longest interval of a poll with 3,000 hosts.
MEASURED_MS = 100_000


class Clock(clocks.ManualClock):
    """A manual clock for tasks that wait for nothing but the clock."""

    async def settle(self, rounds: int = 2) -> None:
        await super().settle(rounds)


class Platform:
    """The client's calls, counted, on the state of the stand-in."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.state = standin.Platform(clock)
        self.counters: collections.Counter[str] = collections.Counter()
        self._hosts: list[client.ListedHost] = []
        self._hosts_bytes = 0

    def _count(self, kind: str, table: str, answer: Any) -> None:
        self.counters[f'{kind} {table}'] += 1
        self.counters[f'bytes {table}'] += len(json.dumps(answer))

    async def get_row(self, table: str, key: str) -> rows.TableRow | None:
        row = self.state.get_row(table, key)
        self._count('reads', table, dataclasses.asdict(row))
        if not row.version:
            return None
        return rows.TableRow(key, row.value, row.version)

    async def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[rows.TableRow]:
        found = self.state.list_rows(table, prefix, after, limit)
        self._count('reads', table, [vars(row) for row in found])
        return [rows.TableRow(r.key, r.value, r.version) for r in found]

    async def put_row(
        self, table: str, key: str, value: Any, expected_version: int
    ) -> rows.TableRow:
        self._count('writes', table, value)
        put = standin.Row(table, key, value, expected_version)
        try:
            (row,) = self.state.transact([put])
        except standin.ConflictError as error:
            raise exceptions.TableConflict(
                'changed', step='table', peer='platform'
            ) from error
        return rows.TableRow(key, row.value, row.version)

    async def transact(self, puts: Any) -> None:
        self._count('writes', 'transactions', None)
        self.state.transact(
            [
                standin.Row(p.table, p.key, p.value, p.expected_version)
                for p in puts
            ]
        )

    async def get_object(self, name: str) -> bytes | None:
        return None

    async def put_object(self, name: str, data: bytes) -> None:
        """No snapshot is due without changes."""

    async def hosts(self) -> list[client.ListedHost]:
        if not self._hosts:
            # Nobody registers any more once all hosts have started.
            found = self.state.hosts()
            self._hosts = [client.ListedHost(**each) for each in found]
            self._hosts_bytes = len(json.dumps(found))
        self.counters['reads host list'] += 1
        self.counters['bytes host list'] += self._hosts_bytes
        return self._hosts

    async def register_host(self, host: client.ListedHost) -> None:
        self._count('writes', 'host list', None)
        self.state.register_host(dataclasses.asdict(host))
        self._hosts = []


class Membership:
    """A membership in which all hosts are live."""

    def __init__(self, local: types.Host, hosts: list[types.Host]) -> None:
        self.local = local
        self._hosts = hosts

    def reachable(self) -> list[types.Host]:
        return self._hosts

    def learn_contact(self, host: types.Host) -> None:
        """All hosts are known."""


async def measure(seed: int, hosts: int = 0) -> list[dict[str, Any]]:
    """Return reads, writes and bytes a second by the number of hosts."""
    log.configure('bench', 'error')
    counts = (hosts,) if hosts else HOSTS
    return [await _point(count, seed) for count in counts]


async def _point(count: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    clock = Clock()
    platform = Platform(clock)
    zones = [f'zone-{number}' for number in range(ZONES)]
    hosts = [
        types.Host(
            f'host-{number:04d}',
            zones[number % ZONES],
            1,
            f'http://10.0.{number >> 8}.{number & 255}:8080',
            f'10.0.{number >> 8}.{number & 255}',
            8_000,
        )
        for number in range(count)
    ]
    # Only the hosts of the own zone matter to the rate slots.
    by_zone = {
        zone: [host for host in hosts if host.zone == zone] for zone in zones
    }
    tasks = [
        asyncio.create_task(
            _host(platform, clock, rng, host, zones, by_zone, count)
        )
        for host in hosts
    ]
    await clock.advance(WARM_UP_MS)
    platform.counters.clear()
    await clock.advance(MEASURED_MS)
    counted = dict(platform.counters)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        'hosts': count,
        'rate_slots': count,
        'reads_per_s': _per_second(counted, 'reads'),
        'writes_per_s': _per_second(counted, 'writes'),
        'by_table_per_s': {
            name: round(value * 1_000 / MEASURED_MS, 2)
            for name, value in sorted(counted.items())
        },
        'answer_bytes_per_s_and_host': round(
            _per_second(counted, 'bytes') / count
        ),
    }


def _per_second(counted: dict[str, int], kind: str) -> float:
    total = sum(
        value for name, value in counted.items() if name.startswith(kind)
    )
    return round(total * 1_000 / MEASURED_MS, 1)


async def _host(
    platform: Platform,
    clock: clocks.Clock,
    rng: random.Random,
    host: types.Host,
    zones: list[str],
    by_zone: dict[str, list[types.Host]],
    count: int,
) -> None:
    """Run the parts of a host that use the platform."""
    await clock.sleep(rng.randrange(STAGGER_MS))
    own = random.Random(rng.random())
    membership: Any = Membership(host, by_zone[host.zone])
    store = configuration.ConfigurationStore(
        platform,
        clock,
        is_confirmed=lambda: True,
        host_count=lambda: count,
        generator=own,
    )
    store._current = types.Configuration(version=1, rate_slots=count)
    slots = rate_slots.RateSlots(
        host.host_id,
        host.zone,
        zones,
        platform,
        store,
        membership,
        lambda: 0,
        clock,
        own,
    )
    polls: Any = discovery.Discovery(
        platform,  # type: ignore[arg-type]
        membership,
        clock,
        lambda: count,
    )
    await asyncio.gather(store.run(), slots.run(), polls.run())
