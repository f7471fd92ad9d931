"""The gateway of one target, which alone runs statements on it."""

import asyncio

import structlog

from samphirestand import exceptions
from samphirestand.targets import admission as admission_module
from samphirestand.targets import ages as ages_module
from samphirestand.targets import breaker as breaker_module
from samphirestand.targets import confirmation as confirmation_module
from samphirestand.targets import connections
from samphirestand.targets import context as context_module
from samphirestand.targets import failover as failover_module
from samphirestand.targets import probe as probe_module
from samphirestand.targets import reads as reads_module
from samphirestand.targets import refusals
from samphirestand.targets import replacement as replacement_module
from samphirestand.targets import runner as runner_module
from samphirestand.targets import scheduler as scheduler_module
from samphirestand.targets import transaction_requests
from samphirestand.targets import transactions as transactions_module
from samphirestand.targets import writes as writes_module
from samphirestand import types

LOG = structlog.get_logger()

# One connection for the lock, three reserved for control connections of
# other hosts, and one for waiting on log positions.
CONNECTIONS_OUTSIDE_POOL = 5
FRESH_PROBE_TIMEOUT_MS = 1_000
DRAIN_CHECK_MS = 20


class TargetGateway:
    """Runs the requests of one target while this host holds its lock."""

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        ended_transactions: transactions_module.EndedTransactions,
    ) -> None:
        self.target = target
        self._context = context
        self._ended_transactions = ended_transactions
        self._running_requests = 0
        self._is_closing = False
        self._tasks: list[asyncio.Task[None]] = []

        # All work below depends on the lock, which the probe acquires.
        breaker = breaker_module.CircuitBreaker(context.clock, context.rng)
        self.probe = probe_module.Probe(
            context, target, breaker, self._handle_lock_loss
        )
        self.confirmation = confirmation_module.TermConfirmation(
            context, target
        )
        self.replica_ages = ages_module.ReplicaAges()
        self.admission = admission_module.Admission(
            context, target, self.probe, self.confirmation
        )

        # Transactions don't use the whole pool: they leave it as many
        # connections as the target has slots, so that single statements
        # always find one.
        size = max(2, target.connections - CONNECTIONS_OUTSIDE_POOL)
        self._pool = connections.GatewayPool(context, target, size)
        self._scheduler = scheduler_module.Scheduler(
            context.clock, target.slots, target.target_id
        )
        self.transactions = transactions_module.TargetTransactions(
            context,
            ended_transactions,
            max(1, size - target.slots),
            max(1, size // 2),
            self._pool.discard,
        )
        runner = runner_module.Runner(
            context, target, self.admission, self._scheduler, self._pool
        )
        self._reads = reads_module.Reads(
            context,
            target,
            self.admission,
            self.probe,
            self.confirmation,
            self.replica_ages,
            runner,
        )
        self._writes = writes_module.Writes(
            context, target, self.admission, self.confirmation, runner
        )
        self._transaction_requests = transaction_requests.TransactionRequests(
            context,
            target,
            self.admission,
            self._scheduler,
            self._pool,
            self.transactions,
            ended_transactions,
            runner,
            self._writes,
        )

        # Failover of the primary, and its planned replacement.
        replacement = replacement_module.Replacement(
            context,
            target,
            self.probe,
            self.admission,
            self.transactions,
            lambda: self._running_requests,
        )
        self.failover = failover_module.Failover(
            context,
            target,
            self.probe,
            self.confirmation,
            self.replica_ages,
            replacement,
        )

    @property
    def running_requests(self) -> int:
        """Return the number of requests in progress."""
        return self._running_requests

    def start(self) -> None:
        """Start the background tasks of the gateway."""
        coroutines = (
            self.probe.run(),
            self.transactions.run(),
            self.failover.run(),
        )
        for coroutine in coroutines:
            self._tasks.append(asyncio.ensure_future(coroutine))
            self._tasks[-1].add_done_callback(self._log_ended_task)

    async def stop(self) -> None:
        """Finish the requests in progress, then release the lock.

        Open transactions may continue up to their own limits. Until then
        other statements still run here, because no other host can get the
        lock.
        """
        reason = 'the gateway is moving to another host'
        self.admission.transaction_hold_reason = reason
        clock = self._context.clock
        while self.transactions.by_id:
            await clock.sleep(DRAIN_CHECK_MS)
        self._is_closing = True
        while self._running_requests:
            await clock.sleep(DRAIN_CHECK_MS)
        self._pool.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.probe.close()

    async def run(self, request: types.Request) -> types.Outcome:
        """Run a request; a refusal is returned as its outcome."""
        deadline = self._context.clock.now() + request.deadline_ms
        self._running_requests += 1
        try:
            return await self._dispatch(request, deadline)
        except refusals.RequestRefused as refused:
            self._context.metrics.count(f'refused_{refused.outcome.code}')
            return refused.outcome
        except exceptions.SamphirestandError as error:
            # The request may have been sent to the target before the error.
            LOG.exception('request failed', step=error.step, peer=error.peer)
            return types.Unknown('internal_error', str(error))
        finally:
            self._running_requests -= 1

    async def status(
        self, for_write: types.Position | None, wait_ms: int
    ) -> types.TargetStatus | None:
        """Return the target's state; None without an answer or the lock.

        Without ``for_write`` the state comes from a probe sent after this
        call. With it, the state contains that position or is the latest one
        known after ``wait_ms``.
        """
        asked_at = self._context.clock.now()
        if for_write is None:
            state = await self.probe.fetch_state(FRESH_PROBE_TIMEOUT_MS)
        else:
            state = await self.probe.wait_for_position(for_write, wait_ms)
        if state is None:
            return None
        age_ms = self._context.clock.now() - asked_at
        return types.TargetStatus(
            state, age_ms, self.failover.suspects_primary
        )

    async def _dispatch(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        requests = self._transaction_requests
        if self._is_closing:
            host = self._context.membership.gateway_host(self.target)
            hint = host.host_id if isinstance(host, types.Host) else ''
            raise self.admission.refusal(
                'not_gateway', 'the gateway has moved', hint=hint
            )
        match request.operation:
            case 'statement':
                return await requests.statement(request, deadline)
            case 'commit':
                return await requests.commit(request, deadline)
            case 'rollback':
                return await requests.rollback(request, deadline)
        self.admission.check_request(request)
        match request.operation, request.mode:
            case 'execute', types.Mode.READ:
                return await self._reads.run(request, deadline)
            case 'execute', types.Mode.WRITE:
                return await self._writes.run(request, deadline)
            case 'begin', _:
                return await requests.begin(request, deadline)
        raise self.admission.refusal(
            'bad_request', f'no operation {request.operation}'
        )

    def _log_ended_task(self, task: asyncio.Task[None]) -> None:
        # These tasks run until they are cancelled, so any other end is an
        # error.
        if not task.cancelled():
            LOG.error(
                'gateway task ended',
                step='gateway',
                peer=self.target.target_id,
                exc_info=task.exception(),
            )

    def _handle_lock_loss(self) -> None:
        # The server has closed, or will close, this host's connections.
        self.transactions.abort_all('the gateway lost the lock of the target')
        self._pool.close()
