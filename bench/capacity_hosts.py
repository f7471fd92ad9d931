"""Costs of callers' connections and of statements, on host processes."""

import asyncio
import dataclasses
import pathlib
import pstats
import tempfile
import time
from typing import Any

from bench import capacity_fleet
from bench import capacity_load
from bench import http
from bench import processes

CONNECTION_COUNTS = (1_000, 4_000, 9_300)
OPENED_AT_ONCE = 100
ACTIVE_RATE_PER_S = 200
RATES_PER_S = (50, 100, 200)
IDLE_S = 4
LOAD_S = 5
PROFILE_RATE_PER_S = 150
MAX_PROFILE_ROWS = 12

# Indexes of hosts. Host 0 is the gateway of the primary, which is in its zone
# (zone-0). Host 3 has no target in its zone, so it is an entry host only.
ENTRY_HOST = 3
GATEWAY_HOST = 0
STATEMENT_PLAN = capacity_fleet.FleetPlan(
    host_zones=('zone-0', 'zone-1', 'zone-2', 'zone-3'),
    service_zones=(('zone-0', 'zone-1', 'zone-2'),),
    has_direct_target=True,
    statement_ms=2,
)


async def measure_connections(seed: int) -> list[dict[str, Any]]:
    """Return memory and processor time of a host by number of connections."""
    plan = capacity_fleet.FleetPlan(
        host_zones=('zone-0',),
        service_zones=(('zone-0', 'zone-1', 'zone-2'),),
    )
    points = []
    async with capacity_fleet.Fleet(plan) as fleet:
        callers = capacity_load.CallerPool(fleet, 0, seed)
        await capacity_load.run_load(
            callers.make_sender('primary_read'), 100, 3
        )
        callers.close()
        channels: list[http.Channel] = []
        for count in (0, *CONNECTION_COUNTS):
            await _open_channels(fleet, channels, count)
            await asyncio.sleep(1)
            points.append(await _measure_channels(fleet, channels, seed))
        for channel in channels:
            channel.close()
    return points


async def _open_channels(
    fleet: capacity_fleet.Fleet, channels: list[http.Channel], count: int
) -> None:
    """Open connections until there are ``count``; send a request on each."""
    while len(channels) < count:
        new_channels = [
            fleet.channel(0)
            for _ in range(min(OPENED_AT_ONCE, count - len(channels)))
        ]
        await asyncio.gather(
            *(each.request('GET', '/v1/health') for each in new_channels)
        )
        channels += new_channels


async def _measure_channels(
    fleet: capacity_fleet.Fleet, channels: list[http.Channel], seed: int
) -> dict[str, Any]:
    """Measure the connections while idle, then while all are used in turn."""
    point: dict[str, Any] = {'connections': len(channels)}
    point['idle_resident_mb'] = processes.rss_bytes(fleet.pid(0)) / 1e6
    idle_ms_per_s = await _measure_idle_ms_per_s(fleet, 0)
    point['idle_processor_ms_per_s'] = round(idle_ms_per_s, 1)
    if not channels:
        return point
    prefix = f'{seed}-{len(channels)}'

    async def send(number: int) -> bool:
        answer = await channels[number * 7 % len(channels)].request(
            'POST',
            '/v1/statements',
            {
                'service': 'service-0',
                'request_id': f'{prefix}-{number}',
                **capacity_load.STATEMENTS['primary_read'],
            },
            capacity_fleet.account_key(capacity_fleet.ACCOUNT),
        )
        return answer.status == 200

    before_ms = fleet.processor_ms(0)
    started_s = time.monotonic()
    load = await capacity_load.run_load(send, ACTIVE_RATE_PER_S, LOAD_S)
    used_ms = fleet.processor_ms(0) - before_ms
    used_ms -= idle_ms_per_s * (time.monotonic() - started_s)
    point['active_resident_mb'] = processes.rss_bytes(fleet.pid(0)) / 1e6
    point['processor_us_per_statement'] = round(
        used_ms * 1e3 / max(1, len(load.times_us))
    )
    return {**point, **load.summary()}


async def _measure_idle_ms_per_s(
    fleet: capacity_fleet.Fleet, index: int
) -> float:
    before_ms = fleet.processor_ms(index)
    started_s = time.monotonic()
    await asyncio.sleep(IDLE_S)
    used_ms = fleet.processor_ms(index) - before_ms
    return used_ms / (time.monotonic() - started_s)


async def measure_statements(seed: int, kind: str) -> dict[str, Any]:
    """Return processor time per statement by role of the host and rate.

    Also returns the response times, and those of a target that is called
    without a host.
    """
    async with capacity_fleet.Fleet(STATEMENT_PLAN) as fleet:
        hosts = range(len(fleet.host_ids))
        idle_ms_per_s_by_host = await asyncio.gather(
            *(_measure_idle_ms_per_s(fleet, index) for index in hosts)
        )
        points = []
        direct_pool = capacity_load.DirectPool()
        await direct_pool.connect(fleet.direct_url)
        for caller_host in (ENTRY_HOST, GATEWAY_HOST):
            caller_pool = capacity_load.CallerPool(fleet, caller_host, seed)
            send = caller_pool.make_sender(kind)
            await capacity_load.run_load(send, RATES_PER_S[0], 1)
            for rate in RATES_PER_S:
                points.append(
                    await _measure_rate(
                        fleet, send, rate, idle_ms_per_s_by_host
                    )
                    | {
                        'through': 'entry'
                        if caller_host == ENTRY_HOST
                        else 'both'
                    }
                )
            caller_pool.close()
        for rate in RATES_PER_S:
            load = await capacity_load.run_load(
                direct_pool.make_sender(kind), rate, LOAD_S
            )
            points.append(
                {'rate': rate, 'through': 'direct', **load.summary()}
            )
        direct_pool.close()
    return {
        'kind': kind,
        'idle_ms_per_s': [round(each, 1) for each in idle_ms_per_s_by_host],
        'points': points,
        'slopes_us_per_statement': _processor_us_by_role(points),
    }


