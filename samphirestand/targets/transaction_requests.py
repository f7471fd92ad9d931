"""Requests that begin, use and end transactions."""

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
    """Runs the requests for transactions on one target."""

    context: context_module.Context
    target: types.Target
    admission: admission_module.Admission
    scheduler: scheduler_module.Scheduler
    pool: connections.GatewayPool
    transactions: transactions_module.TargetTransactions
    ended_transactions: transactions_module.EndedTransactions
    runner: runner_module.Runner
    writes: writes_module.Writes

    async def begin(self, request: types.Request, deadline: int) -> types.Done:
        """Begin a transaction.

        Raises ``RequestRefused`` on any other outcome.
        """
        self.admission.check_new_transaction()
        state = await self.admission.primary_state_for(request.session)
        writes_module.check_session(self.admission, state.history, request)
        if not self.transactions.has_capacity(request.account):
            raise self.admission.refusal(
                'too_many_transactions',
                'no connection is left for a transaction of this account',
            )
        self.transactions.reserve(request.account)
        try:
            transaction = await self._open_transaction(request, deadline)
        finally:
            self.transactions.release_reservation(request.account)
        return types.Done(
            target_id=self.target.target_id,
            role=admission_module.PRIMARY,
            transaction_id=transaction.transaction_id,
        )

    async def statement(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        """Run one statement in a transaction.

        Raises ``RequestRefused`` on failure. Any failure but
        ``bad_statement`` aborts the transaction.
        """
        transaction = self._find_transaction(request)
        call = messages.Statement(
            request.statement, request.mode, request.account
        )
        async with self._use_exclusively(transaction, request, deadline):
            answer = await self._send_call(
                transaction, request, call, deadline
            )
            if answer.failure and answer.failure.code != 'bad_statement':
                raise self._abort_as_lost(transaction, answer.failure.message)
            self.runner.require_success(answer)
        return types.Done(
            rows=answer.rows,
            target_id=self.target.target_id,
            role=answer.state.role,
            transaction_id=transaction.transaction_id,
        )

    async def rollback(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        """Roll back a transaction; raise ``RequestRefused`` on failure."""
        ended = self.ended_transactions.get(request.transaction_id)
        done = types.Done(
            target_id=self.target.target_id,
            transaction_id=request.transaction_id,
        )
        is_same_account = (
            ended is not None and ended.account == request.account
        )
        if (
            ended
            and is_same_account
            and isinstance(ended.outcome, types.NotRun)
        ):
            return done
        transaction = self._find_transaction(request)
        async with self._use_exclusively(transaction, request, deadline):
            answer = await self._send_call(
                transaction, request, messages.Rollback(), deadline
            )
            self._end_transaction(
                transaction,
                types.NotRun('transaction_lost', 'it was rolled back'),
                is_clean=answer.failure is None,
            )
        return done

    async def commit(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        """Commit a transaction; raise ``RequestRefused`` on any other outcome.

        A repeated commit gets the outcome of the first one.
        """
        try:
            return await self._commit(request, deadline)
        except refusals.RequestRefused:
            done = repeated_commit_outcome(self.ended_transactions, request)
            if done is None:
                raise
            return done

    async def _commit(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        transaction = self._find_transaction(request)
        key = f'{request.account}/{request.request_id}'
        call = messages.Commit(key, transaction.term)
        async with self._use_exclusively(transaction, request, deadline):
            answer = await self._send_call(
                transaction, request, call, deadline
            )
            outcome: types.Outcome
            try:
                outcome = await self._confirm_commit(
                    transaction, answer, deadline
                )
            except refusals.RequestRefused as refused:
                outcome = refused.outcome
            self._end_transaction(transaction, outcome, answer.failure is None)
        return _done_or_raise(outcome, self.target.target_id)

    async def _open_transaction(
        self, request: types.Request, deadline: int
    ) -> transactions_module.Transaction:
        clock = self.context.clock
        weight = self.admission.account_weight(request.account)
        async with self.scheduler.slot(request.account, weight, deadline):
            self.admission.check_request(request)
            self.admission.check_new_transaction()
            state = self.admission.primary_state()
            connection = await self._acquire_connection(deadline)
            try:
                answer = self.runner.require_success(
                    await connection.call(
                        messages.Begin(request.account, state.term),
                        max(1, deadline - clock.now()),
                    )
                )
                writes_module.check_session(
                    self.admission, answer.state.history, request
                )
            except exceptions.TargetError as error:
                # The server rolls the transaction back when the connection
                # closes, so it has no effect.
                self.pool.discard(connection)
                raise self._unreachable_refusal(error) from error
            except BaseException:
                self.pool.discard(connection)
                raise
        return self._register(request, connection, state.term)

    def _register(
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
            last_used_at=now,
        )
        self.transactions.add(transaction)
        return transaction

    async def _acquire_connection(
        self, deadline: int
    ) -> interfaces.TargetConnection:
        remaining = deadline - self.context.clock.now()
        try:
            return await self.pool.acquire(max(1, remaining))
        except exceptions.TargetError as error:
            raise self._unreachable_refusal(error) from error

    def _find_transaction(
        self, request: types.Request
    ) -> transactions_module.Transaction:
        transaction = self.transactions.by_id.get(request.transaction_id)
        if transaction is None:
            raise not_open_refusal(self.ended_transactions, request)
        if transaction.account != request.account:
            raise self.admission.refusal(
                'transaction_account_mismatch',
                'the transaction is of another account',
            )
        return transaction

    def _use_exclusively(
        self,
        transaction: transactions_module.Transaction,
        request: types.Request,
        deadline: int,
    ) -> '_ExclusiveUse':
        return _ExclusiveUse(self, transaction, request, deadline)

    async def _send_call(
        self,
        transaction: transactions_module.Transaction,
        request: types.Request,
        call: messages.Call,
        deadline: int,
    ) -> messages.Answer:
        clock = self.context.clock
        weight = self.admission.account_weight(request.account)
        connection = transaction.connection
        async with self.scheduler.slot(request.account, weight, deadline):
            self.check_open(transaction, request)
            transaction.commit_sent = isinstance(call, messages.Commit)
            try:
                return await connection.call(
                    call, max(1, deadline - clock.now())
                )
            except exceptions.AnswerLost as error:
                raise self._abort_as_lost(transaction, str(error)) from error
            except exceptions.TargetError as error:
                transaction.commit_sent = False
                raise self._abort_as_lost(transaction, str(error)) from error
            except BaseException:
                # The request was cancelled; its late answer must not be taken
                # for the answer to another call.
                self.transactions.abort(transaction, 'the caller is gone')
                raise

    def check_open(
        self,
        transaction: transactions_module.Transaction,
        request: types.Request,
    ) -> None:
        """Check that the request may use the transaction.

        Raises ``RequestRefused`` if it may not.
        """
        if transaction.transaction_id not in self.transactions.by_id:
            raise not_open_refusal(self.ended_transactions, request)
        self.admission.check_request(request)

    def _abort_as_lost(
        self, transaction: transactions_module.Transaction, reason: str
    ) -> refusals.RequestRefused:
        self.transactions.abort(transaction, reason)
        ended = self.ended_transactions.get(transaction.transaction_id)
        assert ended is not None
        return _refusal_from(ended.outcome, self.target.target_id)

    async def _confirm_commit(
        self,
        transaction: transactions_module.Transaction,
        answer: messages.Answer,
        deadline: int,
    ) -> types.Done:
        failure = answer.failure
        if failure and failure.ran is False and failure.code != 'conflict':
            raise self.admission.refusal('transaction_lost', failure.message)
        self.runner.require_success(answer)
        await self.writes.wait_for_confirmation(answer, deadline)
        return types.Done(
            rows=answer.rows,
            position=answer.position,
            target_id=self.target.target_id,
            role=answer.state.role,
            transaction_id=transaction.transaction_id,
            replayed=answer.replayed,
        )

    def _end_transaction(
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

    def _unreachable_refusal(
        self, error: exceptions.TargetError
    ) -> refusals.RequestRefused:
        return refusals.not_run(
            'target_unreachable',
            error.message,
            step=error.step,
            peer=error.peer or self.target.target_id,
        )


@dataclasses.dataclass(frozen=True)
class _ExclusiveUse:
    """Gives one request at a time the use of a transaction."""

    requests: TransactionRequests
    transaction: transactions_module.Transaction
    request: types.Request
    deadline: int

    async def __aenter__(self) -> None:
        clock = self.requests.context.clock
        remaining = self.deadline - clock.now()
        try:
            await context_module.wait_for(
                clock, self.transaction.lock.acquire(), remaining
            )
        except TimeoutError:
            raise self.requests.admission.refusal(
                'deadline_unattainable',
                'another request of the transaction is running',
            ) from None
        try:
            self.requests.check_open(self.transaction, self.request)
        except BaseException:
            self.transaction.lock.release()
            raise

    async def __aexit__(self, *_: object) -> None:
        self.transaction.last_used_at = self.requests.context.clock.now()
        self.transaction.lock.release()


def not_open_refusal(
    ended_transactions: transactions_module.EndedTransactions,
    request: types.Request,
) -> refusals.RequestRefused:
    """Return the error for a transaction that isn't open on this host.

    If it isn't known how the transaction ended, the outcome of a commit is
    unknown: an earlier attempt may have sent it.
    """
    ended = ended_transactions.get(request.transaction_id)
    if ended is not None and ended.account != request.account:
        return refusals.not_run(
            'transaction_account_mismatch',
            'the transaction is of another account',
            step='transaction',
            peer=request.target_id,
        )
    if ended is None:
        is_commit = request.operation == 'commit'
        make_refusal = refusals.unknown if is_commit else refusals.not_run
        return make_refusal(
            'transaction_lost',
            'the transaction is not open on this gateway',
            step='transaction',
            peer=request.target_id,
        )
    if request.operation == 'commit' and not isinstance(
        ended.outcome, types.Done
    ):
        return _refusal_from(ended.outcome, request.target_id)
    return refusals.not_run(
        'transaction_lost',
        'the transaction has ended',
        step='transaction',
        peer=request.target_id,
    )


def repeated_commit_outcome(
    ended_transactions: transactions_module.EndedTransactions,
    request: types.Request,
) -> types.Done | None:
    """Return the outcome of the earlier commit that a request repeats.

    None if there was no successful commit or the account differs.
    """
    ended = ended_transactions.get(request.transaction_id)
    if ended is None or ended.account != request.account:
        return None
    if request.operation == 'commit' and isinstance(ended.outcome, types.Done):
        return ended.outcome
    return None


def _refusal_from(
    outcome: types.Outcome, target_id: str
) -> refusals.RequestRefused:
    assert not isinstance(outcome, types.Done)
    return refusals.RequestRefused(outcome, step='transaction', peer=target_id)


def _done_or_raise(outcome: types.Outcome, target_id: str) -> types.Done:
    if isinstance(outcome, types.Done):
        return outcome
    raise _refusal_from(outcome, target_id)
