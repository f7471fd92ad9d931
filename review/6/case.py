"""Two primaries crash one after the other while a replica receives nothing."""

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

# Doses of the site file: replica_lag 'deaf crash' for 6 s, srv_crash
# 'primary' for 7 s.
DEAF_S = 6.0
CRASH_S = 7.0
WRITES = 20
# Time from the first promotion to the second crash.
SECOND_CRASH_AFTER_S = 1.0
SETTLE_S = 3


async def crash_for(fleet, record, server, seconds):
    """Crash a server; its entry lapses, and it comes back with its log."""
    server.crash()
    record.note(f'{server.server_id}, the primary, crashes')
    lapse = asyncio.create_task(
        servers.lapse(fleet, server, 3 * fleet_module.HEARTBEAT_S)
    )
    await asyncio.sleep(seconds)
    await server.come_back()
    await lapse
    record.note(f'{server.server_id} is back at {server.position}')


async def run(record):
    async with fleet_module.running(3, group_class=servers.Group) as fleet:
        group = fleet.group
        group.note = record.note
        await asyncio.sleep(3)
        reads = asyncio.create_task(callers.read_steadily(fleet, record))
        first = group.primary
        deaf = servers.replicas(group)[-1]
        if HAS_TROUBLE:
            deaf.is_deaf = True
            record.note(f'{deaf.server_id} receives nothing')
        loop = asyncio.get_running_loop()
        deaf_since_s = loop.time()
        if not await callers.write_all(fleet, record, WRITES):
            raise RuntimeError('no write was acknowledged')
        if HAS_TROUBLE:
            crashes = [
                asyncio.create_task(crash_for(fleet, record, first, CRASH_S))
            ]
            await group.was_promoted.wait()
            second = group.primary
            await asyncio.sleep(SECOND_CRASH_AFTER_S)
            if loop.time() > deaf_since_s + DEAF_S:
                raise RuntimeError('the first promotion took too long')
            crashes.append(
                asyncio.create_task(crash_for(fleet, record, second, CRASH_S))
            )
            await asyncio.sleep(deaf_since_s + DEAF_S - loop.time())
            deaf.is_deaf = False
            record.note(f'{deaf.server_id} receives again')
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
