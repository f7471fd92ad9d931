"""Decisions about queueing, placement and failover, free of I/O.

Each docstring names the load pattern that the decision is made for.
"""

import collections.abc
import dataclasses
import enum

from samphirestand import exceptions
from samphirestand import types

__all__ = [
    'Candidate',
    'ReplicaState',
    'Waiver',
    'choose_candidate',
    'expected_wait_ms',
    'max_running',
    'max_wait_ms',
    'placement_cost',
    'retry_after_ms',
    'sort_key',
]

# The bounds of the delay after which refused clients retry, before jitter.
MIN_RETRY_MS = 40
MAX_RETRY_MS = 400

# How far one step of a route's priority moves a statement back in the queue.
PRIORITY_STEP_MS = 40


# Work may wait for this share of its objective, however slow targets are.
MIN_WAIT_SHARE = 0.5

# The cost of a failed statement, as a multiple of the statement time: its
# caller must retry, or the statement is run again on another target.
FAILURE_COST_STATEMENTS = 5.0

# The primary gets reads that replicas can serve only when the replicas have
# this many more statements per slot than it has.
PRIMARY_COST_STATEMENTS = 1.0

# A target that recently became unreachable several times is used when the
# other targets are about as far behind as their callers' objectives allow.
FLAPPING_COST_STATEMENTS = 8.0

# A promotion is ordered this long after the last replica was paused. Evidence
# that a replica was not paused is valid for as long, so one question to a
# replica serves all reads of that time. Each promotion without an answer of
# the old primary takes this much longer.
PROMOTION_DELAY_MS = 400

# Evidence older than this is renewed while reads use it: a question takes a
# round trip to another availability zone and a slot there.
EVIDENCE_REFRESH_MS = 150


def sort_key(received_ms: int, objective_ms: int, priority: int) -> int:
    """Return the key that orders waiting work, the lowest first.

    For bursts that mix short and long objectives: the work whose objective
    ends first is served first. Nothing starves, since the key is a fixed time
    and work that arrives later gets ever higher keys.
    """
    return received_ms + objective_ms + priority * PRIORITY_STEP_MS


def max_wait_ms(
    objective_ms: int,
    budget_ms: int,
    statement_ms: float,
    may_use_time_limit: bool,
) -> float:
    """Return the longest time in ms that work may wait for a slot.

    For overload that lasts for seconds: if work could wait until its time
    limit, all of it would be late. With waits limited by the objective, the
    same amount is served, but in time, and the rest can retry early. Where a
    statement takes longer than the objective, some work still waits, so that
    no slot is idle.

    With ``may_use_time_limit``, work may wait until its time limit: work that
    waits for a new primary, which nothing serves meanwhile, and statements of
    open transactions, which can't move to another target.
    """
    if may_use_time_limit:
        return budget_ms - statement_ms
    wait_limit_ms = min(objective_ms, budget_ms)
    return max(wait_limit_ms - statement_ms, MIN_WAIT_SHARE * wait_limit_ms)


def placement_cost(
    load: float,
    statement_ms: float,
    round_trip_ms: float,
    *,
    opening_ms: float,
    is_primary: bool,
    failing_share: float,
    is_flapping: bool,
) -> float:
    """Return the expected time in ms of one more statement on a target.

    ``load`` is the number of statements per slot. For targets that are slower
    than others, are in another availability zone, fail a share of their
    statements or become unreachable now and then, whatever their health
    checks say. Also for more accounts than a target allows connections: the
    time to open a connection favours targets where the account has one. A
    high cost excludes no target: the last available one is still used.
    """
    penalty = (
        PRIMARY_COST_STATEMENTS * is_primary
        + FLAPPING_COST_STATEMENTS * is_flapping
    )
    return (
        (load + penalty + FAILURE_COST_STATEMENTS * failing_share)
        * statement_ms
        + round_trip_ms
        + opening_ms
    )


def expected_wait_ms(
    waiting_ahead: int, slots: int, statement_ms: float
) -> float:
    """Return how long work waits in ms behind ``waiting_ahead`` requests.

    For overload: work that can't be served in time is refused on arrival.
    """
    return waiting_ahead * statement_ms / max(1, slots)


def retry_after_ms(wait_ms: float, fraction: float) -> int:
    """Return the delay in ms after which a refused client should retry.

    ``fraction`` is a random number from 0 to 1 that spreads the retries of
    clients refused together, so that they don't return as one burst.
    """
    base = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)
    return int(base * (0.5 + fraction))


def max_running(slots: int, round_trip_ms: float, statement_ms: float) -> int:
    """Return how many statements may be sent to a target at once.

    For targets in other availability zones: a slot would be idle while an
    answer and the next statement cross the network, unless more statements
    than slots are under way.
    """
    return slots + int(slots * round_trip_ms / max(statement_ms, 1.0) + 0.5)


