"""Detection of a failed primary, and repair of what replicas follow."""

import asyncio
import dataclasses

import structlog

from samphirestand import exceptions
from samphirestand.targets import ages as ages_module
from samphirestand.targets import confirmation as confirmation_module
from samphirestand.targets import context as context_module
from samphirestand.targets import control
from samphirestand.targets import election as election_module
from samphirestand.targets import messages
from samphirestand.targets import probe as probe_module
from samphirestand.targets import replacement as replacement_module
from samphirestand import types

LOG = structlog.get_logger()

PRIMARY = 'primary'
INTERVAL_MS = 250
QUESTION_TIMEOUT_MS = 500
# Silence of the primary after which it is probed directly.
SILENCE_MS = 3_000
# At most one promotion in this time, unless the new primary has failed too.
PROMOTION_INTERVAL_MS = 30_000
LONGEST_JITTER_MS = 100
# An election's fences are accepted within about 100 ms.
SECOND_CANDIDATE_MS = 200
SHORTEST_BACK_OFF_MS = 500
LONGEST_BACK_OFF_MS = 1_500


@dataclasses.dataclass(frozen=True)
class _Opinion:
    """What the gateways of the other replicas say about the primary."""

    unreachable: int = 0
    agreeing: int = 0
    opposing: int = 0
    best: tuple[types.Position, str] = (types.Position(0, 0), '')


