"""Tests of the gateway: outcomes, transactions, keys, reads and the lock."""

import asyncio
import dataclasses

import pytest

from samphirestand.targets import messages
from samphirestand import types
from tests.targets import fakes

READ_FIELDS = {
    'mode': types.Mode.READ,
    'statement': 'GET x',
    'request_id': 'read',
}


def written_keys(fleet, target_id='t0'):
    """Return the keys written by a server's log, in order."""
    entries = fleet.servers_by_id[target_id].database.entries
    return [key for entry in entries for key, _ in entry.changes]


def withdraw(fleet, key_id='ka'):
    """Withdraw a key."""
    keys = fleet.configuration.current.keys_by_id
    withdrawn = dataclasses.replace(keys[key_id], withdrawn=True)
    fleet.configuration.apply(keys_by_id=keys | {key_id: withdrawn})


def retire(fleet, target_id):
    """Retire a target."""
    current = fleet.configuration.current.targets_by_id
    target = dataclasses.replace(current[target_id], retired=True)
    fleet.configuration.apply(targets_by_id=current | {target_id: target})


def end_connections(fleet):
    """Close all connections to the primary but the oldest, the lock's."""
    server = fleet.servers_by_id['t0'].database
    lock_id, *other_ids = sorted(server.sessions_by_id)
    for connection_id in other_ids:
        server.close_connection(connection_id)


async def begin(fleet, **fields):
    """Begin a transaction and return its id."""
    begun = await fleet.run('t0', 'begin', **fields)
    assert isinstance(begun, types.Done), begun
    return begun.transaction_id


def start_request(fleet, target_id='t0', **fields):
    """Start a request and return its task."""
    gateways = fleet.hosts_by_id[fleet.placement[target_id]].gateways
    return asyncio.ensure_future(
        gateways.run(fakes.request(target_id, **fields))
    )


@pytest.mark.parametrize(
    ('lost_call', 'fields', 'outcome', 'code', 'entries'),
    [
        (None, {}, types.Done, None, 1),
        ('Execute', {}, types.Unknown, 'answer_lost', 1),
        ('Execute', {'repeatable': True}, types.Unknown, 'answer_lost', 1),
        (None, {'statement': 'NO'}, types.NotRun, 'bad_statement', 0),
        (None, {'key_id': 'no'}, types.NotRun, 'key_unknown', 0),
        (None, {'key_id': ''}, types.NotRun, 'key_missing', 0),
        (None, {'key_id': 'kb'}, types.NotRun, 'key_unknown', 0),
        (None, {'target_id': 't1'}, types.NotRun, 'not_primary', 0),
        (
            None,
            {'session': types.Position(3, 1)},
            types.NotRun,
            'not_primary',
            0,
        ),
    ],
)
def test_outcome_of_a_write(lost_call, fields, outcome, code, entries):
    """Guards against "not run" for a write that ran, and double writes."""

    async def case(fleet):
        fleet.network.answers_to_lose['t0', lost_call] = 1
        target_id = fields.get('target_id', 't0')
        sent = {'target_id': target_id} | fields
        result = await fleet.run(**sent)
        assert isinstance(result, outcome), result
        assert getattr(result, 'code', None) == code
        assert len(written_keys(fleet)) == entries

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('code', 'ran', 'expected'),
    [
        ('failed', False, types.NotRun),
        ('failed', None, types.Unknown),
        ('failed', True, types.Unknown),
        # Another attempt of the same request is running and may succeed.
        ('duplicate_in_progress', False, types.Unknown),
    ],
)
def test_failure_of_a_target(code, ran, expected):
    """Guards against "not run" for a call that may have run."""

    async def case(fleet):
        async def handle(connection_id, call):
            state = fleet.servers_by_id['t0'].database.state
            failure = messages.Failure(code, 'failed', ran)
            return messages.Answer(state, failure=failure)

        task = start_request(fleet)
        fleet.servers_by_id['t0'].handle = handle
        await fleet.advance_until(task)
        assert isinstance(task.result(), expected), task.result()
        assert task.result().code == code

    fakes.run_with_fleet(case)


def test_a_commit_is_recorded_under_its_request_id():
    """Guards against a repeated commit that a new gateway runs again."""

    async def case(fleet):
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', **fields)
        await fleet.run('t0', 'commit', **fields, request_id='c')
        entries = fleet.servers_by_id['t0'].database.entries
        assert [entry.request_key for entry in entries] == ['a/c']

    fakes.run_with_fleet(case)


