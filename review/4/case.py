"""A withdrawn key goes on writing and commits in an open transaction.

See claim.txt.
"""

import asyncio
import copy
import pathlib
import random
import sys
import time

from review.common import deployment as deployment_module

SERVICE = 'huvo11a'
CONFIG_S = 3.0  # ConfigMs
STATEMENTS = 12
PAUSE_S = 1.0  # TxIdleMs is 3 s
OTHER_KEY = 'j8pjbvk9m68k7b2ex5wa'


async def case(folder, has_trouble):
    deployment = deployment_module.Deployment(folder, (SERVICE,))
    try:
        await deployment.start('lalitpur-b')
        group = deployment.groups[SERVICE]
        host = deployment.hosts['edge-kathmandu-a-2']
        client = deployment_module.Client(host, f'db-{SERVICE}')
        if not await client.open():
            raise deployment_module.CannotRun('no session')
        withdrawn_s = float('inf')
        broken = []
        for index in range(STATEMENTS):
            if index == 0:
                text = 'BEGIN'
            elif index == STATEMENTS - 1:
                text = 'COMMIT'
            else:
                text = f'WRITE {random.randrange(2000):x} data'
            request_id = f'{random.randrange(2**64):016x}'
            after_s = time.monotonic() - withdrawn_s
            result, state = await client.query(request_id, text)
            was_run = request_id in group.begun
            deployment.record(
                f'{request_id} {text}: {result or "closed"}, sent '
                f'{after_s:.3f} s after the acknowledgement, run by a '
                f'server: {was_run}'
            )
            if was_run and after_s > CONFIG_S:
                broken.append(request_id)
            if state in ('E', ''):
                break
            if index == 1 and has_trouble:
                withdraw_key(deployment)
                # Only later is the store's answer counted.
                withdrawn_s = time.monotonic()
            await asyncio.sleep(PAUSE_S)
        if index < 1:
            raise deployment_module.CannotRun('the transaction failed early')
        await check_new_session(deployment, host)
        deployment.record(
            f'{len(broken)} requests run with the withdrawn key, sent more '
            f'than {CONFIG_S} s after the acknowledgement'
        )
        return bool(broken)
    finally:
        await deployment.close()


def withdraw_key(deployment):
    """Write a configuration without the client's key, as the operator."""
    configuration = copy.deepcopy(deployment.configuration)
    configuration['Version'] = 12
    configuration['Tenants'][0]['ApiKeys'] = [OTHER_KEY]
    deployment.store.put('op', 'config', configuration)
    deployment.record('version 12, without the key, is acknowledged')


async def check_new_session(deployment, host):
    """Record how the host answers a new session with the same key."""
    client = deployment_module.Client(host, f'db-{SERVICE}')
    is_accepted = await client.open()
    client.close()
    deployment.record(f'a new session with the key: accepted {is_accepted}')


if __name__ == '__main__':
    sys.exit(deployment_module.run_case(pathlib.Path(__file__).parent, case))
