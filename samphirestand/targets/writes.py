"""Writes on a primary, acknowledged once another server confirms."""

import dataclasses

from samphirestand.targets import admission as admission_module
from samphirestand.targets import confirmation as confirmation_module
from samphirestand.targets import context as context_module
from samphirestand.targets import history
from samphirestand.targets import messages
from samphirestand.targets import refusals
from samphirestand.targets import runner as runner_module
from samphirestand import types


@dataclasses.dataclass(frozen=True)
class Writes:
    """Runs single writes on one target."""

    context: context_module.Context
    target: types.Target
    admission: admission_module.Admission
    confirmation: confirmation_module.TermConfirmation
    runner: runner_module.Runner

    async def run(self, request: types.Request, deadline: int) -> types.Done:
        """Run a write; raise ``RequestRefused`` on any other outcome."""
        started = self.context.clock.now()
        self.admission.check_new_work()
        state = await self.admission.primary_state_for(request.session)
        check_session(self.admission, state.history, request)
        answer = await self.runner.run(
            request, lambda: self._call(request), deadline
        )
        await self.wait_for_confirmation(answer, deadline)
        duration_ms = self.context.clock.now() - started
        self.context.metrics.record('write', duration_ms * 1_000)
        return types.Done(
            rows=answer.rows,
            position=answer.position,
            target_id=self.target.target_id,
            role=answer.state.role,
            replayed=answer.replayed,
        )

    async def wait_for_confirmation(
        self, answer: messages.Answer, deadline: int
    ) -> None:
        """Wait for the confirmation that the service requires.

        Raises ``RequestRefused`` with an unknown outcome if it doesn't come.
        """
        term = answer.state.term
        position = answer.position
        if (
            self.admission.current_service().confirmation
            is types.Confirmation.TERM
        ):
            position = None
        # A replayed answer may come from a server that isn't a primary.
        if answer.state.role == admission_module.PRIMARY and (
            await self.confirmation.wait_for_confirmation(
                term, position, deadline
            )
        ):
            return
        raise refusals.unknown(
            'primary_unconfirmed',
            f'no other server confirmed the write in term {term}',
            step='confirmation',
            peer=self.target.target_id,
        )

    def _call(self, request: types.Request) -> messages.Execute:
        # Called when the statement is sent. The state may have changed while
        # the request waited in the queue, so it is checked again.
        self.admission.check_new_work()
        return messages.Execute(
            statement=request.statement,
            mode=types.Mode.WRITE,
            account=request.account,
            request_key=f'{request.account}/{request.request_id}',
            term=self.admission.primary_state().term,
        )


def check_session(
    admission: admission_module.Admission,
    log: types.History,
    request: types.Request,
) -> None:
    """Raise ``RequestRefused`` unless a log contains the session's position.

    ``log`` is the history of a primary's log.
    """
    if request.session is None:
        return
    match history.compare(log, request.session):
        case history.Relation.HELD:
            return
        case history.Relation.BEHIND:
            # The primary's log lacks the position, so only a later primary
            # can have returned it.
            raise admission.refusal(
                'not_primary', f'{request.session} is not here'
            )
        case history.Relation.DISCARDED:
            raise admission.refusal(
                'session_position_discarded',
                f'a failover discarded {request.session}',
                hint=f'{log.last.term}:{log.last.offset}',
            )
