"""One session of a caller."""

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
from samphirestand import statements
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['Context', 'Dispatcher', 'Session']

# A session keeps its values and prepared names on the host.
MAX_VALUES = 256
MAX_PREPARED = 1_024

# The signature of statements that the proxy answers itself.
NO_SIGNATURE = '-'

# When a caller comes back whose service has no gateway at the moment.
UNREACHABLE_RETRY_MS = 300

_log = log.get_logger(__name__)
_transactions = itertools.count(1)


class Dispatcher(Protocol):
    """Sends work to the gateway of its service."""

    def choose(self, service: str) -> str:
        """Return the id of the gateway's host."""

    async def run(
        self, host_id: str, work: work_module.Work
    ) -> work_module.Outcome:
        """Run work on the gateway of a host; never raises."""

    def abandon(self, host_id: str, transaction: int) -> None:
        """Ask a gateway to roll back a transaction."""


@dataclasses.dataclass(frozen=True)
class Context:
    """What all sessions of a host share."""

    clock: clock_module.Clock
    catalog: collections.abc.Callable[[], catalog_module.Catalog]
    dispatcher: Dispatcher
    metrics: metrics_module.Metrics
    transactions: collections.abc.Iterator[int] = _transactions


@dataclasses.dataclass
class _Transaction:
    """A transaction that reaches a target with its first statement."""

    number: int
    route: catalog_module.Route
    account: str
    begin: wire.Query
    read_only: bool
    host_id: str = ''
    is_open: bool = False  # whether a target knows of it
    has_failed: bool = False
    wrote: bool = False


@dataclasses.dataclass(frozen=True)
class _Admitted:
    """Who an operation runs for, and how."""

    route: catalog_module.Route
    account: str


