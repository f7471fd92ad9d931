"""Limits of waiting and costs of targets."""

import pytest

from samphirestand.gateway import policy


@pytest.mark.parametrize('statement_ms', [100, 250, 2_000])
def test_statement_may_wait_when_targets_are_slower_than_its_objective(
    statement_ms,
):
    """Guards against refusing all work at once because targets are slow."""
    wait_ms = policy.max_wait_ms(
        250, 1_000, statement_ms, may_use_time_limit=False
    )
    assert wait_ms >= 125


def test_statement_does_not_wait_until_its_time_limit():
    """Guards against a queue so long that all work is late under load."""
    wait_ms = policy.max_wait_ms(250, 1_000, 30, may_use_time_limit=False)
    assert wait_ms == 220


def test_statement_may_wait_until_its_time_limit_for_a_new_primary():
    """Guards against callers having to retry every second in a failover."""
    wait_ms = policy.max_wait_ms(250, 1_000, 30, may_use_time_limit=True)
    assert wait_ms == 970


def target_cost(load=0.2, statement_ms=20.0, round_trip_ms=0.4, **changes):
    defaults = {
        'opening_ms': 0.0,
        'is_primary': False,
        'failing_share': 0.0,
        'is_flapping': False,
    }
    return policy.placement_cost(
        load, statement_ms, round_trip_ms, **(defaults | changes)
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
def test_target_with_fewer_drawbacks_costs_less(changes):
    """Guards against preferring a slow, distant, busy or failing target."""
    assert target_cost() < target_cost(**changes)


def test_failing_target_costs_less_than_an_overloaded_one():
    """Guards against excluding a target that fails some statements."""
    assert target_cost(failing_share=0.4) < target_cost(load=5.0)
