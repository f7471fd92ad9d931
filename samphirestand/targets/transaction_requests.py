"""Requests that begin, use and end a transaction."""

import dataclasses
import secrets

from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.targets import admission as admission_module
from samphirestand.targets import connections
from samphirestand.targets import context as context_module
from samphirestand.targets import messages
from samphirestand.targets import refusals
from samphirestand.targets import runner as runner_module
from samphirestand.targets import scheduler as scheduler_module
from samphirestand.targets import transactions as transactions_module
from samphirestand.targets import writes as writes_module
from samphirestand import types


@dataclasses.dataclass(frozen=True)
class TransactionRequests:
    """Runs the requests of transactions of one target."""

    context: context_module.Context
    target: types.Target
    admission: admission_module.Admission
    scheduler: scheduler_module.Scheduler
    pool: connections.Connections
    transactions: transactions_module.Transactions
    ends: transactions_module.Ends
    runner: runner_module.Runner
    writes: writes_module.Writes

    async def begin(self, request: types.Request, deadline: int) -> types.Done:
        """Begin a transaction; raises ``Refused``."""
        self.admission.check_new_transaction()
        state = await self.admission.primary_state_for(request.session)
        writes_module.check_session(self.admission, state.history, request)
        if not self.transactions.has_room(request.account):
            raise self.admission.refuse(
                'too_many_transactions',
                'no connection is left for a transaction of this account',
            )
        self.transactions.reserve(request.account)
        try:
            transaction = await self._open(request, deadline)
        finally:
            self.transactions.unreserve(request.account)
        return types.Done(
            target_id=self.target.target_id,
            role=admission_module.PRIMARY,
            transaction_id=transaction.transaction_id,
        )

    async def statement(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        """Run one statement of a transaction; raises ``Refused``."""
        transaction = self._find(request)
        call = messages.Statement(
            request.statement, request.mode, request.account
        )
        async with self._turn(transaction, request, deadline):
            answer = await self._call(transaction, request, call, deadline)
            if answer.failure and answer.failure.code != 'bad_statement':
                raise self._lost(transaction, answer.failure.message)
            self.runner.checked(answer)
        return types.Done(
            rows=answer.rows,
            target_id=self.target.target_id,
            role=answer.state.role,
            transaction_id=transaction.transaction_id,
        )

    async def rollback(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        """Roll a transaction back; raises ``Refused``."""
        end = self.ends.get(request.transaction_id)
        done = types.Done(
            target_id=self.target.target_id,
            transaction_id=request.transaction_id,
        )
        is_own = end is not None and end.account == request.account
        if end and is_own and isinstance(end.outcome, types.NotRun):
            return done
        transaction = self._find(request)
        async with self._turn(transaction, request, deadline):
            answer = await self._call(
                transaction, request, messages.Rollback(), deadline
            )
            self._finish(
                transaction,
                types.NotRun('transaction_lost', 'it was rolled back'),
                is_clean=answer.failure is None,
            )
        return done

    async def commit(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        """Commit a transaction; raises ``Refused``.

        A repeated commit gets the outcome of the first one.
        """
        try:
            return await self._commit(request, deadline)
        except refusals.Refused:
            done = committed(self.ends, request)
            if done is None:
                raise
            return done

    async def _commit(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        transaction = self._find(request)
        key = f'{request.account}/{request.request_id}'
        call = messages.Commit(key, transaction.term)
        async with self._turn(transaction, request, deadline):
            answer = await self._call(transaction, request, call, deadline)
            outcome: types.Outcome
            try:
                outcome = await self._committed(transaction, answer, deadline)
            except refusals.Refused as refused:
                outcome = refused.outcome
            self._finish(transaction, outcome, answer.failure is None)
        return _done(outcome, self.target.target_id)

    async def _open(
        self, request: types.Request, deadline: int
    ) -> transactions_module.Transaction:
        clock = self.context.clock
        weight = self.admission.weight(request.account)
        async with self.scheduler.slot(request.account, weight, deadline):
            self.admission.check(request)
            self.admission.check_new_transaction()
            state = self.admission.primary_state()
            connection = await self._acquire(deadline)
            try:
                answer = self.runner.checked(
                    await connection.call(
                        messages.Begin(request.account, state.term),
                        max(1, deadline - clock.now()),
                    )
                )
                writes_module.check_session(
                    self.admission, answer.state.history, request
                )
            except exceptions.TargetError as error:
                # A transaction without a commit has no effect, and it ends
                # with its connection.
                self.pool.discard(connection)
                raise self._unreachable(error) from error
            except BaseException:
                self.pool.discard(connection)
                raise
        return self._keep(request, connection, state.term)

    def _keep(
        self,
        request: types.Request,
        connection: interfaces.TargetConnection,
        term: int,
    ) -> transactions_module.Transaction:
        now = self.context.clock.now()
        parts = (
            self.target.service,
            self.target.target_id,
            self.context.host_id,
            secrets.token_hex(16),
        )
        transaction = transactions_module.Transaction(
            transaction_id='.'.join(parts),
            account=request.account,
            key_id=request.key_id,
            term=term,
            connection=connection,
            started_at=now,
            used_at=now,
        )
        self.transactions.add(transaction)
        return transaction

    async def _acquire(self, deadline: int) -> interfaces.TargetConnection:
        remaining = deadline - self.context.clock.now()
        try:
            return await self.pool.acquire(max(1, remaining))
        except exceptions.TargetError as error:
            raise self._unreachable(error) from error

    def _find(self, request: types.Request) -> transactions_module.Transaction:
        transaction = self.transactions.by_id.get(request.transaction_id)
        if transaction is None:
            raise ended(self.ends, request)
        if transaction.account != request.account:
            raise self.admission.refuse(
                'transaction_account_mismatch',
                'the transaction is of another account',
            )
        return transaction

    def _turn(
        self,
        transaction: transactions_module.Transaction,
        request: types.Request,
        deadline: int,
    ) -> '_Turn':
        return _Turn(self, transaction, request, deadline)

    async def _call(
        self,
        transaction: transactions_module.Transaction,
        request: types.Request,
        call: messages.Call,
        deadline: int,
    ) -> messages.Answer:
        clock = self.context.clock
        weight = self.admission.weight(request.account)
        connection = transaction.connection
        async with self.scheduler.slot(request.account, weight, deadline):
            self.check_open(transaction, request)
            transaction.commit_sent = isinstance(call, messages.Commit)
            try:
                return await connection.call(
                    call, max(1, deadline - clock.now())
                )
            except exceptions.AnswerLost as error:
                raise self._lost(transaction, str(error)) from error
            except exceptions.TargetError as error:
                transaction.commit_sent = False
                raise self._lost(transaction, str(error)) from error
            except BaseException:
                # The caller is gone; the answer must not meet another call.
                self.transactions.abort(transaction, 'the caller is gone')
                raise

    def check_open(
        self,
        transaction: transactions_module.Transaction,
        request: types.Request,
    ) -> None:
        """Raise ``Refused`` unless the transaction may be used."""
        if transaction.transaction_id not in self.transactions.by_id:
            raise ended(self.ends, request)
        self.admission.check(request)

    def _lost(
        self, transaction: transactions_module.Transaction, reason: str
    ) -> refusals.Refused:
        self.transactions.abort(transaction, reason)
        end = self.ends.get(transaction.transaction_id)
        assert end is not None
        return _refused(end.outcome, self.target.target_id)

    async def _committed(
        self,
        transaction: transactions_module.Transaction,
        answer: messages.Answer,
        deadline: int,
    ) -> types.Done:
        failure = answer.failure
        if failure and failure.ran is False and failure.code != 'conflict':
            raise self.admission.refuse('transaction_lost', failure.message)
        self.runner.checked(answer)
        await self.writes.confirm(answer, deadline)
        return types.Done(
            rows=answer.rows,
            position=answer.position,
            target_id=self.target.target_id,
            role=answer.state.role,
            transaction_id=transaction.transaction_id,
            replayed=answer.replayed,
        )

    def _finish(
        self,
        transaction: transactions_module.Transaction,
        outcome: types.Outcome,
        is_clean: bool,
    ) -> None:
        self.transactions.end(transaction, outcome)
        if is_clean:
            self.pool.release(transaction.connection)
        else:
            self.pool.discard(transaction.connection)

    def _unreachable(self, error: exceptions.TargetError) -> refusals.Refused:
        return refusals.not_run(
            'target_unreachable',
            error.message,
            step=error.step,
            peer=error.peer or self.target.target_id,
        )


@dataclasses.dataclass(frozen=True)
class _Turn:
    """Admits one request of a transaction at a time."""

    requests: TransactionRequests
    transaction: transactions_module.Transaction
    request: types.Request
    deadline: int

    async def __aenter__(self) -> None:
        clock = self.requests.context.clock
        remaining = self.deadline - clock.now()
        try:
            await context_module.within(
                clock, self.transaction.lock.acquire(), remaining
            )
        except TimeoutError:
            raise self.requests.admission.refuse(
                'deadline_unattainable',
                'another request of the transaction is running',
            ) from None
        try:
            self.requests.check_open(self.transaction, self.request)
        except BaseException:
            self.transaction.lock.release()
            raise

    async def __aexit__(self, *_: object) -> None:
        self.transaction.used_at = self.requests.context.clock.now()
        self.transaction.lock.release()


def ended(
    ends: transactions_module.Ends, request: types.Request
) -> refusals.Refused:
    """Return the error for a transaction that isn't open here.

    The outcome of a commit stays open unless its end is known: it may have
    been sent before.
    """
    end = ends.get(request.transaction_id)
    if end is not None and end.account != request.account:
        return refusals.not_run(
            'transaction_account_mismatch',
            'the transaction is of another account',
            step='transaction',
            peer=request.target_id,
        )
    if end is None:
        is_commit = request.operation == 'commit'
        make = refusals.unknown if is_commit else refusals.not_run
        return make(
            'transaction_lost',
            'the transaction is not open on this gateway',
            step='transaction',
            peer=request.target_id,
        )
    if request.operation == 'commit' and not isinstance(
        end.outcome, types.Done
    ):
        return _refused(end.outcome, request.target_id)
    return refusals.not_run(
        'transaction_lost',
        'the transaction has ended',
        step='transaction',
        peer=request.target_id,
    )


def committed(
    ends: transactions_module.Ends, request: types.Request
) -> types.Done | None:
    """Return the outcome of an earlier commit that a request repeats."""
    end = ends.get(request.transaction_id)
    if end is None or end.account != request.account:
        return None
    if request.operation == 'commit' and isinstance(end.outcome, types.Done):
        return end.outcome
    return None


def _refused(outcome: types.Outcome, target_id: str) -> refusals.Refused:
    assert not isinstance(outcome, types.Done)
    return refusals.Refused(outcome, step='transaction', peer=target_id)


def _done(outcome: types.Outcome, target_id: str) -> types.Done:
    if isinstance(outcome, types.Done):
        return outcome
    raise _refused(outcome, target_id)
