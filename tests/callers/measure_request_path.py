"""Measures the time that an entry host spends on each step of a request.

Run with ``python -m tests.callers.measure_request_path``. The router is a
fake that answers at once, so the figures contain only this package's cost.
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

REPEATS = 5
CALLS_PER_REPEAT = 5_000

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
    """A router that answers at once."""

    async def run(self, request):
        return fakes.DEFAULT_DONE


class Slots:
    """A host that holds one rate slot."""

    def held(self):
        return 1


def print_duration(name, function):
    """Print the duration of one call of ``function`` in microseconds.

    It is the mean of the fastest repeat.
    """
    best = min(
        timeit.repeat(function, number=CALLS_PER_REPEAT, repeat=REPEATS)
    )
    print(f'{name:34} {best / CALLS_PER_REPEAT * 1e6:7.2f} us')


def print_async_duration(name, function):
    """Print the duration of one call of a coroutine function."""

    async def call_repeatedly():
        for _ in range(CALLS_PER_REPEAT):
            await function()

    best = min(
        timeit.repeat(
            lambda: asyncio.run(call_repeatedly()), number=1, repeat=REPEATS
        )
    )
    print(f'{name:34} {best / CALLS_PER_REPEAT * 1e6:7.2f} us')


def main():
    """Print the duration of each step."""
    folder = pathlib.Path(tempfile.mkdtemp())
    harness = fakes.Harness(folder, real_clock=True)
    harness.entry._router = Router(harness.clock)
    call = models.parse_statement(BODY)
    token = harness.token(s=(2, 7))
    call_with_session = fakes.read(max_age_ms=500, session=token)
    done = fakes.DEFAULT_DONE
    quota = fleet.Configuration(10**9, 10**9, 1)
    rate_limiter = limiter.Limiter(
        harness.clock, random.Random(1), quota, Slots(), None, harness.metrics
    )
    rate_limiter.slots_claimed(1, never_held=1)

    def handle(each):
        return harness.entry.handle(
            each, fakes.KEY_HEADER, entry.CancellationToken()
        )

    print_duration('parse the body', lambda: models.parse_statement(BODY))
    print_duration(
        'check the key',
        lambda: authentication.authenticate(
            fakes.KEY_HEADER, fakes.CONFIGURATION
        ),
    )
    print_async_duration(
        'take a rate token', lambda: rate_limiter.admit(fleet.ACCOUNT, 5_000)
    )
    print_duration(
        'read a session token', lambda: harness.signer.verify(token)
    )
    print_duration(
        'sign a session token',
        lambda: harness.signer.sign(harness.signer.verify(token)),
    )
    print_async_duration('entry, without a session', lambda: handle(call))
    print_async_duration(
        'entry, with a session', lambda: handle(call_with_session)
    )
    print_duration(
        'record a latency', lambda: harness.metrics.record('x', 900)
    )
    print_duration(
        'write the answer', lambda: json.dumps(server.to_document(done))
    )


if __name__ == '__main__':
    main()
