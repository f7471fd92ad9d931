"""Failover: replaces a primary that has failed or is draining."""

import asyncio
import collections
import collections.abc
import dataclasses
from typing import Any
from typing import TypeVar

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import copies
from samphirestand.gateway import copy_review
from samphirestand.gateway import fencing
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import group as group_module
from samphirestand.gateway import leadership as leadership_module
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand import log
from samphirestand.platform import promotion
from samphirestand.platform import store as store_module
from samphirestand.platform import wire
from samphirestand import types

__all__ = ['PrimaryFailover']

# The timeout of a command; a replica answers within two round trips.
COMMAND_TIMEOUT_MS = 500

# A command that failed is sent once more, on another connection.
MAX_COMMAND_ATTEMPTS = 2

# How long a promotion is expected to take: about a second.
PROMOTION_MS = 1_000

# The registry is read once more before an order. If that takes longer, what
# was read at most this long before the token was taken is enough.
REGISTRY_TIMEOUT_MS = 400
MAX_REGISTRY_AGE_MS = 2_500

# How often the promoted target is asked whether it is the primary, and for
# how long.
PROMOTION_POLL_INTERVAL_MS = 100
PROMOTION_TIMEOUT_MS = 2_500

# A promotion is not ordered later than this after the token was taken:
# another holder may have begun before the order arrives.
MAX_ORDER_DELAY_MS = 3_000

# Replicas are resumed no later than this after the token was taken: the next
# holder may have paused them, and RESUME doesn't say which pause it ends.
MAX_RESUME_DELAY_MS = fencing.TOKEN_HOLD_MS - COMMAND_TIMEOUT_MS

# How long a promotion that the platform has accepted may take at most, until
# it is in force or never will be.
MAX_PROMOTION_MS = PROMOTION_TIMEOUT_MS

# A replica is paused only for a term above the newest one. Replicas that have
# received nothing since a promotion don't know the newest term.
MAX_PAUSE_ATTEMPTS = 4

# How long a staying replica may take to receive what leaving ones have, and
# how often it is asked. A replica that follows its primary is some statements
# behind; while the leaving ones are paused, commits wait for the staying one.
CATCH_UP_MS = 300
CATCH_UP_POLL_INTERVAL_MS = 30

# The delay after an unfinished attempt.
RETRY_MS = 400

# The delay before a promotion whose answer was lost is ordered again, so that
# its outcome is known before anything else is tried.
ORDER_RETRY_MS = 100

# How often replicas are asked after a promotion whether they know of it.
MAX_RESUME_ATTEMPTS = 5

_log = log.get_logger(__name__)

_Result = TypeVar('_Result')


@dataclasses.dataclass(frozen=True)
class _Answers:
    """The answers of a service's targets to one command."""

    states: dict[str, wire.Status]  # by target id
    unanswered: list[str]
    sent_ms: int

    @property
    def newest_term(self) -> int:
        """Return the newest term that a target knows of; 0 without answers."""
        return max((each.term for each in self.states.values()), default=0)

    @property
    def replica_ids(self) -> set[str]:
        """Return the ids of the targets that answered as replicas."""
        return {
            target_id
            for target_id, status in self.states.items()
            if not status.is_primary
        }

    def unpaused_ids(self, term: int) -> set[str]:
        """Return the ids of replicas that refused to be paused for a term."""
        return {
            target_id
            for target_id in self.replica_ids
            if self.states[target_id].held < term
        }

    def without_unpaused(self, term: int) -> '_Answers':
        """Return these answers, as if replicas that go on were silent."""
        unpaused_ids = self.unpaused_ids(term)
        return _Answers(
            {
                target_id: status
                for target_id, status in self.states.items()
                if target_id not in unpaused_ids
            },
            [*self.unanswered, *sorted(unpaused_ids)],
            self.sent_ms,
        )

    def joined(self, others: '_Answers') -> '_Answers':
        """Return these answers and those of other targets."""
        return _Answers(
            {**self.states, **others.states},
            [*self.unanswered, *others.unanswered],
            min(self.sent_ms, others.sent_ms),
        )

    def updated(self, later: '_Answers') -> '_Answers':
        """Return these answers, replaced where there are later ones."""
        return _Answers(
            {**self.states, **later.states}, self.unanswered, self.sent_ms
        )

    def describe(self, now_ms: int) -> dict[str, dict[str, object]]:
        """Return what each target confirmed, and how old that is."""
        return {
            target_id: {
                'received': str(status.received),
                'term': status.term,
                'held': status.held,
                'age_ms': now_ms - self.sent_ms,
            }
            for target_id, status in self.states.items()
        }


