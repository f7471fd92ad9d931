"""Counts reads and writes of the platform by fleets of up to 3,000 hosts.

Only the components of the hosts that use the platform run, all in one process
on a manual clock, against the state of the platform stand-in. There is no
gossip: every host regards all other hosts as alive.
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

# 3,000 hosts are measured only if asked for, as they take about 90 s.
HOST_COUNTS = (100, 300, 1_000)
ZONES = 9
STAGGER_MS = 15_000
WARM_UP_MS = 25_000
# The longest poll interval of a host in a fleet of 3,000 hosts.
MEASURED_MS = 100_000


class FastSettlingClock(clocks.ManualClock):
    """A manual clock for tasks that wait only for the clock.

    They need fewer rounds of the event loop to settle.
    """

    async def settle(self, rounds: int = 2) -> None:
        await super().settle(rounds)


class CountingPlatform:
    """A platform client that counts calls and runs them on the stand-in."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.state = standin.Platform(clock)
        self.counters: collections.Counter[str] = collections.Counter()
        self._cached_hosts: list[client.ListedHost] = []
        self._cached_hosts_bytes = 0

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
        listed_rows = self.state.list_rows(table, prefix, after, limit)
        self._count('reads', table, [vars(row) for row in listed_rows])
        return [rows.TableRow(r.key, r.value, r.version) for r in listed_rows]

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
        """Do nothing: without changes, no snapshot is due."""

    async def hosts(self) -> list[client.ListedHost]:
        if not self._cached_hosts:
            # The list stays valid once all hosts have registered, so it is
            # kept until the next registration.
            host_rows = self.state.hosts()
            self._cached_hosts = [
                client.ListedHost(**each) for each in host_rows
            ]
            self._cached_hosts_bytes = len(json.dumps(host_rows))
        self.counters['reads host list'] += 1
        self.counters['bytes host list'] += self._cached_hosts_bytes
        return self._cached_hosts

    async def register_host(self, host: client.ListedHost) -> None:
        self._count('writes', 'host list', None)
        self.state.register_host(dataclasses.asdict(host))
        self._cached_hosts = []


class Membership:
    """A membership in which all hosts are alive."""

    def __init__(self, local: types.Host, hosts: list[types.Host]) -> None:
        self.local = local
        self._hosts = hosts

    def reachable(self) -> list[types.Host]:
        return self._hosts

    def learn_contact(self, host: types.Host) -> None:
        """Do nothing: all hosts are known."""


async def measure(seed: int, hosts: int = 0) -> list[dict[str, Any]]:
    """Return reads, writes and bytes a second by number of hosts.

    Measures only a fleet of ``hosts`` if that is not 0.
    """
    log.configure('bench', 'error')
    fleet_sizes = (hosts,) if hosts else HOST_COUNTS
    return [
        await _measure_fleet(fleet_size, seed) for fleet_size in fleet_sizes
    ]


async def _measure_fleet(fleet_size: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    clock = FastSettlingClock()
    platform = CountingPlatform(clock)
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
        for number in range(fleet_size)
    ]
    # Rate slots depend only on the hosts of the same zone.
    hosts_by_zone = {
        zone: [host for host in hosts if host.zone == zone] for zone in zones
    }
    tasks = [
        asyncio.create_task(
            _run_host(
                platform, clock, rng, host, zones, hosts_by_zone, fleet_size
            )
        )
        for host in hosts
    ]
    await clock.advance(WARM_UP_MS)
    platform.counters.clear()
    await clock.advance(MEASURED_MS)
    measured_counters = dict(platform.counters)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        'hosts': fleet_size,
        'rate_slots': fleet_size,
        'reads_per_s': _per_second(measured_counters, 'reads'),
        'writes_per_s': _per_second(measured_counters, 'writes'),
        'by_table_per_s': {
            name: round(value * 1_000 / MEASURED_MS, 2)
            for name, value in sorted(measured_counters.items())
        },
        'answer_bytes_per_s_and_host': round(
            _per_second(measured_counters, 'bytes') / fleet_size
        ),
    }


def _per_second(measured_counters: dict[str, int], kind: str) -> float:
    total = sum(
        value
        for name, value in measured_counters.items()
        if name.startswith(kind)
    )
    return round(total * 1_000 / MEASURED_MS, 1)


async def _run_host(
    platform: CountingPlatform,
    clock: clocks.Clock,
    rng: random.Random,
    host: types.Host,
    zones: list[str],
    hosts_by_zone: dict[str, list[types.Host]],
    fleet_size: int,
) -> None:
    """Run the components of a host that use the platform.

    They start after a random delay of up to ``STAGGER_MS``.
    """
    await clock.sleep(rng.randrange(STAGGER_MS))
    host_rng = random.Random(rng.random())
    membership: Any = Membership(host, hosts_by_zone[host.zone])
    store = configuration.ConfigurationStore(
        platform,
        clock,
        is_confirmed=lambda: True,
        host_count=lambda: fleet_size,
        generator=host_rng,
    )
    store._current = types.Configuration(version=1, rate_slots=fleet_size)
    host_rate_slots = rate_slots.RateSlots(
        host.host_id,
        host.zone,
        zones,
        platform,
        store,
        membership,
        lambda: 0,
        clock,
        host_rng,
    )
    host_discovery: Any = discovery.Discovery(
        platform,  # type: ignore[arg-type]
        membership,
        clock,
        lambda: fleet_size,
    )
    await asyncio.gather(
        store.run(), host_rate_slots.run(), host_discovery.run()
    )
