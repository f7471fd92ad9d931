"""A server that comes back with an old log is promoted."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import callers  # noqa: E402
import fleet as fleet_module  # noqa: E402
import servers  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# srv_crash 'primary' lasts 7 s in the site file.
CRASH_S = 7.0
CRASH_GAP_S = 3.0
WRITES = 20
# Those on the second primary.
MORE_WRITES = 5
SETTLE_S = 3


def crash_primary(fleet, record):
    """Crash the primary for a while; return the task that ends it."""
    if fleet.group.primary is None:
        raise RuntimeError('no primary was promoted in time')
    return asyncio.create_task(
        crash_for(fleet, record, fleet.group.primary, CRASH_S)
    )


async def crash_for(fleet, record, server, seconds):
    """Crash a server; its entry lapses, and it comes back with its log."""
    server.crash()
    record.note(f'{server.server_id}, the primary, crashes')
    lapse = asyncio.create_task(
        servers.lapse(fleet, server, 3 * fleet_module.HEARTBEAT_S)
    )
    await asyncio.sleep(seconds)
    await lapse
    await server.come_back()
    record.note(
        f'{server.server_id} is back at {server.position} as '
        f'{"primary" if server.is_primary else "replica"}'
    )


async def run(record):
    async with fleet_module.running(3, group_class=servers.Group) as fleet:
        group = fleet.group
        group.note = record.note
        await asyncio.sleep(3)
        reads = asyncio.create_task(callers.read_steadily(fleet, record))
        if not await callers.write_all(fleet, record, WRITES, 'a'):
            raise RuntimeError('no write was acknowledged')
        crashes = []
        if HAS_TROUBLE:
            crashes.append(crash_primary(fleet, record))
            await asyncio.sleep(CRASH_GAP_S - 1)
            # The second primary is in force; its commits are confirmed.
            if not await callers.write_all(fleet, record, MORE_WRITES, 'b'):
                raise RuntimeError('the second primary acknowledged nothing')
            await asyncio.sleep(1)
            crashes.append(crash_primary(fleet, record))
            await asyncio.sleep(CRASH_GAP_S)
            crashes.append(crash_primary(fleet, record))
        await asyncio.gather(*crashes)
        await asyncio.sleep(SETTLE_S)
        reads.cancel()
        await asyncio.wait([reads])
        callers.note_logs(fleet, record, 'promotion_ordered')
        for key, data in group.lost:
            record.note(f'LOST: the acknowledged WRITE {key} {data}')
        return 1 if group.lost else 0


if __name__ == '__main__':
    sys.exit(fleet_module.run_case(FOLDER, run))
