"""Comparison of a log position with the term history of a log."""

import enum

from samphirestand import types


class Relation(enum.Enum):
    """Whether a log contains a position, lacks it yet or discarded it."""

    HELD = 'held'
    BEHIND = 'behind'
    DISCARDED = 'discarded'


def compare(history: types.History, position: types.Position) -> Relation:
    """Return whether the log with ``history`` contains ``position``.

    ``BEHIND`` means that the log may still receive the position.
    ``DISCARDED`` means that the log has reached a later term without the
    position and can't receive it any more.
    """
    if history.contains(position):
        return Relation.HELD
    last_term, last_start = history.starts[-1]
    if position.term > last_term:
        return Relation.BEHIND
    if position.term == last_term and position.offset > last_start:
        return Relation.BEHIND
    return Relation.DISCARDED
