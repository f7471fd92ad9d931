"""The request path on the entry host, which receives a caller's request."""

import asyncio
import dataclasses
import random
from typing import Protocol

from samphirestand.callers import authentication
from samphirestand.callers import holding
from samphirestand.callers import models
from samphirestand.callers import refusals as refusals_module
from samphirestand.callers import targeting
from samphirestand.callers import tokens
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import types

# Refusals after which a request is sent again: nothing ran, and the cause
# ends when the service gets a primary, a gateway moves or a target is
# replaced.
RETRYABLE_CODES = frozenset(
    {
        'not_gateway',
        'not_primary',
        'primary_unconfirmed',
        'target_unreachable',
        'target_leaving',
        'draining',
        # A replica's refusal from the target that the route names as primary:
        # the route is out of date, and a newer one will arrive.
        'replica_behind',
        'replica_too_old',
    }
)

# The same for a request in a transaction. A transaction is bound to one
# connection of one gateway, so a change of gateway or primary ends it.
RETRYABLE_CODES_IN_TRANSACTION = frozenset(
    {'primary_unconfirmed', 'target_unreachable'}
)

# Refusals of a replica after which no other target is tried, because the
# primary would refuse as well. `session_position_discarded` is not among
# them: a replica that is cut off may not know the newest history.
FINAL_REPLICA_CODES = frozenset(
    {
        'bad_request',
        'bad_statement',
        'conflict',
        'key_unknown',
        'key_withdrawn',
        'service_unknown',
    }
)

MAX_REPLICA_ATTEMPTS = 2

# The first attempt of a repeatable request gets half of the time left if that
# is at least this much, so that there is time for another attempt when a
# connection is silent.
MIN_FIRST_ATTEMPT_MS = 500

_log = log.get_logger(__name__)


