"""Tests of the measures computed from recorded calls."""

import pytest

from bench import measures
from bench import records


def call(sent_ms, outcome='done', **fields):
    """Return a write of the account acme that takes 10 ms."""
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


def measures_of(calls, target_records=None):
    """Return the measures of calls by an account of 10 requests a second."""
    evidence = records.Evidence(
        calls=calls,
        records_by_server=target_records or {},
        entries_by_service={},
        events=[],
        accounts_by_name={'acme': records.Account('acme', 10, 2)},
        servers_by_service={'cases': ['t1', 't2']},
        secrets=[],
        primaries_by_service={'cases': 't1'},
    )
    return measures.measure(evidence)


@pytest.mark.parametrize(
    ('times', 'gap_ms'),
    [
        ([(0, 'done'), (100, 'done')], 10),
        # No write is sent between the calls.
        ([(0, 'done'), (100, 'done'), (900, 'done')], 10),
        (
            [(0, 'done'), (100, 'unknown'), (500, 'not_run'), (900, 'done')],
            810,
        ),
        ([(0, 'done'), (100, 'lost'), (2_000, 'lost')], 1_910),
    ],
)
def test_failover_gap(times, gap_ms):
    """Guards against a gap that ends at a refused or lost write."""
    result = measures_of([call(sent, outcome) for sent, outcome in times])
    assert result.failover_gap_ms_by_service == {'cases': gap_ms}


@pytest.mark.parametrize(
    ('code', 'count'),
    [('rate_exceeded', 2), ('primary_unconfirmed', 2), ('conflict', 0)],
)
def test_refusals_inside_the_rate(code, count):
    """Guards against counting refusals of requests above the rate.

    The account has a burst of 2; a conflict is caused by the caller.
    """
    calls = [call(0, 'not_run', code=code) for _ in range(5)]
    result = measures_of(calls)
    assert result.refused_inside_rate == count
    assert result.accounts[0].entitled == 2


def test_account_above_its_rate_may_get_any_requests_admitted():
    """Guards against counting a refusal when another request was admitted.

    Of an account above its rate, the proxy may admit any requests.
    """
    calls = [
        call(0, 'not_run' if number % 2 else 'done', code='rate_exceeded')
        for number in range(8)
    ]
    result = measures_of(calls)
    assert (result.refused_inside_rate, result.accounts[0].share) == (0, 1.0)


def test_replica_reads_after_a_failover():
    """Guards against counting reads at a promoted primary as replica reads."""
    promote = {
        'message': {'op': 'promote', 'term': 2},
        'result': {'replayed': False},
        'run_wall_ms': 1_000,
    }
    reads = [
        call(sent, mode='read', served_by=server)
        for sent, server in ((0, 't1'), (0, 't2'), (2_000, 't2'))
    ]
    result = measures_of(reads, {'t2': [promote]})
    assert (result.reads, result.replica_reads) == (3, 1)
