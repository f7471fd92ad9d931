"""Measures what the parts of a host cost, for docs/CAPACITY.md.

Prints JSON. Each part runs by itself. Processor time is that of /proc or of
the process, so that other work on the machine counts little; the times of
answers do depend on it.
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

SERVICES = (1_000, 3_000, 5_800)
PLACEMENT_HOSTS = 3_000

Part = collections.abc.Callable[[argparse.Namespace], Any]


def _in_new_process(work: Any, *arguments: Any) -> Any:
    """Run ``work`` where no earlier point has left memory."""
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
        return pool.submit(work, *arguments).result()


def _configuration(chosen: argparse.Namespace) -> Any:
    return [
        _in_new_process(capacity_state.measure_configuration, services)
        for services in SERVICES
    ]


def _placement(chosen: argparse.Namespace) -> Any:
    return [
        _in_new_process(
            capacity_state.measure_placement,
            services,
            PLACEMENT_HOSTS,
            chosen.seed,
        )
        for services in SERVICES
    ]


def _gossip(chosen: argparse.Namespace) -> Any:
    return asyncio.run(capnp.run(gossip_cost.measure(chosen.seed, 0)))


def _statements(chosen: argparse.Namespace) -> Any:
    work = capacity_hosts.measure_statements(chosen.seed, chosen.kind)
    return asyncio.run(work)


def _profile(chosen: argparse.Namespace) -> Any:
    work = capacity_hosts.measure_profile(chosen.seed, chosen.kind)
    return asyncio.run(work)


PARTS: dict[str, tuple[str, Part]] = {
    'connections': (
        "callers' connections of one host, idle and used",
        lambda chosen: asyncio.run(
            capacity_hosts.measure_connections(chosen.seed)
        ),
    ),
    'statements': (
        'processor time per statement by role, and time added',
        _statements,
    ),
    'profile': ('where the time of a statement goes', _profile),
    'configuration': (
        'memory, sizes and times of the configuration by services',
        _configuration,
    ),
    'placement': ('the reconcile step by targets', _placement),
    'gateways': (
        'idle cost of a host by the gateways on it',
        lambda chosen: asyncio.run(capacity_control.measure_gateways()),
    ),
    'platform': (
        'reads and writes of the platform by real hosts',
        lambda chosen: asyncio.run(capacity_control.measure_platform()),
    ),
    'table': (
        'reads and writes of the platform by up to 3,000 simulated hosts',
        lambda chosen: asyncio.run(
            capacity_table.measure(chosen.seed, chosen.hosts)
        ),
    ),
    'tokens': (
        'cost of the rate owner by the hosts that run short',
        lambda chosen: asyncio.run(
            capacity_control.measure_tokens(chosen.seed)
        ),
    ),
    'gossip': ('bench.gossip_cost without its runs of whole fleets', _gossip),
}


def main() -> int:
    """Run one part and print its result."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.capacity',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        epilog='\n'.join(
            f'{name:14} {text}' for name, (text, _) in PARTS.items()
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
    chosen = parser.parse_args()
    log.configure('bench', 'error')
    _, part = PARTS[chosen.part]
    result = {'part': chosen.part, 'seed': chosen.seed, 'result': part(chosen)}
    print(json.dumps(result, indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main())
