"""A caller's session: its statements, values and transaction."""

import asyncio
import collections.abc
import dataclasses
import itertools
from typing import Protocol

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand.platform import wire
from samphirestand.sessions import caller_connection
from samphirestand import statements
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'Admission',
    'Context',
    'Dispatcher',
    'STOPPING_REASON',
    'Session',
    'Stopping',
    'admit',
    'build_work',
]

# Limits of one session. Its values and prepared statements are held in the
# memory of this host.
MAX_SESSION_VALUES = 256
MAX_PREPARED_STATEMENTS = 1_024

# Stands for the signature of a target when the proxy answers a statement
# itself.
NO_SIGNATURE = '-'

# After how long a caller should retry while its service has no gateway.
NO_GATEWAY_RETRY_MS = 300

STOPPING_REASON = 'the host is stopping'
NO_ROOM_REASON = 'the host handles too many large messages'
KEY_WITHDRAWN_REASON = 'the key was withdrawn'
KEY_MOVED_REASON = 'the key belongs to another account now'

_log = log.get_logger(__name__)
_transaction_numbers = itertools.count(1)


class Dispatcher(Protocol):
    """Sends statements to the host that is the gateway of their service."""

    def choose(self, service: str) -> str:
        """Return the id of the host that is the gateway of ``service``."""

    async def run(
        self,
        host_id: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal,
    ) -> work_module.Outcome:
        """Run a statement on the gateway of a host; raises no exception."""

    def abandon(self, host_id: str, transaction: int) -> None:
        """Ask a host's gateway to roll back a transaction by its number."""


@dataclasses.dataclass
class Stopping:
    """How far the planned stop of this host has come.

    With ``closes_idle``, a session ends with the first answer that leaves it
    without a transaction. With ``refuses_work``, nothing is sent to a target
    any more, since its answer might come too late.
    """

    closes_idle: bool = False
    refuses_work: bool = False


@dataclasses.dataclass(frozen=True)
class Context:
    """Dependencies that all sessions of a host share."""

    clock: clock_module.Clock
    catalog: collections.abc.Callable[[], catalog_module.Catalog]
    dispatcher: Dispatcher
    metrics: metrics_module.Metrics
    transaction_numbers: collections.abc.Iterator[int] = _transaction_numbers
    stopping: Stopping = dataclasses.field(default_factory=Stopping)


@dataclasses.dataclass
class _Transaction:
    """A caller's transaction.

    The proxy answers its BEGIN itself. The gateway opens the transaction on
    a target together with the next statement.
    """

    number: int
    route: catalog_module.Route
    account: str
    begin_query: wire.Query
    read_only: bool
    host_id: str = ''
    is_open: bool = False  # a target has it open, or may have
    has_failed: bool = False
    has_written: bool = False
    # Why the proxy ended it after a configuration change, until the caller
    # has been told.
    access_refusal: work_module.Refused | None = None


@dataclasses.dataclass(frozen=True)
class Admission:
    """The route and the account under which an operation runs."""

    route: catalog_module.Route
    account: str


@dataclasses.dataclass
class _Pending:
    """A statement whose outcome is waited for."""

    admission: Admission
    withdrawal: work_module.Withdrawal = dataclasses.field(
        default_factory=work_module.Withdrawal
    )
    # Why it may not go on after a configuration change.
    refusal: work_module.Refused | None = None


