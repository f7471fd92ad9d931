"""Measures the cost of the parts of a host, for docs/CAPACITY.md.

Measures one part and prints its result as JSON. Processor time is that of the
measured process, read from /proc or in the process itself, so other work on
the machine has little effect on it. Response times do depend on other work.
"""

import argparse
import asyncio
import collections.abc
import concurrent.futures
import json
import multiprocessing
import sys
from typing import Any

import capnp

from bench import capacity_control
from bench import capacity_hosts
from bench import capacity_load
from bench import capacity_state
from bench import capacity_table
from bench import gossip_cost
from samphirestand import log

SERVICE_COUNTS = (1_000, 3_000, 5_800)
PLACEMENT_HOST_COUNT = 3_000

MeasurePart = collections.abc.Callable[[argparse.Namespace], Any]


def _run_in_new_process(function: Any, *arguments: Any) -> Any:
    """Call ``function`` in a new process.

    Memory left by an earlier measurement would falsify its result.
    """
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
        return pool.submit(function, *arguments).result()


def _measure_configuration(options: argparse.Namespace) -> Any:
    return [
        _run_in_new_process(capacity_state.measure_configuration, services)
        for services in SERVICE_COUNTS
    ]


def _measure_placement(options: argparse.Namespace) -> Any:
    return [
        _run_in_new_process(
            capacity_state.measure_placement,
            services,
            PLACEMENT_HOST_COUNT,
            options.seed,
        )
        for services in SERVICE_COUNTS
    ]


def _measure_gossip(options: argparse.Namespace) -> Any:
    return asyncio.run(capnp.run(gossip_cost.measure(options.seed, 0)))


def _measure_statements(options: argparse.Namespace) -> Any:
    measurement = capacity_hosts.measure_statements(options.seed, options.kind)
    return asyncio.run(measurement)


def _measure_profile(options: argparse.Namespace) -> Any:
    measurement = capacity_hosts.measure_profile(options.seed, options.kind)
    return asyncio.run(measurement)


PARTS: dict[str, tuple[str, MeasurePart]] = {
    'connections': (
        "callers' connections of one host, idle and used",
        lambda options: asyncio.run(
            capacity_hosts.measure_connections(options.seed)
        ),
    ),
    'statements': (
        'processor time per statement by role of the host, and time added',
        _measure_statements,
    ),
    'profile': ('processor time of statements by module', _measure_profile),
    'configuration': (
        'memory, sizes and times of configurations by number of services',
        _measure_configuration,
    ),
    'placement': (
        'time to choose the gateways of a host, by number of targets',
        _measure_placement,
    ),
    'gateways': (
        'idle cost of a host by number of its gateways',
        lambda options: asyncio.run(capacity_control.measure_gateways()),
    ),
    'platform': (
        'reads and writes of the platform by real hosts',
        lambda options: asyncio.run(capacity_control.measure_platform()),
    ),
    'table': (
        'reads and writes of the platform by up to 3,000 simulated hosts',
        lambda options: asyncio.run(
            capacity_table.measure(options.seed, options.hosts)
        ),
    ),
    'tokens': (
        'cost of the rate owner by number of hosts that ask for tokens',
        lambda options: asyncio.run(
            capacity_control.measure_tokens(options.seed)
        ),
    ),
    'gossip': ('bench.gossip_cost without its part spread', _measure_gossip),
}


def main() -> int:
    """Run one part and print its result."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.capacity',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        epilog='\n'.join(
            f'{name:14} {summary}' for name, (summary, _) in PARTS.items()
        ),
    )
    parser.add_argument('part', choices=PARTS)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--kind',
        choices=capacity_load.STATEMENTS,
        default='primary_read',
        help='the kind of statements; for statements and profile',
    )
    parser.add_argument(
        '--hosts',
        type=int,
        default=0,
        help='one number of hosts instead of several; for table',
    )
    options = parser.parse_args()
    log.configure('bench', 'error')
    _, measure_part = PARTS[options.part]
    result = {
        'part': options.part,
        'seed': options.seed,
        'result': measure_part(options),
    }
    print(json.dumps(result, indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main())
