"""The request path of an entry host."""

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

# Refusals that say that nothing ran and that pass when the service gets a
# primary, a gateway moves or a target is replaced.
HELD_CODES = frozenset(
    {
        'not_gateway',
        'not_primary',
        'primary_unconfirmed',
        'target_unreachable',
        'target_leaving',
        'draining',
        # From the target that the route names as primary: the route is out
        # of date, and a newer one is on its way.
        'replica_behind',
        'replica_too_old',
    }
)

# A transaction lives on one connection of one gateway, so for it a change
# of gateway or primary is final.
HELD_CODES_IN_TRANSACTION = frozenset(
    {'primary_unconfirmed', 'target_unreachable'}
)

# Refusals of a replica that the primary would repeat. A discarded position
# is not among them: a replica that is cut off may not know better.
FINAL_CODES = frozenset(
    {
        'bad_request',
        'bad_statement',
        'conflict',
        'key_unknown',
        'key_withdrawn',
        'service_unknown',
    }
)

MOST_REPLICAS_ASKED = 2

# The first attempt of a repeatable request gets half of its time if that is
# at least this much, so that a silent connection leaves time for another.
SHORTEST_HALF_MS = 500

_log = log.get_logger(__name__)


class RateLimiter(Protocol):
    """What the entry needs of a rate limiter."""

    async def admit(
        self, account: str, deadline_ms: int
    ) -> types.NotRun | None:
        """Take a token of ``account`` or refuse."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """An outcome and the session token that goes with it."""

    outcome: types.Outcome
    session: str = ''


class Ticket:
    """Tells the entry that the caller has gone.

    Work that waits before it was sent is cancelled; work that was sent runs
    to its end, as its outcome must be learned, and isn't sent again.
    """

    def __init__(self) -> None:
        self.is_abandoned = False
        self._waiting: asyncio.Task[object] | None = None

    def abandon(self) -> None:
        """Note that nobody waits for the answer any more."""
        self.is_abandoned = True
        if self._waiting is not None:
            self._waiting.cancel()

    def __enter__(self) -> None:
        """Mark the begin of a wait in which nothing is under way."""
        self._waiting = asyncio.current_task()

    def __exit__(self, *error: object) -> None:
        """Mark the end of the wait."""
        self._waiting = None


@dataclasses.dataclass
class _Work:
    """One admitted request on its way."""

    call: models.Call
    caller: authentication.Caller
    session: tokens.Session
    deadline_ms: int  # on this host's clock
    ticket: Ticket
    attempts: int = 0
    may_have_run: bool = False
    was_shortened: bool = False

    @property
    def position(self) -> types.Position | None:
        return self.session.position(self.call.service)

    def honest(self, outcome: types.Outcome) -> types.Outcome:
        """Return ``outcome``, unless an earlier attempt may have run."""
        if self.may_have_run and isinstance(outcome, types.NotRun):
            return types.Unknown(
                outcome.code,
                f'an earlier attempt may have run; then: {outcome.reason}',
            )
        return outcome


@dataclasses.dataclass(frozen=True)
class _Refused:
    """A refusal before anything was sent, and the step that refused."""

    step: str
    account: str
    outcome: types.NotRun


class Entry:
    """Checks, admits and routes callers' requests."""

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
        refusals: refusals_module.Refusals | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._routes = routes
        self._router = router
        self._limiter = limiter
        self._signer = signer
        self._metrics = metrics
        # An empty store is false, so only None stands for none.
        if refusals is None:
            refusals = refusals_module.Refusals()
        self.refusals = refusals
        self._chooser = targeting.Chooser(
            clock, rng, routes, membership.local.zone
        )
        self._holds_by_service: dict[str, holding.Hold] = {}

    async def handle(
        self, call: models.Call, header: str | None, ticket: Ticket
    ) -> Reply:
        """Carry out a request; ``header`` is its ``Authorization``.

        Raises ``CancelledError`` only, after ``ticket`` was abandoned.
        """
        started_ms = self._clock.now()
        try:
            work = await self._admit(call, header, ticket)
            if isinstance(work, _Refused):
                self._note(call, work.account, work.step, work.outcome)
                return Reply(work.outcome)
            outcome = work.honest(await self._run(work))
            self._note(call, work.caller.account, 'run', outcome)
            return Reply(outcome, self._token(work, outcome))
        except Exception as error:
            # Nobody knows how far the request came.
            _log.exception('request failed', step='entry', error=str(error))
            unknown = types.Unknown('internal_error', type(error).__name__)
            self._note(call, '', 'entry', unknown)
            return Reply(unknown)
        finally:
            duration_ms = self._clock.now() - started_ms
            self._metrics.record('callers.request', duration_ms * 1000)

    async def _admit(
        self, call: models.Call, header: str | None, ticket: Ticket
    ) -> _Work | _Refused:
        deadline_ms = self._clock.now() + call.deadline_ms
        configuration = self._configuration.current
        service = configuration.services_by_name.get(call.service)
        caller = authentication.authenticate(header, configuration, service)
        if isinstance(caller, types.NotRun):
            return _Refused('authentication', '', caller)
        account = caller.account
        if refused := self._unconfirmed(caller, configuration):
            return _Refused('configuration', account, refused)
        if refused := _misrouted(call, service):
            return _Refused('route', account, refused)

        with ticket:
            refused = await self._limiter.admit(account, call.deadline_ms)
        if refused:
            return _Refused('rate', account, refused)

        session = self._session(call, account)
        if isinstance(session, types.NotRun):
            return _Refused('session', account, session)
        return _Work(call, caller, session, deadline_ms, ticket)

    def _unconfirmed(
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

    def _session(
        self, call: models.Call, account: str
    ) -> tokens.Session | types.NotRun:
        if call.session is None:
            return tokens.Session(account)
        session = self._signer.read(call.session)
        if isinstance(session, types.NotRun):
            return session
        if session.account != account:
            return types.NotRun(
                'session_account_mismatch',
                'the session token belongs to another account',
            )
        return session

    async def _run(self, work: _Work) -> types.Outcome:
        hold = self._hold(work.call.service)
        hold.budget.note_request()
        while True:
            if refused := self._recheck(work):
                return refused
            outcome = await self._attempt(work)
            match outcome:
                case types.Done():
                    return outcome
                case types.Unknown():
                    work.may_have_run = True
                    if not work.call.repeatable:
                        return outcome
                case types.NotRun():
                    if not _is_held(work, outcome):
                        return outcome
            if work.ticket.is_abandoned:
                return outcome
            mark = hold.note_refused()
            with work.ticket:
                may_go_on = await hold.wait(
                    mark,
                    work.attempts,
                    work.deadline_ms,
                    needs_budget=work.may_have_run,
                )
            if not may_go_on:
                return outcome
            work.attempts += 1
            self._metrics.count('callers.retries')

    def _recheck(self, work: _Work) -> types.NotRun | None:
        """Check key and service again; a held request may wait for long."""
        configuration = self._configuration.current
        if work.call.service not in configuration.services_by_name:
            return types.NotRun('service_unknown', 'the service was removed')
        return authentication.check_still_valid(
            work.caller, configuration
        ) or self._unconfirmed(work.caller, configuration)

    async def _attempt(self, work: _Work) -> types.Outcome:
        if work.call.transaction_id:
            parts = models.split_transaction_id(work.call.transaction_id)
            assert isinstance(parts, models.TransactionId)
            return await self._send(work, parts.target_id, work.call.mode)

        configuration = self._configuration.current
        service = configuration.services_by_name[work.call.service]
        demand = _demand(work, service)
        if demand.max_age_ms > 0 and not work.session.may_have_seen(
            service.name
        ):
            outcome = await self._read_replica(work, service, demand)
            if outcome is not None:
                return outcome
        return await self._ask_primary(work, configuration, service)

    async def _read_replica(
        self, work: _Work, service: types.Service, demand: targeting.Demand
    ) -> types.Outcome | None:
        replicas = self._chooser.replicas(
            self._configuration.current, service, demand
        )
        for replica in replicas[:MOST_REPLICAS_ASKED]:
            outcome = await self._send(
                work, replica.target_id, types.Mode.READ, demand.max_age_ms
            )
            match outcome:
                case types.Done():
                    self._chooser.learn_done(replica.target_id, outcome)
                    return outcome
                case types.Unknown():
                    self._chooser.learn_refused(replica.target_id, demand)
                    return outcome
                case types.NotRun():
                    if outcome.code in FINAL_CODES:
                        return outcome
                    self._chooser.learn_refused(replica.target_id, demand)
            if work.ticket.is_abandoned:
                return outcome
        return None

    async def _ask_primary(
        self,
        work: _Work,
        configuration: types.Configuration,
        service: types.Service,
    ) -> types.Outcome:
        target = self._chooser.primary(configuration, service)
        if isinstance(target, exceptions.Sentinel):
            return types.NotRun('primary_unconfirmed', target.reason)
        outcome = await self._send(work, target.target_id, work.call.mode)
        if isinstance(outcome, types.Done):
            self._hold(service.name).note_done()
        return outcome

    async def _send(
        self,
        work: _Work,
        target_id: str,
        mode: types.Mode,
        max_age_ms: int = 0,
    ) -> types.Outcome:
        left_ms = work.deadline_ms - self._clock.now()
        if left_ms <= 0:
            return types.NotRun(
                'deadline_unattainable', 'the deadline passed on this host'
            )
        request = types.Request(
            operation=work.call.operation,
            service=work.call.service,
            target_id=target_id,
            account=work.caller.account,
            key_id=work.caller.key_id,
            request_id=work.call.request_id,
            statement=work.call.statement,
            mode=mode,
            repeatable=work.call.repeatable,
            deadline_ms=self._attempt_ms(work, left_ms),
            max_age_ms=max_age_ms,
            session=work.position,
            transaction_id=work.call.transaction_id,
        )
        return await self._router.run(request)

    def _attempt_ms(self, work: _Work, left_ms: int) -> int:
        half_ms = left_ms // 2
        work.was_shortened = (
            work.call.repeatable
            and work.attempts == 0
            and half_ms >= SHORTEST_HALF_MS
        )
        return half_ms if work.was_shortened else left_ms

    def _hold(self, service: str) -> holding.Hold:
        hold = self._holds_by_service.get(service)
        if hold is None:
            hold = holding.Hold(service, self._clock, self._rng, self._routes)
            self._holds_by_service[service] = hold
        return hold

    def _token(self, work: _Work, outcome: types.Outcome) -> str:
        match outcome:
            case types.Done() if work.call.operation in ('execute', 'commit'):
                session = work.session.advanced(
                    work.call.service, outcome.position
                )
            case types.Done():
                # What a transaction saw may be rolled back with it.
                session = work.session
            case types.NotRun(code='session_position_discarded'):
                session = work.session.without(work.call.service)
            case _:
                return ''
        return self._signer.sign(session)

    def _note(
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
                reason=outcome.reason[: refusals_module.LONGEST_REASON],
                step=step,
                wall_ms=self._clock.wall(),
            )
        )


def _misrouted(
    call: models.Call, service: types.Service | None
) -> types.NotRun | None:
    if call.transaction_id:
        parts = models.split_transaction_id(call.transaction_id)
        if isinstance(parts, exceptions.Sentinel) or service is None:
            return types.NotRun('transaction_unknown', 'no such transaction')
        if parts.service != call.service:
            return types.NotRun(
                'transaction_unknown',
                'the transaction belongs to another service',
            )
    if service is None:
        return types.NotRun('service_unknown', 'no such service')
    return None


def _demand(work: _Work, service: types.Service) -> targeting.Demand:
    if work.call.mode is not types.Mode.READ:
        return targeting.Demand(work.position, 0)
    return targeting.Demand(
        work.position, min(work.call.max_age_ms, service.max_read_age_ms)
    )


def _is_held(work: _Work, outcome: types.NotRun) -> bool:
    if work.call.transaction_id:
        return outcome.code in HELD_CODES_IN_TRANSACTION
    if outcome.code == 'deadline_unattainable':
        return work.was_shortened
    return outcome.code in HELD_CODES