class Session:
    """Serves one connection of a caller until it is closed."""

    def __init__(
        self,
        connection: caller_connection.CallerConnection,
        context: Context,
    ) -> None:
        self._connection = connection
        self._context = context
        self._database = ''
        self._key = ''
        self._values: dict[str, str] = {}
        self._prepared_by_name: dict[str, statements.Prepare] = {}
        self._kept_bytes = 0  # of values and prepared statements
        self._transaction: _Transaction | None = None
        self._position: types.Position | None = None
        self._pending: _Pending | None = None
        self._is_handling_message = False
        self._is_started = False
        self._is_ending = False
        # The task that waits for a target's answer.
        self._waiting_task: asyncio.Task[object] | None = None

    @property
    def can_close(self) -> bool:
        """Tell whether closing now would interrupt no request."""
        return (
            not self._is_handling_message
            and self._transaction is None
            and not self._connection.has_line
            and self._is_started
        )

    def close(self) -> None:
        """Close the caller's connection."""
        self._connection.close()

    def end(self) -> None:
        """End the session at once; a request in progress gets an answer.

        The answer doesn't promise that nothing is kept, unless that is
        certain.
        """
        self._is_ending = True
        if self._waiting_task is None:
            self.close()
            return
        self._waiting_task.cancel()

    def review_access(self) -> None:
        """Roll back the transaction if its key has lost the account.

        A statement in progress was sent before the configuration changed, so
        its answer is waited for. It is withdrawn if it waits for a target.
        """
        if self._pending is not None:
            admission = self._pending.admission
            self._pending.refusal = self._access_refusal(
                admission.route, admission.account
            )
            if self._pending.refusal is not None:
                self._pending.withdrawal.request()
        transaction = self._transaction
        if (
            transaction is None
            or transaction.has_failed
            or self._is_handling_message
        ):
            return
        refusal = self._transaction_refusal(transaction)
        if refusal is None:
            return
        transaction.access_refusal = refusal
        _log.info(
            'transaction_access_ended',
            request=transaction.begin_query.request_id,
            account=transaction.account,
            code=refusal.code,
            reason=refusal.reason,
            version=self._context.catalog().version,
        )
        self._context.metrics.count('transactions_access_ended')
        self._fail_transaction(transaction)

    def _transaction_refusal(
        self, transaction: _Transaction
    ) -> work_module.Refused | None:
        """Return why a transaction may not go on; None if it may.

        Its connection to the target was opened for its account. A change of
        its route takes effect with the next transaction.
        """
        return self._access_refusal(transaction.route, transaction.account)

    def _access_refusal(
        self, route: catalog_module.Route, account: str
    ) -> work_module.Refused | None:
        """Return why work of an account may not go on; None if it may."""
        current = self._context.catalog().account_names_by_key.get(self._key)
        if current is None and route.needs_key:
            return work_module.Refused('DENIED', KEY_WITHDRAWN_REASON)
        if (current or '') != account:
            return work_module.Refused('ABORTED', KEY_MOVED_REASON)
        return None

    async def run(self) -> None:
        """Serve until the caller or this host closes the connection."""
        try:
            if await self._handle_startup():
                await self._serve_messages()
        finally:
            self._discard_transaction()
            self._connection.close()

    async def _handle_startup(self) -> bool:
        limit_ms = self._context.catalog().startup_timeout_ms
        line = await self._read_line(limit_ms)
        if line is None:
            return False
        startup = wire.decode_request(line)
        if not isinstance(startup, wire.Startup):
            self._refuse_startup('MALFORMED', 'STARTUP is expected')
            return False
        self._database = startup.database
        self._key = startup.key
        admission = self._check_access()
        if self._context.stopping.refuses_work:
            admission = work_module.Refused('BUSY', STOPPING_REASON)
        if isinstance(admission, work_module.Refused):
            self._refuse_startup(admission.code, admission.reason)
            return False
        self._is_started = True
        self._connection.mark_started()
        self._connection.write(wire.encode_ready(wire.STATE_IDLE, None))
        return True

    def _refuse_startup(self, code: str, reason: str) -> None:
        _log.info(
            'session_refused',
            code=code,
            reason=reason,
            version=self._context.catalog().version,
        )
        self._connection.write(wire.encode_error(code, reason))

    async def _read_line(self, timeout_ms: int | None) -> bytes | None:
        if self._connection.has_line or timeout_ms is None:
            return await self._connection.read_line()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._connection.read_line()
        except TimeoutError:
            return None

    async def _serve_messages(self) -> None:
        while True:
            timeout_ms = None
            if self._transaction is not None:
                timeout_ms = self._context.catalog().idle_transaction_ms
            line = await self._read_line(timeout_ms)
            if line is None:
                if self._connection.is_closed:
                    return
                self._fail_idle_transaction()
                continue
            self._is_handling_message = True
            # The bytes aren't needed while the decoded message is handled.
            message, size, line = wire.decode_request(line), len(line), None
            try:
                if not await self._connection.admit_message(size):
                    if self._connection.is_closed:
                        return
                    self._refuse_message()
                    continue
                ends_session = await self._handle_message(message)
            finally:
                del message
                self._is_handling_message = False
                self._connection.finish_message()
            if ends_session or self._is_ending or self._is_over:
                return
            # The configuration may have changed while a target was waited for.
            self.review_access()

    @property
    def _is_over(self) -> bool:
        """Tell whether the stopping host closes the session by now.

        A close that follows an answer reaches the caller before its next
        request is sent.
        """
        return (
            self._context.stopping.closes_idle
            and self._transaction is None
            and not self._connection.has_line
        )

    def _refuse_message(self) -> None:
        """Refuse a message for which the host has no memory.

        Nothing of it has run; a transaction can't go on without it.
        """
        if self._transaction is not None:
            self._fail_transaction(self._transaction)
        self._context.metrics.count('callers_refused_limit')
        self._context.metrics.count('callers_refused_limit_bytes')
        self._send_error('TOOMANY', NO_ROOM_REASON)

    async def _handle_message(self, message: wire.Request) -> bool:
        """Handle one message; returns whether the session is over."""
        match message:
            case wire.Terminate():
                return True
            case wire.Query() as query:
                return await self._handle_query(query)
            case wire.Malformed() as malformed:
                self._send_error('MALFORMED', malformed.reason)
                return False
            case _:
                self._send_error(
                    'MALFORMED', 'the session has started already'
                )
                return True

    def _fail_idle_transaction(self) -> None:
        """Roll back a transaction whose caller has been idle for too long."""
        transaction = self._transaction
        if transaction is None or transaction.has_failed:
            return
        _log.info(
            'transaction_idle', request=transaction.begin_query.request_id
        )
        self._context.metrics.count('transactions_idle')
        self._roll_back_on_target(transaction)
        transaction.has_failed = True

    def _roll_back_on_target(self, transaction: _Transaction) -> None:
        if transaction.is_open:
            self._context.dispatcher.abandon(
                transaction.host_id, transaction.number
            )
            transaction.is_open = False

    def _discard_transaction(self) -> None:
        if self._transaction is not None:
            self._roll_back_on_target(self._transaction)
            self._transaction = None

    def _session_state(self) -> str:
        if self._transaction is None:
            return wire.STATE_IDLE
        if self._transaction.has_failed:
            return wire.STATE_FAILED
        return wire.STATE_TRANSACTION

    def _send_complete(self, signature: str = NO_SIGNATURE) -> None:
        self._connection.write(
            wire.encode_complete(signature)
            + wire.encode_ready(self._session_state(), self._position)
        )

    def _send_error(self, code: str, text: str) -> None:
        self._connection.write(
            wire.encode_error(code, text or '-')
            + wire.encode_ready(self._session_state(), self._position)
        )

    def _check_access(self) -> Admission | work_module.Refused:
        """Check database and key against the current configuration."""
        catalog = self._context.catalog()
        account = catalog.account_names_by_key.get(self._key)
        return admit(catalog, self._database, account)

    async def _handle_query(self, query: wire.Query) -> bool:
        """Handle a statement; returns whether the session is over."""
        statement = wire.decode_statement(query.text)
        transaction = self._transaction
        if transaction is not None and transaction.access_refusal is not None:
            return self._refuse_access(query, statement, transaction)
        if transaction is not None and transaction.has_failed:
            self._handle_in_failed_transaction(statement)
            return False
        match statement:
            case None:
                self._reject_malformed('unknown statement')
            case statements.SetValue():
                self._set_value(statement)
            case statements.Prepare():
                self._prepare_statement(statement)
            case statements.Deallocate():
                self._deallocate_statement(statement)
            case statements.Begin():
                self._begin_transaction(query, statement)
            case statements.Commit() | statements.Rollback():
                await self._end_transaction(query, statement)
            case _:
                await self._run_data_statement(query, statement)
        return False

    def _refuse_access(
        self,
        query: wire.Query,
        statement: statements.Statement | None,
        transaction: _Transaction,
    ) -> bool:
        """Tell the caller that its transaction was ended.

        Returns whether the session is over: with a withdrawn key nothing of
        it can be served any more.
        """
        refusal = transaction.access_refusal
        assert refusal is not None
        transaction.access_refusal = None
        if isinstance(statement, statements.Rollback):
            self._handle_in_failed_transaction(statement)
            return False
        self._log_refusal(query, refusal)
        if isinstance(statement, statements.Commit):
            self._discard_transaction()
        self._send_error(refusal.code, refusal.reason)
        return refusal.code == 'DENIED'

    def _reject_malformed(self, reason: str) -> None:
        if self._transaction is not None:
            self._fail_transaction(self._transaction)
        self._send_error('MALFORMED', reason)

    def _fail_transaction(self, transaction: _Transaction) -> None:
        """Roll a transaction back and refuse its further statements.

        The transaction stays until the caller ends it.
        """
        self._roll_back_on_target(transaction)
        transaction.has_failed = True

    def _handle_in_failed_transaction(
        self, statement: statements.Statement | None
    ) -> None:
        match statement:
            case statements.Rollback():
                self._discard_transaction()
                self._send_complete()
            case statements.Commit():
                self._discard_transaction()
                self._send_error('ABORTED', 'the transaction had failed')
            case _:
                self._send_error('MALFORMED', 'the transaction has failed')

    def _set_value(self, statement: statements.SetValue) -> None:
        if (
            len(self._values) >= MAX_SESSION_VALUES
            and statement.name not in self._values
        ):
            self._reject_malformed('too many values')
            return
        earlier_bytes = _text_bytes(
            statement.name, self._values.get(statement.name)
        )
        added_bytes = _text_bytes(statement.name, statement.value)
        if not self._keep(added_bytes - earlier_bytes):
            return
        self._values[statement.name] = statement.value
        self._send_complete()

    def _prepare_statement(self, statement: statements.Prepare) -> None:
        if len(self._prepared_by_name) >= MAX_PREPARED_STATEMENTS:
            self._reject_malformed('too many prepared statements')
            return
        earlier = self._prepared_by_name.get(statement.name)
        earlier_bytes = _text_bytes(
            statement.name, earlier.shape if earlier else None
        )
        added_bytes = _text_bytes(statement.name, statement.shape)
        if not self._keep(added_bytes - earlier_bytes):
            return
        self._prepared_by_name[statement.name] = statement
        self._send_complete()

    def _deallocate_statement(self, statement: statements.Deallocate) -> None:
        prepared = self._prepared_by_name.pop(statement.name, None)
        if prepared is None:
            self._reject_malformed('no such prepared statement')
            return
        self._keep(-_text_bytes(prepared.name, prepared.shape))
        self._send_complete()

    def _keep(self, added_bytes: int) -> bool:
        """Count what the session keeps; False if refused, and answered."""
        if not self._connection.keep(self._kept_bytes + added_bytes):
            self._reject_malformed('the values of the session are too long')
            return False
        self._kept_bytes += added_bytes
        return True

    def _begin_transaction(
        self, query: wire.Query, statement: statements.Begin
    ) -> None:
        if self._transaction is not None:
            self._reject_malformed('a transaction is open')
            return
        admission = self._admit_operation(query)
        if admission is None:
            return
        self._transaction = _Transaction(
            next(self._context.transaction_numbers),
            admission.route,
            admission.account,
            query,
            statement.read_only,
        )
        self._send_complete()

    def _admit_operation(self, query: wire.Query) -> Admission | None:
        """Admit a new operation; None if refused, and the error is sent."""
        admission = self._check_access()
        if self._context.stopping.refuses_work:
            admission = work_module.Refused('BUSY', STOPPING_REASON)
        if isinstance(admission, work_module.Refused):
            self._log_refusal(query, admission)
            self._send_error(admission.code, admission.reason)
            return None
        return admission

    def _log_refusal(
        self, query: wire.Query, refusal: work_module.Refused
    ) -> None:
        _log.info(
            'request_refused',
            request=query.request_id,
            code=refusal.code,
            reason=refusal.reason,
            database=self._database,
            version=self._context.catalog().version,
        )

    async def _run_data_statement(
        self,
        query: wire.Query,
        statement: statements.Statement,
    ) -> None:
        """Run a READ, a WRITE or a prepared statement on a target."""
        prepared = None
        if isinstance(statement, statements.Execute):
            prepared = self._prepared_by_name.get(statement.name)
            if prepared is None:
                self._reject_malformed('no such prepared statement')
                return
        writes = isinstance(statement, statements.Write) or (
            prepared is not None and prepared.mode is types.Mode.WRITE
        )
        transaction = self._transaction
        if transaction is None:
            admission = self._admit_operation(query)
            if admission is None:
                return
            work = self._build_work(query, admission, work_module.Stage.SINGLE)
        else:
            stage = (
                work_module.Stage.WITHIN
                if transaction.is_open
                else work_module.Stage.OPEN
            )
            admission = Admission(transaction.route, transaction.account)
            work = self._build_work(query, admission, stage, transaction)
            transaction.has_written |= writes
        work = dataclasses.replace(work, writes=writes)
        if prepared is not None and isinstance(statement, statements.Execute):
            work = dataclasses.replace(
                work,
                mode=prepared.mode,
                shape=prepared.shape,
                arguments=statement.arguments,
            )
        await self._run_work(query, work, admission)

    async def _end_transaction(
        self,
        query: wire.Query,
        statement: statements.Commit | statements.Rollback,
    ) -> None:
        transaction = self._transaction
        if transaction is None:
            self._reject_malformed('no transaction is open')
            return
        commits = isinstance(statement, statements.Commit)
        if not commits and not transaction.is_open:
            self._transaction = None
            self._send_complete()
            return
        stage = (
            work_module.Stage.END
            if transaction.is_open
            else work_module.Stage.OPEN
        )
        admission = Admission(transaction.route, transaction.account)
        work = self._build_work(query, admission, stage, transaction)
        work = dataclasses.replace(
            work, commits=commits, wrote_before=transaction.has_written
        )
        await self._run_work(query, work, admission)

    def _build_work(
        self,
        query: wire.Query,
        admission: Admission,
        stage: work_module.Stage,
        transaction: _Transaction | None = None,
    ) -> work_module.Work:
        return dataclasses.replace(
            build_work(admission, query.request_id, query.text, stage),
            transaction=transaction.number if transaction else 0,
            begin_id=transaction.begin_query.request_id if transaction else '',
            begin_text=transaction.begin_query.text if transaction else '',
            read_only=transaction.read_only if transaction else False,
            values=tuple(self._values.items()),
            session_position=self._position,
        )

    async def _run_work(
        self,
        query: wire.Query,
        work: work_module.Work,
        admission: Admission,
    ) -> None:
        """Run a statement on its gateway and answer the caller."""
        transaction = self._transaction
        if transaction is not None and self._context.stopping.refuses_work:
            self._abort_transaction(query, transaction, work)
            return
        dispatcher = self._context.dispatcher
        if transaction is not None and transaction.is_open:
            host_id = transaction.host_id
        else:
            host_id = dispatcher.choose(work.service)
        if transaction is not None:
            transaction.host_id = host_id
            transaction.is_open = True
        started_ms = self._context.clock.now()
        outcome = await self._wait_for_outcome(host_id, work, admission)
        took_ms = self._context.clock.now() - started_ms
        self._context.metrics.record('statement', took_ms * 1_000)
        ends_transaction = work.stage is work_module.Stage.END or work.commits
        match outcome:
            case work_module.Answered():
                self._send_answer(outcome, ends_transaction)
                return
            case work_module.Failed():
                self._record_transaction_error(
                    transaction, ends_transaction, needs_rollback=True
                )
                self._send_error(outcome.code, outcome.text)
            case work_module.Refused():
                self._record_transaction_error(
                    transaction, ends_transaction, needs_rollback=False
                )
                self._send_error(outcome.code, _refusal_text(outcome))
            case work_module.Lost():
                self._handle_lost_answer(
                    outcome, work, transaction, ends_transaction
                )
        self._context.metrics.count('statements_failed')
        _log.info(
            'statement_failed',
            request=query.request_id,
            outcome=type(outcome).__name__,
            detail=str(outcome),
            gateway=host_id,
            stage=work.stage.value,
            took_ms=took_ms,
            version=self._context.catalog().version,
        )

    async def _wait_for_outcome(
        self, host_id: str, work: work_module.Work, admission: Admission
    ) -> work_module.Outcome:
        """Run a statement; its answer is lost if the session ends before."""
        task = asyncio.current_task()
        self._waiting_task = task
        pending = _Pending(admission)
        self._pending = pending
        # What the caller sent ahead stays unread: only its close counts.
        self._connection.on_close = pending.withdrawal.request
        if self._connection.is_closed and (
            work.stage is work_module.Stage.SINGLE and not work.writes
        ):
            # A read that was sent ahead by a caller that has left. Writes go
            # on as before: callers may send one and leave.
            pending.withdrawal.request()
        try:
            outcome = await self._context.dispatcher.run(
                host_id, work, pending.withdrawal
            )
        except asyncio.CancelledError:
            if not self._is_ending or task is None:
                raise
            task.uncancel()
            return work_module.Lost(STOPPING_REASON)
        finally:
            self._connection.on_close = None
            self._waiting_task = None
            self._pending = None
        if (
            pending.refusal is not None
            and isinstance(outcome, work_module.Refused)
            and outcome.reason == work_module.WITHDRAWN_REASON
        ):
            return pending.refusal
        return outcome

    def _abort_transaction(
        self,
        query: wire.Query,
        transaction: _Transaction,
        work: work_module.Work,
    ) -> None:
        """Roll back a transaction instead of sending its next statement."""
        self._log_refusal(
            query, work_module.Refused('ABORTED', STOPPING_REASON)
        )
        if work.stage is work_module.Stage.END or work.commits:
            self._discard_transaction()
        else:
            self._fail_transaction(transaction)
        self._send_error('ABORTED', STOPPING_REASON)

    def _send_answer(
        self, outcome: work_module.Answered, ends_transaction: bool
    ) -> None:
        self._context.metrics.count('statements_served')
        if outcome.position is not None and (
            self._position is None or outcome.position > self._position
        ):
            self._position = outcome.position
        if ends_transaction:
            self._transaction = None
        self._connection.write(
            b''.join(wire.encode_row(each) for each in outcome.rows)
            + wire.encode_complete(outcome.signature)
            + wire.encode_ready(self._session_state(), outcome.position)
        )

    def _record_transaction_error(
        self,
        transaction: _Transaction | None,
        ends_transaction: bool,
        needs_rollback: bool,
    ) -> None:
        """Update the transaction after its statement got an error.

        ``needs_rollback`` tells that a target may still have the transaction
        open.
        """
        if transaction is None:
            return
        if ends_transaction:
            transaction.is_open = False
            self._transaction = None
            return
        if not needs_rollback:
            transaction.is_open = False
        self._fail_transaction(transaction)

    def _handle_lost_answer(
        self,
        outcome: work_module.Lost,
        work: work_module.Work,
        transaction: _Transaction | None,
        ends_transaction: bool,
    ) -> None:
        if transaction is not None and not (
            ends_transaction and transaction.has_written
        ):
            # No write can have been committed: the target rolls back a
            # transaction that it can't finish.
            self._record_transaction_error(
                transaction, ends_transaction, needs_rollback=True
            )
            self._send_error('ABORTED', outcome.reason)
            return
        if transaction is not None:
            transaction.is_open = False
            self._transaction = None
            self._send_error('INDOUBT', outcome.reason)
            return
        if work.writes:
            self._send_error('INDOUBT', outcome.reason)
            return
        self._send_error('TIMEOUT', outcome.reason)


