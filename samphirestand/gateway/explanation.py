"""What a gateway would do with new work now, for operators; free of I/O.

The decisions are asked of the code that decides about requests. Nothing is
counted, taken, opened or sent, so that an explanation changes no decision.
docs/design/explain.md says what is left out.
"""

import dataclasses
import enum
import json
from typing import Any

import pydantic

from samphirestand import exceptions
from samphirestand.fleet import allowance
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import pool as pool_module
from samphirestand.gateway import slot_queue
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'Decision',
    'GatewayPart',
    'Outcome',
    'PrimaryPart',
    'TargetPart',
    'as_document',
    'decode',
    'encode',
    'explain_work',
    'refused',
    'settle_rate',
]

# A service has three targets; odd registrations may name more.
MAX_TARGETS = 64

# What may end by itself while work waits for a target.
_PASSING = frozenset(
    (
        slot_queue.Obstacle.AVOIDED,
        slot_queue.Obstacle.COLD,
        slot_queue.Obstacle.LAGGING,
        slot_queue.Obstacle.NO_CONNECTION,
        slot_queue.Obstacle.NO_SLOT,
        slot_queue.Obstacle.TRANSACTIONS,
    )
)

# What ends when the primary and a replica have been asked, where they answer.
_ASKED = frozenset(
    (slot_queue.Obstacle.NO_EVIDENCE, slot_queue.Obstacle.NO_POSITION)
)


class Outcome(enum.StrEnum):
    """What would happen to a request."""

    SENT = 'sent'  # to a target, at once
    WAITS = 'waits'  # for a target; which one isn't certain
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Decision:
    """What would happen to a request now.

    A refused caller is told to retry after a time between ``retry_min_ms`` and
    ``retry_max_ms``, or gets no time if both are 0. ``cause`` is the part of
    the counter ``gateway_refused_CAUSE``.
    """

    outcome: Outcome
    reason: str = ''
    target: str = ''
    code: str = ''
    cause: str = ''
    retry_min_ms: int = 0
    retry_max_ms: int = 0
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True)
class PrimaryPart:
    """Which target a gateway uses as the primary, and the evidence for it."""

    target: str
    used_for_ms: int
    term: int | None
    is_confirmed: bool
    evidence_age_ms: int | None
    is_suspended: bool
    awaits_orders: bool


@dataclasses.dataclass(frozen=True)
class TargetPart:
    """One target, as its gateway sees it for a request."""

    target: str
    role: str
    zone: str
    state: str
    running: int
    waiting: int
    limit: int
    slots: int
    cost_ms: float
    position: str
    position_age_ms: int | None
    evacuated_for_ms: int | None
    usable: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class GatewayPart:
    """The part of an explanation that the gateway's host knows.

    Without an open gateway on that host there are no primary and no targets.
    ``rate_refusal`` is the decision if the pool host of the account, which
    wasn't asked, has no token.
    """

    decision: Decision
    rate_refusal: Decision | None = None
    rate: allowance.RateState | None = None
    primary: PrimaryPart | None = None
    targets: tuple[TargetPart, ...] = ()
    waiting: int = 0
    statement_ms: float = 0.0
    fair_shares: bool = False


_ADAPTER = pydantic.TypeAdapter(GatewayPart)


def encode(part: GatewayPart) -> bytes:
    """Encode a part for the host that asked for it."""
    return json.dumps(dataclasses.asdict(part)).encode()


def decode(document: bytes) -> GatewayPart | exceptions.Sentinel:
    """Decode the part that another host sent; it may be of another release."""
    try:
        return _ADAPTER.validate_json(document)
    except pydantic.ValidationError as error:
        return exceptions.Sentinel(
            f'unreadable in {error.error_count()} places'
        )


def refused(refusal: work_module.Refused) -> Decision:
    """Return the decision for a refusal with a fixed time."""
    return Decision(
        Outcome.REFUSED,
        refusal.reason,
        code=refusal.code,
        retry_min_ms=refusal.retry_after_ms,
        retry_max_ms=refusal.retry_after_ms,
    )


