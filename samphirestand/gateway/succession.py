"""Failover: replaces a primary that has failed or is draining."""

import asyncio

import pydantic

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import gateway as gateway_module
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

# How long a promotion is expected to take: about a second.
PROMOTION_MS = 1_000

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

# The delay after an unfinished attempt.
RETRY_MS = 400

# A promotion whose answer was lost is ordered up to this often in all, so that
# its outcome is known before anything else is tried.
MAX_ORDER_ATTEMPTS = 4

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

    async def replace_primary(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        reason: str,
    ) -> bool:
        """Promote a replica; return False if it must be tried again.

        Raises ``PlatformError`` while the store can't be reached.
        """
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

        # Ask the old primary at the same time as the replicas and check its
        # answer before the promotion: a primary that answers again after a
        # partition must not be replaced.
        old_primary = gateway.group.primary
        primary_check = None
        if old_primary is not None and old_primary.is_down:
            primary_check = asyncio.create_task(
                _answers_as_primary(old_primary)
            )

        # Ask the replicas before taking the token: without enough answers
        # nothing may be changed.
        states, unanswered = await self._send_to_all(pools, wire.STATUS)
        for target_id, status in states.items():
            if status.is_primary:
                gateway.group.set_primary(target_id, 'status')
                return True
        candidate = policy.choose_candidate(
            _replica_states(states, pools),
            [*unanswered, *gateway.group.unconfirmed_departures()],
            service.is_synchronous,
        )
        if isinstance(candidate, exceptions.Sentinel):
            _log.warning(
                'succession_waits',
                service=service.name,
                reason=candidate.reason,
            )
            return False
        token = await self._acquire_token(service.name)
        if token is None:
            return False
        token_taken_ms = self._clock.now()

        # While the other replicas are paused, only the candidate can confirm
        # commits, so it has every commit that is acknowledged from now on.
        term = max(
            max(each.term, each.held, each.received.term)
            for each in states.values()
        )
        other_pools = {
            target_id: pool
            for target_id, pool in pools.items()
            if target_id != candidate.target_id
        }
        pause_statuses, pause_unanswered = await self._send_to_all(
            other_pools, wire.pause_text(term + 1)
        )
        candidate_statuses, candidate_unanswered = await self._send_to_all(
            {candidate.target_id: pools[candidate.target_id]}, wire.STATUS
        )
        wait_reason = _missing_commit_reason(
            candidate,
            pause_statuses,
            candidate_statuses,
            [*pause_unanswered, *candidate_unanswered],
            service,
            gateway.group.acknowledged_position,
        )
        if (
            primary_check is not None
            and primary_check.done()
            and primary_check.result()
        ):
            wait_reason = f'{old_primary_id} answers again as primary'
        if (
            wait_reason is None
            and self._clock.now() - token_taken_ms > MAX_ORDER_DELAY_MS
        ):
            # This process was suspended; another host may hold the token.
            _log.warning('succession_too_late', service=service.name)
            return False
        if wait_reason is not None:
            _log.warning(
                'succession_waits', service=service.name, reason=wait_reason
            )
            await self._send_to_all(other_pools, wire.RESUME)
            await self._release_token(service.name, token)
            return False

        # From here on the other replicas stay paused until the promotion is
        # known to have taken effect. An order that got no answer may still be
        # carried out, and until the promotion takes effect no commit that the
        # candidate lacks may be acknowledged.
        if not await self._promote_replica(
            gateway, service.name, candidate.target_id, token
        ):
            return False
        await self._send_to_all(other_pools, wire.RESUME)
        await self._release_token(service.name, token)
        return True

    async def _send_to_all(
        self, pools: dict[str, pool_module.TargetPool], text: str
    ) -> tuple[dict[str, wire.Status], list[str]]:
        """Send a command to all ``pools`` at once.

        Returns the answers by target id, and the ids that didn't answer.
        """
        answers = {}
        unanswered = []
        statuses = await asyncio.gather(
            *(_send_command(pool, text) for pool in pools.values())
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

    async def _acquire_token(self, service: str) -> int | None:
        """Take a service's fencing token; None if another host holds it.

        Raises the token in the store. Another host's token is not taken
        before it expires by the store's clock: two holders at once would
        choose different replicas.
        """
        found = await self._read_duty(service)
        if isinstance(found, exceptions.Sentinel):
            return None
        duty, version, now_ms = found
        if duty.holder != self._host_id and now_ms < duty.until_ms:
            _log.info(
                'succession_held_by_other',
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
        self, service: str, pool: pool_module.TargetPool
    ) -> None:
        """Resume a replica that an earlier token holder left paused.

        Raises ``PlatformError`` while the store can't be reached.
        """
        found = await self._read_duty(service)
        if isinstance(found, exceptions.Sentinel):
            return
        duty, _, now_ms = found
        if now_ms < duty.until_ms:
            return
        status = await pool.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
        if isinstance(status, exceptions.Sentinel) or (
            status.held <= status.term
        ):
            return
        _log.info(
            'replica_resumed',
            service=service,
            target=pool.target.target_id,
            held=status.held,
        )
        await pool.run_command(wire.RESUME, COMMAND_TIMEOUT_MS)

    async def _promote_replica(
        self,
        gateway: gateway_module.ServiceGateway,
        service: str,
        target_id: str,
        token: int,
    ) -> bool:
        """Order a promotion, repeatedly if its outcome is unknown.

        Returns whether the target became the primary.
        """
        for _ in range(MAX_ORDER_ATTEMPTS):
            answer, text = await self._promotions.order(
                service, target_id, self._host_id, token
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
                    return await self._wait_for_promotion(gateway, target_id)
                case promotion.PromotionAnswer.REJECTED:
                    return False
            await self._clock.sleep(RETRY_MS // 4)
        return False

    async def _wait_for_promotion(
        self, gateway: gateway_module.ServiceGateway, target_id: str
    ) -> bool:
        deadline = self._clock.now() + PROMOTION_TIMEOUT_MS
        while self._clock.now() < deadline:
            pool = gateway.group.pools_by_id.get(target_id)
            if pool is None:
                return False
            status = await pool.run_command(wire.STATUS, COMMAND_TIMEOUT_MS)
            if not isinstance(status, exceptions.Sentinel) and (
                status.is_primary
            ):
                gateway.group.set_primary(target_id, 'promotion')
                gateway.refresh()
                return True
            await self._clock.sleep(PROMOTION_POLL_INTERVAL_MS)
        return False


async def _send_command(
    pool: pool_module.TargetPool, text: str
) -> wire.Status | exceptions.Sentinel:
    """Send a command, and once more if it failed.

    A connection that failed is replaced first.
    """
    status = await pool.run_command(text, COMMAND_TIMEOUT_MS)
    if isinstance(status, exceptions.Sentinel):
        return await pool.run_command(text, COMMAND_TIMEOUT_MS)
    return status


async def _answers_as_primary(pool: pool_module.TargetPool) -> bool:
    """Tell whether a target that didn't answer now says it is primary."""
    status = await pool.run_command_on_new_connection(
        wire.STATUS, COMMAND_TIMEOUT_MS
    )
    if isinstance(status, exceptions.Sentinel) or not status.is_primary:
        return False
    pool.record_reply()
    return True


def _duty_key(service: str) -> str:
    return f'promotion/{service}'


def _missing_commit_reason(
    candidate: policy.Candidate,
    pause_statuses: dict[str, wire.Status],
    candidate_statuses: dict[str, wire.Status],
    unanswered: list[str],
    service: catalog_module.Service,
    acknowledged_position: types.Position | None,
) -> str | None:
    """Return why the candidate may lack an acknowledged commit, or None."""
    status = candidate_statuses.get(candidate.target_id)
    if status is None:
        return f'no answer from {candidate.target_id}'
    if service.is_synchronous and unanswered:
        return f'no answer from {", ".join(sorted(unanswered))}'
    if (
        service.is_synchronous
        and acknowledged_position is not None
        and status.received < acknowledged_position
    ):
        return f'{candidate.target_id} lacks commit {acknowledged_position}'
    ahead_ids = [
        target_id
        for target_id, other in pause_statuses.items()
        if other.received > status.received
    ]
    if ahead_ids:
        return f'{", ".join(ahead_ids)} received more before the pause'
    return None


def _replica_states(
    answers: dict[str, wire.Status],
    pools: dict[str, pool_module.TargetPool],
) -> list[policy.ReplicaState]:
    return [
        policy.ReplicaState(
            target_id,
            status.received,
            status.held > status.term,
            pools[target_id].target.is_draining,
        )
        for target_id, status in answers.items()
    ]