def test_a_refused_repetition_of_a_lost_write_is_unknown():
    """Guards against "not run" when only the second attempt was refused."""

    async def case(fleet):
        fleet.servers_by_id['t0'].statement_ms = 50
        task = start_request(fleet, repeatable=True)
        await fleet.clock.advance(10)
        end_connections(fleet)
        withdraw(fleet)
        await fleet.advance_until(task)
        assert isinstance(task.result(), types.Unknown)
        assert task.result().code == 'key_withdrawn'

    fakes.run_with_fleet(case)


def test_a_key_withdrawn_in_the_queue_stops_the_request():
    """Guards against a key check made only on arrival, invariant 6."""

    async def case(fleet):
        fleet.servers_by_id['t0'].statement_ms = 100
        tasks = [
            start_request(fleet, request_id=f'r{number}')
            for number in range(3)
        ]
        await fleet.clock.advance(50)
        withdraw(fleet)
        await fleet.advance_until(asyncio.gather(*tasks))
        assert tasks[2].result().code == 'key_withdrawn'
        assert len(written_keys(fleet)) == 2

    fakes.run_with_fleet(case)


def test_targets_receive_only_the_account():
    """Guards against key ids in calls to targets, invariant 5."""

    async def case(fleet):
        await fleet.run('t0')
        await fleet.run('t1', **READ_FIELDS, max_age_ms=5_000)
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', statement='SET k 1', **fields)
        await fleet.run('t0', 'commit', **fields, request_id='c')
        calls = [
            call
            for server in fleet.servers_by_id.values()
            for call in server.calls
        ]
        names = {type(call).__name__ for call in calls}
        assert names >= {'Execute', 'Begin', 'Statement', 'Commit'}
        for call in calls:
            assert 'ka' not in dataclasses.asdict(call).values(), call

    fakes.run_with_fleet(case)


def test_transactions_use_separate_connections():
    """Guards against two transactions on one connection, invariant 3."""

    async def case(fleet):
        ids = [
            await begin(fleet, account=account) for account in ('a', 'b', 'a')
        ]
        used = fleet.gateway('t0').transactions.by_id.values()
        assert len({each.connection for each in used}) == 3
        for number, transaction_id in enumerate(ids):
            fields = {'account': 'ab'[number % 2]}
            fields['transaction_id'] = transaction_id
            statement = f'SET k{number} v'
            await fleet.run('t0', 'statement', statement=statement, **fields)
        fields = {'account': 'a', 'transaction_id': ids[0]}
        await fleet.run('t0', 'rollback', **fields)
        for number in (1, 2):
            done = await fleet.run(
                't0',
                'commit',
                account='ab'[number % 2],
                transaction_id=ids[number],
                request_id=f'c{number}',
            )
            assert isinstance(done, types.Done)
        assert written_keys(fleet) == ['k1', 'k2']

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('operation', 'fields', 'code', 'outcome'),
    [
        (
            'statement',
            {'account': 'b'},
            'transaction_account_mismatch',
            types.NotRun,
        ),
        (
            'statement',
            {'transaction_id': 'no'},
            'transaction_lost',
            types.NotRun,
        ),
        (
            'commit',
            {'transaction_id': 'no'},
            'transaction_lost',
            types.Unknown,
        ),
    ],
)
def test_use_of_a_foreign_or_unknown_transaction(
    operation, fields, code, outcome
):
    """Guards against accounts that use each other's transactions."""

    async def case(fleet):
        transaction_id = await begin(fleet)
        fields_with_id = {'transaction_id': transaction_id} | fields
        result = await fleet.run('t0', operation, **fields_with_id)
        assert isinstance(result, outcome)
        assert result.code == code

    fakes.run_with_fleet(case)


async def stay_idle(fleet):
    await fleet.clock.advance(30_500)


async def grow_old(fleet):
    (transaction_id,) = fleet.gateway('t0').transactions.by_id
    for _ in range(4):
        await fleet.clock.advance(15_200)
        await fleet.run('t0', 'statement', transaction_id=transaction_id)


async def lose_key(fleet):
    withdraw(fleet)


