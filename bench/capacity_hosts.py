"""Costs of the callers' connections and of statements, from real hosts."""

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

CONNECTIONS = (1_000, 4_000, 9_300)
OPENED_AT_ONCE = 100
ACTIVE_RATE = 200
RATES = (50, 100, 200)
IDLE_S = 4
LOAD_S = 5
PROFILE_RATE = 150
PROFILE_ROWS = 12

# The primary's target in zone 0; host 3 has no target in its zone.
ENTRY = 3
GATEWAY = 0
STATEMENT_PLAN = capacity_fleet.Plan(
    host_zones=('zone-0', 'zone-1', 'zone-2', 'zone-3'),
    service_zones=(('zone-0', 'zone-1', 'zone-2'),),
    has_direct_target=True,
    statement_ms=2,
)


async def measure_connections(seed: int) -> list[dict[str, Any]]:
    """Return memory and processor time by open connections of a host."""
    plan = capacity_fleet.Plan(
        host_zones=('zone-0',),
        service_zones=(('zone-0', 'zone-1', 'zone-2'),),
    )
    points = []
    async with capacity_fleet.Fleet(plan) as fleet:
        callers = capacity_load.Callers(fleet, 0, seed)
        await capacity_load.run(callers.sender('primary_read'), 100, 3)
        callers.close()
        channels: list[http.Channel] = []
        for count in (0, *CONNECTIONS):
            await _open(fleet, channels, count)
            await asyncio.sleep(1)
            points.append(await _connections_point(fleet, channels, seed))
        for channel in channels:
            channel.close()
    return points


async def _open(
    fleet: capacity_fleet.Fleet, channels: list[http.Channel], count: int
) -> None:
    """Open connections until there are ``count``; each asks once."""
    while len(channels) < count:
        new = [
            fleet.channel(0)
            for _ in range(min(OPENED_AT_ONCE, count - len(channels)))
        ]
        await asyncio.gather(
            *(each.request('GET', '/v1/health') for each in new)
        )
        channels += new


async def _connections_point(
    fleet: capacity_fleet.Fleet, channels: list[http.Channel], seed: int
) -> dict[str, Any]:
    """Measure idle connections, then all of them in turn."""
    point: dict[str, Any] = {'connections': len(channels)}
    point['idle_resident_mb'] = processes.rss_bytes(fleet.pid(0)) / 1e6
    idle = await _idle_ms_per_s(fleet, 0)
    point['idle_processor_ms_per_s'] = round(idle, 1)
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
            capacity_fleet.key(capacity_fleet.ACCOUNT),
        )
        return answer.status == 200

    before = fleet.processor_ms(0)
    started = time.monotonic()
    load = await capacity_load.run(send, ACTIVE_RATE, LOAD_S)
    used = fleet.processor_ms(0) - before
    used -= idle * (time.monotonic() - started)
    point['active_resident_mb'] = processes.rss_bytes(fleet.pid(0)) / 1e6
    point['processor_us_per_statement'] = round(
        used * 1e3 / max(1, len(load.times_us))
    )
    return {**point, **load.summary()}


async def _idle_ms_per_s(fleet: capacity_fleet.Fleet, index: int) -> float:
    before = fleet.processor_ms(index)
    started = time.monotonic()
    await asyncio.sleep(IDLE_S)
    used = fleet.processor_ms(index) - before
    return used / (time.monotonic() - started)


async def measure_statements(seed: int, kind: str) -> dict[str, Any]:
    """Return processor time per statement by role, kind and rate."""
    async with capacity_fleet.Fleet(STATEMENT_PLAN) as fleet:
        hosts = range(len(fleet.host_ids))
        idle = await asyncio.gather(
            *(_idle_ms_per_s(fleet, index) for index in hosts)
        )
        points = []
        direct = capacity_load.Direct()
        await direct.connect(fleet.direct_url)
        for through in (ENTRY, GATEWAY):
            callers = capacity_load.Callers(fleet, through, seed)
            send = callers.sender(kind)
            await capacity_load.run(send, RATES[0], 1)
            for rate in RATES:
                points.append(
                    await _statements_point(fleet, send, rate, idle)
                    | {'through': 'entry' if through == ENTRY else 'both'}
                )
            callers.close()
        for rate in RATES:
            load = await capacity_load.run(direct.sender(kind), rate, LOAD_S)
            points.append(
                {'rate': rate, 'through': 'direct', **load.summary()}
            )
        direct.close()
    return {
        'kind': kind,
        'idle_ms_per_s': [round(each, 1) for each in idle],
        'points': points,
        'slopes_us_per_statement': _slopes(points),
    }


