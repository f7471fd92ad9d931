"""Reads on a primary and on replicas, with their consistency checks."""

import dataclasses

from samphirestand.targets import admission as admission_module
from samphirestand.targets import ages as ages_module
from samphirestand.targets import confirmation as confirmation_module
from samphirestand.targets import context as context_module
from samphirestand.targets import history
from samphirestand.targets import messages
from samphirestand.targets import probe as probe_module
from samphirestand.targets import refusals
from samphirestand.targets import runner as runner_module
from samphirestand import types

# A read waits for a lagging replica this long, or a quarter of the time to
# its deadline if that is less.
MAX_LAG_WAIT_MS = 50
LAG_WAIT_DIVISOR = 4
# A read whose primary isn't confirmed ends this early, so that there is time
# to send it to another target.
READ_CONFIRMATION_TIMEOUT_MS = 1_000
AGE_STATUS_TIMEOUT_MS = 250


@dataclasses.dataclass(frozen=True)
class Reads:
    """Runs single reads on one target."""

    context: context_module.Context
    target: types.Target
    admission: admission_module.Admission
    probe: probe_module.Probe
    confirmation: confirmation_module.TermConfirmation
    replica_ages: ages_module.ReplicaAges
    runner: runner_module.Runner

    async def run(self, request: types.Request, deadline: int) -> types.Done:
        """Run a read; raise ``RequestRefused`` on any other outcome."""
        self.admission.check_new_work()
        state = self.probe.state
        if state is not None and state.role == admission_module.PRIMARY:
            return await self._run_on_primary(request, deadline)
        return await self._run_on_replica(request, deadline)

    async def _run_on_primary(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        state = await self.admission.primary_state_for(request.session)
        self._check_session(state.history, request)
        answer = await self.runner.run(
            request, lambda: self._make_call(request), deadline
        )
        self._check_answer(answer, request)
        term = answer.state.term
        if answer.state.role != admission_module.PRIMARY:
            raise self._unknown_outcome(
                'not_primary', 'replaced during the read'
            )
        if not self._is_confirmed_within(term, self._max_age_ms(request)):
            confirm_by = (
                self.context.clock.now() + READ_CONFIRMATION_TIMEOUT_MS
            )
            if not await self.confirmation.wait_for_confirmation(
                term, None, min(deadline, confirm_by)
            ):
                raise self._unknown_outcome(
                    'primary_unconfirmed', f'no server confirmed term {term}'
                )
        return self._make_done(answer, 0)

    async def _run_on_replica(
        self, request: types.Request, deadline: int
    ) -> types.Done:
        max_age_ms = self._max_age_ms(request)
        if not max_age_ms:
            self.admission.primary_state()
        clock = self.context.clock
        wait_until = clock.now() + min(
            MAX_LAG_WAIT_MS, (deadline - clock.now()) // LAG_WAIT_DIVISOR
        )
        await self._wait_for_session(request, wait_until)
        await self._wait_until_young_enough(max_age_ms, wait_until)
        answer = await self.runner.run(
            request, lambda: self._make_call(request), deadline
        )
        self._check_answer(answer, request)
        age_ms = self.replica_ages.age_ms(answer.state, clock.now())
        if age_ms is None or age_ms > max_age_ms:
            raise self._unknown_outcome(
                'replica_too_old', f'{age_ms} ms old, {max_age_ms} ms allowed'
            )
        return self._make_done(answer, age_ms)

    def _max_age_ms(self, request: types.Request) -> int:
        service = self.admission.current_service()
        return min(request.max_age_ms, service.max_read_age_ms)

    def _is_confirmed_within(self, term: int, max_age_ms: int) -> bool:
        # Data read from a primary is at most as old as the last
        # confirmation of its term.
        age_ms = self.confirmation.age_ms(term)
        return bool(max_age_ms) and age_ms is not None and age_ms <= max_age_ms

    def _make_call(self, request: types.Request) -> messages.Execute:
        state = self.probe.state
        return messages.Execute(
            statement=request.statement,
            mode=types.Mode.READ,
            account=request.account,
            request_key=f'{request.account}/{request.request_id}',
            term=state.term if state else 0,
        )

    async def _wait_for_session(
        self, request: types.Request, wait_until: int
    ) -> None:
        state = self.probe.state
        if state is None or request.session is None:
            return
        if history.compare(state.history, request.session) is (
            history.Relation.BEHIND
        ):
            wait_ms = max(1, wait_until - self.context.clock.now())
            state = await self.probe.wait_for_position(
                request.session, wait_ms
            )
        if state is not None:
            self._check_session(state.history, request)

    async def _wait_until_young_enough(
        self, max_age_ms: int, wait_until: int
    ) -> None:
        clock = self.context.clock
        while True:
            state = self.probe.state
            age_ms = (
                self.replica_ages.age_ms(state, clock.now()) if state else None
            )
            if age_ms is not None and age_ms <= max_age_ms:
                return
            if clock.now() >= wait_until:
                raise self.admission.refusal(
                    'replica_too_old',
                    f'{age_ms} ms old, {max_age_ms} ms allowed',
                )
            await self.measure_age(wait_until - clock.now())

    async def measure_age(self, wait_ms: int) -> None:
        """Request the primary's position and wait for it on this replica.

        Without an answer from a primary this sleeps for ``wait_ms``.
        """
        clock = self.context.clock
        route = self.context.routes.primary(self.target.service)
        asked_at = clock.now()
        state: types.TargetState | None = None
        if isinstance(route, types.Route):
            status = await self.context.router.target_status(
                route.primary_target_id, None, 0, AGE_STATUS_TIMEOUT_MS
            )
            if isinstance(status, types.TargetStatus):
                state = status.state
        if state is None or state.role != admission_module.PRIMARY:
            await clock.sleep(max(1, wait_ms))
            return
        self.replica_ages.record_primary(state, asked_at)
        remaining = asked_at + wait_ms - clock.now()
        await self.probe.wait_for_position(state.position, max(1, remaining))

    def _check_session(
        self, log: types.History, request: types.Request
    ) -> None:
        if request.session is None:
            return
        match history.compare(log, request.session):
            case history.Relation.HELD:
                return
            case history.Relation.BEHIND:
                raise self.admission.refusal(
                    'replica_behind', f'{request.session} is not here yet'
                )
            case history.Relation.DISCARDED:
                raise self.admission.refusal(
                    'session_position_discarded',
                    f'a failover discarded {request.session}',
                    hint=f'{log.last.term}:{log.last.offset}',
                )

    def _check_answer(
        self, answer: messages.Answer, request: types.Request
    ) -> None:
        try:
            self._check_session(answer.state.history, request)
        except refusals.RequestRefused as refused:
            raise refusals.as_unknown(refused) from refused

    def _unknown_outcome(
        self, code: str, message: str
    ) -> refusals.RequestRefused:
        # The statement has run, so the outcome must not be "not run".
        return refusals.unknown(
            code, message, step='read', peer=self.target.target_id
        )

    def _make_done(self, answer: messages.Answer, age_ms: int) -> types.Done:
        return types.Done(
            rows=answer.rows,
            position=answer.position,
            target_id=self.target.target_id,
            role=answer.state.role,
            age_ms=age_ms,
        )