async def lose_lock(fleet):
    fleet.network.cut.add(frozenset(('h0', 't0')))
    await fleet.clock.advance(5_000)
    fleet.network.heal()
    await fleet.clock.advance(1_000)


async def lose_statement(fleet):
    (transaction_id,) = fleet.gateway('t0').transactions.by_id
    fleet.network.answers_to_lose['t0', 'Statement'] = 1
    result = await fleet.run('t0', 'statement', transaction_id=transaction_id)
    assert isinstance(result, types.NotRun)


@pytest.mark.parametrize(
    'cause', [stay_idle, grow_old, lose_key, lose_lock, lose_statement]
)
def test_an_aborted_transaction_has_no_effect(cause):
    """Guards against transactions that outlive their key or their limits."""

    async def case(fleet):
        transaction_id = await begin(fleet)
        fields = {'transaction_id': transaction_id}
        await fleet.run('t0', 'statement', **fields)
        await cause(fleet)
        await fleet.clock.advance(500)
        assert not fleet.gateway('t0').transactions.by_id
        result = await fleet.run('t0', 'commit', **fields)
        assert isinstance(result, types.NotRun), result
        assert not written_keys(fleet)
        sessions = fleet.servers_by_id['t0'].database.sessions_by_id
        assert not any(each.transaction for each in sessions.values())

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('lost_answers', 'expected'), [(0, types.Done), (1, types.Unknown)]
)
def test_a_repeated_commit_gets_the_same_outcome(lost_answers, expected):
    """Guards against "not run" for a commit whose first answer was lost."""

    async def case(fleet):
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', **fields)
        fleet.network.answers_to_lose['t0', 'Commit'] = lost_answers
        results = [await fleet.run('t0', 'commit', **fields) for _ in range(2)]
        assert [type(each) for each in results] == [expected, expected]
        assert len(written_keys(fleet)) == 1

    fakes.run_with_fleet(case)


def test_a_statement_that_waited_for_the_commit_is_not_sent():
    """Guards against a statement on a connection returned to the pool."""

    async def case(fleet):
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', **fields)
        fleet.network.delay_ms[frozenset(('h0', 't0'))] = 20
        commit = start_request(
            fleet, operation='commit', request_id='c', **fields
        )
        late = start_request(
            fleet, operation='statement', statement='SET late 1', **fields
        )
        await fleet.advance_until(asyncio.gather(commit, late))
        assert isinstance(commit.result(), types.Done)
        assert late.result().code == 'transaction_lost'
        sent = [
            call.statement
            for call in fleet.servers_by_id['t0'].calls
            if isinstance(call, messages.Statement)
        ]
        assert sent == ['SET x 1']

    fakes.run_with_fleet(case)


def test_an_ended_transaction_of_another_account():
    """Guards against an account that learns another account's outcome."""

    async def case(fleet):
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'rollback', **fields)
        fields |= {'account': 'b', 'request_id': 'c'}
        result = await fleet.run('t0', 'commit', **fields)
        assert result.code == 'transaction_account_mismatch'

    fakes.run_with_fleet(case)


def test_one_account_gets_half_of_the_connections():
    """Guards against an account that takes every connection."""

    async def case(fleet):
        outcomes = [
            await fleet.run('t0', 'begin', request_id=f'r{number}')
            for number in range(8)
        ]
        # 11 of the 16 connections are in the pool, and an account may use
        # 5 of them for transactions.
        assert [isinstance(each, types.Done) for each in outcomes] == (
            [True] * 5 + [False] * 3
        )
        assert isinstance(
            await fleet.run('t0', 'begin', account='b'), types.Done
        )
        assert isinstance(await fleet.run('t0'), types.Done)

    fakes.run_with_fleet(case)


def test_a_cancelled_request_leaves_no_answer_behind():
    """Guards against a late answer taken for another call's, invariant 8."""

    async def case(fleet):
        fleet.servers_by_id['t0'].statement_ms = 50
        task = start_request(fleet, statement='SET gone 1')
        await fleet.clock.advance(10)
        task.cancel()
        await fleet.clock.settle()
        read = await fleet.run('t0', **READ_FIELDS)
        assert read.rows == ()
        assert fleet.gateway('t0')._scheduler.running == 0

    fakes.run_with_fleet(case)


