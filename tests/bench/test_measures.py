"""Tests of the measures."""

import pytest

from bench import measures
from bench import records


def call(sent_ms, outcome='done', **fields):
    values = {
        'caller': 'c1',
        'account': 'acme',
        'key_id': 'k',
        'host': 'h1',
        'request_id': f'r{sent_ms}',
        'operation': 'execute',
        'service': 'cases',
        'mode': 'write',
        'sent_ms': sent_ms,
        'done_ms': sent_ms + 10,
        'outcome': outcome,
        'served_by': 't1',
    }
    return records.Call(**{**values, **fields})


def measured(calls, seen=None):
    evidence = records.Evidence(
        calls=calls,
        records_by_server=seen or {},
        entries_by_service={},
        events=[],
        accounts_by_name={'acme': records.Account('acme', 10, 2)},
        servers_by_service={'cases': ['t1', 't2']},
        secrets=[],
        primaries_by_service={'cases': 't1'},
    )
    return measures.measure(evidence)


@pytest.mark.parametrize(
    ('times', 'gap'),
    [
        ([(0, 'done'), (100, 'done')], 10),
        # Nobody tries between the calls.
        ([(0, 'done'), (100, 'done'), (900, 'done')], 10),
        (
            [(0, 'done'), (100, 'unknown'), (500, 'not_run'), (900, 'done')],
            810,
        ),
        ([(0, 'done'), (100, 'lost'), (2_000, 'lost')], 1_910),
    ],
)
def test_failover_gap(times, gap):
    """Guards against a gap that misses refused or lost attempts."""
    found = measured([call(sent, outcome) for sent, outcome in times])
    assert found.failover_gap_ms_by_service == {'cases': gap}


@pytest.mark.parametrize(
    ('code', 'count'),
    [('rate_exceeded', 2), ('primary_unconfirmed', 2), ('conflict', 0)],
)
def test_refusals_inside_the_rate(code, count):
    """Guards against counting what the caller isn't entitled to."""
    calls = [call(0, 'not_run', code=code) for _ in range(5)]
    found = measured(calls)
    assert found.refused_inside_rate == count
    assert found.accounts[0].entitled == 2


def test_noisy_account_chooses_no_request():
    """Guards against blame for refusing one request instead of another."""
    calls = [
        call(0, 'not_run' if number % 2 else 'done', code='rate_exceeded')
        for number in range(8)
    ]
    found = measured(calls)
    assert (found.refused_inside_rate, found.accounts[0].share) == (0, 1.0)


def test_replica_reads_after_a_failover():
    """Guards against reads of a new primary that count as a replica's."""
    promote = {
        'message': {'op': 'promote', 'term': 2},
        'result': {'replayed': False},
        'run_wall_ms': 1_000,
    }
    reads = [
        call(sent, mode='read', served_by=server)
        for sent, server in ((0, 't1'), (0, 't2'), (2_000, 't2'))
    ]
    found = measured(reads, {'t2': [promote]})
    assert (found.reads, found.replica_reads) == (3, 1)
