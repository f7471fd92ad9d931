"""Tests of the simulated database server without its network side."""

import pytest

from samphirestand import clock
from samphirestand.targets import messages
from samphirestand import types
from standins import database

READ = types.Mode.READ
WRITE = types.Mode.WRITE


class Server:
    """A database with one connection that holds the gateway lock."""

    def __init__(self, manual_clock, name='a', **options):
        self.database = database.Database(name, manual_clock, **options)
        self.connection = self.database.open_connection('host-1')
        self.call(messages.Lock(database.GATEWAY_LOCK, 'host-1'))

    def call(self, call, connection=None):
        return self.database.handle(connection or self.connection, call)

    def write(self, statement, key='x/1', term=1, connection=None):
        return self.call(
            messages.Execute(statement, WRITE, 'x', key, term), connection
        )

    def read(self, statement):
        rows = self.call(messages.Execute(statement, READ, 'x', '', 1)).rows
        return [list(row) for row in rows]

    def replicate_from(self, primary):
        pull = self.database.replication_request()
        batch = primary.database.replicate(pull) if pull else None
        if batch is not None:
            self.database.receive(batch)


@pytest.fixture
def manual_clock():
    return clock.ManualClock()


@pytest.fixture
def primary(manual_clock):
    return Server(manual_clock)


@pytest.fixture
def replica(manual_clock):
    return Server(manual_clock, 'b', primary_url='ws://a')


@pytest.mark.parametrize(
    ('statements', 'read', 'rows'),
    [
        (['SET k v w'], 'GET k', [['k', 'v w']]),
        (['ADD k 2', 'ADD k 3'], 'GET k', [['k', '5']]),
        (['APPEND k 1', 'APPEND k 2'], 'GET k', [['k', '1,2']]),
        (
            ['SET a1 x', 'SET b y', 'SET a2 z'],
            'SCAN a',
            [['a1', 'x'], ['a2', 'z']],
        ),
        ([], 'GET k', []),
    ],
)
def test_statement_results(primary, statements, read, rows):
    """Guards against a statement with a wrong effect or wrong rows."""
    for number, statement in enumerate(statements):
        assert not primary.write(statement, f'x/{number}').failure
    assert primary.read(read) == rows


@pytest.mark.parametrize(
    ('call', 'code'),
    [
        (messages.Execute('SET k v', READ, 'x', '', 1), 'bad_statement'),
        (messages.Execute('DROP k', WRITE, 'x', 'x/1', 1), 'bad_statement'),
        (messages.Execute('ADD k v', WRITE, 'x', 'x/1', 1), 'bad_statement'),
        (messages.Execute('SET k v', WRITE, 'x', 'x/1', 0), 'stale_term'),
        (messages.Execute('SET k v', WRITE, 'x', 'x/1', 2), 'not_primary'),
        (messages.Begin('x', 0), 'stale_term'),
        (messages.Statement('GET k', READ, 'x'), 'no_transaction'),
        (messages.Commit('x/1', 1), 'no_transaction'),
        (messages.Rollback(), 'no_transaction'),
        (messages.Fence(1, 'c'), 'stale_term'),
        (messages.Promote(2, 'c'), 'stale_term'),
        (messages.Follow(1, 'ws://b'), 'stale_term'),
    ],
)
def test_refused_calls_change_nothing(primary, call, code):
    """Guards against a refusal that had an effect or has another code."""
    answer = primary.call(call)
    assert (answer.failure.code, answer.failure.ran) == (code, False)
    assert primary.database.history.end == 0


def test_repeated_request_is_replayed(primary):
    """Guards against a retried write that takes effect twice."""
    first = primary.write('ADD k 1')
    second = primary.write('ADD k 1')
    assert (first.replayed, second.replayed) == (False, True)
    assert second.position == first.position == types.Position(1, 1)
    assert primary.read('GET k') == [['k', '1']]


def test_duplicate_of_waiting_request_is_refused(primary):
    """Guards against two copies of a request in the server's queue."""
    call = messages.Execute('ADD k 1', WRITE, 'x', 'x/1', 1)
    other_connection = primary.database.open_connection('host-1')
    assert primary.database.admit(primary.connection, call) is None
    failure = primary.database.admit(other_connection, call).failure
    assert (failure.code, failure.ran) == ('duplicate_in_progress', False)
    primary.database.abandon(primary.connection, call)
    assert primary.database.admit(other_connection, call) is None


def test_first_committer_wins(primary):
    """Guards against lost updates and reads of commits after the snapshot."""
    other_connection = primary.database.open_connection('host-1')
    primary.call(messages.Begin('x', 1))
    primary.call(messages.Statement('ADD k 1', WRITE, 'x'))
    primary.write('ADD k 5', 'x/other', connection=other_connection)
    rows = primary.call(messages.Statement('GET k', READ, 'x')).rows
    assert rows == (['k', '1'],)
    failure = primary.call(messages.Commit('x/1', 1)).failure
    assert (failure.code, failure.ran) == ('conflict', False)
    assert primary.read('GET k') == [['k', '5']]


