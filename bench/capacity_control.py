"""Costs of the background tasks of idle hosts, and of rate tokens.

Measured on host processes.
"""

import asyncio
import time
from typing import Any

from bench import capacity_fleet
from bench import capacity_load
from bench import processes
from samphirestand.hosts import rendezvous
from samphirestand import types

SERVICE_COUNTS = (0, 3, 6)
HOST_COUNTS = (2, 4, 8)
CHANGE_COUNT = 12
PAUSE_AFTER_CHANGE_S = 0.2
IDLE_S = 10
SETTLE_S = 6
MEASURED_S = 6

# Zones of the hosts when rate tokens are measured. The first three hosts have
# the targets in their zones and no callers; the fourth is the rate owner.
TOKEN_ZONES = ('zone-0', 'zone-1', 'zone-2') + ('zone-3',) * 7
OWNER_INDEX = 3
ASKING_HOST_COUNTS = (0, 1, 3, 6)
TOKEN_RATE = 160
OFFERED_RATE_PER_HOST = 60
TOKEN_LOAD_S = 6


async def measure_gateways() -> list[dict[str, Any]]:
    """Return the idle cost of a host by the number of gateways on it.

    There are three hosts in three zones, with one target of each service in
    each zone.
    """
    zones = ('zone-0', 'zone-1', 'zone-2')
    points = []
    for services in SERVICE_COUNTS:
        # The primaries are spread over the zones in turn, as they would be
        # in a large fleet.
        rotated_zones = tuple(
            zones[number % 3 :] + zones[: number % 3]
            for number in range(services)
        )
        plan = capacity_fleet.FleetPlan(
            host_zones=zones, service_zones=rotated_zones, has_links=True
        )
        async with capacity_fleet.Fleet(plan) as fleet:
            await asyncio.sleep(SETTLE_S)
            points.append(
                {
                    'gateways_on_each_host': services,
                    **await _measure_idle_fleet(fleet),
                }
            )
    return points


async def _measure_idle_fleet(fleet: capacity_fleet.Fleet) -> dict[str, Any]:
    """Measure an idle fleet; returns averages of a host.

    Sent bytes and received bytes are as a host sees them; messages are reads
    from the connections of the links.
    """
    hosts = range(len(fleet.host_ids))
    counters_before = await fleet.link_counters()
    before_ms = [fleet.processor_ms(index) for index in hosts]
    started_s = time.monotonic()
    await asyncio.sleep(MEASURED_S)
    elapsed_s = time.monotonic() - started_s
    used_ms = sum(
        fleet.processor_ms(index) - before_ms[index] for index in hosts
    )
    counters_after = await fleet.link_counters()
    sent_bytes: dict[str, float] = {'peers': 0, 'targets': 0, 'platform': 0}
    received_bytes = dict(sent_bytes)
    messages = dict(sent_bytes)
    for group, group_counters in counters_after.items():
        destination = group.split(' ')[1]
        destination_kind = (
            destination if destination in sent_bytes else 'peers'
        )
        rates = {
            name: (value - counters_before[group][name])
            / elapsed_s
            / len(hosts)
            for name, value in group_counters.items()
        }
        sent_bytes[destination_kind] += rates['bytes_to_server']
        received_bytes[destination_kind] += rates['bytes_to_client']
        messages[destination_kind] += rates['reads']
    # Each byte between two hosts is sent by one of them.
    sent_bytes['peers'] += received_bytes['peers']
    received_bytes['peers'] = sent_bytes['peers']
    resident_bytes = sum(
        processes.rss_bytes(fleet.pid(each)) for each in hosts
    )
    return {
        'processor_percent': round(used_ms / elapsed_s / len(hosts) / 10, 2),
        'resident_mb': round(resident_bytes / len(hosts) / 1e6, 1),
        'sent_bytes_per_s': _round_values(sent_bytes),
        'received_bytes_per_s': _round_values(received_bytes),
        'messages_per_s': _round_values(messages),
    }


def _round_values(values: dict[str, float]) -> dict[str, int]:
    return {name: round(value) for name, value in values.items()}


async def measure_platform() -> list[dict[str, Any]]:
    """Return the platform's reads and writes by the number of hosts.

    Idle, and for each change of an account.
    """
    points = []
    for hosts in HOST_COUNTS:
        zones = tuple(f'zone-{each % 2}' for each in range(hosts))
        plan = capacity_fleet.FleetPlan(host_zones=zones)
        async with capacity_fleet.Fleet(plan) as fleet:
            await asyncio.sleep(SETTLE_S)
            idle_counts, counted_s = await _count_platform_calls(fleet, 0)
            idle_per_s = {
                name: count / counted_s for name, count in idle_counts.items()
            }
            change_counts, counted_s = await _count_platform_calls(
                fleet, CHANGE_COUNT
            )
        points.append(
            {
                'hosts': hosts,
                'idle_per_s': {
                    name: round(rate, 2) for name, rate in idle_per_s.items()
                },
                # Includes the pauses between the commands.
                'seconds_per_change': round(counted_s / CHANGE_COUNT, 2),
                'per_change': {
                    name: round(
                        (count - idle_per_s[name] * counted_s) / CHANGE_COUNT,
                        1,
                    )
                    for name, count in change_counts.items()
                },
            }
        )
    return points


