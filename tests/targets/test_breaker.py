"""Tests of the circuit breaker and the retry budget."""

import random

import pytest

from samphirestand import clock as clock_module
from samphirestand.targets import breaker


def make():
    """Return a clock and a breaker."""
    clock = clock_module.ManualClock()
    return clock, breaker.CircuitBreaker(clock, random.Random(1))


@pytest.mark.parametrize(
    ('events', 'is_open'),
    [
        ('ffff', False),
        ('fffff', True),
        ('ffffsf', False),
        ('fffffs', False),
    ],
)
def test_consecutive_failures_open_it(events, is_open):
    """Guards against a breaker that opens on scattered failures."""
    _, circuit = make()
    for event in events:
        circuit.failed() if event == 'f' else circuit.succeeded()
    assert circuit.is_open is is_open
    assert circuit.allow() is not is_open


def test_one_attempt_passes_after_each_back_off():
    """Guards against a crowd of attempts on a half-open breaker."""
    clock, circuit = make()
    waits = []
    for _ in range(60):
        while not circuit.allow():
            waits.append(circuit.wait_ms())
            clock.set(clock.now() + circuit.wait_ms())
        assert not circuit.is_open or not circuit.allow()
        circuit.failed()
    assert max(waits) <= breaker.LONGEST_BACK_OFF_MS
    assert waits[0] <= breaker.FIRST_BACK_OFF_MS
    # Full jitter: short and long waits both come up.
    assert min(waits[10:]) < 1_000
    assert max(waits) > 4_000


@pytest.mark.parametrize(
    ('requests', 'retries'), [(0, 10), (9, 10), (100, 20), (1_000, 110)]
)
def test_budget_is_ten_and_a_tenth(requests, retries):
    """Guards against retries that multiply the load of an outage."""
    clock = clock_module.ManualClock()
    budget = breaker.RetryBudget(clock)
    for _ in range(requests):
        budget.note_request()
    assert sum(budget.take() for _ in range(500)) == retries
    clock.set(clock.now() + breaker.BUDGET_WINDOW_MS)
    assert sum(budget.take() for _ in range(500)) == 10
