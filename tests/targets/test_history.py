"""Tests of log positions against term histories, and of replica ages."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirestand.targets import ages
from samphirestand.targets import history
from samphirestand import types

# Term 1 owns entries 1 to 5, term 3 owns 6 to 8, and term 4 owns 9.
LOG = types.History(((1, 0), (3, 5), (4, 8)), 9)


@pytest.mark.parametrize(
    ('term', 'offset', 'relation'),
    [
        (1, 0, history.Relation.HELD),
        (1, 5, history.Relation.HELD),
        (1, 6, history.Relation.DISCARDED),
        (2, 5, history.Relation.DISCARDED),
        (3, 4, history.Relation.DISCARDED),
        (3, 8, history.Relation.HELD),
        (3, 9, history.Relation.DISCARDED),
        (4, 9, history.Relation.HELD),
        (4, 10, history.Relation.BEHIND),
        (5, 1, history.Relation.BEHIND),
    ],
)
def test_positions_are_compared_within_their_terms(term, offset, relation):
    """Guards against offsets that are compared without their terms."""
    assert history.compare(LOG, types.Position(term, offset)) is relation


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3), strategies.integers(0, 4)
        ),
        min_size=1,
        max_size=6,
    ),
    strategies.integers(1, 20),
    strategies.integers(0, 24),
)
def test_a_growing_log_never_discards_what_it_may_still_receive(
    growth, term, offset
):
    """Guards against refusing a session that only has to wait."""
    starts, end, current = [], 0, 0
    relations = []
    for term_step, entries in growth:
        current += term_step
        starts.append((current, end))
        end += entries
        log = types.History(tuple(starts), end)
        relations.append(history.compare(log, types.Position(term, offset)))
    order = [
        history.Relation.BEHIND,
        history.Relation.HELD,
        history.Relation.DISCARDED,
    ]
    ranks = [order.index(relation) for relation in relations]
    # A held position stays held, and a discarded one stays discarded.
    assert ranks == sorted(ranks)
    assert not (
        history.Relation.HELD in relations
        and history.Relation.DISCARDED in relations
    )


def state(term, offset, role='replica'):
    """Return the state of a server whose log has one term."""
    return types.TargetState('s', term, role, types.History(((1, 0),), offset))


@pytest.mark.parametrize(
    ('replica', 'age_ms'),
    [
        (state(1, 30), 100),
        (state(1, 20), 600),
        (state(1, 5), None),
        # A fenced replica has another term than the recorded primary.
        (state(2, 30), None),
    ],
)
def test_age_counts_from_the_request_to_the_primary(replica, age_ms):
    """Guards against ages by another clock or across terms."""
    replica_ages = ages.ReplicaAges()
    replica_ages.record_primary(state(1, 10, 'primary'), 0)
    replica_ages.record_primary(state(1, 20, 'primary'), 500)
    replica_ages.record_primary(state(1, 30, 'primary'), 1_000)
    assert replica_ages.age_ms(replica, 1_100) == age_ms
