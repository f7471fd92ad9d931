"""A row of another writer keeps a draining primary from being replaced.

See claim.txt.
"""

import asyncio
import pathlib
import sys
import time

from review.common import deployment as deployment_module

SERVICE = 'huvo11a'
DRAIN_S = 7.0  # DrainMs
# A draining server serves for DrainMs and a little longer.
SERVES_S = 11.0


async def case(folder, has_trouble):
    deployment = deployment_module.Deployment(folder, (SERVICE,))
    tasks = []
    try:
        await deployment.start('lalitpur-b')
        group = deployment.groups[SERVICE]
        primary = group.primary
        tasks = [
            asyncio.create_task(
                deployment_module.write_repeatedly(
                    deployment, SERVICE, host, 0.3
                )
            )
            for host in deployment.hosts.values()
        ]
        await asyncio.sleep(3)
        if has_trouble:
            write_foreign_row(deployment)
        await asyncio.sleep(5)
        deployment.record(f'{primary.target_id} is draining')
        primary.is_draining = True
        primary.register()
        drained_s = time.monotonic()
        await asyncio.sleep(SERVES_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deployment_module.copy_logs(
            deployment,
            ('succession', 'promotion_ordered', 'fencing', 'foreign-row'),
        )
        late = [
            (request_id, begun_s - drained_s)
            for request_id, (begun_s, target_id) in group.begun.items()
            if target_id == primary.target_id and begun_s - drained_s > DRAIN_S
        ]
        for request_id, after_s in late:
            deployment.record(
                f'{request_id} reached {primary.target_id} {after_s:.3f} s '
                f'after the store had accepted that it drains'
            )
        deployment.record(
            f'{len(group.begun)} requests run, {group.promotions} '
            f'promotions, {len(late)} requests later than DrainMs at the '
            f'draining server'
        )
        if not group.begun:
            raise deployment_module.CannotRun('no request was run')
        return bool(late)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.close()


def write_foreign_row(deployment):
    """Write a row in which fields are missing, as another writer might.

    ``Seq``, ``Version`` and ``WarmLeftMs`` are missing. No server is at its
    address.
    """
    row = {
        'Service': SERVICE,
        'Addr': f'{deployment.address(90)}:{deployment_module.PORT}',
        'Zone': deployment_module.ZONES[0],
        'Slots': 5,
        'State': 'ready',
        'DbRole': 'replica',
    }
    deployment.record(f'another writer writes servers/foreign-row: {row}')
    deployment.store.put('servers', 'foreign-row', row)


if __name__ == '__main__':
    sys.exit(deployment_module.run_case(pathlib.Path(__file__).parent, case))