async def _count_platform_calls(
    fleet: capacity_fleet.Fleet, changes: int
) -> tuple[dict[str, int], float]:
    """Count reads and writes of the platform while changes are made.

    Counts for ``IDLE_S`` if ``changes`` is 0. Returns the counts and the
    seconds in which they were counted.
    """
    calls_before = await fleet.platform_counters()
    started_s = time.monotonic()
    for number in range(changes):
        name = capacity_fleet.ACCOUNT
        await fleet.run_command(f'ALTER ACCOUNT {name} RATE {1_000 + number}')
        await asyncio.sleep(PAUSE_AFTER_CHANGE_S)
    if not changes:
        await asyncio.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started_s
    calls_after = await fleet.platform_counters()
    counts = {
        name: calls_after[name] - calls_before.get(name, 0)
        for name in ('reads', 'writes')
    }
    return counts, elapsed_s


async def measure_tokens(seed: int) -> list[dict[str, Any]]:
    """Return the cost of the rate owner by the number of hosts that ask it.

    Each of these gets more requests than its share of the rate, so that it
    asks the owner for tokens.
    """
    account = _account_owned_by(OWNER_INDEX)
    plan = capacity_fleet.FleetPlan(
        host_zones=TOKEN_ZONES,
        service_zones=(('zone-0', 'zone-1', 'zone-2'),),
        accounts=(account,),
        rate=TOKEN_RATE,
        has_links=True,
    )
    points = []
    async with capacity_fleet.Fleet(plan) as fleet:
        await asyncio.sleep(2 * SETTLE_S)
        for asking_hosts in ASKING_HOST_COUNTS:
            points.append(
                await _measure_asking_hosts(fleet, asking_hosts, seed)
            )
    return points


def _account_owned_by(index: int) -> str:
    """Return an account whose rate owner is the host ``index``.

    Chooses the owner by the rules of ``placement.anywhere``. Raises
    ``RuntimeError`` if none of 1,000 names fits.
    """
    zone = TOKEN_ZONES[index]
    hosts = [
        types.Host(f'h{number}', each, 1, '', '', 1)
        for number, each in enumerate(TOKEN_ZONES)
        if each == zone
    ]
    for number in range(1_000):
        name = f'account-{number}'
        chosen_zone = max(
            sorted(set(TOKEN_ZONES)),
            key=lambda each: rendezvous.score(each, name),
        )
        owner = rendezvous.choose(hosts, name)
        if chosen_zone == zone and owner and owner.host_id == f'h{index}':
            return name
    raise RuntimeError('no account has this rate owner')


async def _measure_asking_hosts(
    fleet: capacity_fleet.Fleet, asking_hosts: int, seed: int
) -> dict[str, Any]:
    callers = [
        capacity_load.CallerPool(fleet, OWNER_INDEX + 1 + number, seed)
        for number in range(asking_hosts)
    ]
    counters_before = await fleet.link_counters()
    processor_before_ms = fleet.processor_ms(OWNER_INDEX)
    started_s = time.monotonic()
    loads = await asyncio.gather(
        asyncio.sleep(TOKEN_LOAD_S),
        *(
            capacity_load.run_load(
                each.make_sender('primary_read', deadline_ms=400),
                OFFERED_RATE_PER_HOST,
                TOKEN_LOAD_S,
            )
            for each in callers
        ),
    )
    elapsed_s = time.monotonic() - started_s
    used_ms = fleet.processor_ms(OWNER_INDEX) - processor_before_ms
    counters_after = await fleet.link_counters()
    owner_id = fleet.host_ids[OWNER_INDEX]
    owner_counters = {'reads': 0, 'bytes_to_server': 0, 'bytes_to_client': 0}
    for group, group_counters in counters_after.items():
        if owner_id in group.split(' '):
            for name in owner_counters:
                owner_counters[name] += (
                    group_counters[name] - counters_before[group][name]
                )
    for each in callers:
        each.close()
    finished_loads = [
        load for load in loads if isinstance(load, capacity_load.Load)
    ]
    return {
        'hosts_that_ask': asking_hosts,
        'owner_processor_ms_per_s': round(used_ms / elapsed_s, 1),
        'owner_messages_per_s': round(owner_counters['reads'] / elapsed_s),
        'owner_bytes_per_s': round(
            (
                owner_counters['bytes_to_server']
                + owner_counters['bytes_to_client']
            )
            / elapsed_s
        ),
        'admitted_per_s': round(
            sum(len(load.times_us) for load in finished_loads) / elapsed_s, 1
        ),
        'offered_per_s': asking_hosts * OFFERED_RATE_PER_HOST,
    }
