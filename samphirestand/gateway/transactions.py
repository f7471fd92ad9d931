"""Open transactions and the connections that they occupy."""

import asyncio
import dataclasses

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import connection as connection_module
from samphirestand.gateway import group as group_module
from samphirestand.gateway import pool as pool_module
from samphirestand.gateway import replies
from samphirestand.gateway import slot_queue
from samphirestand import log
from samphirestand.platform import wire
from samphirestand import work as work_module

__all__ = ['GatewayTransactions', 'Transaction']

_log = log.get_logger(__name__)


@dataclasses.dataclass(eq=False)
class Transaction:
    """An open transaction and the connection that it occupies."""

    pool: pool_module.TargetPool
    connection: connection_module.TargetConnection
    last_used_ms: int
    is_running: bool = True


class GatewayTransactions:
    """The open transactions of one gateway, by entry host and number.

    The entry host, to which the caller is connected, assigns the number.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        group: group_module.TargetGroup,
        queue: slot_queue.SlotQueue,
    ) -> None:
        self._clock = clock
        self._group = group
        self._queue = queue
        self._open_by_key: dict[tuple[str, int], Transaction] = {}

    def __len__(self) -> int:
        return len(self._open_by_key)

    def register(
        self,
        entry_host: str,
        number: int,
        pool: pool_module.TargetPool,
        connection: connection_module.TargetConnection,
    ) -> Transaction:
        """Record a transaction before its first statement is sent.

        It can then be rolled back if the caller disconnects meanwhile.
        """
        transaction = Transaction(pool, connection, self._clock.now())
        pool.pinned_count += 1
        self._open_by_key[entry_host, number] = transaction
        return transaction

    def remove(self, entry_host: str, number: int) -> Transaction | None:
        """Remove a transaction; its connection is left to the calling code."""
        transaction = self._open_by_key.pop((entry_host, number), None)
        if transaction is not None:
            transaction.pool.pinned_count -= 1
        return transaction

    async def run_statement(
        self,
        entry_host: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal,
    ) -> work_module.Outcome:
        """Run a statement, COMMIT or ROLLBACK in an open transaction."""
        transaction = self._open_by_key.get((entry_host, work.transaction))
        if transaction is None or transaction.is_running:
            return work_module.Refused('ABORTED', 'the transaction is gone')
        pool, connection = transaction.pool, transaction.connection
        closure = self._group.closure(False, pool)
        if closure is not None:
            self._end(entry_host, work.transaction, closure.reason)
            return work_module.Refused('ABORTED', closure.reason)
        transaction.is_running = True
        is_end = work.stage is work_module.Stage.END
        slot_request = slot_queue.SlotRequest(
            work,
            self._clock.now(),
            False,
            asyncio.get_running_loop().create_future(),
            pinned_pool=pool,
            withdrawal=withdrawal,
        )
        needs_slot = not is_end or work.commits
        if needs_slot:
            slot_pool = await self._queue.wait_for_slot(slot_request)
            if isinstance(slot_pool, exceptions.Sentinel):
                self.remove(entry_host, work.transaction)
                pool.discard(connection)
                return work_module.Refused('ABORTED', slot_pool.reason)
        sent_ms = self._clock.now()
        concurrency = pool.concurrency
        is_sent = False
        try:
            # Sent together: if a step fails, the target refuses all further
            # statements of the transaction.
            steps = connection.preparation(work).steps
            statement = connection_module.TargetStatement(
                work.request_id, connection.text(work)
            )
            is_sent = True
            *step_replies, reply = await pool.run(
                connection,
                [*steps, statement],
                slot_request.remaining_ms(self._clock.now()),
            )
            code = replies.first_error(step_replies)
            if code is not None:
                self.remove(entry_host, work.transaction)
                pool.discard(connection)
                return work_module.Refused('ABORTED', f'prepare: {code}')
        except exceptions.AnswerLost as error:
            self.remove(entry_host, work.transaction)
            pool.discard(connection)
            replies.log_lost_answer(pool, work, error, is_sent=is_sent)
            is_sent &= not isinstance(error, exceptions.NotSent)
            if work.commits and work.wrote_before and is_sent:
                return work_module.Lost(str(error))
            return work_module.Refused('ABORTED', str(error))
        finally:
            if needs_slot:
                self._queue.release_slot(pool)
        transaction.is_running = False
        transaction.last_used_ms = self._clock.now()
        if is_end or reply.state == wire.STATE_IDLE:
            self.remove(entry_host, work.transaction)
            replies.return_connection(pool, connection, reply)
            self._queue.assign_slots()
        if reply.error is not None:
            if reply.error.code == 'READONLY':
                self._group.mark_not_primary(pool)
            return replies.failed_outcome(pool, reply)
        if needs_slot:
            pool.record_sample(work, concurrency, sent_ms)
        if work.commits and work.wrote_before and reply.position is not None:
            self._group.record_commit(pool, sent_ms, reply.position)
        return replies.answered_outcome(pool, reply)

    def end_closed(self) -> None:
        """End transactions whose target may get nothing more.

        For zones that are evacuated, and targets that drain, while callers
        hold transactions open. The connection is closed, after which the
        target rolls back.
        """
        for key, transaction in list(self._open_by_key.items()):
            closure = self._group.closure(False, transaction.pool)
            if closure is not None and not transaction.is_running:
                self._end(*key, closure.reason)

    def _end(self, entry_host: str, number: int, reason: str) -> None:
        """End a transaction without sending anything to its target."""
        transaction = self.remove(entry_host, number)
        assert transaction is not None
        transaction.pool.discard(transaction.connection)
        _log.info(
            'transaction_ended',
            owner=entry_host,
            number=number,
            target=transaction.pool.target.target_id,
            reason=reason,
        )

    async def roll_back_abandoned(self, entry_host: str, number: int) -> None:
        """Roll back a transaction whose caller has disconnected."""
        transaction = self.remove(entry_host, number)
        if transaction is None:
            return
        pool, connection = transaction.pool, transaction.connection
        if transaction.is_running:
            pool.discard(connection)
            return
        step = connection_module.TargetStatement(
            wire.PROXY_REQUEST_ID, wire.ROLLBACK
        )
        try:
            await pool.run(connection, [step], pool_module.PROBE_TIMEOUT_MS)
        except exceptions.AnswerLost as error:
            _log.info('rollback_lost', reason=str(error))
            pool.discard(connection)
            return
        pool.checkin(connection)
        self._queue.assign_slots()

    async def roll_back_all_abandoned(self, entry_host: str) -> None:
        """Roll back all transactions of an entry host that disconnected."""
        for each, number in list(self._open_by_key):
            if each == entry_host:
                await self.roll_back_abandoned(each, number)

    async def roll_back_idle(self, max_idle_ms: int) -> None:
        """Roll back transactions that were idle for longer than a limit.

        The entry host ends a transaction before that. It has given up the
        ones that are left, but the message was lost.
        """
        used_before_ms = self._clock.now() - max_idle_ms
        for key, transaction in list(self._open_by_key.items()):
            if (
                not transaction.is_running
                and transaction.last_used_ms < used_before_ms
            ):
                entry_host, number = key
                _log.info(
                    'orphaned_transaction',
                    owner=entry_host,
                    number=number,
                    target=transaction.pool.target.target_id,
                )
                await self.roll_back_abandoned(entry_host, number)
