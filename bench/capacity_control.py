"""Costs of the control tasks of idle hosts, from real processes."""

import asyncio
import time
from typing import Any

from bench import capacity_fleet
from bench import capacity_load
from bench import processes
from samphirestand.hosts import rendezvous
from samphirestand import types

SERVICES = (0, 3, 6)
HOSTS = (2, 4, 8)
CHANGES = 12
CHANGE_PAUSE_S = 0.2
IDLE_S = 10
SETTLE_S = 6
MEASURED_S = 6

# Rate tokens: the first three hosts have the targets and no callers, the
# fourth is the rate owner.
TOKEN_ZONES = ('zone-0', 'zone-1', 'zone-2') + ('zone-3',) * 7
OWNER = 3
ASKING_HOSTS = (0, 1, 3, 6)
TOKEN_RATE = 160
OFFERED_EACH = 60
TOKEN_LOAD_S = 6


async def measure_gateways() -> list[dict[str, Any]]:
    """Return the idle cost of a host by the gateways placed on it.

    Three hosts in three zones; each has one target of each service.
    """
    zones = ('zone-0', 'zone-1', 'zone-2')
    points = []
    for services in SERVICES:
        # The primaries go round, as they would in a large fleet.
        turned = tuple(
            zones[number % 3 :] + zones[: number % 3]
            for number in range(services)
        )
        plan = capacity_fleet.Plan(
            host_zones=zones, service_zones=turned, has_links=True
        )
        async with capacity_fleet.Fleet(plan) as fleet:
            await asyncio.sleep(SETTLE_S)
            points.append(
                {
                    'gateways_on_each_host': services,
                    **await _idle_point(fleet),
                }
            )
    return points


async def _idle_point(fleet: capacity_fleet.Fleet) -> dict[str, Any]:
    """Return averages over the hosts; bytes are those a host sends."""
    hosts = range(len(fleet.host_ids))
    counters = await fleet.link_counters()
    before = [fleet.processor_ms(index) for index in hosts]
    started = time.monotonic()
    await asyncio.sleep(MEASURED_S)
    elapsed = time.monotonic() - started
    used = sum(fleet.processor_ms(index) - before[index] for index in hosts)
    after = await fleet.link_counters()
    sent: dict[str, float] = {'peers': 0, 'targets': 0, 'platform': 0}
    received = dict(sent)
    reads = dict(sent)
    for group, counted in after.items():
        end = group.split(' ')[1]
        kind = end if end in sent else 'peers'
        change = {
            name: (value - counters[group][name]) / elapsed / len(hosts)
            for name, value in counted.items()
        }
        sent[kind] += change['bytes_to_server']
        received[kind] += change['bytes_to_client']
        reads[kind] += change['reads']
    # Each byte between two hosts is sent by one of them.
    sent['peers'] += received['peers']
    received['peers'] = sent['peers']
    resident = sum(processes.rss_bytes(fleet.pid(each)) for each in hosts)
    return {
        'processor_percent': round(used / elapsed / len(hosts) / 10, 2),
        'resident_mb': round(resident / len(hosts) / 1e6, 1),
        'sent_bytes_per_s': _rounded(sent),
        'received_bytes_per_s': _rounded(received),
        'messages_per_s': _rounded(reads),
    }


def _rounded(values: dict[str, float]) -> dict[str, int]:
    return {name: round(value) for name, value in values.items()}


async def measure_platform() -> list[dict[str, Any]]:
    """Return the platform's reads and writes by the number of hosts."""
    points = []
    for hosts in HOSTS:
        zones = tuple(f'zone-{each % 2}' for each in range(hosts))
        plan = capacity_fleet.Plan(host_zones=zones)
        async with capacity_fleet.Fleet(plan) as fleet:
            await asyncio.sleep(SETTLE_S)
            idle, seconds = await _platform_counts(fleet, 0)
            idle_per_s = {
                name: count / seconds for name, count in idle.items()
            }
            changing, seconds = await _platform_counts(fleet, CHANGES)
        points.append(
            {
                'hosts': hosts,
                'idle_per_s': {
                    name: round(rate, 2) for name, rate in idle_per_s.items()
                },
                # Includes the pauses between the commands.
                'seconds_per_change': round(seconds / CHANGES, 2),
                'per_change': {
                    name: round(
                        (count - idle_per_s[name] * seconds) / CHANGES, 1
                    )
                    for name, count in changing.items()
                },
            }
        )
    return points


