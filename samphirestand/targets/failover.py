"""Detection of a failed primary, and repair of whom replicas follow."""

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
CHECK_INTERVAL_MS = 250
STATUS_TIMEOUT_MS = 500
# Time without a status of the primary after which it is probed directly.
MAX_PRIMARY_SILENCE_MS = 2_000
# At most one promotion in this time, unless another replica agrees that the
# new primary has failed, too.
PROMOTION_INTERVAL_MS = 30_000
MAX_JITTER_MS = 100
# Additional delay of a less advanced candidate. The fences of the first
# candidate are accepted within about 100 ms.
SECOND_CANDIDATE_DELAY_MS = 200
MIN_BACK_OFF_MS = 500
MAX_BACK_OFF_MS = 1_500


@dataclasses.dataclass(frozen=True)
class _PeerReports:
    """Reports of the other replicas' gateways about the primary."""

    unreachable_count: int = 0
    suspecting_count: int = 0
    trusting_count: int = 0
    most_advanced: tuple[types.Position, str] = (types.Position(0, 0), '')


class Failover:
    """Monitors the service from the gateway of one of its targets.

    Only decides when to start an election. Safety doesn't depend on that
    decision: the servers' terms prevent two primaries of one term.
    """

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        probe: probe_module.Probe,
        confirmation: confirmation_module.TermConfirmation,
        replica_ages: ages_module.ReplicaAges,
        replacement: replacement_module.Replacement,
    ) -> None:
        self.suspects_primary = False
        self._context = context
        self._target = target
        self._probe = probe
        self._confirmation = confirmation
        self._replica_ages = replica_ages
        self._replacement = replacement
        self._primary_seen_at = context.clock.now()
        self._known_route: types.Route | None = None
        self._promotion_seen_at: int | None = None
        self._next_attempt_at = 0
        self._last_term = 0

    async def run(self) -> None:
        """Monitor the service until cancelled."""
        while True:
            self._probe.term_or_role_changed.clear()
            state = self._probe.state
            if state is not None and self._probe.holds_lock:
                self._record_route()
                if state.role == PRIMARY:
                    await self._watch_replicas(state)
                else:
                    await self._watch_primary(state)
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        # After a change of role or term the loop runs at once: a new primary
        # takes writes only after a confirmation.
        try:
            await context_module.wait_for(
                self._context.clock,
                self._probe.term_or_role_changed.wait(),
                CHECK_INTERVAL_MS,
            )
        except TimeoutError:
            pass

    def _record_route(self) -> None:
        route = self._context.routes.primary(self._target.service)
        if not isinstance(route, types.Route) or route == self._known_route:
            return
        if self._known_route is not None:
            self._promotion_seen_at = self._context.clock.now()
            # The new primary must be silent for MAX_PRIMARY_SILENCE_MS, too,
            # before it is suspected.
            self._reset_silence(self._context.clock.now())
        self._known_route = route

    async def _watch_replicas(self, state: types.TargetState) -> None:
        # This target is a primary, but it may have been replaced.
        self._reset_silence(self._context.clock.now())
        self._learn_route(state, self._target.target_id)
        asked_at = self._context.clock.now()
        states = await asyncio.gather(
            *(self._request_status(peer) for peer in self._peers())
        )
        for peer, status in zip(self._peers(), states, strict=False):
            if status is not None:
                self._confirmation.record_status(
                    status.state, asked_at, state.term
                )
                self._learn_route(status.state, peer.target_id)
        if not await self._repair_following(state):
            await self._replacement.advance(state, self._may_promote())

    async def _watch_primary(self, state: types.TargetState) -> None:
        self._replacement.cancel()
        if state.term != self._last_term:
            # Another candidate fenced the target. Wait, so that its election
            # can finish.
            self._last_term = state.term
            self._back_off()
        await self._repair_following(state)
        route = self._context.routes.primary(self._target.service)
        asked_at = self._context.clock.now()
        primaries = [
            peer
            for peer in self._peers()
            if not isinstance(route, types.Route)
            or peer.target_id == route.primary_target_id
        ]
        for peer in primaries:
            status = await self._request_status(peer)
            if status and self._record_primary(status.state, peer, asked_at):
                return
        if self._silence_ms() >= MAX_PRIMARY_SILENCE_MS:
            await self._check_suspected_primary(state, primaries)

    async def _check_suspected_primary(
        self, state: types.TargetState, primaries: list[types.Target]
    ) -> None:
        reachable_primary_id = ''
        for peer in primaries:
            asked_at = self._context.clock.now()
            found = await self._probe_directly(peer)
            if found and self._record_primary(found, peer, asked_at):
                return
            if found and found.role == PRIMARY:
                reachable_primary_id = peer.target_id
        self.suspects_primary = True
        reports = await self._collect_peer_reports(state, primaries)
        if reports is None or not self._should_elect(
            reachable_primary_id, reports
        ):
            return
        await self._elect(state, reachable_primary_id, reports)

    def _should_elect(
        self, reachable_primary_id: str, reports: _PeerReports
    ) -> bool:
        if self._context.clock.now() < self._next_attempt_at:
            return False
        # An abandoned election can leave this replica in a higher term than
        # the primary, which it then can't follow. As long as the other
        # replica confirms that primary, the service works, so the election
        # waits for the promotion interval.
        if reachable_primary_id and reports.trusting_count:
            return self._may_promote()
        if reports.trusting_count:
            return False
        return self._may_promote() or reports.suspecting_count > 0

    async def _elect(
        self,
        state: types.TargetState,
        reachable_primary_id: str,
        reports: _PeerReports,
    ) -> None:
        # The gateway of the most advanced replica starts first. Candidates
        # that start at the same time would each fence some of the servers,
        # and none might get a majority.
        rng, clock = self._context.rng, self._context.clock
        delay_ms = rng.randint(0, MAX_JITTER_MS)
        if (state.position, self._target.target_id) < reports.most_advanced:
            delay_ms += SECOND_CANDIDATE_DELAY_MS
        await clock.sleep(delay_ms)
        reason = (
            f'no status of the primary for {self._silence_ms()} ms; other '
            f'replicas: {reports.suspecting_count} agree, '
            f'{reports.unreachable_count} do not answer'
        )
        result = await election_module.Election(
            self._context, self._service_targets(), reason
        ).run(state.term, reachable_primary_id or self._target.target_id)
        self._back_off()
        await self._probe.fetch_state(STATUS_TIMEOUT_MS)
        if isinstance(result, exceptions.Sentinel):
            LOG.warning(
                'election without a result',
                step='election',
                peer=self._target.service,
                reason=result.reason,
            )
            self._context.metrics.count('elections_without_result')

    def _back_off(self) -> None:
        self._next_attempt_at = self._context.clock.now() + (
            self._context.rng.randint(MIN_BACK_OFF_MS, MAX_BACK_OFF_MS)
        )

    async def _collect_peer_reports(
        self, state: types.TargetState, primaries: list[types.Target]
    ) -> _PeerReports | None:
        """Ask the other replicas' gateways; None if one has a primary."""
        unreachable_count = suspecting_count = trusting_count = 0
        most_advanced = (types.Position(0, 0), '')
        asked_at = self._context.clock.now()
        for peer in self._peers():
            if len(primaries) == 1 and peer in primaries:
                continue
            status = await self._request_status(peer)
            if status is None:
                unreachable_count += 1
                continue
            if self._record_primary(status.state, peer, asked_at):
                return None
            most_advanced = max(
                most_advanced, (status.state.position, peer.target_id)
            )
            if status.suspects_primary:
                suspecting_count += 1
            else:
                trusting_count += 1
        return _PeerReports(
            unreachable_count, suspecting_count, trusting_count, most_advanced
        )

    async def _repair_following(self, state: types.TargetState) -> bool:
        """Make the target follow the route's primary.

        Returns whether a call was needed.
        """
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
        # The server refuses lower terms from this call on, so an old primary
        # doesn't have to be fenced first.
        self._context.metrics.count('follow_repairs')
        await self._probe.call(
            messages.Follow(route.term, primary.url), STATUS_TIMEOUT_MS
        )
        return True

    def _record_primary(
        self, found: types.TargetState, peer: types.Target, asked_at: int
    ) -> bool:
        """Record a primary's state; false if it isn't a primary to follow.

        A primary of a lower term than this target's was replaced.
        """
        own_state = self._probe.state
        if found.role != PRIMARY or (
            own_state and found.term < own_state.term
        ):
            return False
        self._learn_route(found, peer.target_id)
        self._replica_ages.record_primary(found, asked_at)
        self._reset_silence(asked_at)
        return True

    def _reset_silence(self, asked_at: int) -> None:
        self._primary_seen_at = max(self._primary_seen_at, asked_at)
        self.suspects_primary = False

    def _silence_ms(self) -> int:
        return self._context.clock.now() - self._primary_seen_at

    def _may_promote(self) -> bool:
        if self._promotion_seen_at is None:
            return True
        elapsed = self._context.clock.now() - self._promotion_seen_at
        return elapsed >= PROMOTION_INTERVAL_MS

    def _learn_route(self, state: types.TargetState, target_id: str) -> None:
        if state.role == PRIMARY:
            self._context.routes.learn(
                types.Route(self._target.service, state.term, target_id)
            )

    async def _request_status(
        self, peer: types.Target
    ) -> types.TargetStatus | None:
        status = await self._context.router.target_status(
            peer.target_id, None, 0, STATUS_TIMEOUT_MS
        )
        return status if isinstance(status, types.TargetStatus) else None

    async def _probe_directly(
        self, peer: types.Target
    ) -> types.TargetState | None:
        try:
            answer = await control.call_once(
                self._context, peer.url, messages.Status()
            )
        except exceptions.TargetError:
            return None
        return answer.state

    def _service_targets(self) -> list[types.Target]:
        return context_module.service_targets(self._context, self._target)

    def _peers(self) -> list[types.Target]:
        return [
            each
            for each in self._service_targets()
            if each.target_id != self._target.target_id
        ]
