"""Comparison of positions with a term history."""

import enum

from samphirestand import types


class Relation(enum.Enum):
    """Where a position lies in relation to a log."""

    HELD = 'held'
    BEHIND = 'behind'
    DISCARDED = 'discarded'


def compare(history: types.History, position: types.Position) -> Relation:
    """Compare ``position`` with a log.

    ``BEHIND`` means that the log may still receive the position. A position
    of a term that the log has passed without holding it never comes back.
    """
    if history.contains(position):
        return Relation.HELD
    last_term, last_start = history.starts[-1]
    if position.term > last_term:
        return Relation.BEHIND
    if position.term == last_term and position.offset > last_start:
        return Relation.BEHIND
    return Relation.DISCARDED
