"""Measures the time that an entry host spends on one request, by step.

Run with ``python -m tests.callers.measure_request_path``. The router is a
stand-in that answers at once, so the figures are this package's own cost.
"""

import asyncio
import json
import pathlib
import random
import tempfile
import timeit

from samphirestand.callers import authentication
from samphirestand.callers import entry
from samphirestand.callers import limiter
from samphirestand.callers import models
from samphirestand.callers import server
from tests.callers import fakes
from tests.callers import fleet

ROUNDS = 5
TIMES = 5_000

BODY = json.dumps(
    {
        'service': 's',
        'statement': 'GET case/4711',
        'mode': 'read',
        'request_id': 'e0b7c2f4-5c1d-4f2c-9d53-3f0a6d9e6b11',
        'max_age_ms': 500,
    }
).encode()


class Router(fakes.Router):
    """Answers at once."""

    async def run(self, request):
        return fakes.DONE


class Slots:
    """One slot, and no other host to ask."""

    def held(self):
        return 1


def report(name, work):
    """Print the best of some rounds in microseconds."""
    best = min(timeit.repeat(work, number=TIMES, repeat=ROUNDS))
    print(f'{name:34} {best / TIMES * 1e6:7.2f} us')


def report_async(name, work):
    """Print the same for a coroutine function."""

    async def repeat():
        for _ in range(TIMES):
            await work()

    best = min(
        timeit.repeat(lambda: asyncio.run(repeat()), number=1, repeat=ROUNDS)
    )
    print(f'{name:34} {best / TIMES * 1e6:7.2f} us')


def main():
    """Print a table."""
    folder = pathlib.Path(tempfile.mkdtemp())
    world = fakes.World(folder, real_clock=True)
    world.entry._router = Router(world.clock)
    call = models.parse_statement(BODY)
    token = world.token(s=(2, 7))
    with_session = fakes.read(max_age_ms=500, session=token)
    done = fakes.DONE
    quota = fleet.Configuration(10**9, 10**9, 1)
    buckets = limiter.Limiter(
        world.clock, random.Random(1), quota, Slots(), None, world.metrics
    )
    buckets.slots_claimed(1, never_held=1)

    def handle(each):
        return world.entry.handle(each, fakes.HEADER, entry.Ticket())

    report('parse the body', lambda: models.parse_statement(BODY))
    report(
        'check the key',
        lambda: authentication.authenticate(fakes.HEADER, fakes.CONFIGURATION),
    )
    report_async(
        'take a rate token', lambda: buckets.admit(fleet.ACCOUNT, 5_000)
    )
    report('read a session token', lambda: world.signer.read(token))
    report(
        'sign a session token',
        lambda: world.signer.sign(world.signer.read(token)),
    )
    report_async('entry, without a session', lambda: handle(call))
    report_async('entry, with a session', lambda: handle(with_session))
    report('record a latency', lambda: world.metrics.record('x', 900))
    report('write the answer', lambda: json.dumps(server.body(done)))


if __name__ == '__main__':
    main()
