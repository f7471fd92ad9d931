"""Decisions about waiting work and about targets."""

import pytest

from samphirestand.gateway import policy


@pytest.mark.parametrize('statement_ms', [100, 250, 2_000])
def test_work_waits_though_targets_take_longer_than_its_objective(
    statement_ms,
):
    """Fails if a slow target makes the gateway refuse all work at once."""
    wait_ms = policy.longest_wait_ms(
        250, 1_000, statement_ms, is_patient=False
    )
    assert wait_ms >= 125


def test_work_does_not_wait_to_its_time_limit():
    """Fails if a queue makes all work late under load."""
    wait_ms = policy.longest_wait_ms(250, 1_000, 30, is_patient=False)
    assert wait_ms == 220


def test_work_waits_for_a_primary_that_is_expected():
    """Fails if callers must come back in each second of a failover."""
    wait_ms = policy.longest_wait_ms(250, 1_000, 30, is_patient=True)
    assert wait_ms == 970


def cost(load=0.2, statement_ms=20.0, round_trip_ms=0.4, **changes):
    facts = {
        'opening_ms': 0.0,
        'is_primary': False,
        'failing_share': 0.0,
        'is_flapping': False,
    }
    return policy.placement_cost(
        load, statement_ms, round_trip_ms, **(facts | changes)
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'statement_ms': 100.0},
        {'round_trip_ms': 9.0},
        {'load': 2.0},
        {'opening_ms': 25.0},
        {'is_primary': True},
        {'failing_share': 0.4},
        {'is_flapping': True},
    ],
)
def test_statement_goes_to_the_target_that_does_better(changes):
    """Fails if a target that is slow, far, full or failing is preferred."""
    assert cost() < cost(**changes)


def test_target_that_fails_is_used_when_the_others_are_far_behind():
    """Fails if a target that fails some statements is given up."""
    assert cost(failing_share=0.4) < cost(load=5.0)
