"""Decisions about waiting work, without input and output.

Each function names the load pattern that it answers.
"""

import collections.abc
import dataclasses

from samphirestand import exceptions
from samphirestand import types

__all__ = [
    'Candidate',
    'ReplicaState',
    'choose_candidate',
    'max_running',
    'expected_wait_ms',
    'max_wait_ms',
    'sort_key',
    'placement_cost',
    'retry_after_ms',
]

# The time in which clients that were refused together come back.
MIN_RETRY_MS = 40
MAX_RETRY_MS = 400

# The weight of one step of a route's priority in the order of the queue.
PRIORITY_STEP_MS = 40


# The part of its objective that work may wait however long targets take.
MIN_WAIT_SHARE = 0.5

# What a failed statement costs, in times of a statement: its callers must
# come back, or it is run again on another target.
FAILURE_COST_STATEMENTS = 5.0

# The primary is left to what only it can do until the replicas are this many
# statements a slot behind.
PRIMARY_COST_STATEMENTS = 1.0

# A target that went away several times lately is used when the others are
# about as far behind as their callers' objectives allow.
FLAPPING_COST_STATEMENTS = 8.0


def sort_key(received_ms: int, objective_ms: int, priority: int) -> int:
    """Return the key by which waiting work is served, the lowest first.

    Answers bursts in which kinds with short and long objectives meet: the
    work whose objective ends first goes first, and nothing starves, since
    the key of what waits is overtaken by time.
    """
    return received_ms + objective_ms + priority * PRIORITY_STEP_MS


def max_wait_ms(
    objective_ms: int,
    budget_ms: int,
    statement_ms: float,
    may_use_time_limit: bool,
) -> float:
    """Return for how long work may wait for a slot.

    Answers load beyond what the targets can serve for seconds: with a queue
    as long as the time limits all work is late, with one as long as the
    objectives the same amount is in time and the rest may come back early.
    Where a statement takes longer than the objective, some work still waits,
    so that no slot is idle. While a new primary is expected nothing is served
    meanwhile, and open transactions can go nowhere else: such work is patient
    and may wait to its time limit.
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
    """Return the expected time of one more statement on a target.

    ``load`` is statements a slot. Answers targets that are slower than
    others, in another zone, that fail a part of what they run, or that come
    and go, whatever their health answers say; and more accounts than a target
    allows connections, by going where the account has one. A cost leaves
    nobody out: the last target that there is will be used.
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
    """Return how long work waits behind ``ahead`` others.

    Answers load beyond what the targets can serve: what can't be in time is
    refused when it arrives.
    """
    return waiting_ahead * statement_ms / max(1, slots)


def retry_after_ms(wait_ms: float, fraction: float) -> int:
    """Return when a refused client should come back.

    ``spread`` from 0 to 1 distributes clients that were refused together,
    so that they don't return as one burst.
    """
    base = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)
    return int(base * (0.5 + fraction))


def max_running(slots: int, round_trip_ms: float, statement_ms: float) -> int:
    """Return how many statements may be under way to a target.

    Answers targets in other zones: while an answer and the next statement
    travel, a slot would be idle without one more statement on its way.
    """
    return slots + int(slots * round_trip_ms / max(statement_ms, 1.0) + 0.5)


@dataclasses.dataclass(frozen=True)
class ReplicaState:
    """What a replica answered when the primary is to be replaced."""

    target_id: str
    received: types.Position
    is_paused: bool
    is_draining: bool


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The replica to promote; the others must not receive meanwhile."""

    target_id: str


def choose_candidate(
    states: collections.abc.Sequence[ReplicaState],
    unanswered: collections.abc.Collection[str],
    is_synchronous: bool,
) -> Candidate | exceptions.Sentinel:
    """Return the replica that surely has every acknowledged commit.

    Answers a primary that fails while replicas are behind, unreachable or
    leaving. An acknowledged commit is on at least one replica, so all
    replicas must have answered, and the one that received most is chosen.
    A replica that hasn't answered may hold the only copy. Among equals the
    one that an earlier attempt has left unpaused is chosen, since an order
    of that attempt may still be carried out, and any two hosts choose alike.
    """
    if not states:
        return exceptions.Sentinel('no replica answers')
    if is_synchronous and unanswered:
        names = ', '.join(sorted(unanswered))
        return exceptions.Sentinel(f'no answer from {names}')
    best = max(
        states,
        key=lambda each: (
            each.received,
            not each.is_draining,
            not each.is_paused,
            each.target_id,
        ),
    )
    return Candidate(best.target_id)
