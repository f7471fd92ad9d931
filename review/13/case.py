"""Two holders promote with the same fencing token after the store's drill."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-3'))

import world as world_module  # noqa: E402

FOLDER = pathlib.Path(__file__).parent

# How old the copy is to which the store goes back, and for how long it is
# away: "a moment", "some seconds old".
COPY_AGE_S = 4
AWAY_S = 1


async def _release_primary(world):
    """Replace the primary as planned: it drains, serves on, and exits."""
    group = world.group
    leaving = group.primary
    order_count = len(world.platform.orders)
    leaving.state = 'draining'
    leaving.register()
    world.record.note(f'servers: {leaving.server_id} reports draining')
    await world.until(
        lambda: (
            len(world.platform.orders) > order_count
            and group.primary not in (None, leaving)
        ),
        20,
        'the leaving primary is replaced',
    )
    world.record.note(f'servers: {group.primary.server_id} is the primary')

    async def leave():
        # It serves on for DrainMs and a little longer. Then a new server has
        # its address and its log.
        await asyncio.sleep(8)
        leaving.crash()
        world.platform.delete('servers', leaving.server_id)
        del group.servers[leaving.server_id]
        successor = await group.add(leaving.zone, leaving.port, False)
        successor.log = list(leaving.log)
        successor.entry_terms = list(leaving.entry_terms)
        successor.copy_log(group.primary)
        world.record.note(
            f'servers: {leaving.server_id} has left; {successor.server_id} '
            'has its address and its log'
        )

    world.spawn(leave())


async def _play(world):
    copies = []

    async def take_copies():
        while True:
            copies.append(world.platform.take_copy())
            await asyncio.sleep(1)

    await world.start()
    world.spawn(take_copies())
    for host in world.hosts:
        world.spawn(
            world.run_client(
                host, 'fiti832', lambda each: f'WRITE k{each.randrange(9)} v'
            )
        )
    await asyncio.sleep(5)
    await _release_primary(world)
    await asyncio.sleep(1)
    if world_module.has_trouble():
        # Copies are taken each second.
        earlier = copies[-COPY_AGE_S - 1]
        world.platform.is_down = True
        world.record.note('store: away')
        await asyncio.sleep(AWAY_S)
        world.platform.come_back(earlier)
        world.platform.is_down = False
        world.record.note(
            f'store: back from a copy that was {COPY_AGE_S} s old, era '
            f'{world.platform.era}'
        )
    await asyncio.sleep(12)
    await _release_primary(world)
    await asyncio.sleep(2)
    holders_by_token = {}
    for service, _, holder, token in world.platform.orders:
        holders_by_token.setdefault((service, token), set()).add(holder)
    for (service, token), holders in holders_by_token.items():
        if len(holders) > 1:
            return (
                f'ONE: {sorted(holders)} have promoted {service} with the '
                f'same fencing token {token}'
            )
    return None


if __name__ == '__main__':
    sys.exit(world_module.play(_play, FOLDER / 'record.txt'))