def test_transaction_is_one_log_entry(primary):
    """Guards against a transaction that is replicated only in part."""
    primary.call(messages.Begin('x', 1))
    primary.call(messages.Statement('SET a 1', WRITE, 'x'))
    primary.call(messages.Statement('SET b 2', WRITE, 'x'))
    assert primary.database.history.end == 0
    answer = primary.call(messages.Commit('x/1', 1))
    assert answer.position == types.Position(1, 1)
    assert primary.call(messages.Commit('x/1', 1)).replayed


def test_replica_shows_entries_after_the_lag(manual_clock, primary, replica):
    """Guards against a replica that shows entries before its lag is over."""
    replica.database.lag_ms = 100
    primary.write('SET k v')
    replica.replicate_from(primary)
    wait = messages.Status(types.Position(1, 1), 500)
    assert replica.database.is_waiting(wait, 1)
    manual_clock.set(manual_clock.now() + 99)
    assert replica.read('GET k') == []
    manual_clock.set(manual_clock.now() + 1)
    assert replica.read('GET k') == [['k', 'v']]
    assert not replica.database.is_waiting(wait, 1)


def test_former_primary_discards_unreplicated_entries(
    manual_clock, primary, replica
):
    """Guards against logs that differ after a failover."""
    primary.write('SET k kept', 'x/1')
    replica.replicate_from(primary)
    primary.write('SET k lost', 'x/2')
    assert not replica.call(messages.Fence(2, 'c')).failure
    replica.replicate_from(primary)
    assert not replica.call(messages.Promote(2, 'c')).failure
    assert not replica.write('SET k new', 'x/3', term=2).failure

    lost = types.Position(1, 2)
    assert primary.database.history.contains(lost)
    assert not primary.call(messages.Follow(2, 'ws://b')).failure
    primary.replicate_from(replica)
    assert primary.database.history == replica.database.history
    assert not primary.database.history.contains(lost)
    assert primary.read('GET k') == [['k', 'new']]
    assert primary.write('SET k v', 'x/2', 2).failure.code == 'not_primary'


def test_request_keys_survive_a_failover(primary, replica):
    """Guards against a retried write that runs again on a new primary."""
    primary.write('ADD k 1')
    replica.replicate_from(primary)
    replica.call(messages.Fence(2, 'c'))
    replica.call(messages.Promote(2, 'c'))
    assert replica.write('ADD k 1', term=2).replayed


@pytest.mark.parametrize(
    ('call', 'code'),
    [
        (messages.Fence(2, 'c'), None),
        (messages.Fence(2, 'other'), 'stale_term'),
        (messages.Promote(2, 'other'), 'stale_term'),
        (messages.Promote(2, 'c'), None),
        (messages.Follow(1, 'ws://a'), 'stale_term'),
    ],
)
def test_calls_after_a_fence(replica, call, code):
    """Guards against two primaries in one term."""
    replica.call(messages.Fence(2, 'c'))
    failure = replica.call(call).failure
    assert (failure.code if failure else None) == code


def test_delayed_election_messages(replica):
    """Guards against delayed duplicates that undo an election."""
    replica.call(messages.Fence(2, 'c'))
    replica.call(messages.Promote(2, 'c'))
    assert replica.call(messages.Fence(2, 'c')).state.role == 'primary'
    replica.call(messages.Fence(3, 'd'))
    replica.call(messages.Follow(3, 'ws://c'))
    assert replica.call(messages.Promote(3, 'd')).failure
    assert replica.database.role == 'replica'


def test_fence_ends_open_transactions(primary):
    """Guards against a transaction that commits in a later term."""
    primary.call(messages.Begin('x', 1))
    primary.call(messages.Statement('SET a 1', WRITE, 'x'))
    primary.call(messages.Fence(2, 'c'))
    failure = primary.call(messages.Commit('x/1', 1)).failure
    assert (failure.code, failure.ran) == ('stale_term', False)


def test_lock_is_exclusive_and_required(primary):
    """Guards against statements of a host that isn't the gateway host."""
    other_connection = primary.database.open_connection('host-2')
    lock = messages.Lock(database.GATEWAY_LOCK, 'host-2')
    answer = primary.call(lock, other_connection)
    assert (answer.granted, answer.holder) == (False, 'host-1')
    failure = primary.write('SET k v', connection=other_connection).failure
    assert (failure.code, failure.ran) == ('lock_required', False)


@pytest.mark.parametrize('is_idle', [True, False])
def test_lock_is_released_with_its_connection(manual_clock, primary, is_idle):
    """Guards against a gateway that stays connected after losing the lock."""
    pooled = primary.database.open_connection('host-1')
    other_connection = primary.database.open_connection('host-2')
    if is_idle:
        manual_clock.set(manual_clock.now() + 2_999)
        primary.database.tick()
        assert primary.database.locked_by() == 'host-1'
        manual_clock.set(manual_clock.now() + 1)
        primary.database.tick()
        assert primary.database.take_ended_connections() == [
            primary.connection,
            pooled,
        ]
    else:
        primary.database.close_connection(primary.connection)
        assert primary.database.take_ended_connections() == [pooled]
    assert primary.call(
        messages.Lock(database.GATEWAY_LOCK, 'host-2'), other_connection
    ).granted


def test_connection_limit(manual_clock):
    """Guards against more open connections than the server allows."""
    server = Server(manual_clock, max_connections=1)
    with pytest.raises(database.ConnectionLimitError):
        server.database.open_connection('host-1')
    server.database.close_connection(server.connection)
    server.database.open_connection('host-1')