async def _measure_rate(
    fleet: capacity_fleet.Fleet,
    send: capacity_load.Send,
    rate: int,
    idle_ms_per_s_by_host: list[float],
) -> dict[str, Any]:
    hosts = range(len(fleet.host_ids))
    before_ms = [fleet.processor_ms(index) for index in hosts]
    started_s = time.monotonic()
    load = await capacity_load.run_load(send, rate, LOAD_S)
    elapsed_s = time.monotonic() - started_s
    used_ms_per_s = [
        (fleet.processor_ms(index) - before_ms[index]) / elapsed_s
        - idle_ms_per_s_by_host[index]
        for index in hosts
    ]
    return {
        'rate': rate,
        'done_per_s': round(len(load.times_us) / elapsed_s, 1),
        'processor_ms_per_s_by_host': [
            round(each, 1) for each in used_ms_per_s
        ],
        **load.summary(),
    }


def _processor_us_by_role(points: list[dict[str, Any]]) -> dict[str, float]:
    """Return the processor time per statement in microseconds, by role.

    It is the slope of processor time over statements a second. That of
    gateways is the sum over all gateways of the service.
    """
    hosts_by_role = {
        'entry host, not gateway': (
            'entry',
            slice(ENTRY_HOST, ENTRY_HOST + 1),
        ),
        'gateway hosts': ('entry', slice(0, ENTRY_HOST)),
        'host that is both': ('both', slice(GATEWAY_HOST, GATEWAY_HOST + 1)),
        'gateways of the other targets': ('both', slice(1, ENTRY_HOST)),
    }
    slopes: dict[str, float] = {}
    for host_role, (caller_role, hosts) in hosts_by_role.items():
        rate_points = [
            (
                each['done_per_s'],
                sum(each['processor_ms_per_s_by_host'][hosts]),
            )
            for each in points
            if each['through'] == caller_role
        ]
        slopes[host_role] = round(slope(rate_points) * 1e3)
    return slopes


def slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through ``(x, y)`` points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_of_products = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return sum_of_products / sum((x - mean_x) ** 2 for x, _ in points)


async def measure_profile(seed: int, kind: str) -> dict[str, Any]:
    """Return the processor time of each role by module.

    The profiler slows Python code down more than libraries in C, so the
    shares are only good for comparisons.
    """
    with tempfile.TemporaryDirectory(prefix='capacity-') as folder:
        result = {}
        for role, caller_host in (
            ('entry and gateway', ENTRY_HOST),
            ('both', GATEWAY_HOST),
        ):
            profile_prefix = pathlib.Path(folder) / role.replace(' ', '-')
            plan = _profiled_plan(profile_prefix)
            async with capacity_fleet.Fleet(plan) as fleet:
                caller_pool = capacity_load.CallerPool(
                    fleet, caller_host, seed
                )
                load = await capacity_load.run_load(
                    caller_pool.make_sender(kind),
                    PROFILE_RATE_PER_S,
                    2 * LOAD_S,
                )
                caller_pool.close()
                load_summary = load.summary()
            for index in {caller_host, GATEWAY_HOST}:
                name = f'{role}: h{index}'
                path = pathlib.Path(f'{profile_prefix}-h{index}')
                result[name] = {
                    **load_summary,
                    'by_module': _seconds_by_module(path),
                }
        return result


def _profiled_plan(profile_prefix: pathlib.Path) -> capacity_fleet.FleetPlan:
    return dataclasses.replace(
        STATEMENT_PLAN,
        host_command=('-m', 'bench.profiled_host', str(profile_prefix)),
    )


def _seconds_by_module(path: pathlib.Path) -> dict[str, float]:
    """Return the seconds spent in each package, without those it called.

    Leaves out the time in which the event loop waits.
    """
    seconds_by_group: dict[str, float] = {}
    stats: Any = pstats.Stats(str(path))
    for (file, _, name), (_, _, own_s, _, _) in stats.stats.items():
        if name.find("'poll'") >= 0 or 'epoll' in name:
            continue
        group = _module_group(file, name)
        seconds_by_group[group] = seconds_by_group.get(group, 0) + own_s
    sorted_groups = sorted(seconds_by_group.items(), key=lambda each: -each[1])
    return {
        name: round(own_s, 2)
        for name, own_s in sorted_groups[:MAX_PROFILE_ROWS]
    }


def _module_group(file: str, name: str) -> str:
    parts = pathlib.Path(file).parts
    if 'samphirestand' in parts:
        package_index = len(parts) - 1 - parts[::-1].index('samphirestand')
        return '/'.join(parts[package_index : package_index + 2])
    for package in ('tornado', 'pydantic', 'asyncio', 'capnp', 'hdrh'):
        if package in parts or package in name:
            return package
    if file != '~':
        return 'standard library and others'
    return 'sockets' if '_socket' in name else 'other built-in functions'
