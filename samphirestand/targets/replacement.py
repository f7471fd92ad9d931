"""Planned replacement of a primary whose target was retired."""

import collections.abc

import structlog

from samphirestand import exceptions
from samphirestand.targets import admission as admission_module
from samphirestand.targets import context as context_module
from samphirestand.targets import election as election_module
from samphirestand.targets import probe as probe_module
from samphirestand.targets import transactions as transactions_module
from samphirestand import types

LOG = structlog.get_logger()

# Single statements are accepted this long while transactions finish. No new
# work may be accepted later than 5 s after the retirement.
STATEMENT_GRACE_MS = 4_000
TRANSACTION_GRACE_MS = 30_000
CATCH_UP_TIMEOUT_MS = 500
STATUS_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 500


class Replacement:
    """Replaces this target as primary once it is retired.

    Meanwhile new work is refused, so that the entry hosts hold it. Open
    transactions get 30 s to finish, and a replica catches up before the
    election.
    """

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        probe: probe_module.Probe,
        admission: admission_module.Admission,
        transactions: transactions_module.TargetTransactions,
        count_running: collections.abc.Callable[[], int],
    ) -> None:
        self._context = context
        self._target = target
        self._probe = probe
        self._admission = admission
        self._transactions = transactions
        self._count_running = count_running
        self._hold_started_at: int | None = None

    def cancel(self) -> None:
        """Stop refusing work because of the replacement.

        Other checks, such as of the target's role, still apply.
        """
        if self._hold_started_at is not None:
            self._hold_started_at = None
            self._admission.work_hold_reason = ''
            self._admission.transaction_hold_reason = ''

    async def advance(
        self, state: types.TargetState, may_promote: bool
    ) -> None:
        """Take the next step of the replacement, or cancel it.

        A replacement needs a retired target, a successor and the permission
        to promote.
        """
        successors = await self._successors(state)
        if not self._admission.current_target().retired or not may_promote:
            successors = []
        if not successors:
            self.cancel()
            return
        if self._hold_new_work():
            await self._elect_successor(successors)

    def _hold_new_work(self) -> bool:
        """Refuse new work; true once the election may start.

        That is when the work in progress is finished, or after
        ``TRANSACTION_GRACE_MS``.
        """
        now = self._context.clock.now()
        if self._hold_started_at is None:
            self._hold_started_at = now
        elapsed = now - self._hold_started_at
        reason = 'the retired primary is being replaced'
        self._admission.transaction_hold_reason = reason
        is_busy = bool(self._transactions.by_id)
        if is_busy and elapsed < STATEMENT_GRACE_MS:
            return False
        self._admission.work_hold_reason = reason
        is_busy = is_busy or self._count_running() > 0
        return not is_busy or elapsed >= TRANSACTION_GRACE_MS

    async def _successors(
        self, state: types.TargetState
    ) -> list[types.Target]:
        """Return the targets that may become primary.

        These are the service's other targets that aren't retired and answer
        with the primary's term.
        """
        if not self._admission.current_target().retired:
            return []
        current = self._context.configuration.current
        successors = []
        for target in current.targets_by_id.values():
            is_other = target.target_id != self._target.target_id
            is_other_of_service = (
                target.service == self._target.service and is_other
            )
            if not is_other_of_service or target.retired:
                continue
            status = await self._context.router.target_status(
                target.target_id, None, 0, STATUS_TIMEOUT_MS
            )
            if isinstance(status, types.TargetStatus) and (
                status.state.term == state.term
            ):
                successors.append(target)
        return successors

    async def _elect_successor(self, successors: list[types.Target]) -> None:
        state = await self._probe.fetch_state(PROBE_TIMEOUT_MS)
        if state is None:
            return
        for target in successors:
            if not await self._has_caught_up(target, state.position):
                continue
            result = await election_module.Election(
                self._context,
                context_module.service_targets(self._context, self._target),
                f'{self._target.target_id} is retired',
            ).run(state.term, target.target_id, self._target.target_id)
            if isinstance(result, exceptions.Sentinel):
                LOG.warning(
                    'planned election without a result',
                    step='election',
                    peer=self._target.service,
                    reason=result.reason,
                )
            await self._probe.fetch_state(PROBE_TIMEOUT_MS)
            return

    async def _has_caught_up(
        self, target: types.Target, position: types.Position
    ) -> bool:
        status = await self._context.router.target_status(
            target.target_id,
            position,
            CATCH_UP_TIMEOUT_MS,
            CATCH_UP_TIMEOUT_MS + STATUS_TIMEOUT_MS,
        )
        return isinstance(
            status, types.TargetStatus
        ) and status.state.history.contains(position)
