"""Open transactions on a target, each bound to one connection."""

import asyncio
import collections
import collections.abc
import dataclasses

from samphirestand import interfaces
from samphirestand.targets import context as context_module
from samphirestand import types

IDLE_LIMIT_MS = 30_000
AGE_LIMIT_MS = 60_000
CHECK_INTERVAL_MS = 250
# Outcomes of ended transactions are kept so that a repeated commit gets the
# same answer.
MAX_ENDED_TRANSACTIONS = 10_000


@dataclasses.dataclass
class Transaction:
    """An open transaction; ``lock`` allows one request at a time."""

    transaction_id: str
    account: str
    key_id: str
    term: int
    connection: interfaces.TargetConnection
    started_at: int
    last_used_at: int
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    commit_sent: bool = False


@dataclasses.dataclass(frozen=True)
class EndedTransaction:
    """An ended transaction; later requests get its ``outcome``."""

    account: str
    outcome: types.Outcome


class EndedTransactions:
    """The most recently ended transactions of a host, by id."""

    def __init__(self) -> None:
        self._ended_by_id: collections.OrderedDict[str, EndedTransaction] = (
            collections.OrderedDict()
        )

    def add(self, transaction: Transaction, outcome: types.Outcome) -> None:
        """Record ``outcome``, and drop the oldest one above the limit."""
        ended = EndedTransaction(transaction.account, outcome)
        self._ended_by_id[transaction.transaction_id] = ended
        while len(self._ended_by_id) > MAX_ENDED_TRANSACTIONS:
            self._ended_by_id.popitem(last=False)

    def get(self, transaction_id: str) -> EndedTransaction | None:
        """Return the ended transaction, or None if it isn't known."""
        return self._ended_by_id.get(transaction_id)


class TargetTransactions:
    """The open transactions on one target."""

    def __init__(
        self,
        context: context_module.Context,
        ended_transactions: EndedTransactions,
        limit: int,
        account_limit: int,
        discard_connection: collections.abc.Callable[
            [interfaces.TargetConnection], None
        ],
    ) -> None:
        self.by_id: dict[str, Transaction] = {}
        self._context = context
        self._ended_transactions = ended_transactions
        self._limit = limit
        self._account_limit = account_limit
        self._discard_connection = discard_connection
        self._reserved_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    def has_capacity(self, account: str) -> bool:
        """Tell whether ``account`` may begin one more transaction.

        Each transaction uses a connection. The number of transactions is
        limited for each account and for the target.
        """
        account_count = sum(
            each.account == account for each in self.by_id.values()
        )
        account_count += self._reserved_by_account[account]
        total = len(self.by_id) + self._reserved_by_account.total()
        return account_count < self._account_limit and total < self._limit

    def reserve(self, account: str) -> None:
        """Count a transaction that is about to begin towards the limits."""
        self._reserved_by_account[account] += 1

    def release_reservation(self, account: str) -> None:
        """Undo ``reserve`` once the transaction was added or has failed."""
        self._reserved_by_account[account] -= 1
        if not self._reserved_by_account[account]:
            del self._reserved_by_account[account]

    def add(self, transaction: Transaction) -> None:
        """Add a transaction that has begun."""
        self.by_id[transaction.transaction_id] = transaction

    def end(self, transaction: Transaction, outcome: types.Outcome) -> None:
        """Remove an ended transaction and record its outcome."""
        if self.by_id.pop(transaction.transaction_id, None) is not None:
            self._ended_transactions.add(transaction, outcome)

    def abort(self, transaction: Transaction, reason: str) -> None:
        """End a transaction by closing its connection.

        The server then rolls it back, unless its commit was sent before: the
        outcome is unknown in that case.
        """
        self._discard_connection(transaction.connection)
        if transaction.commit_sent:
            outcome: types.Outcome = types.Unknown('transaction_lost', reason)
        else:
            outcome = types.NotRun('transaction_lost', reason)
        self._context.metrics.count('transactions_aborted')
        self.end(transaction, outcome)

    def abort_all(self, reason: str) -> None:
        """Abort every open transaction."""
        for transaction in list(self.by_id.values()):
            self.abort(transaction, reason)

    async def run(self) -> None:
        """Abort transactions that exceed a limit, until cancelled."""
        while True:
            await self._context.clock.sleep(CHECK_INTERVAL_MS)
            self.abort_expired()

    def abort_expired(self) -> None:
        """Abort transactions that are idle, too old or of a withdrawn key."""
        now = self._context.clock.now()
        for transaction in list(self.by_id.values()):
            reason = self._reason_to_abort(transaction, now)
            if reason:
                self.abort(transaction, reason)

    def _reason_to_abort(self, transaction: Transaction, now: int) -> str:
        keys = self._context.configuration.current.keys_by_id
        key = keys.get(transaction.key_id)
        if transaction.key_id and (key is None or key.withdrawn):
            # The key was still valid when the commit was sent.
            if transaction.commit_sent:
                return ''
            return f'the key {transaction.key_id} was withdrawn'
        if now - transaction.started_at > AGE_LIMIT_MS:
            return f'the transaction is older than {AGE_LIMIT_MS} ms'
        is_idle = not transaction.lock.locked()
        if is_idle and now - transaction.last_used_at > IDLE_LIMIT_MS:
            return f'the transaction was idle for {IDLE_LIMIT_MS} ms'
        return ''
