"""Positions that reads of a bounded age must wait for."""

from samphirestand.gateway import freshness
from samphirestand import types


def position(term, offset):
    return types.Position(term, offset)


def test_minimum_position_is_the_oldest_that_is_new_enough():
    """Fails if lagging replicas are left out more than the route asks."""
    observations = freshness.Freshness()
    for sent_ms, offset in ((1_000, 1), (2_000, 2), (3_000, 3)):
        observations.record(sent_ms, position(1, offset))
    assert observations.minimum_position(1_500) == position(1, 2)
    assert observations.minimum_position(2_000) == position(1, 2)


def test_no_minimum_position_without_a_recent_answer():
    """Fails if a read may miss a commit that is older than its bound."""
    observations = freshness.Freshness()
    assert observations.minimum_position(0) is None
    observations.record(1_000, position(1, 1))
    assert observations.minimum_position(1_001) is None


def test_positions_of_an_earlier_term_are_dropped():
    """Fails if reads wait for a commit that a promotion rolled back."""
    observations = freshness.Freshness()
    observations.record(1_000, position(1, 9))
    observations.record(2_000, position(2, 5))
    assert observations.minimum_position(500) == position(2, 5)


def test_late_answer_of_an_earlier_term_is_ignored():
    """Fails if a replaced primary's answer counts as evidence."""
    observations = freshness.Freshness()
    observations.record(1_000, position(2, 5))
    observations.record(2_000, position(1, 9))
    assert observations.minimum_position(1_500) is None