def admit(
    catalog: catalog_module.Catalog, database: str, account: str | None
) -> Admission | work_module.Refused:
    """Return under which route and account an operation runs.

    ``account`` is the one of the caller's key; None if the key is unknown.
    """
    route = catalog.routes_by_database.get(database)
    if route is None:
        return work_module.Refused('NODB', 'no such database')
    if account is None and route.needs_key:
        return work_module.Refused('DENIED', 'unknown key')
    return Admission(route, account or '')


def build_work(
    admission: Admission, request_id: str, text: str, stage: work_module.Stage
) -> work_module.Work:
    """Return a read of one statement as its route asks for it."""
    route = admission.route
    return work_module.Work(
        request_id=request_id,
        text=text,
        stage=stage,
        service=route.service,
        account=admission.account,
        consistency=route.consistency,
        max_age_ms=route.max_age_ms,
        writes=False,
        budget_ms=route.timeout_ms,
        objective_ms=route.objective_ms,
        priority=route.priority,
    )


def _text_bytes(name: str, text: str | None) -> int:
    """Return the bytes of a value with its name; 0 if there is none."""
    return 0 if text is None else len(name.encode()) + len(text.encode())


def _refusal_text(refusal: work_module.Refused) -> str:
    """Return the text of a refusal with the time until a retry."""
    if not refusal.retry_after_ms:
        return refusal.reason
    return f'{refusal.reason}; retry after {refusal.retry_after_ms} ms'
