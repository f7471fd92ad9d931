"""Comparison of positions with a term history."""

import enum

from samphirestand import types


class Place(enum.Enum):
    """Where a position lies in relation to a log."""

    HELD = 'held'
    BEHIND = 'behind'
    DISCARDED = 'discarded'


def place(history: types.History, position: types.Position) -> Place:
    """Compare ``position`` with a log.

    ``BEHIND`` means that the log may still receive the position. A position
    of a term that the log has passed without holding it never comes back.
    """
    if history.contains(position):
        return Place.HELD
    last_term, last_start = history.starts[-1]
    if position.term > last_term:
        return Place.BEHIND
    if position.term == last_term and position.offset > last_start:
        return Place.BEHIND
    return Place.DISCARDED
