"""Tests that the checker finds violations planted in valid evidence.

Each function in the parameters of ``test_planted_violation_is_found`` changes
the evidence of a valid run so that it violates one invariant.
"""

import copy
import dataclasses

import pytest

from bench import checker
from bench import records

SECRET = 'kid-acme-1.s3cret'


def call(number, operation, statement='', **fields):
    """Return a call of the caller c1 that is done after 10 ms."""
    values = {
        'caller': 'c1',
        'account': 'acme',
        'key_id': 'kid-acme-1',
        'host': 'h1',
        'request_id': f'r{number}',
        'operation': operation,
        'service': 'cases',
        'statement': statement,
        'mode': 'read' if statement.startswith('GET') else 'write',
        'sent_ms': 1_000 + int(100 * number),
        'done_ms': 1_010 + int(100 * number),
        'outcome': 'done',
        'served_by': 't1',
    }
    return records.Call(**{**values, **fields})


def target_record(recorded_call, transaction=None, server='t1'):
    """Return the record of a call that a target ran."""
    operation = recorded_call.operation
    message = {'op': operation}
    if operation in ('execute', 'statement'):
        message['statement'] = recorded_call.statement
        message['mode'] = recorded_call.mode
        message['account'] = recorded_call.account
    if operation in ('execute', 'commit'):
        message['request_key'] = checker.request_key(recorded_call)
        message['term'] = 1
    return {
        'server': server,
        'wall_ms': recorded_call.sent_ms + 1,
        'run_wall_ms': recorded_call.sent_ms + 2,
        'connection': 1,
        'application': 'h1',
        'overlapped': False,
        'transaction': transaction,
        'message': message,
        'result': {'replayed': False},
    }


def log_entry(write_call, *changes):
    """Return the entry of a write in the replicated log."""
    return {
        'request_key': checker.request_key(write_call),
        'changes': [list(change) for change in changes],
    }


@pytest.fixture
def evidence():
    """Evidence of a run without a violation."""
    row = ['acme/c1/k', '1:c1:r1']
    transaction_row = ['acme/c1/t1/a', '2:c1:r4']
    calls = [
        call(1, 'execute', f'SET {row[0]} {row[1]}', rows=[row]),
        call(2, 'execute', f'GET {row[0]}', rows=[row]),
        call(3, 'begin', group='t1'),
        call(
            4,
            'statement',
            f'SET {transaction_row[0]} {transaction_row[1]}',
            rows=[transaction_row],
            group='t1',
        ),
        call(5, 'commit', group='t1'),
        call(
            6,
            'execute',
            f'SET {row[0]} 3:c1:r6',
            outcome='not_run',
            code='rate_exceeded',
        ),
        call(
            7,
            'execute',
            'SET acme/c1/x 4:c1:r7',
            outcome='not_run',
            code='key_unknown',
            intent='unknown key',
        ),
    ]
    transactions = [None, None, 1, 1, 1]
    return records.Evidence(
        calls=calls,
        records_by_server={
            't1': [
                target_record(each, number)
                for each, number in zip(calls, transactions, strict=False)
            ]
        },
        entries_by_service={
            'cases': [
                log_entry(calls[0], row),
                log_entry(calls[4], transaction_row),
            ]
        },
        events=[
            records.Event('accepted', 'change', 1_000, 2),
            records.Event('withdrawn', 'kid-old', 1_000),
            records.Event('retired', 't1', 60_000),
            records.Event('stop_asked', 'h2', 1_000),
            records.Event('stopped', 'h2', 2_000),
            records.Event('health', 'h1', 5_000, 1, 'ready'),
            records.Event('health', 'h1', 9_000, 2, 'ready'),
        ],
        accounts_by_name={'acme': records.Account('acme', 10, 5)},
        servers_by_service={'cases': ['t1', 't2']},
        secrets=[SECRET],
    )


def violated_invariants(evidence):
    """Return the violated invariants."""
    return {
        verdict.invariant
        for verdict in checker.check(evidence)
        if verdict.violations
    }


def test_clean_run_has_no_violation(evidence):
    """Guards against violations reported for a valid run."""
    assert violated_invariants(evidence) == set()
    judged_by_invariant = {
        verdict.invariant: verdict.judged
        for verdict in checker.check(evidence)
    }
    # The run used no withdrawn key, so invariant 6 has nothing to examine.
    assert [
        number
        for number in judged_by_invariant
        if not judged_by_invariant[number]
    ] == [6]


def old_read(run):
    run.calls[1].rows = [['acme/c1/k', '0:c1:r0']]


def missing_write(run):
    run.calls[1].rows = []


def own_write_missing_in_transaction(run):
    read = call(4.5, 'statement', 'GET acme/c1/t1/a', group='t1')
    run.calls.insert(4, read)


def second_read_goes_back(run):
    newer = ['acme/c1/k', '2:c1:r0']
    run.calls[1].rows = [newer]
    run.calls.append(copy.copy(run.calls[1]))
    run.calls[-1].rows = [['acme/c1/k', '1:c1:r1']]
    run.calls[-1].sent_ms += 50


def lost_write(run):
    del run.entries_by_service['cases'][0]


def replaced_primary(run):
    promote = target_record(call(6, 'promote'), server='t2')
    promote['message']['term'] = 2
    run.records_by_server['t2'] = [promote]
    run.records_by_server['t1'][0]['run_wall_ms'] += 10_000