@dataclasses.dataclass(frozen=True)
class _Plan:
    """The replica to promote, and what the replicas answered to a pause.

    ``is_stepped_down`` tells that the old primary has become a replica.
    ``token`` has what was recorded for the order.
    """

    target_id: str
    answers: _Answers
    is_stepped_down: bool
    token: fencing.Token


class PrimaryFailover:
    """Replaces primaries by replicas, under a fencing token from the store.

    Any host can start again after a step that failed: the next holder takes
    a higher token and asks all replicas again.
    """

    def __init__(
        self,
        host_id: str,
        zone: str,
        clock: clock_module.Clock,
        store: store_module.Store,
        promotions: promotion.PromotionClient,
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._clock = clock
        self._store = store
        self._tokens = fencing.FencingTokens(host_id, clock, store)
        self._copy_reviews = copy_review.CopyReviews(clock, self._tokens)
        self._promotions = promotions
        self._tasks: set[asyncio.Task[Any]] = set()
        # Held while this host may hold the token of a service, which the
        # store lets it take a second time.
        self._locks_by_service: collections.defaultdict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )

    async def read_ordered_ids(self, service: str) -> frozenset[str]:
        """Return the targets for which an order may still be carried out.

        Raises ``PlatformError`` while the store can't be reached.
        """
        return await self._tokens.read_ordered_ids(service)

    def known_holders(self, service: str) -> copies.HoldersById | None:
        """Return the holders of copies that this host knows to be recorded."""
        duty = self._tokens.known_duty(service)
        return None if duty is None else duty.holders_by_id

    def forget_holders(self, service: str) -> None:
        """Let the holders of copies be read again before they are used.

        Another host may change them while it is the gateway's host.
        """
        self._tokens.forget(service)

    def is_copy_review_due(self, group: group_module.TargetGroup) -> bool:
        """Tell whether the recorded holders of copies may have to change."""
        return self._copy_reviews.is_due(group)

    async def review_copies(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        """Record which holders of copies have joined and which have gone.

        Raises ``PlatformError`` while the store can't be reached.
        """
        await self._copy_reviews.review(gateway)

    def has_reached_store(self, since_ms: int) -> bool:
        """Tell whether the store has answered a call of this host since."""
        answered_ms = self._store.answered_ms
        return answered_ms is not None and answered_ms > since_ms

    async def replace_primary(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        reason: str,
    ) -> bool:
        """Promote a replica; return False if it must be tried again.

        Raises ``PlatformError`` while the store can't be reached.
        """
        async with self._locks_by_service[service.name]:
            return await self._replace_primary(gateway, service, reason)

    async def _replace_primary(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        reason: str,
    ) -> bool:
        group = gateway.group
        old_primary_id = group.primary_id
        pools = group.answering_absent_pools() | {
            target_id: pool
            for target_id, pool in group.pools_by_id.items()
            if target_id != old_primary_id
        }
        _log.warning(
            'succession_started',
            service=service.name,
            earlier=old_primary_id,
            reason=reason,
            replicas=sorted(pools),
        )

        # Ask the old primary at the same time as the replicas. A primary that
        # answers again after a partition must not be replaced.
        old_primary = group.primary
        was_down = old_primary is not None and old_primary.is_down
        if old_primary is not None and was_down:
            self._spawn(_check_primary(gateway, old_primary))

        # Ask the replicas before taking the token: without enough answers
        # nothing may be changed.
        answers = await self._send_to_all(pools, wire.STATUS)
        if await self._follow_existing_primary(gateway, pools, answers):
            return True
        duty = self._tokens.known_duty(service.name)
        if duty is None:
            duty = await self._tokens.read(service.name)
        candidate = _choose_candidate(
            gateway,
            service,
            pools,
            answers,
            duty.holders_by_id,
            zone=self._zone,
            may_catch_up=True,
        )
        needed = (
            candidate
            if isinstance(candidate, exceptions.Sentinel)
            else await _position_to_keep(group, service, was_down=was_down)
        )
        if (
            isinstance(candidate, policy.Candidate)
            and not isinstance(needed, exceptions.Sentinel)
            and candidate.target_id not in _leaving_pools(group, pools)
            and not await self._wait_for_log(group, pools, answers, needed)
        ):
            needed = exceptions.Sentinel(
                'no staying replica has received what leaving ones have'
            )
        if isinstance(needed, exceptions.Sentinel):
            _log.warning(
                'succession_waits', service=service.name, reason=needed.reason
            )
            self._tokens.let_read_again(service.name)
            return False
        token = await self._tokens.acquire(
            service.name,
            lambda duty: self._find_obstacle(
                gateway, service, pools, answers, duty
            ),
            are_replicas_open=leadership_module.are_replicas_open(
                answers.states.values()
            ),
        )
        if token is None:
            return False

        group.leadership.suspend()
        group.primary_expected_ms = (
            self._clock.now() + policy.PROMOTION_DELAY_MS + PROMOTION_MS
        )
        plan = await self._prepare_order(
            gateway,
            service,
            pools,
            token,
            answers,
            needed,
            was_down=was_down,
        )
        if isinstance(plan, exceptions.Sentinel):
            _log.warning(
                'succession_waits', service=service.name, reason=plan.reason
            )
            group.primary_expected_ms = None
            if not token.ordered_ids - {old_primary_id}:
                await self._send_to_all(
                    pools, wire.RESUME, self._may_resume(token)
                )
            await self._tokens.release(token, token.ordered_ids)
            return False

        target = pools[plan.target_id].target
        if target.is_draining:
            _log.warning(
                'draining_target_promoted',
                service=service.name,
                target=plan.target_id,
                is_open=pools[plan.target_id].may_start(is_primary=True),
                decided_by='no lost commit',
            )
        # From here on the replicas stay paused until the promotion is known
        # to have taken effect, or its order to have no effect any more. Until
        # then no commit that the candidate lacks may be acknowledged.
        promoted_term = await self._promote_replica(gateway, token, plan)
        if promoted_term is None:
            return False
        if old_primary is not None and not plan.is_stepped_down:
            self._spawn(gateway.step_down(old_primary, promoted_term))
        if token.ordered_ids - {plan.target_id} and not (
            await self._outlast_promotions(gateway, promoted_term)
        ):
            return False
        await self._resume_followers(
            pools, promoted_term, self._may_resume(token)
        )
        await self._tokens.release(
            dataclasses.replace(
                plan.token,
                holders_by_id={
                    target_id: copies.to_holder(pools[target_id].target)
                    for target_id in plan.answers.replica_ids
                },
            )
            if service.is_synchronous
            else plan.token
        )
        gateway.note_orders_settled()
        return True

    def _find_obstacle(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        pools: dict[str, pool_module.TargetPool],
        answers: _Answers,
        duty: fencing.Duty,
    ) -> str | None:
        """Return why what is recorded forbids a promotion, or None."""
        reason = _required_position_reason(service, duty, answers)
        if reason is not None:
            return reason
        candidate = _choose_candidate(
            gateway,
            service,
            pools,
            answers,
            duty.holders_by_id,
            duty.ordered_ids,
            zone=self._zone,
            may_catch_up=True,
        )
        if isinstance(candidate, exceptions.Sentinel):
            return candidate.reason
        return None

    async def _prepare_order(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        pools: dict[str, pool_module.TargetPool],
        token: fencing.Token,
        answers: _Answers,
        needed: types.Position | None,
        *,
        was_down: bool,
    ) -> _Plan | exceptions.Sentinel:
        """Pause the replicas, choose one and record the order for it.

        While all replicas are paused, no commit is acknowledged, and other
        gateways find no evidence for the old primary. ``was_down`` tells that
        the old primary didn't answer before, ``needed`` what the candidate
        must have received, if it is known. Returns a sentinel with the
        reason if nothing may be ordered.
        """
        group = gateway.group
        old_primary = group.primary
        old_primary_id = group.primary_id
        first_term = 1 + max(
            max(each.term, each.held, each.received.term)
            for each in answers.states.values()
        )
        for term in range(first_term, first_term + MAX_PAUSE_ATTEMPTS):
            answers = await self._pause(
                group, pools, wire.pause_text(term), needed
            )
            if answers.newest_term >= first_term:
                return exceptions.Sentinel(
                    f'term {answers.newest_term} has begun meanwhile'
                )
            if not answers.unpaused_ids(term):
                break
        answers = answers.without_unpaused(term)
        paused_ms = self._clock.now()
        candidate = _choose_candidate(
            gateway,
            service,
            pools,
            answers,
            token.holders_by_id,
            token.ordered_ids,
            zone=self._zone,
        )
        if isinstance(candidate, exceptions.Sentinel):
            return candidate
        wait_reason = _missing_commit_reason(
            candidate,
            answers,
            service,
            fencing.max_position(
                group.acknowledged_position, token.required_position
            ),
        )
        if needed is not None and wait_reason is None:
            wait_reason = _behind_reason(candidate, answers, needed)
        if wait_reason is not None:
            return exceptions.Sentinel(wait_reason)
        # Until another replica has received it, the next primary is the only
        # one that has all of it.
        received = answers.states[candidate.target_id].received
        recording = self._spawn(
            self._tokens.record_order(
                token,
                candidate.target_id,
                received if service.is_synchronous else None,
            )
        )
        is_stepped_down = (
            old_primary is not None
            and not was_down
            and await gateway.step_down(old_primary, term)
        )
        if (
            needed is not None
            and not service.is_synchronous
            and old_primary is not None
        ):
            # No replica confirms commits, so the last ones are only there.
            final = await _final_position(old_primary)
            behind_reason = (
                final.reason
                if isinstance(final, exceptions.Sentinel)
                else _behind_reason(candidate, answers, final)
            )
            if not is_stepped_down or behind_reason is not None:
                await recording
                return exceptions.Sentinel(
                    behind_reason or 'the old primary has not stepped down'
                )
        # A primary that has left the registry may still be used by others.
        absent_primary_ids = {
            target_id
            for target_id, status in answers.states.items()
            if status.is_primary and target_id not in group.pools_by_id
        }
        for target_id in absent_primary_ids:
            await gateway.step_down(pools[target_id], term)
        if not is_stepped_down:
            # Other gateways may use the old primary on evidence from before
            # the pause.
            waited_ms = self._clock.now() - paused_ms
            await self._clock.sleep(policy.PROMOTION_DELAY_MS - waited_ms)
            # A replica that has restarted since isn't paused any more.
            again = await self._send_to_all(
                {
                    target_id: pool
                    for target_id, pool in pools.items()
                    if target_id not in absent_primary_ids
                },
                wire.pause_text(term),
            )
            answers = answers.updated(again).without_unpaused(term)
        recorded_token = await recording
        if candidate != _choose_candidate(
            gateway,
            service,
            pools,
            answers,
            token.holders_by_id,
            token.ordered_ids,
            zone=self._zone,
        ):
            return exceptions.Sentinel('the replicas have changed')
        if old_primary is not None and was_down and not old_primary.is_down:
            return exceptions.Sentinel(f'{old_primary_id} answers again')
        stale_reason = await _stale_view_reason(
            group, old_primary_id, pools, token.taken_ms
        )
        if stale_reason is not None:
            return exceptions.Sentinel(stale_reason)
        if recorded_token is None:
            return exceptions.Sentinel('the order could not be recorded')
        return _Plan(
            candidate.target_id, answers, is_stepped_down, recorded_token
        )

    async def _pause(
        self,
        group: group_module.TargetGroup,
        pools: dict[str, pool_module.TargetPool],
        text: str,
        needed: types.Position | None,
    ) -> _Answers:
        """Pause the replicas, those that leave first.

        Under load a leaving replica is often some records ahead. Once it is
        paused, only the staying ones receive and confirm commits, so they
        reach its position while the primary runs.
        """
        leaving_pools = _leaving_pools(group, pools)
        if not _sends_log(group.primary) or not leaving_pools:
            return await self._send_to_all(pools, text)
        leaving = await self._send_to_all(leaving_pools, text)
        await self._wait_for_log(group, pools, leaving, needed)
        return leaving.joined(
            await self._send_to_all(
                {
                    target_id: pool
                    for target_id, pool in pools.items()
                    if target_id not in leaving_pools
                },
                text,
            )
        )

    async def _wait_for_log(
        self,
        group: group_module.TargetGroup,
        pools: dict[str, pool_module.TargetPool],
        answers: _Answers,
        needed: types.Position | None,
    ) -> bool:
        """Wait until a staying replica has received what leaving ones have.

        ``answers`` are those of the leaving ones at least, ``needed`` is what
        must be received in any case. Returns whether one has; also True if
        there is nothing to wait for.
        """
        leaving_pools = _leaving_pools(group, pools)
        staying_pools = {
            target_id: pool
            for target_id, pool in pools.items()
            if target_id not in leaving_pools
        }
        wanted = [
            status.received
            for target_id, status in answers.states.items()
            if target_id in leaving_pools
        ]
        if needed is not None:
            wanted.append(needed)
        if not _sends_log(group.primary) or not (wanted and staying_pools):
            return True
        position = max(wanted)
        deadline = self._clock.now() + CATCH_UP_MS
        while self._clock.now() < deadline:
            staying = await self._send_to_all(staying_pools, wire.STATUS)
            if any(
                each.received >= position for each in staying.states.values()
            ):
                return True
            await self._clock.sleep(CATCH_UP_POLL_INTERVAL_MS)
        return False

    def _spawn(
        self, coroutine: collections.abc.Coroutine[object, object, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _follow_existing_primary(
        self,
        gateway: gateway_module.ServiceGateway,
        pools: dict[str, pool_module.TargetPool],
        answers: _Answers,
    ) -> bool:
        """Use a target that says it is primary; return whether there is one.

        A primary that was replaced may say so too, in a lower term.
        """
        newest_term = answers.newest_term
        for target_id, status in answers.states.items():
            if not status.is_primary:
                continue
            if target_id not in gateway.group.pools_by_id:
                # It has left the registry and must be replaced.
                continue
            if status.term == newest_term:
                gateway.group.set_primary(target_id, 'status', status.term)
                paused_pools = {
                    each: pools[each]
                    for each, state in answers.states.items()
                    if _is_left_paused(state, status.term)
                }
                if paused_pools:
                    await self._settle(gateway, paused_pools, status.term)
                return True
            # Only a replica can be paused.
            await gateway.step_down(pools[target_id], newest_term)
        return False

    def _may_resume(
        self, token: fencing.Token
    ) -> collections.abc.Callable[[], bool]:
        """Return what tells whether the token is still certain to be held."""
        until_ms = token.taken_ms + MAX_RESUME_DELAY_MS
        return lambda: self._clock.now() < until_ms

    def _may_order(
        self, token: fencing.Token
    ) -> collections.abc.Callable[[], bool]:
        """Return what tells whether another host can't hold a token yet."""
        until_ms = token.taken_ms + MAX_ORDER_DELAY_MS
        return lambda: (
            self._clock.now() < until_ms and self._tokens.is_valid(token)
        )

    async def resume_replica(
        self,
        gateway: gateway_module.ServiceGateway,
        pool: pool_module.TargetPool,
    ) -> None:
        """Resume a replica that an earlier token holder left paused.

        A replica that doesn't know of the current primary yet stays paused.
        Raises ``PlatformError`` while the store can't be reached.
        """
        async with self._locks_by_service[gateway.service]:
            primary_term = gateway.group.leadership.term or 0
            status = await pool.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
            if isinstance(status, exceptions.Sentinel) or (
                not _is_left_paused(status, primary_term)
            ):
                return
            _log.info(
                'replica_left_paused',
                service=gateway.service,
                target=pool.target.target_id,
                held=status.held,
            )
            await self._settle(
                gateway, {pool.target.target_id: pool}, primary_term
            )

    async def settle_orders(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        """Make sure that no earlier order replaces the current primary.

        Raises ``PlatformError`` while the store can't be reached.
        """
        async with self._locks_by_service[gateway.service]:
            await self._settle(gateway, {}, gateway.group.leadership.term or 0)

    async def _settle(
        self,
        gateway: gateway_module.ServiceGateway,
        paused_pools: dict[str, pool_module.TargetPool],
        term: int,
    ) -> None:
        """Resume replicas once no earlier order can replace the primary.

        Does nothing while another host holds the token.
        """
        token = await self._tokens.acquire(gateway.service)
        if token is None:
            return
        primary_id = gateway.group.primary_id
        if token.ordered_ids - {primary_id}:
            gateway.group.leadership.suspend()
            gateway.group.primary_expected_ms = (
                self._clock.now() + MAX_PROMOTION_MS
            )
            is_settled = await self._fence_off_orders(gateway, token)
            gateway.group.primary_expected_ms = None
            if not is_settled:
                await self._tokens.release(
                    token, token.ordered_ids | {primary_id}
                )
                return
        if paused_pools:
            await self._resume_followers(
                paused_pools, term, self._may_resume(token)
            )
        await self._tokens.release(token)
        gateway.note_orders_settled()

    async def _fence_off_orders(
        self,
        gateway: gateway_module.ServiceGateway,
        token: fencing.Token,
    ) -> bool:
        """Make the platform reject all earlier orders; return whether it does.

        An order for the current primary changes nothing but shows the token.
        It is recorded like any other: if it has no answer, it may be carried
        out when another target has become the primary.
        """
        primary_id = gateway.group.primary_id
        term = await self._ask_for_common_term(gateway)
        if term is None or (
            await self._tokens.record_order(token, primary_id) is None
        ):
            return False
        answer, text = await self._promotions.order(
            gateway.service,
            primary_id,
            self._host_id,
            token.number,
            self._may_order(token),
        )
        _log.warning(
            'orders_fenced_off',
            service=gateway.service,
            target=primary_id,
            token=token.number,
            ordered=sorted(token.ordered_ids),
            term=term,
            answer=answer.value,
            text=text,
        )
        if answer is not promotion.PromotionAnswer.ACCEPTED:
            return False
        return await self._outlast_promotions(gateway, term)

    async def _outlast_promotions(
        self, gateway: gateway_module.ServiceGateway, term: int
    ) -> bool:
        """Wait until accepted promotions have taken effect.

        Returns whether the primary of ``term`` is still the newest one.
        """
        await self._clock.sleep(MAX_PROMOTION_MS)
        return await self._ask_for_common_term(gateway) == term

    async def _ask_for_common_term(
        self, gateway: gateway_module.ServiceGateway
    ) -> int | None:
        """Return the primary's term if a replica follows it and none is later.

        None if the primary doesn't answer or doesn't lead.
        """
        group = gateway.group
        answers = await self._send_to_all(dict(group.pools_by_id), wire.STATUS)
        status = answers.states.pop(group.primary_id, None)
        if status is None or not status.is_primary:
            return None
        if len(group.pools_by_id) > 1 and answers.newest_term != status.term:
            return None
        return status.term

    async def _resume_followers(
        self,
        pools: dict[str, pool_module.TargetPool],
        term: int,
        may_resume: collections.abc.Callable[[], bool],
    ) -> None:
        """Resume the replicas that follow the primary of ``term``.

        A replica that doesn't know of that primary yet might receive from the
        earlier one. It is resumed when it is found to be lagging.
        """
        for _ in range(MAX_RESUME_ATTEMPTS):
            answers = await self._send_to_all(pools, wire.STATUS)
            follower_pools = {
                target_id: pools[target_id]
                for target_id, status in answers.states.items()
                if not status.is_primary and status.term >= term
            }
            if follower_pools:
                await self._send_to_all(
                    follower_pools, wire.RESUME, may_resume
                )
                return
            await self._clock.sleep(PROMOTION_POLL_INTERVAL_MS)

    async def _send_to_all(
        self,
        pools: dict[str, pool_module.TargetPool],
        text: str,
        may_send: collections.abc.Callable[[], bool] | None = None,
    ) -> _Answers:
        """Send a command to all ``pools``, if ``may_send`` allows it."""
        answers = _Answers({}, [], self._clock.now())
        statuses = await asyncio.gather(
            *(_send_command(pool, text, may_send) for pool in pools.values())
        )
        for target_id, status in zip(pools, statuses, strict=True):
            if isinstance(status, exceptions.Sentinel):
                answers.unanswered.append(target_id)
                _log.warning(
                    'replica_silent', target=target_id, reason=status.reason
                )
                continue
            answers.states[target_id] = status
            _log.info(
                'replica_answered',
                target=target_id,
                command=text,
                received=str(status.received),
                term=status.term,
                held=status.held,
            )
        return answers

    async def _promote_replica(
        self,
        gateway: gateway_module.ServiceGateway,
        token: fencing.Token,
        plan: _Plan,
    ) -> int | None:
        """Order a promotion, repeatedly if its outcome is unknown.

        Orders nothing once another host may soon hold a higher token. Returns
        the term of the new primary, or None.
        """
        group = gateway.group
        may_order = self._may_order(token)
        while may_order():
            now = self._clock.now()
            answer, text = await self._promotions.order(
                gateway.service,
                plan.target_id,
                self._host_id,
                token.number,
                may_order,
            )
            _log.warning(
                'promotion_ordered',
                service=gateway.service,
                target=plan.target_id,
                token=token.number,
                answer=answer.value,
                text=text,
                replicas=plan.answers.describe(now),
                unanswered=plan.answers.unanswered,
                departed=group.unconfirmed_departures(),
                earlier_orders=sorted(token.ordered_ids),
                registry_age_ms=group.registry_age_ms,
                acknowledged=str(group.acknowledged_position),
                acknowledged_age_ms=now - group.acknowledged_sent_ms,
            )
            match answer:
                case promotion.PromotionAnswer.ACCEPTED:
                    group.primary_expected_ms = (
                        self._clock.now() + PROMOTION_MS
                    )
                    return await self._wait_for_promotion(
                        gateway, plan.target_id, token
                    )
                case promotion.PromotionAnswer.REJECTED:
                    return None
            await self._clock.sleep(ORDER_RETRY_MS)
        _log.warning('succession_too_late', service=gateway.service)
        return None

    async def _wait_for_promotion(
        self,
        gateway: gateway_module.ServiceGateway,
        target_id: str,
        token: fencing.Token,
    ) -> int | None:
        deadline = self._clock.now() + PROMOTION_TIMEOUT_MS
        while self._clock.now() < deadline:
            pool = gateway.group.pools_by_id.get(target_id)
            if pool is None:
                return None
            sent_ms = self._clock.now()
            status = await pool.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
            if not isinstance(status, exceptions.Sentinel) and (
                status.is_primary
            ):
                group = gateway.group
                group.set_primary(target_id, 'promotion', status.term)
                held_until_ms = token.taken_ms + fencing.TOKEN_HOLD_MS
                if (
                    self._clock.now() < held_until_ms
                    and not token.ordered_ids - {target_id}
                ):
                    # No other host could order another promotion.
                    group.leadership.is_free_of_orders = True
                    group.leadership.confirm(sent_ms)
                gateway.refresh()
                return status.term
            await self._clock.sleep(PROMOTION_POLL_INTERVAL_MS)
        return None


async def _send_command(
    pool: pool_module.TargetPool,
    text: str,
    may_send: collections.abc.Callable[[], bool] | None,
) -> wire.Status | exceptions.Sentinel:
    """Send a command, and once more if it failed.

    A connection that failed is replaced first.
    """
    for _ in range(MAX_COMMAND_ATTEMPTS):
        status = await pool.run_command(text, COMMAND_TIMEOUT_MS, may_send)
        if not isinstance(status, exceptions.Sentinel):
            break
    return status


def _is_left_paused(status: wire.Status, primary_term: int) -> bool:
    """Tell whether a replica that follows the primary is paused."""
    return (
        not status.is_primary
        and status.held > 0
        and status.term >= primary_term
    )


async def _check_primary(
    gateway: gateway_module.ServiceGateway, pool: pool_module.TargetPool
) -> None:
    """Ask a primary that is down for its status; an answer shows it is up."""
    status = await pool.run_command_on_new_connection(
        wire.STATUS, COMMAND_TIMEOUT_MS
    )
    if not isinstance(status, exceptions.Sentinel) and not status.is_primary:
        gateway.group.mark_not_primary(pool)


async def _stale_view_reason(
    group: group_module.TargetGroup,
    old_primary_id: str,
    pools: dict[str, pool_module.TargetPool],
    token_taken_ms: int,
) -> str | None:
    """Return why this host may have begun with an old view, or None.

    ``pools`` are those of the replicas that were paused. A host that was
    suspended may know neither the present primary nor all replicas; another
    replica could confirm commits that the candidate lacks. A host that has
    just lost the store goes on with what it read shortly before.
    """
    is_read_again = await group.read_registry_since(
        token_taken_ms, REGISTRY_TIMEOUT_MS
    )
    if not is_read_again and not await group.read_registry_since(
        token_taken_ms - MAX_REGISTRY_AGE_MS, 0
    ):
        return 'the registry was not read lately'
    if group.primary_id not in ('', old_primary_id):
        return f'{group.primary_id} is the primary now'
    new_ids = sorted(
        group.pools_by_id.keys() - pools.keys() - {old_primary_id}
    )
    if new_ids:
        return f'registered meanwhile: {", ".join(new_ids)}'
    return None


def _choose_candidate(
    gateway: gateway_module.ServiceGateway,
    service: catalog_module.Service,
    pools: dict[str, pool_module.TargetPool],
    answers: _Answers,
    holders_by_id: copies.HoldersById | None,
    ordered_ids: collections.abc.Set[str] = frozenset(),
    *,
    zone: str,
    may_catch_up: bool = False,
) -> policy.Candidate | exceptions.Sentinel:
    group = gateway.group
    if group.primary is None or group.primary.is_down:
        waiver = policy.Waiver.RELAY
    elif not group.primary.may_start(is_primary=True):
        waiver = policy.Waiver.EXTEND
    elif may_catch_up:
        waiver = policy.Waiver.CATCH_UP
    else:
        waiver = policy.Waiver.NONE
    return policy.choose_candidate(
        [
            policy.ReplicaState(
                target_id,
                status.received,
                pools[target_id].target.is_draining,
                target_id in group.pools_by_id,
                is_evacuated=pools[target_id].zone_limit is not None,
                is_open=pools[target_id].may_start(is_primary=True),
                is_near=pools[target_id].target.zone == zone,
            )
            for target_id, status in answers.states.items()
            if target_id in group.pools_by_id or not status.is_primary
        ],
        copies.find_missing(
            holders_by_id,
            [each.target for each in group.pools_by_id.values()],
            {*answers.unanswered, *group.unconfirmed_departures()},
            answers.replica_ids,
            group.is_departure_settled,
        )
        # These were found to run after the attempt had begun. They can be
        # asked and stopped in the next one.
        | (group.answering_absent_pools().keys() - pools.keys()),
        service.is_synchronous,
        ordered_ids,
        waiver=waiver,
    )


def _leaving_pools(
    group: group_module.TargetGroup, pools: dict[str, pool_module.TargetPool]
) -> dict[str, pool_module.TargetPool]:
    """Return the pools of replicas that should not become the primary."""
    return {
        target_id: pool
        for target_id, pool in pools.items()
        if pool.target.is_draining
        or pool.zone_limit is not None
        or target_id not in group.pools_by_id
    }


def _sends_log(primary: pool_module.TargetPool | None) -> bool:
    """Tell whether replicas may still receive from the primary."""
    return primary is not None and not primary.is_down


async def _position_to_keep(
    group: group_module.TargetGroup,
    service: catalog_module.Service,
    *,
    was_down: bool,
) -> types.Position | exceptions.Sentinel | None:
    """Return what the next primary must have if this one is leaving.

    A primary that is replaced only because it drains, or because of its zone,
    runs and can be asked, so nothing that it has committed needs to be given
    up. It may have become the primary just before, with commits that no other
    target has received yet. None if it is replaced for another reason, or if
    a replica has confirmed a commit of its term, and so has all earlier ones.
    """
    old_primary = group.primary
    if old_primary is None or was_down:
        return None
    acknowledged = group.acknowledged_position
    term = group.leadership.term
    is_confirmed = (
        service.is_synchronous
        and acknowledged is not None
        and term is not None
        and acknowledged.term >= term
    )
    if old_primary.zone_limit is None and (
        is_confirmed or not old_primary.target.is_draining
    ):
        return None
    status = await old_primary.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
    return (
        status if isinstance(status, exceptions.Sentinel) else status.received
    )


async def _final_position(
    pool: pool_module.TargetPool,
) -> types.Position | exceptions.Sentinel:
    """Return the position of a former primary, which commits no more."""
    status = await pool.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
    return (
        status if isinstance(status, exceptions.Sentinel) else status.received
    )


def _behind_reason(
    candidate: policy.Candidate | exceptions.Sentinel,
    answers: _Answers,
    needed: types.Position,
) -> str | None:
    """Return that the candidate lacks commits of the old primary, or None."""
    if isinstance(candidate, exceptions.Sentinel):
        return candidate.reason
    if answers.states[candidate.target_id].received >= needed:
        return None
    return f'{candidate.target_id} has not received {needed} yet'


def _missing_commit_reason(
    candidate: policy.Candidate | exceptions.Sentinel,
    answers: _Answers,
    service: catalog_module.Service,
    required_position: types.Position | None,
) -> str | None:
    """Return why the candidate may lack an acknowledged commit, or None."""
    if isinstance(candidate, exceptions.Sentinel):
        return candidate.reason
    if (
        service.is_synchronous
        and required_position is not None
        and answers.states[candidate.target_id].received < required_position
    ):
        return f'{candidate.target_id} lacks commit {required_position}'
    return None


def _required_position_reason(
    service: catalog_module.Service, duty: fencing.Duty, answers: _Answers
) -> str | None:
    """Return that each replica lacks what a primary must have, or None."""
    required_position = duty.required_position
    if not service.is_synchronous or required_position is None:
        return None
    if any(
        each.received >= required_position for each in answers.states.values()
    ):
        return None
    return f'no replica that answers has received {required_position}'