async def _platform_counts(
    fleet: capacity_fleet.Fleet, changes: int
) -> tuple[dict[str, int], float]:
    """Return reads and writes, and the time in which they were counted."""
    before = await fleet.platform_counters()
    started = time.monotonic()
    for number in range(changes):
        name = capacity_fleet.ACCOUNT
        await fleet.command(f'ALTER ACCOUNT {name} RATE {1_000 + number}')
        await asyncio.sleep(CHANGE_PAUSE_S)
    if not changes:
        await asyncio.sleep(IDLE_S)
    elapsed = time.monotonic() - started
    after = await fleet.platform_counters()
    counts = {
        name: after[name] - before.get(name, 0) for name in ('reads', 'writes')
    }
    return counts, elapsed


async def measure_tokens(seed: int) -> list[dict[str, Any]]:
    """Return the cost of the rate owner by the hosts that run short."""
    account = _account_owned_by(OWNER)
    plan = capacity_fleet.Plan(
        host_zones=TOKEN_ZONES,
        service_zones=(('zone-0', 'zone-1', 'zone-2'),),
        accounts=(account,),
        rate=TOKEN_RATE,
        has_links=True,
    )
    points = []
    async with capacity_fleet.Fleet(plan) as fleet:
        await asyncio.sleep(2 * SETTLE_S)
        for asking in ASKING_HOSTS:
            points.append(await _tokens_point(fleet, asking, seed))
    return points


def _account_owned_by(index: int) -> str:
    """Return an account whose rate owner is the host ``index``.

    The choice follows ``placement.anywhere``.
    """
    zone = TOKEN_ZONES[index]
    hosts = [
        types.Host(f'h{number}', each, 1, '', '', 1)
        for number, each in enumerate(TOKEN_ZONES)
        if each == zone
    ]
    for number in range(1_000):
        name = f'account-{number}'
        chosen = max(
            sorted(set(TOKEN_ZONES)),
            key=lambda each: rendezvous.score(each, name),
        )
        owner = rendezvous.choose(hosts, name)
        if chosen == zone and owner and owner.host_id == f'h{index}':
            return name
    raise RuntimeError('no account fits')


async def _tokens_point(
    fleet: capacity_fleet.Fleet, asking: int, seed: int
) -> dict[str, Any]:
    callers = [
        capacity_load.Callers(fleet, OWNER + 1 + number, seed)
        for number in range(asking)
    ]
    counters = await fleet.link_counters()
    before = fleet.processor_ms(OWNER)
    started = time.monotonic()
    loads = await asyncio.gather(
        asyncio.sleep(TOKEN_LOAD_S),
        *(
            capacity_load.run(
                each.sender('primary_read', deadline_ms=400),
                OFFERED_EACH,
                TOKEN_LOAD_S,
            )
            for each in callers
        ),
    )
    elapsed = time.monotonic() - started
    used = fleet.processor_ms(OWNER) - before
    after = await fleet.link_counters()
    owner_id = fleet.host_ids[OWNER]
    changes = {'reads': 0, 'bytes_to_server': 0, 'bytes_to_client': 0}
    for group, counted in after.items():
        if owner_id in group.split(' '):
            for name in changes:
                changes[name] += counted[name] - counters[group][name]
    for each in callers:
        each.close()
    done = [load for load in loads if isinstance(load, capacity_load.Load)]
    return {
        'hosts_that_ask': asking,
        'owner_processor_ms_per_s': round(used / elapsed, 1),
        'owner_messages_per_s': round(changes['reads'] / elapsed),
        'owner_bytes_per_s': round(
            (changes['bytes_to_server'] + changes['bytes_to_client']) / elapsed
        ),
        'admitted_per_s': round(
            sum(len(load.times_us) for load in done) / elapsed, 1
        ),
        'offered_per_s': asking * OFFERED_EACH,
    }
