"""Property test: no sequence of faults loses an acknowledged write."""

import asyncio

import hypothesis
from hypothesis import strategies

from samphirestand import types
from tests.targets import fakes

# Listed besides the ids because faults of the primary matter most.
SERVERS = strategies.sampled_from(('primary', *fakes.TARGET_IDS))
HOSTS = strategies.sampled_from(('h0', 'h1', 'h2'))
FAULTS = strategies.one_of(
    strategies.tuples(strategies.just('crash'), SERVERS),
    strategies.tuples(strategies.just('return'), SERVERS),
    strategies.tuples(strategies.just('pause'), HOSTS),
    strategies.tuples(strategies.just('wake'), HOSTS),
    strategies.tuples(strategies.just('isolate'), SERVERS),
    strategies.tuples(strategies.just('split'), SERVERS, HOSTS),
    strategies.tuples(strategies.just('heal')),
    strategies.tuples(
        strategies.just('lose'),
        SERVERS,
        strategies.sampled_from(('Promote', 'Fence', 'Execute', 'Follow')),
    ),
)
STEPS = strategies.lists(
    strategies.tuples(
        FAULTS, strategies.sampled_from((10, 300, 5_000, 8_000))
    ),
    min_size=2,
    max_size=8,
)
# Detecting a failed primary takes over 3 s, so only a longer replication lag
# is still there at the election.
REPLICATION_LAGS_MS = strategies.tuples(
    *[strategies.sampled_from((0, 100, 6_000))] * 3
)


def apply_fault(fleet, fault):
    """Apply one fault."""
    network = fleet.network
    primary_id = (fleet.primaries() or ['t0'])[-1]
    match [primary_id if part == 'primary' else part for part in fault]:
        case 'crash', target_id:
            fleet.servers_by_id[target_id].is_down = True
        case 'return', target_id:
            fleet.servers_by_id[target_id].is_down = False
        case 'pause', host_id:
            network.paused_host_ids.add(host_id)
        case 'wake', host_id:
            network.paused_host_ids.discard(host_id)
        case 'isolate', target_id:
            zone = {target_id, f'h{target_id[1:]}'}
            others = {*fakes.TARGET_IDS, *fleet.hosts_by_id} - zone
            network.partition(zone, others)
        case 'split', target_id, host_id:
            network.partition({target_id}, {host_id})
        case 'heal', *_:
            network.heal()
        case 'lose', target_id, call:
            network.answers_to_lose[target_id, call] = 1


async def write_until_cancelled(fleet, target_id, acknowledged):
    """Write to one target's gateway until cancelled."""
    number = 0
    gateways = fleet.hosts_by_id[fleet.placement[target_id]].gateways
    while True:
        number += 1
        key = f'{target_id}-{number}'
        outcome = await gateways.run(
            fakes.request(
                target_id,
                request_id=key,
                statement=f'SET {key} v',
                deadline_ms=8_000,
                repeatable=bool(number % 2),
            )
        )
        if isinstance(outcome, types.Done):
            acknowledged.add(key)
        await fleet.clock.sleep(40)


async def record_primaries(fleet, primaries_by_term):
    """Record which servers were primary of each term."""
    while True:
        for target_id in fleet.primaries():
            term = fleet.servers_by_id[target_id].database.term
            primaries_by_term.setdefault(term, set()).add(target_id)
        await fleet.clock.sleep(10)


# Without the shrinking phase: it would take minutes, and the failing steps
# are readable as they are.
@hypothesis.settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
@hypothesis.example(
    steps=[(('crash', 'primary'), 8_000)], lags_ms=(0, 0, 6_000)
)
@hypothesis.example(
    steps=[(('crash', 'primary'), 8_000)], lags_ms=(0, 6_000, 6_000)
)
@hypothesis.example(
    steps=[
        (('pause', 'h0'), 10),
        (('isolate', 'primary'), 8_000),
        (('wake', 'h0'), 300),
    ],
    lags_ms=(0, 100, 100),
)
@hypothesis.given(steps=STEPS, lags_ms=REPLICATION_LAGS_MS)
def test_no_acknowledged_write_is_lost(steps, lags_ms):
    """Guards against a write that was acknowledged and then discarded."""

    async def case(fleet):
        acknowledged, primaries_by_term = set(), {}
        for target_id, lag_ms in zip(fakes.TARGET_IDS, lags_ms, strict=True):
            fleet.servers_by_id[target_id].database.lag_ms = lag_ms
            asyncio.ensure_future(
                write_until_cancelled(fleet, target_id, acknowledged)
            )
        asyncio.ensure_future(record_primaries(fleet, primaries_by_term))
        await fleet.clock.advance(300)
        for fault, duration_ms in steps:
            apply_fault(fleet, fault)
            await fleet.clock.advance(duration_ms)

        # The service must recover once the faults are over.
        fleet.network.heal()
        fleet.network.paused_host_ids.clear()
        for server in fleet.servers_by_id.values():
            server.is_down = False
        acknowledged_before = set(acknowledged)
        await fleet.clock.advance(40_000)
        assert acknowledged > acknowledged_before, 'no write after the faults'
        assert all(len(each) == 1 for each in primaries_by_term.values())
        (primary,) = fleet.primaries()
        entries = fleet.servers_by_id[primary].database.entries
        kept_keys = [key for entry in entries for key, _ in entry.changes]
        assert acknowledged <= set(kept_keys)
        assert len(kept_keys) == len(set(kept_keys)), 'a write ran twice'

    fakes.run_with_fleet(case, replication_ms=20)
