"""Measures refusals of the limiter against other ways to split the rate.

Run with ``python -m tests.callers.measure_limiter``. Nine hosts hold one
slot each; three of them are in each zone. Demand is a Poisson process. The
central bucket is what one host without a network would admit; the static
split gives each host a ninth of rate and burst and moves no tokens.
"""

import asyncio
import random
from unittest import mock

from samphirestand.callers import bucket
from tests.callers import fleet

SEED = 20_261_204
REQUESTS = 1_500

# Rate and burst: a large and a small account of the examples, and smaller
# ones whose bucket on a host never holds a whole token.
ACCOUNTS = [(300, 600), (20, 40), (20, 10), (5, 10)]

# Demand as a share of the rate, and the hosts that it reaches.
CASES = {
    'spread evenly, 0.9 of the rate': (0.9, range(9)),
    'one zone, 0.9 of the rate': (0.9, range(3, 6)),
    'one host, 0.9 of the rate': (0.9, [8]),
    'spread evenly, exactly the rate': (1.0, range(9)),
    'one zone, exactly the rate': (1.0, range(3, 6)),
    'spread evenly, 5 times the rate': (5.0, range(9)),
    'one zone, 5 times the rate': (5.0, range(3, 6)),
}


async def run(hosts, share, numbers, duration_ms=None):
    """Return the admitted and refused requests and the worst window."""
    rng = random.Random(SEED)
    numbers = list(numbers)
    duration_ms = duration_ms or REQUESTS * 1_000 / (share * hosts.rate)
    tasks = []
    at_ms = 0.0
    while at_ms < duration_ms:
        gap_ms = rng.expovariate(share * hosts.rate / 1_000)
        await hosts.clock.advance(int(at_ms + gap_ms) - int(at_ms))
        at_ms += gap_ms
        number = rng.choice(numbers)
        tasks.append(asyncio.create_task(hosts.request(number)))
    await hosts.clock.advance(2_000)
    fleet.results(tasks)
    return len(hosts.admitted_ms), hosts.refused, max(0, hosts.excess())


def measure(rate, burst, share, numbers):
    """Return the refusals of central bucket, transfers and static split."""
    transfers = fleet.Fleet(rate, burst, [1] * 9)
    moved = asyncio.run(run(transfers, share, numbers))
    with mock.patch.object(bucket, 'LONGEST_VALIDITY_MS', 0):
        one = fleet.Fleet(rate, burst, [1], transfers=False)
        central = asyncio.run(run(one, share, [0]))
        split = fleet.Fleet(rate, burst, [1] * 9, transfers=False)
        static = asyncio.run(run(split, share, numbers))
    return central, moved, static


def main():
    """Print a table of refused requests in percent."""
    print(f'seed {SEED}, {REQUESTS} requests, refused in percent')
    print(f'{"":47}  central  transfers  static')
    for rate, burst in ACCOUNTS:
        for name, (share, numbers) in CASES.items():
            results = measure(rate, burst, share, numbers)
            shares = [
                100 * refused / (admitted + refused)
                for admitted, refused, _ in results
            ]
            print(
                f'rate {rate:3} burst {burst:3} {name:31}'
                f' {shares[0]:7.1f} {shares[1]:10.1f} {shares[2]:7.1f}'
                f'  over the limit by {results[1][2]}'
            )


if __name__ == '__main__':
    main()
