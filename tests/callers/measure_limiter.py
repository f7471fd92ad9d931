"""Compares the limiter's refusals with those of other ways to limit a rate.

Run with ``python -m tests.callers.measure_limiter``. Nine hosts hold one
slot each; there are three hosts in each zone. Requests arrive as a Poisson
process. The column "central" is one bucket on a single host. The column
"static" gives each host a ninth of rate and burst and transfers no tokens.
"""

import asyncio
import random
from unittest import mock

from samphirestand.callers import bucket
from tests.callers import fleet

SEED = 20_261_204
REQUESTS = 1_500

# Pairs of rate and burst: a large and a small account of the examples, and
# smaller ones whose bucket on a host never holds a whole token.
ACCOUNTS = [(300, 600), (20, 40), (20, 10), (5, 10)]

# Demand as a share of the rate, and the numbers of the hosts that receive it.
CASES = {
    'spread evenly, 0.9 of the rate': (0.9, range(9)),
    'one zone, 0.9 of the rate': (0.9, range(3, 6)),
    'one host, 0.9 of the rate': (0.9, [8]),
    'spread evenly, exactly the rate': (1.0, range(9)),
    'one zone, exactly the rate': (1.0, range(3, 6)),
    'spread evenly, 5 times the rate': (5.0, range(9)),
    'one zone, 5 times the rate': (5.0, range(3, 6)),
}


async def run(hosts, demand_share, host_numbers, duration_ms=None):
    """Return the counts of admitted and refused requests and the excess.

    The excess is in millitokens over the limit in the worst window.
    """
    rng = random.Random(SEED)
    host_numbers = list(host_numbers)
    duration_ms = duration_ms or REQUESTS * 1_000 / (demand_share * hosts.rate)
    tasks = []
    at_ms = 0.0
    while at_ms < duration_ms:
        interval_ms = rng.expovariate(demand_share * hosts.rate / 1_000)
        await hosts.clock.advance(int(at_ms + interval_ms) - int(at_ms))
        at_ms += interval_ms
        host_number = rng.choice(host_numbers)
        tasks.append(asyncio.create_task(hosts.request(host_number)))
    await hosts.clock.advance(2_000)
    fleet.results(tasks)
    return (
        len(hosts.admitted_ms),
        hosts.refused,
        max(0, hosts.excess_millitokens()),
    )


def measure(rate, burst, demand_share, host_numbers):
    """Return the results of ``run`` for central, transfers and static."""
    nine_hosts = fleet.Fleet(rate, burst, [1] * 9)
    with_transfers = asyncio.run(run(nine_hosts, demand_share, host_numbers))
    with mock.patch.object(bucket, 'MAX_VALIDITY_MS', 0):
        single_host = fleet.Fleet(rate, burst, [1], transfers=False)
        central = asyncio.run(run(single_host, demand_share, [0]))
        isolated_hosts = fleet.Fleet(rate, burst, [1] * 9, transfers=False)
        without_transfers = asyncio.run(
            run(isolated_hosts, demand_share, host_numbers)
        )
    return central, with_transfers, without_transfers


def main():
    """Print a table of refused requests in percent."""
    print(f'seed {SEED}, {REQUESTS} requests, refused in percent')
    print(f'{"":47}  central  transfers  static')
    for rate, burst in ACCOUNTS:
        for name, (demand_share, host_numbers) in CASES.items():
            results = measure(rate, burst, demand_share, host_numbers)
            percents = [
                100 * refused / (admitted + refused)
                for admitted, refused, _ in results
            ]
            print(
                f'rate {rate:3} burst {burst:3} {name:31}'
                f' {percents[0]:7.1f} {percents[1]:10.1f} {percents[2]:7.1f}'
                f'  over the limit by {results[1][2]}'
            )


if __name__ == '__main__':
    main()