class Session:
    """Serves one connection of a caller until it ends."""

    def __init__(self, connection: wire.Connection, context: Context) -> None:
        self._connection = connection
        self._context = context
        self._database = ''
        self._key = ''
        self._values: dict[str, str] = {}
        self._prepared_by_name: dict[str, statements.Prepare] = {}
        self._transaction: _Transaction | None = None
        self._position: types.Position | None = None
        self._is_busy = False
        self._is_started = False

    @property
    def can_close(self) -> bool:
        """Tell whether closing now cuts no request."""
        return (
            not self._is_busy
            and self._transaction is None
            and not self._connection.has_line
            and self._is_started
        )

    def close(self) -> None:
        """Close the caller's connection."""
        self._connection.close()

    async def run(self) -> None:
        """Serve until the caller or this host closes the connection."""
        try:
            if await self._start():
                await self._serve()
        finally:
            self._drop_transaction()
            self._connection.close()

    async def _start(self) -> bool:
        limit_ms = self._context.catalog().startup_timeout_ms
        line = await self._read(limit_ms)
        if line is None:
            return False
        startup = wire.decode_request(line)
        if not isinstance(startup, wire.Startup):
            self._refuse_startup('MALFORMED', 'STARTUP is expected')
            return False
        self._database = startup.database
        self._key = startup.key
        admitted = self._admit()
        if isinstance(admitted, work_module.Refused):
            self._refuse_startup(admitted.code, admitted.reason)
            return False
        self._is_started = True
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

    async def _read(self, timeout_ms: int | None) -> bytes | None:
        if self._connection.has_line or timeout_ms is None:
            return await self._connection.read_line()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._connection.read_line()
        except TimeoutError:
            return None

    async def _serve(self) -> None:
        while True:
            timeout_ms = None
            if self._transaction is not None:
                timeout_ms = self._context.catalog().idle_transaction_ms
            line = await self._read(timeout_ms)
            if line is None:
                if self._connection.is_closed:
                    return
                self._end_idle_transaction()
                continue
            self._is_busy = True
            try:
                is_over = await self._message(line)
            finally:
                self._is_busy = False
            if is_over:
                return

    async def _message(self, line: bytes) -> bool:
        """Handle one message; True ends the session."""
        match wire.decode_request(line):
            case wire.Terminate():
                return True
            case wire.Query() as query:
                await self._query(query)
                return False
            case wire.Malformed() as malformed:
                self._error('MALFORMED', malformed.reason)
                return False
            case _:
                self._error('MALFORMED', 'the session has started already')
                return True

    def _end_idle_transaction(self) -> None:
        """Roll back a transaction whose caller rests for too long."""
        transaction = self._transaction
        if transaction is None or transaction.has_failed:
            return
        _log.info('transaction_idle', request=transaction.begin.request_id)
        self._context.metrics.count('transactions_idle')
        self._abandon(transaction)
        transaction.has_failed = True

    def _abandon(self, transaction: _Transaction) -> None:
        if transaction.is_open:
            self._context.dispatcher.abandon(
                transaction.host_id, transaction.number
            )
            transaction.is_open = False

    def _drop_transaction(self) -> None:
        if self._transaction is not None:
            self._abandon(self._transaction)
            self._transaction = None

    def _state(self) -> str:
        if self._transaction is None:
            return wire.STATE_IDLE
        if self._transaction.has_failed:
            return wire.STATE_FAILED
        return wire.STATE_TRANSACTION

    def _complete(self, signature: str = NO_SIGNATURE) -> None:
        self._connection.write(
            wire.encode_complete(signature)
            + wire.encode_ready(self._state(), self._position)
        )

    def _error(self, code: str, text: str) -> None:
        self._connection.write(
            wire.encode_error(code, text or '-')
            + wire.encode_ready(self._state(), self._position)
        )

    def _admit(self) -> _Admitted | work_module.Refused:
        """Check route and key against the configuration in force."""
        catalog = self._context.catalog()
        route = catalog.routes_by_database.get(self._database)
        if route is None:
            return work_module.Refused('NODB', 'no such database')
        account = catalog.account_names_by_key.get(self._key)
        if account is None and route.needs_key:
            return work_module.Refused('DENIED', 'unknown key')
        return _Admitted(route, account or '')

    async def _query(self, query: wire.Query) -> None:
        statement = wire.decode_statement(query.text)
        transaction = self._transaction
        if transaction is not None and transaction.has_failed:
            self._after_failure(statement)
            return
        match statement:
            case None:
                self._malformed('unknown statement')
            case statements.SetValue():
                self._set(statement)
            case statements.Prepare():
                self._prepare(statement)
            case statements.Deallocate():
                self._deallocate(statement)
            case statements.Begin():
                self._begin(query, statement)
            case statements.Commit() | statements.Rollback():
                await self._finish(query, statement)
            case _:
                await self._access(query, statement)

    def _malformed(self, reason: str) -> None:
        if self._transaction is not None:
            self._fail(self._transaction)
        self._error('MALFORMED', reason)

    def _fail(self, transaction: _Transaction) -> None:
        """Give a transaction up; its target rolls it back."""
        self._abandon(transaction)
        transaction.has_failed = True

    def _after_failure(self, statement: statements.Statement | None) -> None:
        match statement:
            case statements.Rollback():
                self._drop_transaction()
                self._complete()
            case statements.Commit():
                self._drop_transaction()
                self._error('ABORTED', 'the transaction had failed')
            case _:
                self._error('MALFORMED', 'the transaction has failed')

    def _set(self, statement: statements.SetValue) -> None:
        if (
            len(self._values) >= MAX_VALUES
            and statement.name not in self._values
        ):
            self._malformed('too many values')
            return
        self._values[statement.name] = statement.value
        self._complete()

    def _prepare(self, statement: statements.Prepare) -> None:
        if len(self._prepared_by_name) >= MAX_PREPARED:
            self._malformed('too many prepared statements')
            return
        self._prepared_by_name[statement.name] = statement
        self._complete()

    def _deallocate(self, statement: statements.Deallocate) -> None:
        if self._prepared_by_name.pop(statement.name, None) is None:
            self._malformed('no such prepared statement')
            return
        self._complete()

    def _begin(self, query: wire.Query, statement: statements.Begin) -> None:
        if self._transaction is not None:
            self._malformed('a transaction is open')
            return
        admitted = self._operation(query)
        if admitted is None:
            return
        self._transaction = _Transaction(
            next(self._context.transactions),
            admitted.route,
            admitted.account,
            query,
            statement.read_only,
        )
        self._complete()

    def _operation(self, query: wire.Query) -> _Admitted | None:
        """Admit a new operation; an error has been sent if None."""
        admitted = self._admit()
        if isinstance(admitted, work_module.Refused):
            self._log_refusal(query, admitted)
            self._error(admitted.code, admitted.reason)
            return None
        return admitted

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

    async def _access(
        self,
        query: wire.Query,
        statement: statements.Statement,
    ) -> None:
        """Run a read, a write or a prepared statement."""
        prepared = None
        if isinstance(statement, statements.Execute):
            prepared = self._prepared_by_name.get(statement.name)
            if prepared is None:
                self._malformed('no such prepared statement')
                return
        writes = isinstance(statement, statements.Write) or (
            prepared is not None and prepared.mode is types.Mode.WRITE
        )
        transaction = self._transaction
        if transaction is None:
            admitted = self._operation(query)
            if admitted is None:
                return
            work = self._work(query, admitted, work_module.Stage.SINGLE)
        else:
            stage = (
                work_module.Stage.WITHIN
                if transaction.is_open
                else work_module.Stage.OPEN
            )
            admitted = _Admitted(transaction.route, transaction.account)
            work = self._work(query, admitted, stage, transaction)
            transaction.wrote |= writes
        work = dataclasses.replace(work, writes=writes)
        if prepared is not None and isinstance(statement, statements.Execute):
            work = dataclasses.replace(
                work,
                mode=prepared.mode,
                shape=prepared.shape,
                arguments=statement.arguments,
            )
        await self._run(query, work)

    async def _finish(
        self,
        query: wire.Query,
        statement: statements.Commit | statements.Rollback,
    ) -> None:
        transaction = self._transaction
        if transaction is None:
            self._malformed('no transaction is open')
            return
        commits = isinstance(statement, statements.Commit)
        if not commits and not transaction.is_open:
            self._transaction = None
            self._complete()
            return
        stage = (
            work_module.Stage.END
            if transaction.is_open
            else work_module.Stage.OPEN
        )
        admitted = _Admitted(transaction.route, transaction.account)
        work = self._work(query, admitted, stage, transaction)
        work = dataclasses.replace(
            work, commits=commits, wrote_before=transaction.wrote
        )
        await self._run(query, work)

    def _work(
        self,
        query: wire.Query,
        admitted: _Admitted,
        stage: work_module.Stage,
        transaction: _Transaction | None = None,
    ) -> work_module.Work:
        route = admitted.route
        return work_module.Work(
            request_id=query.request_id,
            text=query.text,
            stage=stage,
            service=route.service,
            account=admitted.account,
            consistency=route.consistency,
            max_age_ms=route.max_age_ms,
            writes=False,
            budget_ms=route.timeout_ms,
            objective_ms=route.objective_ms,
            priority=route.priority,
            transaction=transaction.number if transaction else 0,
            begin_id=transaction.begin.request_id if transaction else '',
            begin_text=transaction.begin.text if transaction else '',
            read_only=transaction.read_only if transaction else False,
            values=tuple(self._values.items()),
            session_position=self._position,
        )

    async def _run(self, query: wire.Query, work: work_module.Work) -> None:
        """Run work on its gateway and answer the caller."""
        transaction = self._transaction
        dispatcher = self._context.dispatcher
        if transaction is not None and transaction.is_open:
            host_id = transaction.host_id
        else:
            host_id = dispatcher.choose(work.service)
        if transaction is not None:
            transaction.host_id = host_id
            transaction.is_open = True
        started_ms = self._context.clock.now()
        outcome = await dispatcher.run(host_id, work)
        took_ms = self._context.clock.now() - started_ms
        self._context.metrics.record('statement', took_ms * 1_000)
        ends = work.stage is work_module.Stage.END or work.commits
        match outcome:
            case work_module.Answered():
                self._answer(outcome, ends)
                return
            case work_module.Failed():
                self._after_error(transaction, ends, is_known=True)
                self._error(outcome.code, outcome.text)
            case work_module.Refused():
                self._after_error(transaction, ends, is_known=False)
                self._error(outcome.code, _with_retry(outcome))
            case work_module.Lost():
                self._answer_lost(outcome, work, transaction, ends)
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

    def _answer(self, outcome: work_module.Answered, ends: bool) -> None:
        self._context.metrics.count('statements_served')
        if outcome.position is not None and (
            self._position is None or outcome.position > self._position
        ):
            self._position = outcome.position
        if ends:
            self._transaction = None
        self._connection.write(
            b''.join(wire.encode_row(each) for each in outcome.rows)
            + wire.encode_complete(outcome.signature)
            + wire.encode_ready(self._state(), outcome.position)
        )

    def _after_error(
        self, transaction: _Transaction | None, ends: bool, is_known: bool
    ) -> None:
        """Follow an error; ``is_known`` if the target keeps the failure."""
        if transaction is None:
            return
        if ends:
            transaction.is_open = False
            self._transaction = None
            return
        if not is_known:
            transaction.is_open = False
        self._fail(transaction)

    def _answer_lost(
        self,
        outcome: work_module.Lost,
        work: work_module.Work,
        transaction: _Transaction | None,
        ends: bool,
    ) -> None:
        if transaction is not None and not (ends and transaction.wrote):
            # Without a commit the target rolls back what it can't finish.
            self._after_error(transaction, ends, is_known=True)
            self._error('ABORTED', outcome.reason)
            return
        if transaction is not None:
            transaction.is_open = False
            self._transaction = None
            self._error('INDOUBT', outcome.reason)
            return
        if work.writes:
            self._error('INDOUBT', outcome.reason)
            return
        self._error('TIMEOUT', outcome.reason)


def _with_retry(refusal: work_module.Refused) -> str:
    """Return the text of a refusal, with the time to come back."""
    if not refusal.retry_after_ms:
        return refusal.reason
    return f'{refusal.reason}; retry after {refusal.retry_after_ms} ms'
