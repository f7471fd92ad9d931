"""A departure that was settled counts again for a server that came back."""

import asyncio
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-3'))

import failover  # noqa: E402
import servers as servers_module  # noqa: E402
import world as world_module  # noqa: E402

FOLDER = pathlib.Path(__file__).parent

# Doses of the site file: zone_cut 5.7 s, replica_lag "deaf" 6.0 s, srv_crash
# of a primary 7.0 s.
CUT_S = 5.7
DEAF_S = 6.0
CRASH_S = 7.0

HOST_ZONES = ('oberland', 'oberland', 'niederbayern', 'niederbayern')


async def _disturb(world, primary, deaf, lost):
    record = world.record
    if world_module.has_first_cause():
        lost.cut_off()
        record.note(f'network: the zone {lost.zone} is cut off')
        await asyncio.sleep(CUT_S)
        lost.reconnect()
        primary.send_log()
        record.note(f'network: the zone {lost.zone} is back')
    await asyncio.sleep(6)
    deaf.is_deaf = True
    record.note(f'servers: {deaf.server_id} receives nothing')
    await asyncio.sleep(1)
    lost.cut_off()
    record.note(f'network: the zone {lost.zone} is cut off again')
    await asyncio.sleep(0.2)
    gateway = await failover.find_gateway_host(world)
    gateway.signal(signal.SIGTERM)
    record.note(f'platform: SIGTERM to {gateway.name}')
    await asyncio.sleep(1.3)
    primary.crash()
    record.note(f'servers: {primary.server_id} crashes')
    await asyncio.sleep(DEAF_S - 2.5)
    deaf.is_deaf = False
    record.note(f'servers: {deaf.server_id} receives again')
    await asyncio.sleep(CUT_S + 1 - DEAF_S)
    lost.reconnect()
    record.note(f'network: the zone {lost.zone} is back again')
    await asyncio.sleep(CRASH_S - (CUT_S + 1 - 2.5))
    await primary.come_back()
    record.note(f'servers: {primary.server_id} is back')


async def _play(world):
    group = world.group = servers_module.Group(
        world_module.SERVICE, world.platform, world.record
    )
    world.platform.on_promotion = group.order_promotion
    await world.start(HOST_ZONES)
    primary, deaf, lost = group.servers.values()
    numbers = itertools.count(1)
    for host in world.hosts:
        world.spawn(failover.write_again_and_again(world, host, numbers))
    await asyncio.sleep(5)
    if world_module.has_trouble():
        await _disturb(world, primary, deaf, lost)
    await asyncio.sleep(6)
    return group.broken[0] if group.broken else None


if __name__ == '__main__':
    sys.exit(world_module.play(_play, FOLDER / 'record.txt'))
