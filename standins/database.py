"""The state machine of a simulated database server; does no I/O.

Replication is asynchronous. A log entry holds all the changes of one
transaction; offsets count from one. A term that starts at offset ``s``
owns the entries from ``s + 1`` on. Values are strings.
"""

import bisect
import collections
import dataclasses
from typing import Any

from samphirestand import clock as clock_module
from samphirestand.targets import messages
from samphirestand import types

# Name of the advisory lock that the gateway host of a server holds.
GATEWAY_LOCK = 'samphirestand.gateway'
# A lock is released when its connection has made no call for this long.
LOCK_IDLE_TIMEOUT_MS = 3_000
# Time for which a repeated request key gets the recorded answer.
REQUEST_KEY_TTL_MS = 24 * 3_600_000
PRIMARY = 'primary'
REPLICA = 'replica'


class ConnectionLimitError(Exception):
    """The server has reached its maximum number of connections."""


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
    """A replica's request for the entries that follow its ``history``."""

    server: str
    term: int
    history: types.History


@dataclasses.dataclass(frozen=True)
class Batch:
    """A primary's answer to ``Pull``.

    The replica discards its entries above the offset ``keep`` and appends
    ``entries``. ``starts`` holds the term and the start offset of each term
    of the primary's log.
    """

    term: int
    keep: int
    starts: tuple[tuple[int, int], ...]
    entries: tuple[Entry, ...]


@dataclasses.dataclass
class Transaction:
    """An open transaction; it reads the log up to ``snapshot_offset``."""

    number: int
    account: str
    term: int
    snapshot_offset: int
    changes: dict[str, str] = dataclasses.field(default_factory=dict)
    rows: list[Any] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Session:
    """One connection; ``application`` is the id of the connected host."""

    connection_id: int
    application: str
    last_call_ms: int
    transaction: Transaction | None = None


@dataclasses.dataclass(frozen=True)
class HeldLock:
    """An advisory lock and the connection that holds it."""

    holder: str
    connection_id: int


