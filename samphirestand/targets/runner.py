"""Sends single statements to a target, with retries where allowed."""

import collections.abc

from samphirestand import exceptions
from samphirestand.targets import admission as admission_module
from samphirestand.targets import breaker as breaker_module
from samphirestand.targets import connections
from samphirestand.targets import context as context_module
from samphirestand.targets import messages
from samphirestand.targets import refusals
from samphirestand.targets import scheduler as scheduler_module
from samphirestand import types

RETRY_PAUSE_MS = 20


class Runner:
    """Sends calls with a slot of the scheduler and a pooled connection."""

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        admission: admission_module.Admission,
        scheduler: scheduler_module.Scheduler,
        pool: connections.GatewayPool,
    ) -> None:
        self._context = context
        self._target = target
        self._admission = admission
        self._scheduler = scheduler
        self._pool = pool
        self._retry_budget = breaker_module.RetryBudget(context.clock)

    async def run(
        self,
        request: types.Request,
        make_call: collections.abc.Callable[[], messages.Call],
        deadline: int,
    ) -> messages.Answer:
        """Run a statement and return the target's answer.

        ``make_call`` is called once a slot is taken and may raise
        ``RequestRefused``. A failed call is retried if it certainly wasn't
        sent or if the request is repeatable, as far as the deadline and the
        retry budget allow. Raises ``RequestRefused``, with an unknown outcome
        once the answer of any attempt was lost.
        """
        self._retry_budget.count_request()
        was_attempt_lost = False
        while True:
            try:
                return await self._run_attempt(request, make_call, deadline)
            except refusals.RequestRefused as refused:
                if not was_attempt_lost:
                    raise
                raise refusals.as_unknown(refused) from refused
            except exceptions.TargetError as error:
                was_sent = isinstance(error, exceptions.AnswerLost)
                was_attempt_lost = was_attempt_lost or was_sent
                may_repeat = request.repeatable or not was_sent
                if not may_repeat or not self._may_retry(deadline):
                    raise self._attempt_refusal(
                        error, was_attempt_lost
                    ) from error
            self._context.metrics.count('retries')
            await self._context.clock.sleep(RETRY_PAUSE_MS)

    def _may_retry(self, deadline: int) -> bool:
        now = self._context.clock.now()
        return (
            now + RETRY_PAUSE_MS < deadline and self._retry_budget.take_retry()
        )

    def _attempt_refusal(
        self, error: exceptions.TargetError, was_attempt_lost: bool
    ) -> refusals.RequestRefused:
        make_refusal = (
            refusals.unknown if was_attempt_lost else refusals.not_run
        )
        return make_refusal(
            'answer_lost' if was_attempt_lost else 'target_unreachable',
            error.message,
            step=error.step,
            peer=error.peer or self._target.target_id,
        )

    async def _run_attempt(
        self,
        request: types.Request,
        make_call: collections.abc.Callable[[], messages.Call],
        deadline: int,
    ) -> messages.Answer:
        clock = self._context.clock
        weight = self._admission.account_weight(request.account)
        async with self._scheduler.slot(request.account, weight, deadline):
            # The key, the lock or the role may have changed while the request
            # waited in the queue.
            self._admission.check_request(request)
            call = make_call()
            connection = await self._pool.acquire(deadline - clock.now())
            try:
                # The entry host shortens the deadline of the first attempt at
                # a repeatable request, so that a silent connection leaves
                # time for another one. Shortening it here, too, would end
                # slow statements.
                answer = await connection.call(
                    call, max(1, deadline - clock.now())
                )
            except BaseException:
                # A connection with an unanswered call must not be reused: the
                # late answer could be taken for that of the next call.
                self._pool.discard(connection)
                raise
            self._pool.release(connection)
        return self.require_success(answer)

    def require_success(self, answer: messages.Answer) -> messages.Answer:
        """Return ``answer``; raise ``RequestRefused`` if it has a failure."""
        failure = answer.failure
        if failure is None:
            return answer
        # The target refused this attempt because another attempt of the same
        # request is running, whose outcome isn't known yet.
        is_undecided = failure.code == 'duplicate_in_progress'
        is_refused = failure.ran is False and not is_undecided
        make_refusal = refusals.not_run if is_refused else refusals.unknown
        raise make_refusal(
            _refusal_code(failure),
            failure.message,
            step='target',
            peer=self._target.target_id,
        )


def _refusal_code(failure: messages.Failure) -> str:
    match failure.code:
        case 'stale_term':
            return 'not_primary'
        case 'lock_required':
            return 'not_gateway'
        case _:
            return failure.code
