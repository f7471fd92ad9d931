"""Log positions that reads with a bounded staleness must wait for."""

from samphirestand.gateway import freshness
from samphirestand import types


def position(term, offset):
    return types.Position(term, offset)


def test_minimum_position_is_the_oldest_that_is_new_enough():
    """Guards against excluding replicas that are recent enough for a route."""
    observations = freshness.Freshness()
    for sent_ms, offset in ((1_000, 1), (2_000, 2), (3_000, 3)):
        observations.record(sent_ms, position(1, offset))
    assert observations.minimum_position(1_500) == position(1, 2)
    assert observations.minimum_position(2_000) == position(1, 2)


def test_no_minimum_position_without_a_recent_answer():
    """Guards against reads that miss a commit older than their bound."""
    observations = freshness.Freshness()
    assert observations.minimum_position(0) is None
    observations.record(1_000, position(1, 1))
    assert observations.minimum_position(1_001) is None


def test_positions_of_an_earlier_term_are_dropped():
    """Guards against reads that wait for a commit lost in a promotion."""
    observations = freshness.Freshness()
    observations.record(1_000, position(1, 9))
    observations.record(2_000, position(2, 5))
    assert observations.minimum_position(500) == position(2, 5)


def test_late_answer_of_an_earlier_term_is_ignored():
    """Guards against trusting the answer of a replaced primary."""
    observations = freshness.Freshness()
    observations.record(1_000, position(2, 5))
    observations.record(2_000, position(1, 9))
    assert observations.minimum_position(1_500) is None
