"""Decisions about queueing, placement and failover, free of I/O.

Each docstring names the load pattern that the decision is made for.
"""

import collections.abc
import dataclasses

from samphirestand import exceptions
from samphirestand import types

__all__ = [
    'Candidate',
    'ReplicaState',
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
    """The status of a replica while the primary is being replaced."""

    target_id: str
    received: types.Position
    is_draining: bool
    is_registered: bool = True
    is_evacuated: bool = False


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The replica to promote."""

    target_id: str


def choose_candidate(
    states: collections.abc.Sequence[ReplicaState],
    unanswered: collections.abc.Collection[str],
    is_synchronous: bool,
    ordered_ids: collections.abc.Set[str] = frozenset(),
    *,
    may_relay: bool = False,
) -> Candidate | exceptions.Sentinel:
    """Return the replica that is certain to have every acknowledged commit.

    For a primary that fails while replicas are behind, unreachable or
    draining. With synchronous replication an acknowledged commit is on at
    least one replica, and a replica that hasn't answered may hold the only
    copy, so all replicas must answer. The one with the newest received
    position is chosen. Among equals one is preferred for which an earlier
    order may still be carried out (``ordered_ids``), so that it doesn't matter
    which order comes first, then one that isn't draining. The id decides last,
    so that any two hosts choose the same replica. A replica that runs but has
    left the registry isn't chosen, since callers couldn't be sent to it, and
    none is while it is ahead of all others.

    A replica in an evacuated zone isn't chosen either. If it is ahead and the
    primary is gone (``may_relay``), it is the only way to the newest commits:
    it is promoted, which sends it no work of callers, and replaced as soon as
    another replica has received these commits.

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
    best = max(
        candidates,
        key=lambda each: (
            each.received,
            each.target_id in ordered_ids,
            not each.is_draining,
            each.target_id,
        ),
    )
    ahead = [each for each in states if each.received > best.received]
    evacuated = [each for each in ahead if each.is_evacuated]
    if evacuated and may_relay:
        relay = max(
            evacuated, key=lambda each: (each.received, each.target_id)
        )
        if relay.is_registered and not any(
            each.received > relay.received for each in ahead
        ):
            return Candidate(relay.target_id)
    if evacuated:
        names = ', '.join(sorted(each.target_id for each in evacuated))
        return exceptions.Sentinel(
            f'{names} in an evacuated zone has commits that others lack'
        )
    ahead_ids = [each.target_id for each in ahead]
    if is_synchronous and ahead_ids:
        names = ', '.join(sorted(ahead_ids))
        return exceptions.Sentinel(
            f'{names} left the registry with commits that others lack'
        )
    return Candidate(best.target_id)
