"""The cost and the order of work without fair shares."""

import random
import sys

import pytest

from bench import replay
from samphirestand.gateway import fair_queue
from samphirestand.gateway import plain_queue

PATTERNS_BY_NAME = {each.name: each for each in replay.PATTERNS}
TARGETS = ('t0', 't1', 't2')
RESOURCES = (frozenset(TARGETS), frozenset(('t0',)), frozenset(('t1', 't2')))


def calls_per_statement(pattern):
    """Return the calls of the package's functions for each statement."""
    counts = {'all': 0, 'run': 0}

    def count(frame, event, argument):
        code = frame.f_code
        if event == 'call' and '/samphirestand/gateway/' in code.co_filename:
            counts['all'] += 1
            counts['run'] += code.co_qualname == 'ServiceGateway.run'

    earlier = sys.getprofile()
    sys.setprofile(count)
    try:
        replay.replay(pattern, 1, adaptive_limits=False)
    finally:
        sys.setprofile(earlier)
    return counts['all'] / counts['run']


@pytest.mark.parametrize(('name', 'bound'), [('calm', 43.3), ('burst', 41.1)])
def test_statement_costs_no_more_than_before_fair_shares(name, bound):
    """Fails if deployments without fair shares or limits pay for them.

    The bound is what the same replay took on f82fdb4, which had neither.
    """
    assert calls_per_statement(PATTERNS_BY_NAME[name]) <= bound


def test_order_is_that_of_the_keys_as_in_the_fair_queue():
    """Fails if work is ordered differently where no shares are in force."""
    generator = random.Random(3)
    fair, plain = fair_queue.FairQueue(), plain_queue.PlainQueue()
    waiting = []
    for number in range(20_000):
        operation = generator.random()
        target = generator.choice(TARGETS)
        if operation < 0.45:
            key, resources = (
                generator.randrange(999),
                generator.choice(RESOURCES),
            )
            pair = [
                fair_queue.Entry(number, '', 1, 0, key, number, resources)
                for _ in range(2)
            ]
            fair.push(pair[0])
            plain.push(pair[1])
            waiting.append(pair)
        elif operation < 0.5 and waiting:
            pair = waiting.pop(generator.randrange(len(waiting)))
            fair.remove(pair[0])
            plain.remove(pair[1])
        elif operation < 0.95:
            expected = min(
                (each for each in waiting if target in each[1].allowed),
                key=lambda each: each[1].rank,
                default=[None, None],
            )
            assert fair.best(target) is expected[0]
            assert plain.best(target) is expected[1]
            if expected[0] is None:
                continue
            if generator.random() < 0.6:
                fair.take(expected[0], target)
                plain.take(expected[1], target)
                waiting.remove(expected)
            else:
                names = frozenset(generator.sample(TARGETS, 2))
                fair.block(expected[0], names)
                plain.block(expected[1], names)
        else:
            fair.unblock()
            plain.unblock()
        assert len(plain) == len(fair) == len(waiting)
        assert plain.blocked_count == fair.blocked_count
