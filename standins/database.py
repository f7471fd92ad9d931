"""The state of one database server, without input and output.

Replication is asynchronous. A log entry holds all the changes of one
transaction and has a one-based offset; a term that starts at offset ``s``
owns the entries from ``s + 1`` on. Values are strings.
"""

import bisect
import collections
import dataclasses
from typing import Any

from samphirestand import clock as clock_module
from samphirestand.targets import messages
from samphirestand import types

GATEWAY_LOCK = 'samphirestand.gateway'
LOCK_SILENCE_MS = 3_000
REQUEST_KEY_LIFE_MS = 24 * 3_600_000
PRIMARY = 'primary'
REPLICA = 'replica'


class ConnectionLimitError(Exception):
    """The server has no connection left."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """One committed transaction in the log."""

    term: int
    offset: int
    account: str
    request_key: str
    changes: tuple[tuple[str, str], ...]
    rows: tuple[Any, ...]


@dataclasses.dataclass(frozen=True)
class Pull:
    """A replica's question for entries after what it has received."""

    server: str
    term: int
    history: types.History


@dataclasses.dataclass(frozen=True)
class Batch:
    """A primary's answer to ``Pull``.

    The replica keeps its entries up to ``keep`` and adds ``entries``.
    """

    term: int
    keep: int
    starts: tuple[tuple[int, int], ...]
    entries: tuple[Entry, ...]


@dataclasses.dataclass
class Transaction:
    """An open transaction; its reads see the log up to ``snapshot``."""

    number: int
    account: str
    term: int
    snapshot: int
    changes: dict[str, str] = dataclasses.field(default_factory=dict)
    rows: list[Any] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Session:
    """One connection to the server."""

    connection_id: int
    application: str
    last_call_ms: int
    transaction: Transaction | None = None


@dataclasses.dataclass(frozen=True)
class HeldLock:
    """An advisory lock and the connection that holds it."""

    holder: str
    connection_id: int