@pytest.mark.parametrize('max_age_ms', [0, 100, 300, 3_000])
@pytest.mark.parametrize('cut_ms', [0, 1_000, 4_500])
def test_a_replica_read_is_no_older_than_allowed(max_age_ms, cut_ms):
    """Guards against a cut-off replica whose data is taken for recent."""

    async def case(fleet):
        await fleet.run('t0')
        await fleet.clock.advance(500)
        fleet.network.partition({'t1', 'h1'}, {'t0', 'h0', 't2', 'h2'})
        await fleet.clock.advance(cut_ms)
        fields = READ_FIELDS | {'max_age_ms': max_age_ms}
        read = await fleet.run('t1', **fields)
        if isinstance(read, types.Done):
            assert read.rows == (['x', '1'],)
            assert cut_ms <= read.age_ms <= max_age_ms
        else:
            assert read.code in ('replica_too_old', 'not_primary')
            assert isinstance(read, types.NotRun)
            assert max_age_ms < cut_ms + 300

    fakes.run_with_fleet(case)


def test_a_slow_replica_read_is_discarded():
    """Guards against an age that is checked only before the read."""

    async def case(fleet):
        fleet.servers_by_id['t1'].statement_ms = 800
        fleet.network.partition({'t1', 'h1'}, {'t0', 'h0', 't2', 'h2'})
        read = await fleet.run('t1', **READ_FIELDS, max_age_ms=500)
        assert isinstance(read, types.Unknown)
        assert read.code == 'replica_too_old'

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('lag_ms', 'is_read'), [(0, True), (30, True), (2_000, False)]
)
def test_a_replica_read_contains_the_session_write(lag_ms, is_read):
    """Guards against a read that misses the session's own write."""

    async def case(fleet):
        fleet.servers_by_id['t1'].database.lag_ms = lag_ms
        await fleet.clock.advance(500)
        written = await fleet.run('t0')
        fields = READ_FIELDS | {
            'max_age_ms': 5_000,
            'session': written.position,
        }
        read = await fleet.run('t1', **fields)
        if is_read:
            assert read.rows == (['x', '1'],)
        else:
            assert read.code == 'replica_behind'

    fakes.run_with_fleet(case)


def test_a_lock_of_another_host_refuses_requests():
    """Guards against two hosts that run statements on one target."""

    async def case(fleet):
        for target_id in fakes.TARGET_IDS:
            fleet.placement[target_id] = 'h1'
        fleet.network.cut.add(frozenset(('h0', 't0')))
        await fleet.clock.advance(1_000)
        refused = await fleet.run('t0')
        assert (refused.code, refused.hint) == ('not_gateway', 'h0')
        await fleet.clock.advance(4_000)
        assert isinstance(await fleet.run('t0'), types.Done)

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('repeatable', 'expected', 'entries'),
    [(False, types.Unknown, 1), (True, types.Done, 2)],
)
def test_a_statement_on_a_closed_connection(repeatable, expected, entries):
    """Guards against a write that runs twice, invariant 10."""

    async def case(fleet):
        server = fleet.servers_by_id['t0']
        server.statement_ms = 50
        await fleet.run('t0', request_id='first')
        task = start_request(fleet, repeatable=repeatable)
        await fleet.clock.advance(10)
        end_connections(fleet)
        await fleet.advance_until(task)
        assert isinstance(task.result(), expected)
        assert len(written_keys(fleet)) == entries

    fakes.run_with_fleet(case)


@pytest.mark.parametrize(
    ('confirmation', 'expected'),
    [
        (types.Confirmation.TERM, types.Done),
        (types.Confirmation.REPLICATED, types.Unknown),
    ],
)
def test_a_write_waits_for_the_confirmation(confirmation, expected):
    """Guards against an acknowledged write that no other server has."""

    async def case(fleet):
        for target_id in ('t1', 't2'):
            fleet.servers_by_id[target_id].database.lag_ms = 10_000
        result = await fleet.run('t0', deadline_ms=2_000)
        assert isinstance(result, expected)

    fakes.run_with_fleet(case, confirmation=confirmation)


@pytest.mark.parametrize(
    ('confirmation', 'expected'),
    [
        (types.Confirmation.TERM, types.Done),
        (types.Confirmation.REPLICATED, types.Unknown),
    ],
)
def test_a_commit_waits_for_the_confirmation(confirmation, expected):
    """Guards against a commit that only a replaced primary may have."""

    async def case(fleet):
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', **fields)
        for target_id in ('t1', 't2'):
            fleet.servers_by_id[target_id].database.lag_ms = 10_000
        fields |= {'request_id': 'c', 'deadline_ms': 2_000}
        result = await fleet.run('t0', 'commit', **fields)
        assert isinstance(result, expected)

    fakes.run_with_fleet(case, confirmation=confirmation)


