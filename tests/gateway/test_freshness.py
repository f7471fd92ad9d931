"""Positions that reads of a bounded age must wait for."""

from samphirestand.gateway import freshness
from samphirestand import types


def position(term, offset):
    return types.Position(term, offset)


def test_oldest_evidence_that_is_new_enough_is_used():
    """Fails if lagging replicas are left out more than the route asks."""
    found = freshness.Freshness()
    for moment, offset in ((1_000, 1), (2_000, 2), (3_000, 3)):
        found.record(moment, position(1, offset))
    assert found.floor(1_500) == position(1, 2)
    assert found.floor(2_000) == position(1, 2)


def test_no_position_without_new_evidence():
    """Fails if a read may miss a commit that is older than its bound."""
    found = freshness.Freshness()
    assert found.floor(0) is None
    found.record(1_000, position(1, 1))
    assert found.floor(1_001) is None


def test_positions_of_an_earlier_term_are_dropped():
    """Fails if reads wait for a commit that a promotion rolled back."""
    found = freshness.Freshness()
    found.record(1_000, position(1, 9))
    found.record(2_000, position(2, 5))
    assert found.floor(500) == position(2, 5)


def test_late_evidence_of_an_earlier_term_is_ignored():
    """Fails if a replaced primary's answer counts as evidence."""
    found = freshness.Freshness()
    found.record(1_000, position(2, 5))
    found.record(2_000, position(1, 9))
    assert found.floor(1_500) is None
