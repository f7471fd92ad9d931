"""A host that restarts while the store is down promotes a replica.

See claim.txt.
"""

import asyncio
import pathlib
import signal
import sys
import time

from review.common import deployment as deployment_module
from samphirestand.hosts import rendezvous

SERVICE = 'huvo11a'
STORE_DOWN_S = 6.0
# Registrations are back within about two seconds of the store's return.
EARLY_S = 0.1
LATE_S = 1.9


def choose_placement(zones, hosts_per_zone):
    """Return the zone of the primary and the host that is restarted.

    The host is the first one by the hash that chooses gateway hosts, and the
    primary is in another zone.
    """
    names = [
        f'edge-{zone}-{index + 1}'
        for zone, count in zip(zones, hosts_per_zone, strict=True)
        for index in range(count)
    ]
    first = max(
        names, key=lambda name: rendezvous.score(name, f'gateway/{SERVICE}')
    )
    zone = next(each for each in zones if each not in first)
    return zone, first


async def case(folder, has_trouble):
    deployment = deployment_module.Deployment(folder, (SERVICE,))
    zone, restarted_name = choose_placement(
        deployment_module.ZONES, deployment_module.HOSTS_PER_ZONE
    )
    tasks = []
    try:
        await deployment.start(zone)
        group = deployment.groups[SERVICE]
        primary = group.primary
        first_replica, second_replica = (
            each for each in group.servers.values() if each is not primary
        )
        deployment.record(f'primary {primary.target_id}; clients start')
        tasks = [
            asyncio.create_task(
                deployment_module.write_repeatedly(
                    deployment, SERVICE, host, 0.1
                )
            )
            for host in deployment.hosts.values()
            for _ in range(2)
        ]
        await asyncio.sleep(4)
        if has_trouble:
            await disturb(
                deployment,
                deployment.hosts[restarted_name],
                early=second_replica,
                late=(primary, first_replica),
            )
        else:
            await asyncio.sleep(STORE_DOWN_S)
        await asyncio.sleep(8)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deployment_module.copy_logs(
            deployment,
            ('succession', 'promotion_ordered', 'fencing', 'primary_changed'),
        )
        return deployment_module.judge_lost(deployment)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.close()


async def disturb(deployment, host, early, late):
    """Take the store down and restart one host meanwhile."""
    store = deployment.store
    deployment.record(f'the store is down for {STORE_DOWN_S} s')
    store.is_down = True
    await asyncio.sleep(STORE_DOWN_S - 2.5)
    host.signal(signal.SIGKILL)
    await host.process.wait()
    await asyncio.sleep(0.5)
    deployment.record(f'{host.name} starts again')
    host.start()
    await asyncio.sleep(2.0)
    now = time.monotonic()
    early.next_heartbeat_s = now + EARLY_S
    for server in late:
        server.next_heartbeat_s = now + LATE_S
    deployment.record('the store is back')
    store.is_down = False


if __name__ == '__main__':
    sys.exit(deployment_module.run_case(pathlib.Path(__file__).parent, case))