class RateLimiter(Protocol):
    """The rate limiter, as the entry uses it."""

    async def admit(
        self, account: str, deadline_ms: int
    ) -> types.NotRun | None:
        """Take a token of ``account``; return a refusal if there is none."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """An outcome and the new session token; empty if there is none."""

    outcome: types.Outcome
    session_token: str = ''


class CancellationToken:
    """Tells the entry that the caller has disconnected.

    A request that waits to be sent is cancelled. One that was sent runs to
    its end, because its outcome must be recorded, and isn't sent again.

    It is used as a context manager around each wait during which nothing
    has been sent; only these waits are cancelled.
    """

    def __init__(self) -> None:
        self.is_abandoned = False
        self._waiting_task: asyncio.Task[object] | None = None

    def abandon(self) -> None:
        """Record that the caller has disconnected; cancel a current wait."""
        self.is_abandoned = True
        if self._waiting_task is not None:
            self._waiting_task.cancel()

    def __enter__(self) -> None:
        """Mark the begin of a wait that may be cancelled."""
        self._waiting_task = asyncio.current_task()

    def __exit__(self, *error: object) -> None:
        """Mark the end of the wait that may be cancelled."""
        self._waiting_task = None


@dataclasses.dataclass
class _AdmittedRequest:
    """A request that was admitted, and the state of its attempts."""

    call: models.Call
    caller: authentication.Caller
    session: tokens.Session
    deadline_ms: int  # on this host's clock
    cancellation: CancellationToken
    attempts: int = 0
    may_have_run: bool = False
    was_attempt_shortened: bool = False

    @property
    def position(self) -> types.Position | None:
        return self.session.position(self.call.service)

    def outcome_for_caller(self, outcome: types.Outcome) -> types.Outcome:
        """Return ``outcome``, or unknown for a refusal after a lost answer.

        A refusal says that nothing ran, which isn't certain if an earlier
        attempt may have run.
        """
        if self.may_have_run and isinstance(outcome, types.NotRun):
            return types.Unknown(
                outcome.code,
                f'an earlier attempt may have run; then: {outcome.reason}',
            )
        return outcome


@dataclasses.dataclass(frozen=True)
class _Refusal:
    """A refusal before the request was sent, and the step that refused."""

    step: str
    account: str
    outcome: types.NotRun


class Entry:
    """Authenticates, admits and routes callers' requests."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        rng: random.Random,
        configuration: interfaces.ConfigurationSource,
        routes: interfaces.Routes,
        router: interfaces.Router,
        membership: interfaces.Membership,
        limiter: RateLimiter,
        signer: tokens.TokenSigner,
        metrics: metrics_module.Metrics,
        refusals: refusals_module.RecentRefusals | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._routes = routes
        self._router = router
        self._limiter = limiter
        self._signer = signer
        self._metrics = metrics
        # An empty store is falsy, so compare with None: `or` would replace it.
        if refusals is None:
            refusals = refusals_module.RecentRefusals()
        self.refusals = refusals
        self._target_selector = targeting.TargetSelector(
            clock, rng, routes, membership.local.zone
        )
        self._retry_queues_by_service: dict[str, holding.RetryQueue] = {}

    async def handle(
        self,
        call: models.Call,
        authorization: str | None,
        cancellation: CancellationToken,
    ) -> Reply:
        """Run a request; ``authorization`` is the header of that name.

        Raises only ``CancelledError``, after ``cancellation`` was abandoned.
        """
        started_ms = self._clock.now()
        try:
            admitted = await self._admit(call, authorization, cancellation)
            if isinstance(admitted, _Refusal):
                self._record_outcome(
                    call, admitted.account, admitted.step, admitted.outcome
                )
                return Reply(admitted.outcome)
            outcome = admitted.outcome_for_caller(
                await self._run_with_retries(admitted)
            )
            self._record_outcome(call, admitted.caller.account, 'run', outcome)
            return Reply(outcome, self._sign_session(admitted, outcome))
        except Exception as error:
            # The request may have run before the error.
            _log.exception('request failed', step='entry', error=str(error))
            unknown = types.Unknown('internal_error', type(error).__name__)
            self._record_outcome(call, '', 'entry', unknown)
            return Reply(unknown)
        finally:
            duration_ms = self._clock.now() - started_ms
            self._metrics.record('callers.request', duration_ms * 1000)

    async def _admit(
        self,
        call: models.Call,
        authorization: str | None,
        cancellation: CancellationToken,
    ) -> _AdmittedRequest | _Refusal:
        deadline_ms = self._clock.now() + call.deadline_ms
        configuration = self._configuration.current
        service = configuration.services_by_name.get(call.service)
        caller = authentication.authenticate(
            authorization, configuration, service
        )
        if isinstance(caller, types.NotRun):
            return _Refusal('authentication', '', caller)
        account = caller.account
        if refused := self._check_confirmed(caller, configuration):
            return _Refusal('configuration', account, refused)
        if refused := _check_route(call, service):
            return _Refusal('route', account, refused)

        with cancellation:
            refused = await self._limiter.admit(account, call.deadline_ms)
        if refused:
            return _Refusal('rate', account, refused)

        session = self._read_session(call, account)
        if isinstance(session, types.NotRun):
            return _Refusal('session', account, session)
        return _AdmittedRequest(
            call, caller, session, deadline_ms, cancellation
        )

    def _check_confirmed(
        self,
        caller: authentication.Caller,
        configuration: types.Configuration,
    ) -> types.NotRun | None:
        if not caller.key_id or self._configuration.is_confirmed():
            return None
        account = configuration.accounts_by_name.get(caller.account)
        if account is not None and account.when_isolated == 'serve':
            return None
        return types.NotRun(
            'configuration_unconfirmed',
            'this host is cut off and cannot tell if the key still holds',
        )

    def _read_session(
        self, call: models.Call, account: str
    ) -> tokens.Session | types.NotRun:
        if call.session is None:
            return tokens.Session(account)
        session = self._signer.verify(call.session)
        if isinstance(session, types.NotRun):
            return session
        if session.account != account:
            return types.NotRun(
                'session_account_mismatch',
                'the session token belongs to another account',
            )
        return session

    async def _run_with_retries(
        self, admitted: _AdmittedRequest
    ) -> types.Outcome:
        retry_queue = self._retry_queue(admitted.call.service)
        retry_queue.budget.record_request()
        while True:
            if refused := self._check_still_allowed(admitted):
                return refused
            outcome = await self._attempt_once(admitted)
            match outcome:
                case types.Done():
                    return outcome
                case types.Unknown():
                    admitted.may_have_run = True
                    if not admitted.call.repeatable:
                        return outcome
                case types.NotRun():
                    if not _is_retryable(admitted, outcome):
                        return outcome
            if admitted.cancellation.is_abandoned:
                return outcome
            known_recoveries = retry_queue.record_retryable_refusal()
            with admitted.cancellation:
                may_retry = await retry_queue.wait_for_retry(
                    known_recoveries,
                    admitted.attempts,
                    admitted.deadline_ms,
                    needs_budget=admitted.may_have_run,
                )
            if not may_retry:
                return outcome
            admitted.attempts += 1
            self._metrics.count('callers.retries')

    def _check_still_allowed(
        self, admitted: _AdmittedRequest
    ) -> types.NotRun | None:
        """Check key and service again, as a retry may come much later."""
        configuration = self._configuration.current
        if admitted.call.service not in configuration.services_by_name:
            return types.NotRun('service_unknown', 'the service was removed')
        return authentication.check_still_valid(
            admitted.caller, configuration
        ) or self._check_confirmed(admitted.caller, configuration)

    async def _attempt_once(self, admitted: _AdmittedRequest) -> types.Outcome:
        if admitted.call.transaction_id:
            transaction = models.split_transaction_id(
                admitted.call.transaction_id
            )
            assert isinstance(transaction, models.TransactionId)
            return await self._send_to_target(
                admitted, transaction.target_id, admitted.call.mode
            )

        configuration = self._configuration.current
        service = configuration.services_by_name[admitted.call.service]
        requirement = _read_requirement(admitted, service)
        if (
            requirement.max_age_ms > 0
            and not admitted.session.may_have_dropped(service.name)
        ):
            outcome = await self._try_replicas(admitted, service, requirement)
            if outcome is not None:
                return outcome
        return await self._try_primary(admitted, configuration, service)

    async def _try_replicas(
        self,
        admitted: _AdmittedRequest,
        service: types.Service,
        requirement: targeting.ReadRequirement,
    ) -> types.Outcome | None:
        replicas = self._target_selector.select_replicas(
            self._configuration.current, service, requirement
        )
        for replica in replicas[:MAX_REPLICA_ATTEMPTS]:
            outcome = await self._send_to_target(
                admitted,
                replica.target_id,
                types.Mode.READ,
                requirement.max_age_ms,
            )
            match outcome:
                case types.Done():
                    self._target_selector.record_success(
                        replica.target_id, outcome
                    )
                    return outcome
                case types.Unknown():
                    self._target_selector.record_refusal(
                        replica.target_id, requirement
                    )
                    return outcome
                case types.NotRun():
                    if outcome.code in FINAL_REPLICA_CODES:
                        return outcome
                    self._target_selector.record_refusal(
                        replica.target_id, requirement
                    )
            if admitted.cancellation.is_abandoned:
                return outcome
        return None

    async def _try_primary(
        self,
        admitted: _AdmittedRequest,
        configuration: types.Configuration,
        service: types.Service,
    ) -> types.Outcome:
        target = self._target_selector.select_primary(configuration, service)
        if isinstance(target, exceptions.Sentinel):
            return types.NotRun('primary_unconfirmed', target.reason)
        outcome = await self._send_to_target(
            admitted, target.target_id, admitted.call.mode
        )
        if isinstance(outcome, types.Done):
            self._retry_queue(service.name).record_primary_success()
        return outcome

    async def _send_to_target(
        self,
        admitted: _AdmittedRequest,
        target_id: str,
        mode: types.Mode,
        max_age_ms: int = 0,
    ) -> types.Outcome:
        remaining_ms = admitted.deadline_ms - self._clock.now()
        if remaining_ms <= 0:
            return types.NotRun(
                'deadline_unattainable', 'the deadline passed on this host'
            )
        request = types.Request(
            operation=admitted.call.operation,
            service=admitted.call.service,
            target_id=target_id,
            account=admitted.caller.account,
            key_id=admitted.caller.key_id,
            request_id=admitted.call.request_id,
            statement=admitted.call.statement,
            mode=mode,
            repeatable=admitted.call.repeatable,
            deadline_ms=self._attempt_deadline_ms(admitted, remaining_ms),
            max_age_ms=max_age_ms,
            session=admitted.position,
            transaction_id=admitted.call.transaction_id,
        )
        return await self._router.run(request)

    def _attempt_deadline_ms(
        self, admitted: _AdmittedRequest, remaining_ms: int
    ) -> int:
        half_ms = remaining_ms // 2
        admitted.was_attempt_shortened = (
            admitted.call.repeatable
            and admitted.attempts == 0
            and half_ms >= MIN_FIRST_ATTEMPT_MS
        )
        return half_ms if admitted.was_attempt_shortened else remaining_ms

    def _retry_queue(self, service: str) -> holding.RetryQueue:
        retry_queue = self._retry_queues_by_service.get(service)
        if retry_queue is None:
            retry_queue = holding.RetryQueue(
                service, self._clock, self._rng, self._routes
            )
            self._retry_queues_by_service[service] = retry_queue
        return retry_queue

    def _sign_session(
        self, admitted: _AdmittedRequest, outcome: types.Outcome
    ) -> str:
        match outcome:
            case types.Done() if admitted.call.operation in (
                'execute',
                'commit',
            ):
                session = admitted.session.with_position(
                    admitted.call.service, outcome.position
                )
            case types.Done():
                # Positions inside a transaction may still be rolled back.
                session = admitted.session
            case types.NotRun(code='session_position_discarded'):
                session = admitted.session.without_service(
                    admitted.call.service
                )
            case _:
                return ''
        return self._signer.sign(session)

    def _record_outcome(
        self,
        call: models.Call,
        account: str,
        step: str,
        outcome: types.Outcome,
    ) -> None:
        if isinstance(outcome, types.Done):
            self._metrics.count('callers.done')
            if call.mode is types.Mode.READ:
                self._metrics.count(f'callers.reads.{outcome.role}')
            return
        kind = 'not_run' if isinstance(outcome, types.NotRun) else 'unknown'
        self._metrics.count(f'callers.{kind}.{outcome.code}')
        self.refusals.add(
            types.Refusal(
                request_id=call.request_id,
                account=account,
                code=outcome.code,
                reason=outcome.reason[: refusals_module.MAX_REASON_CHARS],
                step=step,
                wall_ms=self._clock.wall(),
            )
        )


def _check_route(
    call: models.Call, service: types.Service | None
) -> types.NotRun | None:
    if call.transaction_id:
        transaction = models.split_transaction_id(call.transaction_id)
        if isinstance(transaction, exceptions.Sentinel) or service is None:
            return types.NotRun('transaction_unknown', 'no such transaction')
        if transaction.service != call.service:
            return types.NotRun(
                'transaction_unknown',
                'the transaction belongs to another service',
            )
    if service is None:
        return types.NotRun('service_unknown', 'no such service')
    return None


def _read_requirement(
    admitted: _AdmittedRequest, service: types.Service
) -> targeting.ReadRequirement:
    if admitted.call.mode is not types.Mode.READ:
        return targeting.ReadRequirement(admitted.position, 0)
    return targeting.ReadRequirement(
        admitted.position,
        min(admitted.call.max_age_ms, service.max_read_age_ms),
    )


def _is_retryable(admitted: _AdmittedRequest, outcome: types.NotRun) -> bool:
    if admitted.call.transaction_id:
        return outcome.code in RETRYABLE_CODES_IN_TRANSACTION
    if outcome.code == 'deadline_unattainable':
        return admitted.was_attempt_shortened
    return outcome.code in RETRYABLE_CODES
