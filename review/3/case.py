"""A host that gets SIGTERM breaks off requests of sessions that stay busy.

See claim.txt.
"""

import asyncio
import dataclasses
import pathlib
import random
import signal
import sys
import time

from review.common import deployment as deployment_module

SERVICES = ('huvo11a', 'kafi81c', 'wuno96b')
WORK_S = 0.033
SESSIONS = 17
CLIENT_DELAY_S = 0.003  # one way
TIMEOUT_S = 1.0  # of the route
STATEMENTS = 12
MAX_PAUSE_S = 0.02
GRACE_S = deployment_module.GRACE_S


@dataclasses.dataclass
class Request:
    """A request whose connection ended without a complete answer."""

    request_id: str
    text: str
    sent_s: float
    ended_s: float


async def run_transactions(deployment, host, service, cut_requests, answered):
    """Run one transaction after the other on a session with ``host``.

    Ends when the host closes the session.
    """
    client = deployment_module.Client(host, f'db-{service}')
    if not await client.open():
        raise deployment_module.CannotRun('no session')
    while True:
        texts = ['BEGIN']
        for _ in range(STATEMENTS - 2):
            item = f'{random.randrange(2000):x}'
            texts.append(
                f'WRITE {item} data'
                if random.random() < 0.35
                else f'READ {item}'
            )
        texts.append('COMMIT')
        for text in texts:
            request_id = f'{random.randrange(2**64):016x}'
            sent_s = time.monotonic()
            await asyncio.sleep(CLIENT_DELAY_S)
            result, state = await client.query(request_id, text)
            ended_s = time.monotonic()
            await asyncio.sleep(CLIENT_DELAY_S)
            deployment.record(f'{request_id} {text}: {result or "closed"}')
            if not result:
                cut_requests.append(Request(request_id, text, sent_s, ended_s))
                return
            answered.append(request_id)
            if state in ('E', ''):
                break
            if text not in ('BEGIN', 'COMMIT'):
                await asyncio.sleep(random.uniform(0, MAX_PAUSE_S))
        if state == 'E':
            request_id = f'{random.randrange(2**64):016x}'
            result, _ = await client.query(request_id, 'ROLLBACK')
        if not client.is_open:
            return


async def case(folder, has_trouble):
    deployment = deployment_module.Deployment(folder, SERVICES)
    tasks = []
    cut_requests = []
    answered = []
    try:
        await deployment.start('lalitpur-b', work_s=WORK_S)
        host = deployment.hosts['edge-kathmandu-a-2']
        tasks = [
            asyncio.create_task(
                run_transactions(
                    deployment,
                    host,
                    SERVICES[number % len(SERVICES)],
                    cut_requests,
                    answered,
                )
            )
            for number in range(SESSIONS)
        ]
        await asyncio.sleep(6)
        stopped_s = time.monotonic()
        if has_trouble:
            host.signal(signal.SIGTERM)
            async with asyncio.timeout(GRACE_S):
                await host.process.wait()
            ended_s = time.monotonic() - stopped_s
            deployment.record(f'{host.name} ended after {ended_s:.2f} s')
            await asyncio.sleep(1)
        else:
            await asyncio.sleep(GRACE_S + 1)
        deployment.record(f'{len(answered)} requests answered')
        if any(task.done() and task.exception() is not None for task in tasks):
            raise deployment_module.CannotRun('a client failed')
        lost = [
            request
            for request in cut_requests
            if is_lost(deployment, request, stopped_s)
        ]
        deployment.record(
            f'{len(cut_requests)} requests without an answer, '
            f'{len(lost)} of them count as lost'
        )
        return bool(lost)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.close()


def is_lost(deployment, request, stopped_s):
    """Judge LOST for one request, with the excuses of the rule."""
    sent_s = request.sent_s - stopped_s
    ended_s = request.ended_s - stopped_s
    was_passed_on = any(
        request.request_id in group.begun
        for group in deployment.groups.values()
    )
    # Whether the host has read a request that reached no server isn't known
    # here: not counted.
    is_counted = (
        was_passed_on
        and ended_s - sent_s < TIMEOUT_S
        and ended_s <= GRACE_S + 1
        # The server was still at work in the last sixth of the grace period
        # on a request that was sent no later than 3 s after the SIGTERM.
        and not (sent_s <= 3 and ended_s >= GRACE_S * 5 / 6)
    )
    deployment.record(
        f'{request.request_id} {request.text}: sent {sent_s:.3f} s and cut '
        f'{ended_s:.3f} s after the SIGTERM, '
        f'passed on to a server: {was_passed_on}, lost: {is_counted}'
    )
    return is_counted


if __name__ == '__main__':
    sys.exit(deployment_module.run_case(pathlib.Path(__file__).parent, case))
