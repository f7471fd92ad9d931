"""A promotion order that got no response is executed after the resume.

See claim.txt.
"""

import asyncio
import pathlib
import sys
import time

from review.common import deployment as deployment_module

SERVICE = 'huvo11a'
OTHER_SERVICES = ('kafi81c', 'wuno96b')
DARK_S = 5.0
LATE_S = 11.0
# After the first order; the replicas have been resumed by then.
DEAF_AFTER_S = 6.0
DEAF_S = 6.5


async def case(folder, has_trouble):
    services = (SERVICE, *OTHER_SERVICES)
    deployment = deployment_module.Deployment(folder, services)
    tasks = []
    try:
        await deployment.start('lalitpur-b')
        group = deployment.groups[SERVICE]
        deployment.record(f'primary {group.primary.target_id}; clients start')
        tasks = [
            asyncio.create_task(
                deployment_module.write_repeatedly(
                    deployment, service, host, pause_s
                )
            )
            for host in deployment.hosts.values()
            for service, pause_s in (
                (SERVICE, 0.1),
                (OTHER_SERVICES[0], 1.0),
                (OTHER_SERVICES[1], 1.0),
            )
        ]
        await asyncio.sleep(4)
        releases = [
            asyncio.create_task(release_twice(deployment, service))
            for service in OTHER_SERVICES
        ]
        await asyncio.sleep(1)
        if has_trouble:
            await disturb(deployment, group)
        else:
            await asyncio.sleep(15)
        await asyncio.sleep(3)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in releases:
            if not task.done():
                raise deployment_module.CannotRun('a release did not end')
        deployment.record(
            f'{deployment.cloud.late_calls} of {deployment.cloud.calls} '
            f'promotion calls got no response and were executed late'
        )
        deployment_module.copy_logs(
            deployment,
            (
                'succession',
                'promotion_ordered',
                'fencing',
                'replica_left_paused',
                'RESUME',
            ),
        )
        return deployment_module.judge_lost(deployment)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.close()


async def release_twice(deployment, service):
    """Replace the primary of a service twice, as planned work."""
    group = deployment.groups[service]
    for count in (1, 2):
        primary = group.primary
        deployment.record(f'{primary.target_id} of {service} is draining')
        primary.is_draining = True
        primary.register()
        while group.promotions < count:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def disturb(deployment, group):
    """Let the primary be dark for a while and the orders be late."""
    cloud = deployment.cloud
    primary = group.primary
    cloud.late_s = lambda service: LATE_S if service == SERVICE else None
    deployment.record(f'{primary.target_id} is dark for {DARK_S} s')
    primary.is_dark = True
    await asyncio.sleep(DARK_S)
    deployment.record(f'{primary.target_id} is back')
    primary.is_dark = False
    ordered = [each for each in cloud.orders if each[0] == SERVICE]
    if not ordered:
        raise deployment_module.CannotRun('no promotion was ordered')
    _, target_id, _, ordered_s = ordered[0]
    await asyncio.sleep(ordered_s + DEAF_AFTER_S - time.monotonic())
    cloud.late_s = lambda service: None
    replica = group.servers[target_id]
    deployment.record(
        f'{replica.target_id} receives nothing for {DEAF_S} s; '
        f'paused: {replica.paused_term}'
    )
    replica.is_deaf = True
    await asyncio.sleep(DEAF_S)
    replica.is_deaf = False


if __name__ == '__main__':
    sys.exit(deployment_module.run_case(pathlib.Path(__file__).parent, case))