def two_groups_in_a_transaction(run):
    other = call(8, 'statement', 'SET acme/c2/t9/a 1:c2:r8')
    run.records_by_server['t1'].append(target_record(other, 1))


def group_in_two_transactions(run):
    again = target_record(run.calls[3], 2)
    run.records_by_server['t1'].append(again)


def overlapped_calls(run):
    run.records_by_server['t1'][2]['overlapped'] = True


def begin_in_a_transaction(run):
    result = {'error': {'code': 'conflict', 'message': ''}}
    result['error']['message'] = 'a transaction is open already'
    run.records_by_server['t1'][2]['result'] = result


def part_of_a_transaction(run):
    more = call(4.5, 'statement', 'SET acme/c1/t1/b 2:c1:r9', group='t1')
    more.rows = [['acme/c1/t1/b', '2:c1:r9']]
    run.calls.insert(4, more)


def other_account(run):
    run.records_by_server['t1'][0]['message']['account'] = 'other'


def unknown_key_done(run):
    run.calls[-1].outcome = 'unknown'
    run.records_by_server['t1'].append(target_record(run.calls[-1]))


def secret_in_a_field(run):
    run.records_by_server['t1'][0]['message']['hint'] = f'Bearer {SECRET}'


def secret_in_the_url(run):
    run.records_by_server['t1'][0]['application'] = SECRET


def withdrawn_key_works(run):
    run.calls[1].key_id = 'kid-old'
    run.calls[1].sent_ms = 8_001


def over_the_rate(run):
    for number in range(16):
        read = copy.copy(run.calls[1])
        read.request_id = f'x{number}'
        read.sent_ms, read.done_ms = 5_000, 5_990
        run.calls.append(read)


def answer_of_another(run):
    run.calls[1].rows = [['acme/c1/k', '9:c2:r1']]


def answer_to_another_statement(run):
    run.calls[0].rows = [['acme/c1/other', '1:c1:r1']]


def garbled_answer(run):
    run.calls[1].outcome, run.calls[1].code = 'lost', 'garbled'


def refused_but_ran(run):
    run.records_by_server['t1'].append(target_record(run.calls[5]))


def refused_but_in_the_log(run):
    run.entries_by_service['cases'].append(log_entry(run.calls[5]))


def twice_in_the_log(run):
    run.entries_by_service['cases'].append(log_entry(run.calls[0]))


def ran_twice(run):
    run.records_by_server['t1'].append(target_record(run.calls[0]))


def work_for_a_leaving_target(run):
    late = call(9, 'execute', 'GET acme/c1/k', sent_ms=65_001)
    run.records_by_server['t1'].append(target_record(late))


def interrupted_request(run):
    run.calls[1].host, run.calls[1].outcome = 'h2', 'lost'


def lost_transaction(run):
    run.calls[4].outcome = 'not_run'
    run.calls[4].code = 'transaction_lost'
    run.records_by_server['t1'].pop()
    run.entries_by_service['cases'].pop()


def bad_exit(run):
    run.events[4] = dataclasses.replace(run.events[4], value=1)


def never_stops(run):
    del run.events[4]


def version_goes_back(run):
    run.events.append(records.Event('health', 'h1', 9_500, 1, 'cut_off'))


def two_winners(run):
    run.events.append(records.Event('accepted', 'other', 1_000, 2))


def change_not_in_force(run):
    run.events[-1] = dataclasses.replace(run.events[-1], value=1)


@pytest.mark.parametrize(
    ('plant', 'invariant'),
    [
        (old_read, 1),
        (missing_write, 1),
        (own_write_missing_in_transaction, 1),
        (second_read_goes_back, 1),
        (lost_write, 2),
        (replaced_primary, 2),
        (two_groups_in_a_transaction, 3),
        (group_in_two_transactions, 3),
        (overlapped_calls, 3),
        (begin_in_a_transaction, 3),
        (part_of_a_transaction, 3),
        (other_account, 4),
        (unknown_key_done, 4),
        (secret_in_a_field, 5),
        (secret_in_the_url, 5),
        (withdrawn_key_works, 6),
        (over_the_rate, 7),
        (answer_of_another, 8),
        (answer_to_another_statement, 8),
        (garbled_answer, 8),
        (refused_but_ran, 9),
        (refused_but_in_the_log, 9),
        (twice_in_the_log, 10),
        (ran_twice, 10),
        (work_for_a_leaving_target, 11),
        (interrupted_request, 12),
        (lost_transaction, 12),
        (bad_exit, 12),
        (never_stops, 12),
        (version_goes_back, 13),
        (two_winners, 13),
        (change_not_in_force, 13),
    ],
)
def test_planted_violation_is_found(evidence, plant, invariant):
    """Guards against a check that misses a violation of its invariant."""
    plant(evidence)
    assert violated_invariants(evidence) == {invariant}


def test_retry_on_the_new_primary_is_no_violation(evidence):
    """Guards against a violation for a write that both primaries ran.

    The caller retried it, and the new primary ran it again.
    """
    replaced_primary(evidence)
    again = target_record(evidence.calls[0], server='t2')
    again['message']['term'] = 2
    again['run_wall_ms'] += 20_000
    evidence.records_by_server['t2'].append(again)
    evidence.calls.append(copy.copy(evidence.calls[0]))
    assert violated_invariants(evidence) == set()


def test_saved_evidence_loads_unchanged(evidence, tmp_path):
    """Guards against fields that are lost when evidence is saved."""
    path = tmp_path / 'evidence.json'
    evidence.save(path)
    assert records.Evidence.load(path) == evidence
