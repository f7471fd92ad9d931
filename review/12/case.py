"""Answers of many rows end the hosts that pass them on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-3'))

import reports  # noqa: E402
import world as world_module  # noqa: E402

FOLDER = pathlib.Path(__file__).parent

# The answer to the report: many rows, each below the 1 MiB of a message.
ROW_BYTES = 1_000_000
ROWS = 90
USUAL_ROWS = 5

MEMORY_KB = 300 * 1_024  # MemoryMb of the settings
RESTART_S = 0.5
WATCH_S = 0.02

# A tenth of the machines in use, two at least, and three times.
MIN_HOSTS = 2
MIN_ENDS = 3
PLAY_S = 75


def _memory_kb(process):
    path = pathlib.Path(f'/proc/{process.pid}/status')
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


async def _limit_memory(world, host, ends_by_host):
    """Do what the platform does with a process above its limit."""
    while True:
        await asyncio.sleep(WATCH_S)
        if host.process.returncode is not None:
            reason = f'ended with {host.process.returncode}'
        else:
            memory_kb = _memory_kb(host.process)
            if memory_kb <= MEMORY_KB:
                continue
            reason = f'killed with {memory_kb // 1024} MB'
            await host.end()
        ends_by_host[host.name] = ends_by_host.get(host.name, 0) + 1
        world.record.note(f'platform: {host.name} {reason}')
        await asyncio.sleep(RESTART_S)
        await host.start()


async def _read_report(world):
    """Read the report again and again, as one caller after another."""
    numbers = iter(range(1, 10_000))
    while True:
        for host in world.hosts:
            if not await host.is_ready():
                continue
            try:
                client = await world_module.Client.connect(host, 'bericht')
            except (OSError, TimeoutError) as error:
                world.record.note(f'client: {host.name} {error!r}')
                continue
            request_id = f'{next(numbers):016x}'
            rows, result = await client.query(
                request_id, f'READ {reports.REPORT}'
            )
            client.close()
            world.record.note(
                f'client: {host.name} {request_id} READ {reports.REPORT} -> '
                f'{len(rows)} rows, {result or "no answer"}'
            )
        await asyncio.sleep(0.2)


async def _play(world):
    count = ROWS if world_module.has_trouble() else USUAL_ROWS
    rows = f'DATAROW {"x" * ROW_BYTES}\r\n' * count
    await world.start()
    for server in world.group.servers.values():
        reports.answer_report(server, rows)
    ends_by_host = {}
    for host in world.hosts:
        world.spawn(_limit_memory(world, host, ends_by_host))
    await asyncio.sleep(3)
    world.spawn(_read_report(world))

    def is_fault():
        ends = [each for each in ends_by_host.values() if each >= MIN_ENDS]
        return len(ends) >= MIN_HOSTS

    for _ in range(PLAY_S):
        if is_fault():
            return f'Fault: processes ended by themselves: {ends_by_host}'
        await asyncio.sleep(1)
    return None


if __name__ == '__main__':
    sys.exit(world_module.play(_play, FOLDER / 'record.txt'))
