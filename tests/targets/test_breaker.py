"""Tests of the circuit breaker and the retry budget."""

import random

import pytest

from samphirestand import clock as clock_module
from samphirestand.targets import breaker


def make_breaker():
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
def test_consecutive_failures_open_the_breaker(events, is_open):
    """Guards against a breaker that opens on nonconsecutive failures."""
    _, circuit = make_breaker()
    for event in events:
        circuit.record_failure() if event == 'f' else circuit.record_success()
    assert circuit.is_open is is_open
    assert circuit.allow_attempt() is not is_open


def test_one_attempt_passes_after_each_back_off():
    """Guards against many attempts at once on a half-open breaker."""
    clock, circuit = make_breaker()
    back_offs_ms = []
    for _ in range(60):
        while not circuit.allow_attempt():
            back_offs_ms.append(circuit.remaining_back_off_ms())
            clock.set(clock.now() + circuit.remaining_back_off_ms())
        assert not circuit.is_open or not circuit.allow_attempt()
        circuit.record_failure()
    assert max(back_offs_ms) <= breaker.MAX_BACK_OFF_MS
    assert back_offs_ms[0] <= breaker.INITIAL_BACK_OFF_MS
    # Full jitter makes both short and long back-offs.
    assert min(back_offs_ms[10:]) < 1_000
    assert max(back_offs_ms) > 4_000


@pytest.mark.parametrize(
    ('requests', 'retries'), [(0, 10), (9, 10), (100, 20), (1_000, 110)]
)
def test_budget_is_ten_retries_plus_a_tenth_of_requests(requests, retries):
    """Guards against retries that multiply the load of an outage."""
    clock = clock_module.ManualClock()
    budget = breaker.RetryBudget(clock)
    for _ in range(requests):
        budget.count_request()
    assert sum(budget.take_retry() for _ in range(500)) == retries
    clock.set(clock.now() + breaker.BUDGET_WINDOW_MS)
    assert sum(budget.take_retry() for _ in range(500)) == 10