@dataclasses.dataclass(frozen=True)
class ReplicaState:
    """The status of a replica while the primary is being replaced.

    A draining replica with ``is_open`` may still get requests for a while. One
    with ``is_near`` is in the availability zone of the gateway.
    """

    target_id: str
    received: types.Position
    is_draining: bool
    is_registered: bool = True
    is_evacuated: bool = False
    is_open: bool = True
    is_near: bool = False


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The replica to promote."""

    target_id: str


class Waiver(enum.Enum):
    """What a replica may be chosen for that leaves or isn't up to date."""

    NONE = enum.auto()
    # The primary runs and sends its log: a staying replica catches up.
    CATCH_UP = enum.auto()
    # The primary runs, but may get no more requests: one that drains may for
    # longer.
    EXTEND = enum.auto()
    # The primary is gone: a leaving replica passes its log on to the others.
    RELAY = enum.auto()


def choose_candidate(
    states: collections.abc.Sequence[ReplicaState],
    unanswered: collections.abc.Collection[str],
    is_synchronous: bool,
    ordered_ids: collections.abc.Set[str] = frozenset(),
    *,
    waiver: Waiver = Waiver.NONE,
) -> Candidate | exceptions.Sentinel:
    """Return the replica that is certain to have every acknowledged commit.

    For a primary that fails while replicas are behind, unreachable or
    draining. With synchronous replication an acknowledged commit is on at
    least one replica, and a replica that hasn't answered may hold the only
    copy, so all replicas must answer. The one with the newest received
    position is chosen. Among equals one is preferred for which an earlier
    order may still be carried out (``ordered_ids``), so that it doesn't matter
    which order comes first; another host thus chooses the same one, too. Next
    is one near the gateway, which needn't move then. A replica that runs but
    has left the registry isn't chosen, since callers couldn't be sent to it,
    and none is while it is ahead of all others.

    A replica that drains or is in an evacuated zone isn't chosen either, even
    if it is ahead, unless ``waiver`` allows it. With ``RELAY`` it is the only
    way to the newest commits: it is promoted, which sends it no more work of
    callers than its limit allows, and replaced as soon as another replica has
    received these commits.

    Returns a sentinel with the reason if no replica is certain.
    """
    candidates = [
        each for each in states if each.is_registered and not each.is_evacuated
    ]
    if not candidates:
        return exceptions.Sentinel(
            'each replica that answers is in an evacuated zone'
            if any(each.is_evacuated for each in states)
            else 'no replica answers'
        )
    if is_synchronous and unanswered:
        names = ', '.join(sorted(unanswered))
        return exceptions.Sentinel(f'no answer from {names}')
    best = _choose_staying(candidates, ordered_ids)
    if best is None:
        relay = _choose_relay(states, ordered_ids, waiver)
        return relay or exceptions.Sentinel(
            'each replica that answers is draining'
        )
    ahead = [each for each in states if each.received > best.received]
    relay = _choose_relay(ahead, ordered_ids, waiver)
    if relay is not None:
        return relay
    if waiver is Waiver.CATCH_UP:
        return Candidate(best.target_id)
    reason = _ahead_reason(ahead, is_synchronous)
    if reason is not None:
        return exceptions.Sentinel(reason)
    return Candidate(best.target_id)


def _choose_staying(
    candidates: collections.abc.Sequence[ReplicaState],
    ordered_ids: collections.abc.Set[str],
) -> ReplicaState | None:
    """Return the newest replica that doesn't drain; None if all do.

    Instead, one that drains if it is as new and an earlier order for it may
    still be carried out.
    """
    newest = max(
        (each.received for each in candidates if not each.is_draining),
        default=None,
    )
    return max(
        (
            each
            for each in candidates
            if each.received == newest
            and (
                not each.is_draining
                or (each.is_open and each.target_id in ordered_ids)
            )
        ),
        key=lambda each: (
            each.target_id in ordered_ids,
            not each.is_draining,
            each.is_near,
            each.target_id,
        ),
        default=None,
    )


def _choose_relay(
    ahead: collections.abc.Sequence[ReplicaState],
    ordered_ids: collections.abc.Set[str],
    waiver: Waiver,
) -> Candidate | None:
    """Return the leaving replica that has what all others lack, or None."""
    relay = max(
        (
            each
            for each in ahead
            if each.is_registered
            and (each.is_draining or each.is_evacuated)
            and (
                waiver is Waiver.RELAY
                or (
                    waiver is Waiver.EXTEND
                    and each.is_open
                    and not each.is_evacuated
                )
            )
        ),
        key=lambda each: (
            each.received,
            not each.is_evacuated,
            each.target_id in ordered_ids,
            each.target_id,
        ),
        default=None,
    )
    if relay is None or any(each.received > relay.received for each in ahead):
        return None
    return Candidate(relay.target_id)


def _ahead_reason(
    ahead: collections.abc.Sequence[ReplicaState], is_synchronous: bool
) -> str | None:
    """Return why the replicas that are ahead forbid a promotion, or None."""
    for reason, is_concerned in (
        ('in an evacuated zone', lambda each: each.is_evacuated),
        ('draining', lambda each: each.is_draining),
    ):
        names = sorted(each.target_id for each in ahead if is_concerned(each))
        if names:
            return f'{", ".join(names)} {reason} has commits that others lack'
    if not is_synchronous or not ahead:
        return None
    names = sorted(each.target_id for each in ahead)
    return (
        f'{", ".join(names)} left the registry with commits that others lack'
    )