def explain_work(
    work: work_module.Work,
    rate: allowance.RateState | None,
    rate_refusal: work_module.Refused | None,
    gateway: gateway_module.ServiceGateway | None,
    now_ms: int,
) -> GatewayPart:
    """Return what the host of a service's gateway would do with new work.

    ``rate_refusal`` is the refusal of an account that is or may be above its
    rate, ``gateway`` is None if none is open on the host.
    """
    if gateway is None:
        decision = Decision(
            Outcome.UNKNOWN,
            'no gateway of the service is open on its host; a request opens '
            'one',
        )
        part = GatewayPart(decision)
    else:
        slot_request = gateway.build_request(work)
        part = GatewayPart(
            _decide(gateway, slot_request),
            primary=_explain_primary(gateway, now_ms),
            targets=tuple(
                _explain_target(gateway, slot_request, each, now_ms)
                for each in list(gateway.group.pools_by_id.values())[
                    :MAX_TARGETS
                ]
            ),
            waiting=len(gateway.queue),
            statement_ms=round(gateway.queue.statement_ms, 1),
            fair_shares=gateway.queue.fair_shares,
        )
    part = dataclasses.replace(part, rate=rate)
    if rate_refusal is None:
        return part
    decision = refused(rate_refusal)
    if rate is not None and rate.is_admitted is None:
        return dataclasses.replace(part, rate_refusal=decision)
    return dataclasses.replace(part, decision=decision)


def settle_rate(
    part: GatewayPart, pool_part: GatewayPart | exceptions.Sentinel
) -> GatewayPart:
    """Decide on the rate by what the account's pool host says.

    For parts with a ``rate_refusal``.
    """
    rate = part.rate
    if rate is None or part.rate_refusal is None:
        return part
    if isinstance(pool_part, exceptions.Sentinel) or pool_part.rate is None:
        decision = dataclasses.replace(
            part.decision,
            outcome=Outcome.UNKNOWN,
            reason=f'no answer of the pool host of the account, '
            f'{rate.pool_host}',
        )
        return dataclasses.replace(part, decision=decision, rate_refusal=None)
    pool_millitokens = pool_part.rate.pool_millitokens
    is_admitted = allowance.TokenPool(pool_millitokens).can_grant(
        rate.min_grant
    )
    return dataclasses.replace(
        part,
        decision=part.decision if is_admitted else part.rate_refusal,
        rate_refusal=None,
        rate=dataclasses.replace(
            rate, is_admitted=is_admitted, pool_millitokens=pool_millitokens
        ),
    )


def _decide(
    gateway: gateway_module.ServiceGateway,
    slot_request: slot_queue.SlotRequest,
) -> Decision:
    queue = gateway.queue
    refusal = gateway.find_refusal(slot_request)
    if refusal is not None:
        return _refused_by_gateway(gateway, slot_request, refusal)
    pool = queue.preferred_target(slot_request)
    if pool is not None:
        return Decision(
            Outcome.SENT,
            'the usable target with the least cost',
            target=pool.target.target_id,
        )
    if not queue.fair_shares and not queue.has_room_for(slot_request.work):
        return _refused_by_gateway(
            gateway,
            slot_request,
            gateway_module.Refusal(
                slot_queue.QUEUE_FULL, slot_queue.Cause.QUEUE_FULL, 0
            ),
        )
    wait_ms = queue.expected_wait_ms(
        slot_request, gateway.group.reachable_pools()
    )
    target_id, reason = _waited_for(gateway, slot_request)
    return Decision(
        Outcome.WAITS, reason, target=target_id, wait_ms=int(wait_ms)
    )


