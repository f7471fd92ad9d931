"""Failover: replaces a primary that has failed or is draining."""

import asyncio
import collections
import collections.abc

import pydantic

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import group as group_module
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand import log
from samphirestand.platform import promotion
from samphirestand.platform import store as store_module
from samphirestand.platform import wire
from samphirestand import types

__all__ = ['DUTIES_TABLE', 'PrimaryFailover']

# The table of the store that holds the fencing token of each service.
DUTIES_TABLE = 'duties'

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

# For this long no other host may take the fencing token: its holder asks the
# replicas, orders the promotion and waits until it takes effect.
TOKEN_HOLD_MS = 5_000

# A promotion is not ordered later than this after the token was taken:
# another holder may have begun before the order arrives.
MAX_ORDER_DELAY_MS = 3_000

# Replicas are resumed no later than this after the token was taken: the next
# holder may have paused them, and RESUME doesn't say which pause it ends.
MAX_RESUME_DELAY_MS = TOKEN_HOLD_MS - COMMAND_TIMEOUT_MS

# The delay after an unfinished attempt.
RETRY_MS = 400

# The delay before a promotion whose answer was lost is ordered again, so that
# its outcome is known before anything else is tried.
ORDER_RETRY_MS = 100

# How often replicas are asked after a promotion whether they know of it.
MAX_RESUME_ATTEMPTS = 5

_log = log.get_logger(__name__)


class _Duty(pydantic.BaseModel):
    token: int = pydantic.Field(ge=0)
    holder: str
    until_ms: int = 0  # by the store's clock


