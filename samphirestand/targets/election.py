"""One attempt to make a server the primary of a new term."""

import asyncio
import collections.abc
import dataclasses

import structlog

from samphirestand import exceptions
from samphirestand.targets import context as context_module
from samphirestand.targets import control
from samphirestand.targets import messages
from samphirestand import types

LOG = structlog.get_logger()

PRIMARY = 'primary'
CALL_TIMEOUT_MS = 1_000
# Once a majority has answered, the remaining servers get only this long. One
# that accepts the fence late may have more log entries, but it isn't needed
# for safety.
LATE_SERVER_WAIT_MS = 100
PROMOTE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class _Response:
    """A target's state in its answer to a call that didn't fail."""

    target: types.Target
    state: types.TargetState


class Election:
    """Fences a majority of the servers and promotes its most advanced one.

    Every call is safe to repeat, to lose and to send while another election
    runs: servers accept one candidate for each term and refuse lower terms.
    """

    def __init__(
        self,
        context: context_module.Context,
        targets: list[types.Target],
        reason: str,
    ) -> None:
        self._context = context
        self._targets = targets
        self._reason = reason
        self._service = targets[0].service
        self._majority = len(targets) // 2 + 1
        self._candidate = (
            f'{context.host_id}.{context.rng.getrandbits(64):016x}'
        )
        self._connections_by_id = {
            each.target_id: control.ControlConnection(context, each.url)
            for each in targets
        }

    async def run(
        self,
        known_term: int,
        preferred_id: str,
        replaced_id: str = '',
    ) -> types.Route | exceptions.Sentinel:
        """Elect a primary; return a sentinel with the reason if there is none.

        ``preferred_id`` wins among equally advanced servers that aren't
        retired. Gives up when a server has seen a higher term than
        ``known_term``, because another candidate's election is running then,
        or when a server is primary of the highest term, unless that server
        is ``replaced_id``.
        """
        try:
            states = await self._request_states()
            reason_not_to_elect = self._reason_not_to_elect(
                states, known_term, replaced_id
            )
            if reason_not_to_elect:
                return exceptions.Sentinel(reason_not_to_elect)
            term = max(each.state.term for each in states) + 1
            accepted = await self._fence_targets(term)
            if len(accepted) < self._majority:
                return exceptions.Sentinel(
                    f'{len(accepted)} servers accepted term {term}'
                )
            winner = max(
                accepted, key=lambda each: self._rank(each, preferred_id)
            )
            if not await self._promote(term, winner.target):
                return exceptions.Sentinel(
                    f'{winner.target.target_id} was not promoted'
                )
            return await self._announce_primary(term, winner)
        finally:
            for connection in self._connections_by_id.values():
                connection.close()

    async def _request_states(self) -> list[_Response]:
        return await self._call_targets(messages.Status(), self._majority)

    def _reason_not_to_elect(
        self, states: list[_Response], known_term: int, replaced_id: str
    ) -> str:
        # Without a majority no server can be promoted, and the fence would
        # keep the servers it reaches from following the current primary.
        if len(states) < self._majority:
            return f'{len(states)} of {len(self._targets)} servers answer'
        highest = max(each.state.term for each in states)
        for each in states:
            is_replaced = each.target.target_id == replaced_id
            is_primary = each.state.role == PRIMARY and not is_replaced
            if is_primary and each.state.term == highest:
                self._learn_route(highest, each.target)
                return f'{each.target.target_id} is primary'
        if highest > known_term:
            return f'another candidate has reached term {highest}'
        return ''

    async def _fence_targets(self, term: int) -> list[_Response]:
        answers = await self._call_targets(
            messages.Fence(term, self._candidate), self._majority
        )
        return [each for each in answers if each.state.term == term]

    def _rank(
        self, accepted: _Response, preferred_id: str
    ) -> tuple[types.Position, bool, bool]:
        target = accepted.target
        return (
            accepted.state.position,
            not target.retired,
            target.target_id == preferred_id,
        )

    async def _promote(self, term: int, target: types.Target) -> bool:
        # After a lost answer, the state shows whether the server was
        # promoted. Promoting it again has no effect.
        connection = self._connections_by_id[target.target_id]
        calls: tuple[messages.Call, ...] = (
            messages.Promote(term, self._candidate),
            messages.Status(),
        )
        for call in calls * PROMOTE_ATTEMPTS:
            try:
                answer = await connection.call(call, CALL_TIMEOUT_MS)
            except exceptions.TargetError as error:
                self._log_failed_call(error)
                continue
            if answer.state.term != term:
                return False
            if answer.state.role == PRIMARY:
                return True
        return False

    async def _announce_primary(
        self, term: int, winner: _Response
    ) -> types.Route:
        position = winner.state.position
        route = self._learn_route(term, winner.target)
        LOG.warning(
            'primary promoted',
            service=self._service,
            term=term,
            target=winner.target.target_id,
            reason=self._reason,
        )
        self._context.metrics.count('promotions')
        self._context.recorder.record(
            'failover',
            self._service,
            f'{winner.target.target_id} is primary of term {term} from '
            f'position {position.term}:{position.offset} on, by '
            f'{self._candidate}: {self._reason}',
        )
        await self._call_targets(
            messages.Follow(term, winner.target.url),
            self._majority - 1,
            excluded_id=winner.target.target_id,
        )
        return route

    def _learn_route(self, term: int, target: types.Target) -> types.Route:
        route = types.Route(self._service, term, target.target_id)
        self._context.routes.learn(route)
        return route

    async def _call_targets(
        self, call: messages.Call, needed: int, excluded_id: str = ''
    ) -> list[_Response]:
        """Send ``call`` to all targets and return the successful responses.

        Returns when all calls have ended, or ``LATE_SERVER_WAIT_MS`` after
        ``needed`` of them succeeded.
        """
        tasks = [
            asyncio.ensure_future(self._call_target(each, call))
            for each in self._targets
            if each.target_id != excluded_id
        ]
        try:
            await self._wait_for_responses(tasks, needed)
        finally:
            for task in tasks:
                task.cancel()
        return [
            result
            for task in tasks
            if task.done() and not task.cancelled()
            if (result := task.result()) is not None
        ]

    async def _wait_for_responses(
        self, tasks: list[asyncio.Task[_Response | None]], needed: int
    ) -> None:
        pending: collections.abc.Collection[asyncio.Task[_Response | None]] = (
            tasks
        )
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            needed -= sum(task.result() is not None for task in done)
            if needed <= 0:
                break
        if pending:
            timer = asyncio.ensure_future(
                self._context.clock.sleep(LATE_SERVER_WAIT_MS)
            )
            last = asyncio.ensure_future(asyncio.wait(pending))
            await asyncio.wait(
                {timer, last}, return_when=asyncio.FIRST_COMPLETED
            )
            timer.cancel()
            last.cancel()

    async def _call_target(
        self, target: types.Target, call: messages.Call
    ) -> _Response | None:
        try:
            answer = await self._connections_by_id[target.target_id].call(
                call, CALL_TIMEOUT_MS
            )
        except exceptions.TargetError as error:
            self._log_failed_call(error)
            return None
        if answer.failure is not None:
            return None
        return _Response(target, answer.state)

    def _log_failed_call(self, error: exceptions.TargetError) -> None:
        LOG.warning(
            'election call failed',
            service=self._service,
            step=error.step,
            peer=error.peer,
            reason=error.message,
        )