class _Refused(Exception):
    """A refusal by the server; nothing was changed."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.failure = messages.Failure(code, message, ran=False)


class Database:
    """One database server: sessions, log, terms and locks.

    ``lag_ms`` may be set at any time; it is the time from the receipt of an
    entry to its appearance on this replica. Statements need the gateway lock
    to be held by the connection's application unless ``require_lock`` is
    false. Connections that the server ended are in ``ended`` until taken.
    """

    def __init__(
        self,
        server: str,
        clock: clock_module.Clock,
        *,
        primary_url: str | None = None,
        lag_ms: int = 0,
        max_connections: int = 60,
        require_lock: bool = True,
    ) -> None:
        """Start as primary of term 1, or as replica of ``primary_url``."""
        self.server = server
        self.lag_ms = lag_ms
        self.max_connections = max_connections
        self.require_lock = require_lock
        self.term = 1
        self.role = PRIMARY if primary_url is None else REPLICA
        self.primary_url = primary_url or ''
        self.sessions_by_id: dict[int, Session] = {}
        self.ended: list[int] = []
        self.entries: list[Entry] = []
        self._clock = clock
        self._candidate = ''
        self._following = primary_url is not None
        self._starts: list[tuple[int, int]] = [(1, 0)]
        self._primary_starts: tuple[tuple[int, int], ...] = ()
        self._pending: collections.deque[tuple[int, Entry]] = (
            collections.deque()
        )
        # Per key the offsets and the values of its versions, so that a
        # transaction can read an old one.
        self._offsets_by_key: dict[str, list[int]] = {}
        self._values_by_key: dict[str, list[str]] = {}
        self._entries_by_request: dict[str, Entry] = {}
        self._recorded: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._running_by_request: dict[str, int] = {}
        self._locks_by_name: dict[str, HeldLock] = {}
        self._connections = 0
        self._transactions = 0

    @property
    def history(self) -> types.History:
        """Return the history of the entries that are visible here."""
        return types.History(tuple(self._starts), len(self.entries))

    @property
    def state(self) -> types.TargetState:
        """Return what each answer says about the server."""
        return types.TargetState(
            server=self.server,
            term=self.term,
            role=self.role,
            history=self.history,
            primary_url=self.primary_url,
        )

    def open_connection(self, application: str) -> int:
        """Open a session; raises ``ConnectionLimitError``."""
        self.tick()
        if len(self.sessions_by_id) >= self.max_connections:
            raise ConnectionLimitError(
                f'{self.max_connections} connections are open'
            )
        self._connections += 1
        self.sessions_by_id[self._connections] = Session(
            self._connections, application, self._clock.now()
        )
        return self._connections

    def close_connection(self, connection_id: int) -> None:
        """End a session; rolls back and releases its locks."""
        if self.sessions_by_id.pop(connection_id, None) is None:
            return
        for name, lock in list(self._locks_by_name.items()):
            if lock.connection_id == connection_id:
                self._release(name, lock)

    def tick(self) -> None:
        """Release silent locks and show entries whose lag is over."""
        now = self._clock.now()
        for name, lock in list(self._locks_by_name.items()):
            session = self.sessions_by_id.get(lock.connection_id)
            if session is None:
                continue
            if now - session.last_call_ms >= LOCK_SILENCE_MS:
                self._end(lock.connection_id)
                self._release(name, lock)
        while self._pending and self._pending[0][0] <= now:
            self._append(self._pending.popleft()[1])
        while self._recorded and self._recorded[0][0] <= now:
            self._entries_by_request.pop(self._recorded.popleft()[1], None)

    def take_ended(self) -> list[int]:
        """Return the connections ended by the server since the last call."""
        ended, self.ended = self.ended, []
        return ended

    def locked_by(self, name: str = GATEWAY_LOCK) -> str:
        """Return the holder of a lock, empty if it is free."""
        lock = self._locks_by_name.get(name)
        return lock.holder if lock else ''

    def transaction_number(self, connection_id: int) -> int | None:
        """Return the number of the connection's open transaction."""
        session = self.sessions_by_id.get(connection_id)
        if session is None or session.transaction is None:
            return None
        return session.transaction.number

    def admit(
        self, connection_id: int, call: messages.Call
    ) -> messages.Answer | None:
        """Note that ``call`` came in and is waiting for a slot.

        Returns a refusal if the same request key is waiting already. Each
        admitted call must be passed to ``handle`` or ``abandon``.
        """
        self._touch(connection_id)
        key = _request_key(call)
        if not key:
            return None
        if key in self._running_by_request:
            return self._failed(
                messages.Failure(
                    'duplicate_in_progress', f'{key} is running', ran=False
                )
            )
        self._running_by_request[key] = connection_id
        return None

    def abandon(self, connection_id: int, call: messages.Call) -> None:
        """Forget an admitted call that will not be run."""
        key = _request_key(call)
        if self._running_by_request.get(key) == connection_id:
            del self._running_by_request[key]

    def is_waiting(self, call: messages.Call, term: int) -> bool:
        """Tell whether a status call of ``term`` should wait longer."""
        if not isinstance(call, messages.Status):
            return False
        if call.wait_position is None or self.term != term:
            return False
        self.tick()
        return not self.history.contains(call.wait_position)

    def handle(
        self, connection_id: int, call: messages.Call
    ) -> messages.Answer:
        """Run ``call`` at once and answer; waits and slots are the caller's.

        Raises ``KeyError`` for a connection that has ended.
        """
        self._touch(connection_id)
        session = self.sessions_by_id[connection_id]
        self.abandon(connection_id, call)
        try:
            return self._dispatch(session, call)
        except _Refused as refused:
            return self._failed(refused.failure)

    def replication_request(self) -> Pull | None:
        """Return the next question for the primary, None if none is due."""
        self.tick()
        if not self._following:
            return None
        end = len(self.entries) + len(self._pending)
        starts = tuple(self._starts)
        if self._pending:
            starts = _reached(self._primary_starts, end)
        return Pull(self.server, self.term, types.History(starts, end))

    def replicate(self, pull: Pull) -> Batch | None:
        """Answer a replica; None unless this is the primary of its term."""
        if self.role != PRIMARY or pull.term != self.term:
            return None
        keep = _common_end(pull.history, self.history)
        return Batch(
            term=self.term,
            keep=keep,
            starts=tuple(self._starts),
            entries=tuple(self.entries[keep:]),
        )

    def receive(self, batch: Batch) -> None:
        """Take a primary's answer; entries appear after the lag."""
        if not self._following or batch.term != self.term:
            return
        while self._pending and self._pending[-1][1].offset > batch.keep:
            self._pending.pop()
        if not self._pending:
            self._truncate(batch.keep)
        self._primary_starts = batch.starts
        end = len(self.entries) + len(self._pending)
        due = self._clock.now() + self.lag_ms
        # An answer that arrives twice repeats entries that are here already.
        for entry in batch.entries:
            if entry.offset == end + 1:
                self._pending.append((due, entry))
                end += 1
        self._starts = list(_reached(batch.starts, len(self.entries)))
        self.tick()

    def _dispatch(
        self, session: Session, call: messages.Call
    ) -> messages.Answer:
        match call:
            case messages.Status():
                return messages.Answer(self.state, holder=self.locked_by())
            case messages.Lock():
                return self._lock(session, call)
            case messages.Execute():
                return self._execute(session, call)
            case messages.Begin():
                return self._begin(session, call)
            case messages.Statement():
                return self._statement(session, call)
            case messages.Commit():
                return self._commit(session, call)
            case messages.Rollback():
                return self._rollback(session)
            case messages.Fence():
                return self._fence(call)
            case messages.Promote():
                return self._promote(call)
            case messages.Follow():
                return self._follow(call)

    def _failed(self, failure: messages.Failure) -> messages.Answer:
        return messages.Answer(self.state, failure=failure)

    def _touch(self, connection_id: int) -> None:
        # Silence counts up to this call: a lock that expired before the call
        # came stays lost.
        self.tick()
        session = self.sessions_by_id.get(connection_id)
        if session is not None:
            session.last_call_ms = self._clock.now()

    def _end(self, connection_id: int) -> None:
        if self.sessions_by_id.pop(connection_id, None) is not None:
            self.ended.append(connection_id)

    def _release(self, name: str, lock: HeldLock) -> None:
        del self._locks_by_name[name]
        for session in list(self.sessions_by_id.values()):
            if session.application == lock.holder:
                self._end(session.connection_id)

    def _lock(self, session: Session, call: messages.Lock) -> messages.Answer:
        lock = self._locks_by_name.get(call.name)
        if lock is None:
            lock = HeldLock(call.holder, session.connection_id)
            self._locks_by_name[call.name] = lock
        return messages.Answer(
            self.state,
            granted=lock.connection_id == session.connection_id,
            holder=lock.holder,
        )

    def _execute(
        self, session: Session, call: messages.Execute
    ) -> messages.Answer:
        self._check_lock(session)
        if session.transaction is not None:
            raise _Refused('conflict', 'a transaction is open here')
        if call.mode == types.Mode.READ:
            transaction = self._new_transaction(call.account)
            rows = self._run(transaction, call.statement, call.mode)
            return messages.Answer(
                self.state, rows=rows, position=self.history.last
            )
        # A record on a server that was replaced may have been discarded.
        self._check_primary(call.term)
        replay = self._replay(call.request_key)
        if replay is not None:
            return replay
        transaction = self._new_transaction(call.account)
        rows = self._run(transaction, call.statement, call.mode)
        return self._write(transaction, call.request_key, rows)

    def _begin(
        self, session: Session, call: messages.Begin
    ) -> messages.Answer:
        self._check_lock(session)
        if session.transaction is not None:
            raise _Refused('conflict', 'a transaction is open already')
        self._check_primary(call.term)
        session.transaction = self._new_transaction(call.account)
        return messages.Answer(self.state, position=self.history.last)

    def _statement(
        self, session: Session, call: messages.Statement
    ) -> messages.Answer:
        transaction = self._open_transaction(session)
        rows = self._run(transaction, call.statement, call.mode)
        return messages.Answer(
            self.state, rows=rows, position=self.history.last
        )

    def _commit(
        self, session: Session, call: messages.Commit
    ) -> messages.Answer:
        transaction, session.transaction = session.transaction, None
        self._check_primary(call.term)
        replay = self._replay(call.request_key)
        if replay is not None:
            return replay
        if transaction is None:
            raise _Refused('no_transaction', 'no transaction is open here')
        for key in transaction.changes:
            offsets = self._offsets_by_key.get(key)
            if offsets and offsets[-1] > transaction.snapshot:
                raise _Refused(
                    'conflict', f'{key} was changed by another transaction'
                )
        return self._write(transaction, call.request_key, ())

    def _rollback(self, session: Session) -> messages.Answer:
        if session.transaction is None:
            raise _Refused('no_transaction', 'no transaction is open here')
        session.transaction = None
        return messages.Answer(self.state)

    def _fence(self, call: messages.Fence) -> messages.Answer:
        is_repeated = call.term == self.term and (
            call.candidate == self._candidate
        )
        if call.term <= self.term and not is_repeated:
            raise _Refused('stale_term', f'term {self.term} was seen')
        # A repeated fence must not demote the primary that it made.
        if not is_repeated:
            self._leave_term(call.term)
            self._candidate = call.candidate
        return messages.Answer(self.state)

    def _promote(self, call: messages.Promote) -> messages.Answer:
        if call.term != self.term or call.candidate != self._candidate:
            raise _Refused(
                'stale_term',
                f'fenced to term {self.term} by {self._candidate!r}',
            )
        if self.role != PRIMARY:
            self._starts.append((call.term, len(self.entries)))
            self.role = PRIMARY
        return messages.Answer(self.state, position=self.history.last)

    def _follow(self, call: messages.Follow) -> messages.Answer:
        if call.term < self.term:
            raise _Refused('stale_term', f'term {self.term} was seen')
        if call.term == self.term and self.role == PRIMARY:
            raise _Refused('stale_term', f'primary of term {self.term}')
        self._leave_term(call.term)
        self.primary_url = call.primary_url
        self._following = True
        return messages.Answer(self.state)

    def _leave_term(self, term: int) -> None:
        self.term = term
        self.role = REPLICA
        self.primary_url = ''
        # An empty candidate refuses a late promote of the same term.
        self._candidate = ''
        self._following = False
        self._pending.clear()
        for session in self.sessions_by_id.values():
            if session.transaction is not None:
                session.transaction = None

    def _check_lock(self, session: Session) -> None:
        if not self.require_lock:
            return
        holder = self.locked_by()
        if holder != session.application:
            raise _Refused(
                'lock_required', f'{GATEWAY_LOCK} is held by {holder!r}'
            )

    def _check_primary(self, term: int) -> None:
        if term < self.term:
            raise _Refused('stale_term', f'term {self.term} was seen')
        if self.role != PRIMARY or term > self.term:
            raise _Refused('not_primary', f'not the primary of term {term}')

    def _new_transaction(self, account: str) -> Transaction:
        self._transactions += 1
        return Transaction(
            self._transactions, account, self.term, len(self.entries)
        )

    def _open_transaction(self, session: Session) -> Transaction:
        if session.transaction is None:
            raise _Refused('no_transaction', 'no transaction is open here')
        return session.transaction

    def _replay(self, request_key: str) -> messages.Answer | None:
        entry = self._entries_by_request.get(request_key)
        if entry is None:
            return None
        return messages.Answer(
            self.state,
            rows=entry.rows,
            position=types.Position(entry.term, entry.offset),
            replayed=True,
        )

    def _write(
        self, transaction: Transaction, request_key: str, rows: tuple[Any, ...]
    ) -> messages.Answer:
        if transaction.changes:
            self._append(
                Entry(
                    term=self.term,
                    offset=len(self.entries) + 1,
                    account=transaction.account,
                    request_key=request_key,
                    changes=tuple(transaction.changes.items()),
                    rows=rows,
                )
            )
        return messages.Answer(
            self.state, rows=rows, position=self.history.last
        )

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        for key, value in entry.changes:
            self._offsets_by_key.setdefault(key, []).append(entry.offset)
            self._values_by_key.setdefault(key, []).append(value)
        if entry.request_key:
            self._entries_by_request[entry.request_key] = entry
            self._recorded.append(
                (self._clock.now() + REQUEST_KEY_LIFE_MS, entry.request_key)
            )
        if self.role != PRIMARY:
            self._starts = list(
                _reached(self._primary_starts, len(self.entries))
            )

    def _truncate(self, end: int) -> None:
        for entry in self.entries[end:]:
            for key, _ in entry.changes:
                offsets = self._offsets_by_key[key]
                count = bisect.bisect_right(offsets, end)
                del offsets[count:]
                del self._values_by_key[key][count:]
            self._entries_by_request.pop(entry.request_key, None)
        del self.entries[end:]

    def _run(
        self, transaction: Transaction, statement: str, mode: types.Mode
    ) -> tuple[Any, ...]:
        verb, _, rest = statement.strip().partition(' ')
        key, _, value = rest.strip().partition(' ')
        if not key and verb != 'SCAN':
            raise _Refused('bad_statement', 'a key is needed')
        match verb:
            case 'GET':
                current = self._value(transaction, key)
                return () if current is None else ([key, current],)
            case 'SCAN':
                return self._scan(transaction, key)
            case 'SET' | 'ADD' | 'APPEND':
                pass
            case _:
                raise _Refused('bad_statement', f'{verb!r} is not known')
        if mode != types.Mode.WRITE:
            raise _Refused('bad_statement', f'{verb} in a read')
        if not value:
            raise _Refused('bad_statement', f'{verb} needs a value')
        new = _changed(verb, self._value(transaction, key), value)
        transaction.changes[key] = new
        return ([key, new],)

    def _value(self, transaction: Transaction, key: str) -> str | None:
        if key in transaction.changes:
            return transaction.changes[key]
        offsets = self._offsets_by_key.get(key, [])
        count = bisect.bisect_right(offsets, transaction.snapshot)
        return self._values_by_key[key][count - 1] if count else None

    def _scan(self, transaction: Transaction, prefix: str) -> tuple[Any, ...]:
        keys = {*self._offsets_by_key, *transaction.changes}
        found = []
        for key in sorted(key for key in keys if key.startswith(prefix)):
            value = self._value(transaction, key)
            if value is not None:
                found.append([key, value])
        return tuple(found)


def _changed(verb: str, current: str | None, value: str) -> str:
    match verb:
        case 'SET':
            return value
        case 'APPEND':
            return value if current is None else f'{current},{value}'
        case _:
            try:
                return str(int(current or '0') + int(value))
            except ValueError:
                raise _Refused('bad_statement', 'ADD needs integers') from None


def _request_key(call: messages.Call) -> str:
    match call:
        case messages.Execute(mode=types.Mode.WRITE) | messages.Commit():
            return call.request_key
    return ''


def _reached(
    starts: tuple[tuple[int, int], ...], end: int
) -> tuple[tuple[int, int], ...]:
    """Return the terms that a log of ``end`` entries has reached."""
    return tuple(each for each in starts if each[1] <= end)


def _common_end(replica: types.History, primary: types.History) -> int:
    """Return the offset up to which both logs hold the same entries."""
    common = 0
    pairs = zip(replica.starts, primary.starts, strict=False)
    for index, (ours, theirs) in enumerate(pairs):
        if ours != theirs:
            break
        ends = [
            history.starts[index + 1][1]
            if index + 1 < len(history.starts)
            else history.end
            for history in (replica, primary)
        ]
        common = min(ends)
    return common