class Failover:
    """Watches the service from the gateway of one of its targets.

    Safety doesn't depend on this judgement: the servers' terms decide. It
    only decides when an election is worth trying.
    """

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        probe: probe_module.Probe,
        confirmation: confirmation_module.Confirmation,
        ages: ages_module.Ages,
        replacement: replacement_module.Replacement,
    ) -> None:
        self.suspects_primary = False
        self._context = context
        self._target = target
        self._probe = probe
        self._confirmation = confirmation
        self._ages = ages
        self._replacement = replacement
        self._seen_at = context.clock.now()
        self._known_route: types.Route | None = None
        self._promoted_at: int | None = None
        self._next_attempt_at = 0
        self._term = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._probe.changed.clear()
            state = self._probe.state
            if state is not None and self._probe.is_held:
                self._note_route()
                if state.role == PRIMARY:
                    await self._watch_replicas(state)
                else:
                    await self._watch_primary(state)
            await self._pause()

    async def _pause(self) -> None:
        # A new primary is confirmed at once, so that it takes writes.
        try:
            await context_module.within(
                self._context.clock, self._probe.changed.wait(), INTERVAL_MS
            )
        except TimeoutError:
            pass

    def _note_route(self) -> None:
        route = self._context.routes.primary(self._target.service)
        if not isinstance(route, types.Route) or route == self._known_route:
            return
        if self._known_route is not None:
            self._promoted_at = self._context.clock.now()
            # The new primary gets the full time before it is suspected.
            self._saw_primary(self._context.clock.now())
        self._known_route = route

    async def _watch_replicas(self, state: types.TargetState) -> None:
        # The own target is a primary, perhaps one that was replaced.
        self._saw_primary(self._context.clock.now())
        self._learn(state, self._target.target_id)
        asked = self._context.clock.now()
        states = await asyncio.gather(
            *(self._ask(peer) for peer in self._peers())
        )
        for peer, status in zip(self._peers(), states, strict=False):
            if status is not None:
                self._confirmation.note(status.state, asked, state.term)
                self._learn(status.state, peer.target_id)
        if not await self._repair(state):
            await self._replacement.check(state, self._may_promote())

    async def _watch_primary(self, state: types.TargetState) -> None:
        self._replacement.cancel()
        if state.term != self._term:
            # Another candidate fenced the target and gets time to finish.
            self._term = state.term
            self._back_off()
        await self._repair(state)
        route = self._context.routes.primary(self._target.service)
        asked = self._context.clock.now()
        primaries = [
            peer
            for peer in self._peers()
            if not isinstance(route, types.Route)
            or peer.target_id == route.primary_target_id
        ]
        for peer in primaries:
            status = await self._ask(peer)
            if status and self._note_primary(status.state, peer, asked):
                return
        if self._silence_ms() >= SILENCE_MS:
            await self._suspect(state, primaries)

    async def _suspect(
        self, state: types.TargetState, primaries: list[types.Target]
    ) -> None:
        alive_id = ''
        for peer in primaries:
            asked = self._context.clock.now()
            found = await self._probe_directly(peer)
            if found and self._note_primary(found, peer, asked):
                return
            if found and found.role == PRIMARY:
                alive_id = peer.target_id
        self.suspects_primary = True
        opinion = await self._opinion(state, primaries)
        if opinion is None or not self._should_elect(alive_id, opinion):
            return
        await self._elect(state, alive_id, opinion)

    def _should_elect(self, alive_id: str, opinion: _Opinion) -> bool:
        if self._context.clock.now() < self._next_attempt_at:
            return False
        # A primary of a lower term than this replica's can't be followed by
        # it; this is what an election leaves that was given up half-way. As
        # long as the other replica confirms that primary, there is no hurry.
        if alive_id and opinion.opposing:
            return self._may_promote()
        if opinion.opposing:
            return False
        return self._may_promote() or opinion.agreeing > 0

    async def _elect(
        self,
        state: types.TargetState,
        alive_id: str,
        opinion: _Opinion,
    ) -> None:
        # The most advanced replica's gateway goes first. Candidates that
        # start together would split the servers' votes.
        rng, clock = self._context.rng, self._context.clock
        delay_ms = rng.randint(0, LONGEST_JITTER_MS)
        if (state.position, self._target.target_id) < opinion.best:
            delay_ms += SECOND_CANDIDATE_MS
        await clock.sleep(delay_ms)
        reason = (
            f'no status of the primary for {self._silence_ms()} ms; other '
            f'replicas: {opinion.agreeing} agree, '
            f'{opinion.unreachable} do not answer'
        )
        result = await election_module.Election(
            self._context, self._targets(), reason
        ).run(state.term, alive_id or self._target.target_id)
        self._back_off()
        await self._probe.fresh(QUESTION_TIMEOUT_MS)
        if isinstance(result, exceptions.Sentinel):
            LOG.warning(
                'election without a result',
                step='election',
                peer=self._target.service,
                error=result.reason,
            )
            self._context.metrics.count('elections_without_result')

    def _back_off(self) -> None:
        self._next_attempt_at = self._context.clock.now() + (
            self._context.rng.randint(
                SHORTEST_BACK_OFF_MS, LONGEST_BACK_OFF_MS
            )
        )

    async def _opinion(
        self, state: types.TargetState, primaries: list[types.Target]
    ) -> _Opinion | None:
        """Ask the other replicas' gateways; None if one is a primary."""
        unreachable = agreeing = opposing = 0
        best = (types.Position(0, 0), '')
        asked = self._context.clock.now()
        for peer in self._peers():
            if len(primaries) == 1 and peer in primaries:
                continue
            status = await self._ask(peer)
            if status is None:
                unreachable += 1
                continue
            if self._note_primary(status.state, peer, asked):
                return None
            best = max(best, (status.state.position, peer.target_id))
            if status.suspects_primary:
                agreeing += 1
            else:
                opposing += 1
        return _Opinion(unreachable, agreeing, opposing, best)

    async def _repair(self, state: types.TargetState) -> bool:
        """Make the target follow the route's primary if it doesn't."""
        route = self._context.routes.primary(self._target.service)
        if not isinstance(route, types.Route) or route.term < state.term:
            return False
        current = self._context.configuration.current
        primary = current.targets_by_id.get(route.primary_target_id)
        if primary is None or primary.target_id == self._target.target_id:
            return False
        is_following = state.primary_url == primary.url
        if route.term == state.term and is_following:
            return False
        # The server refuses lower terms from this call on, so that an old
        # primary needs no fence before it.
        self._context.metrics.count('follow_repairs')
        await self._probe.call(
            messages.Follow(route.term, primary.url), QUESTION_TIMEOUT_MS
        )
        return True

    def _note_primary(
        self, found: types.TargetState, peer: types.Target, asked: int
    ) -> bool:
        """Keep what a primary said; false if it isn't one to follow."""
        own = self._probe.state
        if found.role != PRIMARY or (own and found.term < own.term):
            return False
        self._learn(found, peer.target_id)
        self._ages.note(found, asked)
        self._saw_primary(asked)
        return True

    def _saw_primary(self, asked: int) -> None:
        self._seen_at = max(self._seen_at, asked)
        self.suspects_primary = False

    def _silence_ms(self) -> int:
        return self._context.clock.now() - self._seen_at

    def _may_promote(self) -> bool:
        if self._promoted_at is None:
            return True
        elapsed = self._context.clock.now() - self._promoted_at
        return elapsed >= PROMOTION_INTERVAL_MS

    def _learn(self, state: types.TargetState, target_id: str) -> None:
        if state.role == PRIMARY:
            self._context.routes.learn(
                types.Route(self._target.service, state.term, target_id)
            )

    async def _ask(self, peer: types.Target) -> types.TargetStatus | None:
        status = await self._context.router.target_status(
            peer.target_id, None, 0, QUESTION_TIMEOUT_MS
        )
        return status if isinstance(status, types.TargetStatus) else None

    async def _probe_directly(
        self, peer: types.Target
    ) -> types.TargetState | None:
        try:
            answer = await control.call(
                self._context, peer.url, messages.Status()
            )
        except exceptions.TargetError:
            return None
        return answer.state

    def _targets(self) -> list[types.Target]:
        return context_module.service_targets(self._context, self._target)

    def _peers(self) -> list[types.Target]:
        return [
            each
            for each in self._targets()
            if each.target_id != self._target.target_id
        ]
