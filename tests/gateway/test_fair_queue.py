"""Order of waiting work by shares of accounts and by urgency."""

import collections
import itertools
import random

import pytest

from samphirestand.gateway import fair_queue

# Statements for each unit of weight by which an account may be off its share.
DEVIATION = fair_queue.SHARE_SLACK + fair_queue.SHARE_LAG

TARGETS = frozenset(('t0', 't1', 't2'))
_sequence = itertools.count()


def create_entry(account, key=0, urgency=0, weight=1, targets=TARGETS):
    number = next(_sequence)
    return fair_queue.Entry(
        account, account, weight, urgency, key, number, targets, size=10
    )


def serve(queue, count, target='t0'):
    """Take entries and return how many each account got."""
    served = collections.Counter()
    for _ in range(count):
        entry = queue.best(target)
        queue.take(entry, target)
        served[entry.account] += 1
    return served


def test_accounts_get_slots_by_their_weights():
    """Fails if an account with more waiting work gets more than its share."""
    queue = fair_queue.FairQueue()
    for number in range(700):
        queue.push(create_entry('flood', number, weight=1))
        queue.push(create_entry('two', number, weight=2))
        queue.push(create_entry('four', number, weight=4))
    served = serve(queue, 700)
    for account, weight in (('flood', 1), ('two', 2), ('four', 4)):
        assert served[account] == pytest.approx(
            100 * weight, abs=DEVIATION * weight
        )


def test_less_urgent_account_gets_its_share_beside_urgent_ones():
    """Fails if urgent work of other accounts starves an account."""
    queue = fair_queue.FairQueue()
    for number in range(500):
        for account in ('a', 'b', 'c'):
            queue.push(create_entry(account, number, urgency=0))
        queue.push(create_entry('late', number, urgency=7))
    assert serve(queue, 400)['late'] == pytest.approx(100, abs=DEVIATION)


def test_new_account_goes_before_one_that_was_served_for_long():
    """Fails if an idle account saves up service, or must catch up first."""
    queue = fair_queue.FairQueue()
    for number in range(400):
        queue.push(create_entry('long', number))
    serve(queue, 200)
    for number in range(100):
        queue.push(create_entry('new', 1_000 + number))
    assert serve(queue, 100)['new'] == pytest.approx(50, abs=DEVIATION)


def test_changed_weight_counts_for_later_work():
    """Fails if a change of an account's priority has no effect under load."""
    queue = fair_queue.FairQueue()
    for number in range(200):
        queue.push(create_entry('a', number))
        queue.push(create_entry('b', number))
    serve(queue, 400)
    for number in range(400):
        queue.push(create_entry('a', number, weight=4))
        queue.push(create_entry('b', number, weight=1))
    assert serve(queue, 500)['a'] == pytest.approx(400, abs=4 * DEVIATION)


def test_blocked_entry_delays_none_behind_it():
    """Fails if work that can't run now holds a slot back from other work."""
    queue = fair_queue.FairQueue()
    first, second = create_entry('a', 1), create_entry('a', 2)
    queue.push(first)
    queue.push(second)
    queue.block(first, frozenset(('t0',)))
    assert queue.best('t0') is second
    assert queue.best('t1') is first
    queue.unblock()
    assert queue.best('t0') is first


def test_random_operations_keep_every_entry_exactly_once():
    """Fails if moving entries between heaps loses or repeats one."""
    generator = random.Random(7)
    queue = fair_queue.FairQueue()
    waiting, taken = set(), set()
    for _ in range(20_000):
        operation = generator.random()
        target = generator.choice(sorted(TARGETS))
        if operation < 0.4:
            targets = generator.choice((TARGETS, frozenset(('t0',))))
            entry = create_entry(
                f'a{generator.randrange(140)}',
                generator.randrange(10**6),
                generator.randrange(8),
                generator.choice((1, 2, 4)),
                targets,
            )
            queue.push(entry)
            waiting.add(entry)
        elif operation < 0.5 and waiting:
            entry = generator.choice(sorted(waiting, key=lambda e: e.sequence))
            queue.remove(entry)
            waiting.remove(entry)
        elif operation < 0.7:
            entry = queue.best(target)
            if entry is not None:
                queue.block(entry, frozenset((target,)))
        elif operation < 0.72:
            queue.unblock()
        elif (entry := queue.best(target)) is not None:
            assert entry in waiting
            assert target in entry.allowed
            queue.take(entry, target)
            waiting.remove(entry)
            taken.add(entry)
        assert len(queue) == len(waiting)
    queue.unblock()
    while (entry := queue.best('t0')) is not None:
        queue.take(entry, 't0')
        waiting.remove(entry)
    assert not waiting
    assert len(taken) > 1_000


def examined_per_statement(waiting, accounts):
    """Return the entries looked at for each statement that is served."""
    queue = fair_queue.FairQueue()
    for number in range(waiting):
        queue.push(create_entry(f'a{number % accounts}', number, number % 3))
    queue.examined_count = 0
    for number in range(waiting):
        queue.push(create_entry(f'a{number % accounts}', waiting + number))
        queue.take(queue.best('t0'), 't0')
    return queue.examined_count / waiting


@pytest.mark.parametrize('accounts', [1, 140])
def test_cost_does_not_grow_with_what_waits(accounts):
    """Fails if a statement costs a look at all that wait, as a sort does."""
    few = examined_per_statement(500, accounts)
    many = examined_per_statement(8_000, accounts)
    assert many <= 2 * few
    assert many <= 64


def test_urgency_is_raised_only_while_a_kind_would_starve():
    """Fails if a kind starves beside an urgent flood, or overtakes it."""
    balance = fair_queue.UrgencyBalance()
    served = collections.Counter()
    for number in range(10_000):
        urgency = 0 if number % 10 else 2
        if balance.record_arrival('a', urgency, False) == 0 and number % 4:
            balance.record_served('a', urgency, False)
            served[urgency] += 1
    urgent_share, late_share = served[0] / 9_000, served[2] / 1_000
    assert 0 < late_share < urgent_share / fair_queue.STARVATION_DIVISOR


def test_flood_of_a_kind_that_would_starve_takes_little_from_urgent_work():
    """Fails if all of a flood is raised since little of it can be served."""
    balance = fair_queue.UrgencyBalance()
    raised_count = 0
    for number in range(10_000):
        if number % 100 == 0:
            balance.record_arrival('a', 0, False)
            balance.record_served('a', 0, False)
        elif balance.record_arrival('a', 2, False) == 0:
            raised_count += 1
    assert 0 < raised_count <= 100 / fair_queue.SERVED_FOR_RAISED


def test_last_is_the_least_urgent_of_the_account_beyond_its_share():
    """Fails if a flood or late work stays while other work is refused."""
    backlog = fair_queue.Backlog()
    for number in range(50):
        backlog.add(create_entry('flood', number, urgency=0))
    least = create_entry('flood', 5, urgency=3)
    backlog.add(least)
    backlog.add(create_entry('small', 99, urgency=7))
    heavy = [create_entry('heavy', each, weight=4) for each in range(120)]
    for each in heavy:
        backlog.add(each)
    assert backlog.last()[1] is least
    backlog.remove(least)
    assert backlog.last()[1].key == 49
    assert backlog.ahead(0, 10) == 20
    assert backlog.size == 1_710


@pytest.mark.parametrize(
    ('priority', 'urgency'), [(-5, 0), (0, 0), (3, 3), (2**32 - 1, 7)]
)
def test_priority_out_of_range_is_clamped(priority, urgency):
    """Fails if a strange priority of a route breaks the queue."""
    assert fair_queue.clamp_urgency(priority) == urgency
