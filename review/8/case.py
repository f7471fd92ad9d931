"""A gateway host that restarts forgets a replica that was lost for good."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import callers  # noqa: E402
import fleet as fleet_module  # noqa: E402
import servers  # noqa: E402

# 1: all disruptions; 0: none; servers: those of the servers, without the kill.
TROUBLE = os.environ.get('TROUBLE', '1')
HAS_SERVER_TROUBLE = TROUBLE != '0'
HAS_KILL = TROUBLE not in ('0', 'servers')

# Doses of the pages: replica_lag 'deaf' for 6 s, srv_crash 'gone' without a
# length, srv_crash 'primary' for 7 s, node_kill of one machine.
DEAF_S = 6.0
CRASH_S = 7.0
RESTART_DELAY_S = 0.5
LAPSE_S = 3 * fleet_module.HEARTBEAT_S
# The hosts read the registry at most this long after the entry has lapsed.
NOTICE_S = 0.6
WRITES = 20
SETTLE_S = 4


def find_gateway_host(fleet):
    """Return the host that claims the service's gateway."""
    for host in fleet.hosts:
        for line in host.log_path.read_text().splitlines():
            if 'gateways_claimed' in line and f'"{fleet_module.SERVICE}"' in (
                line
            ):
                return host
    raise RuntimeError('no host claims the gateway')


async def run(record):
    async with fleet_module.running(3, group_class=servers.Group) as fleet:
        group = fleet.group
        group.note = record.note
        await asyncio.sleep(3)
        reads = asyncio.create_task(callers.read_steadily(fleet, record))
        gateway_host = find_gateway_host(fleet)
        record.note(f'gateway host: {gateway_host.name}')
        primary = group.primary
        confirming, deaf = servers.replicas(group)
        loop = asyncio.get_running_loop()
        deaf_since_s = loop.time()
        if HAS_SERVER_TROUBLE:
            deaf.is_deaf = True
            record.note(f'{deaf.server_id} receives nothing')
        if not await callers.write_all(fleet, record, WRITES):
            raise RuntimeError('no write was acknowledged')
        if HAS_SERVER_TROUBLE:
            confirming.crash()
            record.note(f'{confirming.server_id} is lost for good')
            await servers.lapse(fleet, confirming, LAPSE_S)
            record.note(f'the entry of {confirming.server_id} has lapsed')
            await asyncio.sleep(NOTICE_S)
        if HAS_KILL:
            gateway_host.process.kill()
            gateway_host.process.wait()
            record.note(f'{gateway_host.name} is killed')
            await asyncio.sleep(RESTART_DELAY_S)
            gateway_host.start()
            record.note(f'{gateway_host.name} is started again')
        if HAS_SERVER_TROUBLE:
            await asyncio.sleep(deaf_since_s + DEAF_S - 0.2 - loop.time())
            primary.crash()
            record.note(f'{primary.server_id}, the primary, crashes')
            lapse = asyncio.create_task(servers.lapse(fleet, primary, LAPSE_S))
            await asyncio.sleep(0.2)
            deaf.is_deaf = False
            record.note(f'{deaf.server_id} receives again')
            await asyncio.sleep(CRASH_S - 0.2)
            await lapse
            await primary.come_back()
            record.note(f'{primary.server_id} is back at {primary.position}')
        await asyncio.sleep(SETTLE_S)
        reads.cancel()
        await asyncio.wait([reads])
        callers.note_logs(
            fleet, record, 'promotion_ordered', 'succession_waits'
        )
        for key, data in group.lost:
            record.note(f'LOST: the acknowledged WRITE {key} {data}')
        return 1 if group.lost else 0


if __name__ == '__main__':
    sys.exit(fleet_module.run_case(FOLDER, run))