class _RefusalError(Exception):
    """The server refused a call and changed nothing."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.failure = messages.Failure(code, message, ran=False)


class Database:
    """One database server: sessions, log, terms and locks.

    ``lag_ms`` is the time from the receipt of an entry until this replica
    shows it; it may be changed at any time. Unless ``require_lock`` is false,
    a statement is refused if the connection's application doesn't hold the
    gateway lock. ``ended_connection_ids`` collects the connections that the
    server ended until ``take_ended_connections`` returns them.
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
        """Start as primary of term 1 or as replica of ``primary_url``."""
        self.server = server
        self.lag_ms = lag_ms
        self.max_connections = max_connections
        self.require_lock = require_lock
        self.term = 1
        self.role = PRIMARY if primary_url is None else REPLICA
        self.primary_url = primary_url or ''
        self.sessions_by_id: dict[int, Session] = {}
        self.ended_connection_ids: list[int] = []
        self.entries: list[Entry] = []
        self._clock = clock
        self._candidate = ''
        self._is_following = primary_url is not None
        self._term_starts: list[tuple[int, int]] = [(1, 0)]
        self._primary_term_starts: tuple[tuple[int, int], ...] = ()
        self._delayed_entries: collections.deque[tuple[int, Entry]] = (
            collections.deque()
        )
        # The offset and the value of each version of a key, so that a
        # transaction can read the version of its snapshot.
        self._offsets_by_key: dict[str, list[int]] = {}
        self._values_by_key: dict[str, list[str]] = {}
        self._entries_by_request_key: dict[str, Entry] = {}
        self._request_key_expiries: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._connection_ids_by_request_key: dict[str, int] = {}
        self._locks_by_name: dict[str, HeldLock] = {}
        self._last_connection_id = 0
        self._last_transaction_number = 0

    @property
    def history(self) -> types.History:
        """Return the history of the entries that are visible here."""
        return types.History(tuple(self._term_starts), len(self.entries))

    @property
    def state(self) -> types.TargetState:
        """Return the server state that is part of each answer."""
        return types.TargetState(
            server=self.server,
            term=self.term,
            role=self.role,
            history=self.history,
            primary_url=self.primary_url,
        )

    def open_connection(self, application: str) -> int:
        """Open a session and return its connection id.

        Raises ``ConnectionLimitError`` if ``max_connections`` are open.
        """
        self.tick()
        if len(self.sessions_by_id) >= self.max_connections:
            raise ConnectionLimitError(
                f'{self.max_connections} connections are open'
            )
        self._last_connection_id += 1
        self.sessions_by_id[self._last_connection_id] = Session(
            self._last_connection_id, application, self._clock.now()
        )
        return self._last_connection_id

    def close_connection(self, connection_id: int) -> None:
        """End a session: roll back its transaction and release its locks."""
        if self.sessions_by_id.pop(connection_id, None) is None:
            return
        for name, lock in list(self._locks_by_name.items()):
            if lock.connection_id == connection_id:
                self._release_lock(name, lock)

    def tick(self) -> None:
        """Release idle locks, show delayed entries, expire request keys."""
        now = self._clock.now()
        for name, lock in list(self._locks_by_name.items()):
            session = self.sessions_by_id.get(lock.connection_id)
            if session is None:
                continue
            if now - session.last_call_ms >= LOCK_IDLE_TIMEOUT_MS:
                self._end_session(lock.connection_id)
                self._release_lock(name, lock)
        while self._delayed_entries and self._delayed_entries[0][0] <= now:
            self._append_entry(self._delayed_entries.popleft()[1])
        while (
            self._request_key_expiries
            and self._request_key_expiries[0][0] <= now
        ):
            self._entries_by_request_key.pop(
                self._request_key_expiries.popleft()[1], None
            )

    def take_ended_connections(self) -> list[int]:
        """Return the ids of connections ended since the previous call."""
        ids, self.ended_connection_ids = self.ended_connection_ids, []
        return ids

    def locked_by(self, name: str = GATEWAY_LOCK) -> str:
        """Return the holder of a lock, or an empty string if it is free."""
        lock = self._locks_by_name.get(name)
        return lock.holder if lock else ''

    def transaction_number(self, connection_id: int) -> int | None:
        """Return the number of the connection's open transaction, if any."""
        session = self.sessions_by_id.get(connection_id)
        if session is None or session.transaction is None:
            return None
        return session.transaction.number

    def admit(
        self, connection_id: int, call: messages.Call
    ) -> messages.Answer | None:
        """Register ``call``, which then waits for a statement slot.

        Returns a refusal if a call with the same request key is registered
        already. Each admitted call must be passed to ``handle`` or
        ``abandon``; otherwise its request key stays refused.
        """
        self._record_activity(connection_id)
        key = _write_request_key(call)
        if not key:
            return None
        if key in self._connection_ids_by_request_key:
            return self._failure_answer(
                messages.Failure(
                    'duplicate_in_progress', f'{key} is running', ran=False
                )
            )
        self._connection_ids_by_request_key[key] = connection_id
        return None

    def abandon(self, connection_id: int, call: messages.Call) -> None:
        """Unregister an admitted call that won't be run."""
        key = _write_request_key(call)
        if self._connection_ids_by_request_key.get(key) == connection_id:
            del self._connection_ids_by_request_key[key]

    def is_waiting(self, call: messages.Call, term: int) -> bool:
        """Tell whether a status call made in ``term`` must still wait."""
        if not isinstance(call, messages.Status):
            return False
        if call.wait_position is None or self.term != term:
            return False
        self.tick()
        return not self.history.contains(call.wait_position)

    def handle(
        self, connection_id: int, call: messages.Call
    ) -> messages.Answer:
        """Run ``call`` immediately and return its answer.

        The caller is responsible for waiting for a position and for limiting
        concurrent calls. Raises ``KeyError`` if the connection has ended.
        """
        self._record_activity(connection_id)
        session = self.sessions_by_id[connection_id]
        self.abandon(connection_id, call)
        try:
            return self._dispatch_call(session, call)
        except _RefusalError as error:
            return self._failure_answer(error.failure)

    def replication_request(self) -> Pull | None:
        """Return the next request to the primary; None without a primary."""
        self.tick()
        if not self._is_following:
            return None
        end = len(self.entries) + len(self._delayed_entries)
        starts = tuple(self._term_starts)
        if self._delayed_entries:
            starts = _reached_term_starts(self._primary_term_starts, end)
        return Pull(self.server, self.term, types.History(starts, end))

    def replicate(self, pull: Pull) -> Batch | None:
        """Answer a replica; None unless this is the primary of its term."""
        if self.role != PRIMARY or pull.term != self.term:
            return None
        keep = _common_prefix_end(pull.history, self.history)
        return Batch(
            term=self.term,
            keep=keep,
            starts=tuple(self._term_starts),
            entries=tuple(self.entries[keep:]),
        )

    def receive(self, batch: Batch) -> None:
        """Apply a primary's answer; its entries are shown after the lag."""
        if not self._is_following or batch.term != self.term:
            return
        while (
            self._delayed_entries
            and self._delayed_entries[-1][1].offset > batch.keep
        ):
            self._delayed_entries.pop()
        if not self._delayed_entries:
            self._truncate_log(batch.keep)
        self._primary_term_starts = batch.starts
        end = len(self.entries) + len(self._delayed_entries)
        due_ms = self._clock.now() + self.lag_ms
        # An answer that arrives twice repeats entries already received.
        for entry in batch.entries:
            if entry.offset == end + 1:
                self._delayed_entries.append((due_ms, entry))
                end += 1
        self._term_starts = list(
            _reached_term_starts(batch.starts, len(self.entries))
        )
        self.tick()

    def _dispatch_call(
        self, session: Session, call: messages.Call
    ) -> messages.Answer:
        match call:
            case messages.Status():
                return messages.Answer(self.state, holder=self.locked_by())
            case messages.Lock():
                return self._handle_lock(session, call)
            case messages.Execute():
                return self._handle_execute(session, call)
            case messages.Begin():
                return self._handle_begin(session, call)
            case messages.Statement():
                return self._handle_statement(session, call)
            case messages.Commit():
                return self._handle_commit(session, call)
            case messages.Rollback():
                return self._handle_rollback(session)
            case messages.Fence():
                return self._handle_fence(call)
            case messages.Promote():
                return self._handle_promote(call)
            case messages.Follow():
                return self._handle_follow(call)

    def _failure_answer(self, failure: messages.Failure) -> messages.Answer:
        return messages.Answer(self.state, failure=failure)

    def _record_activity(self, connection_id: int) -> None:
        # tick() runs before the time of the last call is set, so that this
        # call doesn't keep a lock that had already expired.
        self.tick()
        session = self.sessions_by_id.get(connection_id)
        if session is not None:
            session.last_call_ms = self._clock.now()

    def _end_session(self, connection_id: int) -> None:
        if self.sessions_by_id.pop(connection_id, None) is not None:
            self.ended_connection_ids.append(connection_id)

    def _release_lock(self, name: str, lock: HeldLock) -> None:
        """Release a lock and end all sessions of its holder."""
        del self._locks_by_name[name]
        for session in list(self.sessions_by_id.values()):
            if session.application == lock.holder:
                self._end_session(session.connection_id)

    def _handle_lock(
        self, session: Session, call: messages.Lock
    ) -> messages.Answer:
        lock = self._locks_by_name.get(call.name)
        if lock is None:
            lock = HeldLock(call.holder, session.connection_id)
            self._locks_by_name[call.name] = lock
        return messages.Answer(
            self.state,
            granted=lock.connection_id == session.connection_id,
            holder=lock.holder,
        )

    def _handle_execute(
        self, session: Session, call: messages.Execute
    ) -> messages.Answer:
        self._check_lock_holder(session)
        if session.transaction is not None:
            raise _RefusalError('conflict', 'a transaction is open here')
        if call.mode == types.Mode.READ:
            transaction = self._new_transaction(call.account)
            rows = self._run_statement(transaction, call.statement, call.mode)
            return messages.Answer(
                self.state, rows=rows, position=self.history.last
            )
        # The term is checked before the recorded answer is looked up: on a
        # former primary, the recorded entry may have been discarded.
        self._check_primary_term(call.term)
        replay = self._find_recorded_answer(call.request_key)
        if replay is not None:
            return replay
        transaction = self._new_transaction(call.account)
        rows = self._run_statement(transaction, call.statement, call.mode)
        return self._commit_changes(transaction, call.request_key, rows)

    def _handle_begin(
        self, session: Session, call: messages.Begin
    ) -> messages.Answer:
        self._check_lock_holder(session)
        if session.transaction is not None:
            raise _RefusalError('conflict', 'a transaction is open already')
        self._check_primary_term(call.term)
        session.transaction = self._new_transaction(call.account)
        return messages.Answer(self.state, position=self.history.last)

    def _handle_statement(
        self, session: Session, call: messages.Statement
    ) -> messages.Answer:
        transaction = self._require_transaction(session)
        rows = self._run_statement(transaction, call.statement, call.mode)
        return messages.Answer(
            self.state, rows=rows, position=self.history.last
        )

    def _handle_commit(
        self, session: Session, call: messages.Commit
    ) -> messages.Answer:
        transaction, session.transaction = session.transaction, None
        self._check_primary_term(call.term)
        replay = self._find_recorded_answer(call.request_key)
        if replay is not None:
            return replay
        if transaction is None:
            raise _RefusalError(
                'no_transaction', 'no transaction is open here'
            )
        for key in transaction.changes:
            offsets = self._offsets_by_key.get(key)
            if offsets and offsets[-1] > transaction.snapshot_offset:
                raise _RefusalError(
                    'conflict', f'{key} was changed by another transaction'
                )
        return self._commit_changes(transaction, call.request_key, ())

    def _handle_rollback(self, session: Session) -> messages.Answer:
        if session.transaction is None:
            raise _RefusalError(
                'no_transaction', 'no transaction is open here'
            )
        session.transaction = None
        return messages.Answer(self.state)

    def _handle_fence(self, call: messages.Fence) -> messages.Answer:
        is_repeated = call.term == self.term and (
            call.candidate == self._candidate
        )
        if call.term <= self.term and not is_repeated:
            raise _RefusalError('stale_term', f'term {self.term} was seen')
        # A repeated fence must not demote a candidate that was promoted after
        # the first one.
        if not is_repeated:
            self._enter_term(call.term)
            self._candidate = call.candidate
        return messages.Answer(self.state)

    def _handle_promote(self, call: messages.Promote) -> messages.Answer:
        if call.term != self.term or call.candidate != self._candidate:
            raise _RefusalError(
                'stale_term',
                f'fenced to term {self.term} by {self._candidate!r}',
            )
        if self.role != PRIMARY:
            self._term_starts.append((call.term, len(self.entries)))
            self.role = PRIMARY
        return messages.Answer(self.state, position=self.history.last)

    def _handle_follow(self, call: messages.Follow) -> messages.Answer:
        if call.term < self.term:
            raise _RefusalError('stale_term', f'term {self.term} was seen')
        if call.term == self.term and self.role == PRIMARY:
            raise _RefusalError('stale_term', f'primary of term {self.term}')
        self._enter_term(call.term)
        self.primary_url = call.primary_url
        self._is_following = True
        return messages.Answer(self.state)

    def _enter_term(self, term: int) -> None:
        self.term = term
        self.role = REPLICA
        self.primary_url = ''
        # Without a candidate, a delayed promote of the same term is refused.
        self._candidate = ''
        self._is_following = False
        self._delayed_entries.clear()
        for session in self.sessions_by_id.values():
            if session.transaction is not None:
                session.transaction = None

    def _check_lock_holder(self, session: Session) -> None:
        if not self.require_lock:
            return
        holder = self.locked_by()
        if holder != session.application:
            raise _RefusalError(
                'lock_required', f'{GATEWAY_LOCK} is held by {holder!r}'
            )

    def _check_primary_term(self, term: int) -> None:
        if term < self.term:
            raise _RefusalError('stale_term', f'term {self.term} was seen')
        if self.role != PRIMARY or term > self.term:
            raise _RefusalError(
                'not_primary', f'not the primary of term {term}'
            )

    def _new_transaction(self, account: str) -> Transaction:
        self._last_transaction_number += 1
        return Transaction(
            self._last_transaction_number,
            account,
            self.term,
            len(self.entries),
        )

    def _require_transaction(self, session: Session) -> Transaction:
        if session.transaction is None:
            raise _RefusalError(
                'no_transaction', 'no transaction is open here'
            )
        return session.transaction

    def _find_recorded_answer(
        self, request_key: str
    ) -> messages.Answer | None:
        entry = self._entries_by_request_key.get(request_key)
        if entry is None:
            return None
        return messages.Answer(
            self.state,
            rows=entry.rows,
            position=types.Position(entry.term, entry.offset),
            replayed=True,
        )

    def _commit_changes(
        self, transaction: Transaction, request_key: str, rows: tuple[Any, ...]
    ) -> messages.Answer:
        if transaction.changes:
            self._append_entry(
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

    def _append_entry(self, entry: Entry) -> None:
        self.entries.append(entry)
        for key, value in entry.changes:
            self._offsets_by_key.setdefault(key, []).append(entry.offset)
            self._values_by_key.setdefault(key, []).append(value)
        if entry.request_key:
            self._entries_by_request_key[entry.request_key] = entry
            self._request_key_expiries.append(
                (self._clock.now() + REQUEST_KEY_TTL_MS, entry.request_key)
            )
        if self.role != PRIMARY:
            self._term_starts = list(
                _reached_term_starts(
                    self._primary_term_starts, len(self.entries)
                )
            )

    def _truncate_log(self, end: int) -> None:
        for entry in self.entries[end:]:
            for key, _ in entry.changes:
                offsets = self._offsets_by_key[key]
                count = bisect.bisect_right(offsets, end)
                del offsets[count:]
                del self._values_by_key[key][count:]
            self._entries_by_request_key.pop(entry.request_key, None)
        del self.entries[end:]

    def _run_statement(
        self, transaction: Transaction, statement: str, mode: types.Mode
    ) -> tuple[Any, ...]:
        verb, _, rest = statement.strip().partition(' ')
        key, _, value = rest.strip().partition(' ')
        if not key and verb != 'SCAN':
            raise _RefusalError('bad_statement', 'a key is needed')
        match verb:
            case 'GET':
                current = self._read_value(transaction, key)
                return () if current is None else ([key, current],)
            case 'SCAN':
                return self._scan_prefix(transaction, key)
            case 'SET' | 'ADD' | 'APPEND':
                pass
            case _:
                raise _RefusalError('bad_statement', f'{verb!r} is not known')
        if mode != types.Mode.WRITE:
            raise _RefusalError('bad_statement', f'{verb} in a read')
        if not value:
            raise _RefusalError('bad_statement', f'{verb} needs a value')
        new_value = _compute_new_value(
            verb, self._read_value(transaction, key), value
        )
        transaction.changes[key] = new_value
        return ([key, new_value],)

    def _read_value(self, transaction: Transaction, key: str) -> str | None:
        if key in transaction.changes:
            return transaction.changes[key]
        offsets = self._offsets_by_key.get(key, [])
        count = bisect.bisect_right(offsets, transaction.snapshot_offset)
        return self._values_by_key[key][count - 1] if count else None

    def _scan_prefix(
        self, transaction: Transaction, prefix: str
    ) -> tuple[Any, ...]:
        keys = {*self._offsets_by_key, *transaction.changes}
        rows = []
        for key in sorted(key for key in keys if key.startswith(prefix)):
            value = self._read_value(transaction, key)
            if value is not None:
                rows.append([key, value])
        return tuple(rows)


def _compute_new_value(verb: str, current: str | None, value: str) -> str:
    match verb:
        case 'SET':
            return value
        case 'APPEND':
            return value if current is None else f'{current},{value}'
        case _:
            try:
                return str(int(current or '0') + int(value))
            except ValueError:
                raise _RefusalError(
                    'bad_statement', 'ADD needs integers'
                ) from None


def _write_request_key(call: messages.Call) -> str:
    match call:
        case messages.Execute(mode=types.Mode.WRITE) | messages.Commit():
            return call.request_key
    return ''


def _reached_term_starts(
    starts: tuple[tuple[int, int], ...], end: int
) -> tuple[tuple[int, int], ...]:
    """Return the terms that start within a log of ``end`` entries."""
    return tuple(each for each in starts if each[1] <= end)


def _common_prefix_end(replica: types.History, primary: types.History) -> int:
    """Return the offset up to which both logs hold the same entries."""
    common = 0
    pairs = zip(replica.starts, primary.starts, strict=False)
    for index, (replica_start, primary_start) in enumerate(pairs):
        if replica_start != primary_start:
            break
        ends = [
            history.starts[index + 1][1]
            if index + 1 < len(history.starts)
            else history.end
            for history in (replica, primary)
        ]
        common = min(ends)
    return common