def _refused_by_gateway(
    gateway: gateway_module.ServiceGateway,
    slot_request: slot_queue.SlotRequest,
    refusal: gateway_module.Refusal,
) -> Decision:
    least_ms, most_ms = (
        gateway.preview_retry_ms(slot_request, refusal, fraction)
        for fraction in (0.0, 1.0)
    )
    return Decision(
        Outcome.REFUSED,
        refusal.reason,
        code='BUSY',
        cause=str(refusal.cause),
        retry_min_ms=least_ms,
        retry_max_ms=most_ms,
    )


def _waited_for(
    gateway: gateway_module.ServiceGateway,
    slot_request: slot_queue.SlotRequest,
) -> tuple[str, str]:
    """Return the target that work would wait for, '' if unknown, and why."""
    queue = gateway.queue
    group = gateway.group
    account = slot_request.work.account
    primary = group.primary
    passing = _PASSING
    if (
        primary is not None
        and not primary.needs_probe
        and primary.may_start(is_primary=True)
        and group.leadership.is_confirmed
    ):
        passing |= _ASKED
    candidates = [
        (obstacle, pool)
        for pool in group.pools_by_id.values()
        if (obstacle := queue.obstacle(slot_request, pool)) in passing
    ]
    if not candidates:
        return '', slot_queue.NO_PRIMARY
    # Evidence for the primary comes before a position for the replicas.
    obstacle, pool = min(
        candidates,
        key=lambda each: (
            each[0] is slot_queue.Obstacle.NO_POSITION,
            queue.placement_cost(each[1], account),
        ),
    )
    return pool.target.target_id, str(obstacle)


def _explain_primary(
    gateway: gateway_module.ServiceGateway, now_ms: int
) -> PrimaryPart | None:
    leadership = gateway.group.leadership
    if not leadership.target_id:
        return None
    confirmed_ms = leadership.confirmed_ms
    return PrimaryPart(
        leadership.target_id,
        max(0, now_ms - gateway.group.primary_since_ms),
        leadership.term,
        leadership.is_confirmed,
        None if confirmed_ms is None else max(0, now_ms - confirmed_ms),
        leadership.is_suspended,
        gateway.awaits_orders,
    )


def _explain_target(
    gateway: gateway_module.ServiceGateway,
    slot_request: slot_queue.SlotRequest,
    pool: pool_module.TargetPool,
    now_ms: int,
) -> TargetPart:
    queue = gateway.queue
    target = pool.target
    is_primary = gateway.group.is_primary(pool)
    obstacle = queue.obstacle(slot_request, pool)
    known = [pool.reported_position]
    if is_primary:
        known.append(gateway.group.freshness.latest)
    newest = max((each for each in known if each is not None), default=None)
    limit = pool.zone_limit
    return TargetPart(
        target.target_id,
        'primary' if is_primary else 'replica',
        target.zone,
        _state(pool),
        pool.running_count,
        queue.waiting_for(target.target_id),
        pool.settled_slots,
        target.slots,
        round(queue.placement_cost(pool, slot_request.work.account), 1),
        '' if newest is None else _position_text(newest[1]),
        None if newest is None else max(0, now_ms - newest[0]),
        None if limit is None else max(0, now_ms - limit.since_ms),
        obstacle is None,
        '' if obstacle is None else str(obstacle),
    )


def _state(pool: pool_module.TargetPool) -> str:
    states = {
        'down': pool.is_down,
        'suspected': pool.needs_probe and not pool.is_down,
        'draining': pool.target.is_draining,
        'paused': pool.is_paused,
        'flapping': pool.is_flapping,
        'evacuated': pool.zone_limit is not None,
    }
    return ', '.join(name for name, holds in states.items() if holds) or 'up'


def _position_text(position: types.Position) -> str:
    return f'{position.term}/{position.offset}'


def as_document(part: GatewayPart) -> dict[str, Any]:
    """Return a part whose rate is settled as JSON objects."""
    document = dataclasses.asdict(part)
    del document['rate_refusal']
    return document