async def _statements_point(
    fleet: capacity_fleet.Fleet,
    send: capacity_load.Send,
    rate: int,
    idle: list[float],
) -> dict[str, Any]:
    hosts = range(len(fleet.host_ids))
    before = [fleet.processor_ms(index) for index in hosts]
    started = time.monotonic()
    load = await capacity_load.run(send, rate, LOAD_S)
    elapsed = time.monotonic() - started
    used = [
        (fleet.processor_ms(index) - before[index]) / elapsed - idle[index]
        for index in hosts
    ]
    return {
        'rate': rate,
        'done_per_s': round(len(load.times_us) / elapsed, 1),
        'processor_ms_per_s_by_host': [round(each, 1) for each in used],
        **load.summary(),
    }


def _slopes(points: list[dict[str, Any]]) -> dict[str, float]:
    """Return the slopes by role; the gateways' is that of all gateways."""
    columns = {
        'entry host, not gateway': ('entry', slice(ENTRY, ENTRY + 1)),
        'gateway hosts': ('entry', slice(0, ENTRY)),
        'host that is both': ('both', slice(GATEWAY, GATEWAY + 1)),
        'gateways of the other targets': ('both', slice(1, ENTRY)),
    }
    slopes: dict[str, float] = {}
    for name, (through, hosts) in columns.items():
        found = [
            (
                each['done_per_s'],
                sum(each['processor_ms_per_s_by_host'][hosts]),
            )
            for each in points
            if each['through'] == through
        ]
        slopes[name] = round(slope(found) * 1e3)
    return slopes


def slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the line of least squares."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return over / sum((x - mean_x) ** 2 for x, _ in points)


async def measure_profile(seed: int, kind: str) -> dict[str, Any]:
    """Return where the processor time of the roles goes, by module.

    The profiler slows Python code down more than the libraries in C, so the
    shares are only good for a comparison.
    """
    with tempfile.TemporaryDirectory(prefix='capacity-') as folder:
        result = {}
        for role, through in (('entry and gateway', ENTRY), ('both', GATEWAY)):
            out = pathlib.Path(folder) / role.replace(' ', '-')
            plan = _profiled_plan(out)
            async with capacity_fleet.Fleet(plan) as fleet:
                callers = capacity_load.Callers(fleet, through, seed)
                load = await capacity_load.run(
                    callers.sender(kind), PROFILE_RATE, 2 * LOAD_S
                )
                callers.close()
                done = load.summary()
            for index in {through, GATEWAY}:
                name = f'{role}: h{index}'
                path = pathlib.Path(f'{out}-h{index}')
                result[name] = {**done, 'by_module': _by_module(path)}
        return result


def _profiled_plan(out: pathlib.Path) -> capacity_fleet.Plan:
    return dataclasses.replace(
        STATEMENT_PLAN,
        host_command=('-m', 'bench.profiled_host', str(out)),
    )


def _by_module(path: pathlib.Path) -> dict[str, float]:
    """Return the seconds that each package spent by itself."""
    seconds: dict[str, float] = {}
    stats: Any = pstats.Stats(str(path))
    for (file, _, name), (_, _, own, _, _) in stats.stats.items():
        if name.find("'poll'") >= 0 or 'epoll' in name:
            continue
        group = _group(file, name)
        seconds[group] = seconds.get(group, 0) + own
    ordered = sorted(seconds.items(), key=lambda each: -each[1])
    return {name: round(own, 2) for name, own in ordered[:PROFILE_ROWS]}


def _group(file: str, name: str) -> str:
    parts = pathlib.Path(file).parts
    if 'samphirestand' in parts:
        place = len(parts) - 1 - parts[::-1].index('samphirestand')
        return '/'.join(parts[place : place + 2])
    for package in ('tornado', 'pydantic', 'asyncio', 'capnp', 'hdrh'):
        if package in parts or package in name:
            return package
    if file != '~':
        return 'standard library and others'
    return 'sockets' if '_socket' in name else 'other built-in functions'