async def isolate_primary(fleet):
    fleet.network.partition({'h0', 't0'}, {'h1', 'h2', 't1', 't2'})


async def promote_another_target(fleet):
    for target_id in fakes.TARGET_IDS:
        await fleet.call_server(target_id, messages.Fence(2, 'c'))
    await fleet.call_server('t1', messages.Promote(2, 'c'))


@pytest.mark.parametrize(
    ('cause', 'code'),
    [
        (isolate_primary, 'primary_unconfirmed'),
        (promote_another_target, 'not_primary'),
    ],
)
def test_a_primary_read_is_confirmed_after_it_ran(cause, code):
    """Guards against a read on a primary replaced while the read ran."""

    async def case(fleet):
        fleet.servers_by_id['t0'].statement_ms = 100
        task = start_request(fleet, **READ_FIELDS)
        await fleet.clock.advance(50)
        await cause(fleet)
        await fleet.advance_until(task)
        assert isinstance(task.result(), types.Unknown)
        assert task.result().code == code

    fakes.run_with_fleet(case)


def test_a_handover_waits_for_running_statements():
    """Guards against a lock that is released during a statement."""

    async def case(fleet):
        fleet.servers_by_id['t0'].statement_ms = 600
        task = start_request(fleet)
        await fleet.clock.advance(50)
        fleet.placement['t0'] = 'h1'
        await fleet.advance_until(task)
        assert isinstance(task.result(), types.Done)

    fakes.run_with_fleet(case)


def test_a_handover_interrupts_nothing():
    """Guards against a planned move that interrupts work, invariant 12."""

    async def case(fleet):
        old = fleet.hosts_by_id['h0'].gateways
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', statement='SET k 1', **fields)
        fleet.servers_by_id['t0'].statement_ms = 300
        task = start_request(fleet)
        await fleet.clock.advance(50)
        fleet.placement['t0'] = 'h1'
        await fleet.clock.advance(1_000)
        assert isinstance(task.result(), types.Done)
        committing = asyncio.ensure_future(
            old.run(fakes.request('t0', 'commit', **fields, request_id='c'))
        )
        await fleet.advance_until(committing)
        assert isinstance(committing.result(), types.Done)
        await fleet.clock.advance(1_000)
        assert 't0' not in old.gateways_by_target_id
        assert isinstance(await fleet.run('t0', request_id='n'), types.Done)
        repeated = await old.run(
            fakes.request('t0', 'commit', **fields, request_id='c')
        )
        assert isinstance(repeated, types.Done)

    fakes.run_with_fleet(case)


def test_a_retired_replica_takes_no_work():
    """Guards against new work on a retired target, invariant 11."""

    async def case(fleet):
        retire(fleet, 't1')
        fields = READ_FIELDS | {'max_age_ms': 5_000}
        assert (await fleet.run('t1', **fields)).code == 'target_leaving'

    fakes.run_with_fleet(case)


@pytest.mark.parametrize('commit_after_ms', [0, 2_000, 10_000])
def test_a_retired_primary_is_replaced(commit_after_ms):
    """Guards against a planned replacement that aborts a transaction."""

    async def case(fleet):
        writer = fakes.Writer(fleet)
        await writer.write_for(300)
        fields = {'transaction_id': await begin(fleet)}
        await fleet.run('t0', 'statement', statement='SET k 1', **fields)
        retire(fleet, 't0')
        await fleet.clock.advance(commit_after_ms)
        commit_outcome = await fleet.run('t0', 'commit', **fields)
        assert isinstance(commit_outcome, types.Done)
        await fleet.clock.advance(2_000)
        (primary,) = fleet.primaries()
        assert primary != 't0'
        await writer.write_for(300)
        assert isinstance(writer.outcomes[-1], types.Done)
        writer.check_acknowledged_writes()
        assert 'k' in written_keys(fleet, primary)
        fields = READ_FIELDS | {'max_age_ms': 5_000}
        assert (await fleet.run('t0', **fields)).code == 'target_leaving'

    fakes.run_with_fleet(case)
