"""Callers that write to a service, and the host of its gateway."""

import asyncio
import itertools
from typing import Any

import world as world_module


async def write_again_and_again(
    world: Any, host: Any, numbers: 'itertools.count[int]'
) -> None:
    """Write one commit after another; remember what was acknowledged."""
    group = world.group
    while True:
        try:
            client = await world_module.Client.connect(host, 'fiti832')
        except (OSError, TimeoutError):
            await asyncio.sleep(0.2)
            continue
        while True:
            commit_id = f'c{next(numbers)}'
            _, result = await client.query(
                f'{next(numbers):016x}', f'WRITE k {commit_id}'
            )
            world.record.note(f'client: {host.name} {commit_id} -> {result}')
            if result.startswith('COMPLETE sig'):
                group.acknowledged[commit_id] = (
                    asyncio.get_running_loop().time()
                )
            if not result:
                break
            await asyncio.sleep(0.1)
        client.close()


async def find_gateway_host(world: Any) -> Any:
    """Return the host that says last that it is the service's gateway."""
    found: tuple[str, Any] | None = None
    for host in world.hosts:
        for line in host.log_path.read_text().splitlines():
            if '"gateways_claimed"' in line and world_module.SERVICE in line:
                stamp = line.partition('"timestamp": "')[2][:27]
                found = max(found or ('', host), (stamp, host), key=_stamp)
    if found is None:
        raise world_module.CannotRunError('no host claims the gateway')
    return found[1]


def _stamp(pair: tuple[str, Any]) -> str:
    return pair[0]