class PrimaryFailover:
    """Replaces primaries by replicas, under a fencing token from the store.

    Any host can start again after a step that failed: the next holder takes
    a higher token and asks all replicas again.
    """

    def __init__(
        self,
        host_id: str,
        clock: clock_module.Clock,
        store: store_module.Store,
        promotions: promotion.PromotionClient,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._store = store
        self._promotions = promotions
        self._versions_by_service: dict[str, int] = {}
        self._checks: set[asyncio.Task[None]] = set()
        # Held while this host may hold the token of a service, which the
        # store lets it take a second time.
        self._locks_by_service: collections.defaultdict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )

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
        old_primary_id = gateway.group.primary_id
        pools = {
            target_id: pool
            for target_id, pool in gateway.group.pools_by_id.items()
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
        old_primary = gateway.group.primary
        was_down = old_primary is not None and old_primary.is_down
        if old_primary is not None and was_down:
            primary_check = asyncio.create_task(
                _check_primary(gateway, old_primary)
            )
            self._checks.add(primary_check)
            primary_check.add_done_callback(self._checks.discard)

        # Ask the replicas before taking the token: without enough answers
        # nothing may be changed.
        states, unanswered = await self._send_to_all(pools, wire.STATUS)
        if await self._follow_existing_primary(gateway, pools, states):
            return True
        candidate = _choose_candidate(
            gateway, service, pools, states, unanswered
        )
        if isinstance(candidate, exceptions.Sentinel):
            _log.warning(
                'succession_waits',
                service=service.name,
                reason=candidate.reason,
            )
            return False
        # The store's clock runs from before the write, so this does too.
        token_taken_ms = self._clock.now()
        token = await self._acquire_token(service.name, may_renew=True)
        if token is None:
            return False

        # While all replicas are paused, no commit is acknowledged, and other
        # gateways find no evidence for the old primary.
        term = 1 + max(
            max(each.term, each.held, each.received.term)
            for each in states.values()
        )
        group = gateway.group
        group.leadership.suspend()
        group.primary_expected_ms = (
            self._clock.now() + policy.PROMOTION_DELAY_MS + PROMOTION_MS
        )
        states, unanswered = await self._send_to_all(
            pools, wire.pause_text(term)
        )
        paused_ms = self._clock.now()
        candidate = _choose_candidate(
            gateway, service, pools, states, unanswered
        )
        wait_reason = _missing_commit_reason(
            candidate, states, service, group.acknowledged_position
        )
        is_stepped_down = (
            wait_reason is None
            and old_primary is not None
            and not was_down
            and await gateway.step_down(old_primary, term)
        )
        if wait_reason is None and not is_stepped_down:
            # Other gateways may use the old primary on evidence from before
            # the pause.
            waited_ms = self._clock.now() - paused_ms
            await self._clock.sleep(policy.PROMOTION_DELAY_MS - waited_ms)
        if old_primary is not None and was_down and not old_primary.is_down:
            wait_reason = f'{old_primary_id} answers again'
        if wait_reason is None:
            wait_reason = await _stale_view_reason(
                group, old_primary_id, pools, token_taken_ms
            )
        if wait_reason is not None or isinstance(
            candidate, exceptions.Sentinel
        ):
            _log.warning(
                'succession_waits', service=service.name, reason=wait_reason
            )
            group.primary_expected_ms = None
            await self._send_to_all(
                pools, wire.RESUME, self._may_resume(token_taken_ms)
            )
            await self._release_token(service.name, token)
            return False

        # From here on the replicas stay paused until the promotion is known
        # to have taken effect. An order that got no answer may still be
        # carried out, and until then no commit that the candidate lacks may
        # be acknowledged.
        promoted_term = await self._promote_replica(
            gateway,
            service.name,
            candidate.target_id,
            token,
            token_taken_ms,
        )
        if promoted_term is None:
            return False
        await self._resume_followers(
            pools, promoted_term, self._may_resume(token_taken_ms)
        )
        await self._release_token(service.name, token)
        if old_primary is not None and not is_stepped_down:
            await gateway.step_down(old_primary, promoted_term)
        return True

    async def _follow_existing_primary(
        self,
        gateway: gateway_module.ServiceGateway,
        pools: dict[str, pool_module.TargetPool],
        states: dict[str, wire.Status],
    ) -> bool:
        """Use a target that says it is primary; return whether there is one.

        A primary that was replaced may say so too, in a lower term.
        """
        newest_term = max((each.term for each in states.values()), default=0)
        for target_id, status in states.items():
            if not status.is_primary:
                continue
            if status.term == newest_term:
                gateway.group.set_primary(target_id, 'status', status.term)
                paused_pools = {
                    each: pools[each]
                    for each, state in states.items()
                    if _is_left_paused(state, status.term)
                }
                if paused_pools:
                    await self._resume_under_token(
                        gateway.service, paused_pools, status.term
                    )
                return True
            # Only a replica can be paused.
            await gateway.step_down(pools[target_id], newest_term)
        return False

    def _may_resume(
        self, token_taken_ms: int
    ) -> collections.abc.Callable[[], bool]:
        """Return what tells whether the token is still certain to be held."""
        until_ms = token_taken_ms + MAX_RESUME_DELAY_MS
        return lambda: self._clock.now() < until_ms

    async def _resume_under_token(
        self,
        service: str,
        pools: dict[str, pool_module.TargetPool],
        term: int,
    ) -> None:
        """Resume replicas that an earlier token holder left paused.

        Does nothing while a host holds the token, this one included: its
        order may still be carried out.
        """
        token_taken_ms = self._clock.now()
        token = await self._acquire_token(service, may_renew=False)
        if token is None:
            return
        await self._resume_followers(
            pools, term, self._may_resume(token_taken_ms)
        )
        await self._release_token(service, token)

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
            states, _ = await self._send_to_all(pools, wire.STATUS)
            follower_pools = {
                target_id: pools[target_id]
                for target_id, status in states.items()
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
    ) -> tuple[dict[str, wire.Status], list[str]]:
        """Send a command to all ``pools`` at once, if ``may_send`` allows it.

        Returns the answers by target id, and the ids that didn't answer.
        """
        answers = {}
        unanswered = []
        statuses = await asyncio.gather(
            *(_send_command(pool, text, may_send) for pool in pools.values())
        )
        for target_id, status in zip(pools, statuses, strict=True):
            if isinstance(status, exceptions.Sentinel):
                unanswered.append(target_id)
                _log.warning(
                    'replica_silent', target=target_id, reason=status.reason
                )
                continue
            answers[target_id] = status
            _log.info(
                'replica_answered',
                target=target_id,
                command=text,
                received=str(status.received),
                term=status.term,
                held=status.held,
            )
        return answers, unanswered

    async def _read_duty(
        self, service: str
    ) -> tuple[_Duty, int, int] | exceptions.Sentinel:
        """Return a service's duty, its row's version and the store's time.

        A sentinel if the row is unreadable.
        """
        key = _duty_key(service)
        feed = await self._store.read(DUTIES_TABLE)
        row = next((each for each in feed.rows if each.key == key), None)
        if row is None:
            return _Duty(token=0, holder='', until_ms=0), 0, feed.now_ms
        try:
            duty = _Duty.model_validate_json(row.value)
        except pydantic.ValidationError as error:
            _log.error('duty_unreadable', key=key, reason=str(error))
            return exceptions.Sentinel('the duty row is unreadable')
        return duty, row.version, feed.now_ms

    async def _acquire_token(
        self, service: str, *, may_renew: bool
    ) -> int | None:
        """Take a service's fencing token; None if it is held.

        Raises the token in the store. Another host's token is not taken
        before it expires by the store's clock: two holders at once would
        choose different replicas. This host's own is, with ``may_renew``.
        """
        found = await self._read_duty(service)
        if isinstance(found, exceptions.Sentinel):
            return None
        duty, version, now_ms = found
        is_renewal = may_renew and duty.holder == self._host_id
        if not is_renewal and now_ms < duty.until_ms:
            _log.info(
                'succession_token_held',
                service=service,
                peer=duty.holder,
                token=duty.token,
                remaining_ms=duty.until_ms - now_ms,
            )
            return None
        token = duty.token + 1
        taken = _Duty(
            token=token, holder=self._host_id, until_ms=now_ms + TOKEN_HOLD_MS
        )
        result = await self._store.put(
            DUTIES_TABLE,
            _duty_key(service),
            taken.model_dump_json().encode(),
            version,
        )
        if isinstance(result, store_module.Conflict):
            _log.info('succession_taken_by_other', service=service)
            return None
        self._versions_by_service[service] = result
        _log.info('fencing_token_taken', service=service, token=token)
        return token

    async def _release_token(self, service: str, token: int) -> None:
        """Expire the token, so that another host can take it at once."""
        duty = _Duty(token=token, holder=self._host_id, until_ms=0)
        await self._store.put(
            DUTIES_TABLE,
            _duty_key(service),
            duty.model_dump_json().encode(),
            self._versions_by_service[service],
        )

    async def resume_replica(
        self, service: str, pool: pool_module.TargetPool, primary_term: int
    ) -> None:
        """Resume a replica that an earlier token holder left paused.

        ``primary_term`` is the term of the current primary; a replica that
        doesn't know of that one yet stays paused. Raises ``PlatformError``
        while the store can't be reached.
        """
        async with self._locks_by_service[service]:
            status = await pool.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
            if isinstance(status, exceptions.Sentinel) or (
                not _is_left_paused(status, primary_term)
            ):
                return
            _log.info(
                'replica_left_paused',
                service=service,
                target=pool.target.target_id,
                held=status.held,
            )
            await self._resume_under_token(
                service, {pool.target.target_id: pool}, primary_term
            )

    async def _promote_replica(
        self,
        gateway: gateway_module.ServiceGateway,
        service: str,
        target_id: str,
        token: int,
        token_taken_ms: int,
    ) -> int | None:
        """Order a promotion, repeatedly if its outcome is unknown.

        Orders nothing once another host may soon hold a higher token. Returns
        the term of the new primary, or None.
        """

        def may_order() -> bool:
            return self._clock.now() < token_taken_ms + MAX_ORDER_DELAY_MS

        while may_order():
            answer, text = await self._promotions.order(
                service, target_id, self._host_id, token, may_order
            )
            _log.warning(
                'promotion_ordered',
                service=service,
                target=target_id,
                token=token,
                answer=answer.value,
                text=text,
            )
            match answer:
                case promotion.PromotionAnswer.ACCEPTED:
                    gateway.group.primary_expected_ms = (
                        self._clock.now() + PROMOTION_MS
                    )
                    return await self._wait_for_promotion(
                        gateway, target_id, token_taken_ms + TOKEN_HOLD_MS
                    )
                case promotion.PromotionAnswer.REJECTED:
                    return None
            await self._clock.sleep(ORDER_RETRY_MS)
        _log.warning('succession_too_late', service=service)
        return None

    async def _wait_for_promotion(
        self,
        gateway: gateway_module.ServiceGateway,
        target_id: str,
        token_held_until_ms: int,
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
                if self._clock.now() < token_held_until_ms:
                    # No other host could order another promotion.
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


def _duty_key(service: str) -> str:
    return f'promotion/{service}'


def _choose_candidate(
    gateway: gateway_module.ServiceGateway,
    service: catalog_module.Service,
    pools: dict[str, pool_module.TargetPool],
    states: dict[str, wire.Status],
    unanswered: list[str],
) -> policy.Candidate | exceptions.Sentinel:
    return policy.choose_candidate(
        [
            policy.ReplicaState(
                target_id,
                status.received,
                pools[target_id].target.is_draining,
            )
            for target_id, status in states.items()
        ],
        [*unanswered, *gateway.group.unconfirmed_departures()],
        service.is_synchronous,
    )


def _missing_commit_reason(
    candidate: policy.Candidate | exceptions.Sentinel,
    states: dict[str, wire.Status],
    service: catalog_module.Service,
    acknowledged_position: types.Position | None,
) -> str | None:
    """Return why the candidate may lack an acknowledged commit, or None."""
    if isinstance(candidate, exceptions.Sentinel):
        return candidate.reason
    if (
        service.is_synchronous
        and acknowledged_position is not None
        and states[candidate.target_id].received < acknowledged_position
    ):
        return f'{candidate.target_id} lacks commit {acknowledged_position}'
    return None
