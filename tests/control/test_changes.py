"""Tests of the configuration changes."""

import dataclasses

import pytest

from samphirestand.control import changes
from samphirestand import exceptions
from samphirestand import types

HASH = 64 * 'a'


def target(number, zone=None, service='s', url=None):
    return changes.AddTarget(
        target_id=f't{number}',
        service=service,
        zone=zone or f'z{number}',
        url=url or f'ws://127.0.0.1:{number}/session',
        slots=2,
        connections=16,
    )


BASE = (
    changes.CreateAccount(name='a', rate=10, burst=20),
    changes.CreateAccount(name='b', rate=10, burst=20),
    changes.CreateKey(key_id='k', account='a', secret_sha256=HASH),
    changes.CreateKey(
        key_id='o', account='a', secret_sha256=HASH, role='operator'
    ),
    changes.CreateService(name='s', open_account='b'),
    target(1),
    target(2),
    target(3),
)


def build(*more):
    configuration = types.Configuration()
    for change in (*BASE, *more):
        configuration = changes.apply(configuration, change)
        assert configuration, configuration
    return configuration


# Change, path to the value it sets, value.
APPLIED = [
    (changes.AlterAccount(name='a', rate=7), 'accounts_by_name.a.rate', 7),
    (changes.AlterAccount(name='a', rate=7), 'accounts_by_name.a.burst', 20),
    (
        changes.AlterAccount(name='a', when_isolated='serve'),
        'accounts_by_name.a.when_isolated',
        'serve',
    ),
    (changes.DropAccount(name='a'), 'accounts_by_name.a', None),
    (changes.DropAccount(name='a'), 'keys_by_id.k.withdrawn', True),
    (changes.DropAccount(name='a'), 'keys_by_id.o.withdrawn', False),
    (changes.WithdrawKey(key_id='k'), 'keys_by_id.k.withdrawn', True),
    (
        changes.AlterService(name='s', open_account=''),
        'services_by_name.s.open_account',
        '',
    ),
    (
        changes.AlterService(name='s', confirmation=types.Confirmation.TERM),
        'services_by_name.s.confirmation',
        types.Confirmation.TERM,
    ),
    (changes.RetireTarget(target_id='t1'), 'targets_by_id.t1.retired', True),
    (
        changes.RetireTarget(target_id='t1'),
        'services_by_name.s.target_ids',
        ('t1', 't2', 't3'),
    ),
    (changes.RetireHost(host_id='h'), 'retired_host_ids', frozenset('h')),
    (changes.SetRateSlots(count=12), 'rate_slots', 12),
]


def look_up(value, path):
    for part in path.split('.'):
        if isinstance(value, dict):
            value = value.get(part)
        else:
            value = getattr(value, part)
    return value


@pytest.mark.parametrize('change, path, expected', APPLIED)
def test_change_is_applied(change, path, expected):
    """Guards against a change with no effect or one too many."""
    before = build()
    kept = dataclasses.asdict(before)
    after = changes.apply(before, changes.validated(change))
    assert after.version == before.version + 1
    assert look_up(after, path) == expected
    assert dataclasses.asdict(before) == kept


RETIRED = (changes.RetireTarget(target_id='t1'),)
REFUSED = [
    (BASE[0], (), 'exists already'),
    (changes.AlterAccount(name='x', rate=1), (), 'no account x'),
    (changes.AlterAccount(name='a'), (), 'no field'),
    (changes.DropAccount(name='x'), (), 'no account x'),
    (changes.DropAccount(name='b'), (), 'service s is open as account b'),
    (BASE[2], (), 'exists already'),
    (
        changes.CreateKey(key_id='n', account='x', secret_sha256=HASH),
        (),
        'no account x',
    ),
    (changes.WithdrawKey(key_id='x'), (), 'no key x'),
    (
        changes.WithdrawKey(key_id='k'),
        (changes.WithdrawKey(key_id='k'),),
        'withdrawn already',
    ),
    (changes.CreateService(name='s'), (), 'exists already'),
    (
        changes.CreateService(name='n', open_account='x'),
        (),
        'no account x',
    ),
    (changes.AlterService(name='x', max_read_age_ms=1), (), 'no service x'),
    (changes.AlterService(name='s'), (), 'no field'),
    (
        changes.AlterService(name='s', open_account='x'),
        (),
        'no account x',
    ),
    (target(1), (), 'exists already'),
    (target(4), (), 'at most 3'),
    (target(4, service='x'), (), 'no service x'),
    (target(4, zone='z2'), RETIRED, 'each target needs its own'),
    (
        target(4, url='ws://127.0.0.1:2/session'),
        RETIRED,
        'target t2 has the URL',
    ),
    (changes.RetireTarget(target_id='x'), (), 'no target x'),
    (RETIRED[0], RETIRED, 'retired already'),
    (changes.RetireTarget(target_id='t2'), RETIRED, 'needs 2 targets'),
    (changes.RestoreTarget(target_id='x'), (), 'no target x'),
    (changes.RestoreTarget(target_id='t2'), (), 'not retired'),
    (
        changes.RestoreTarget(target_id='t1'),
        (*RETIRED, target(4)),
        'at most 3',
    ),
    (
        changes.RetireHost(host_id='h'),
        (changes.RetireHost(host_id='h'),),
        'retired already',
    ),
    (changes.RestoreHost(host_id='h'), (), 'not retired'),
    (changes.Bootstrap(changes=()), (), 'exists already'),
]


@pytest.mark.parametrize('change, earlier, reason', REFUSED)
def test_impossible_change_says_why(change, earlier, reason):
    """Guards against a configuration that refers to missing parts."""
    result = changes.apply(build(*earlier), change)
    assert isinstance(result, exceptions.Sentinel)
    assert reason in result.reason


INVALID = [
    ({'kind': 'create_account', 'name': 'a.b', 'rate': 1, 'burst': 1}, 'name'),
    ({'kind': 'create_account', 'name': 'a', 'rate': 0, 'burst': 1}, 'rate'),
    ({'kind': 'create_account', 'name': 'a', 'rate': 1}, 'burst'),
    ({'kind': 'drop_account', 'name': 'a', 'more': 1}, 'more'),
    ({'kind': 'set_rate_slots', 'count': 'many'}, 'count'),
    ({'kind': 'of_a_later_release'}, 'of_a_later_release'),
    ([], 'document'),
]


@pytest.mark.parametrize('document, named', INVALID)
def test_invalid_document_is_named(document, named):
    """Guards against a stored row that a host misreads."""
    result = changes.from_document(document)
    assert isinstance(result, exceptions.Sentinel)
    assert named in result.reason


@pytest.mark.parametrize(
    'change',
    [
        *BASE,
        *(row[0] for row in APPLIED),
        changes.RestoreTarget(target_id='t1'),
        changes.RestoreHost(host_id='h'),
        changes.Bootstrap(changes=BASE),
    ],
)
def test_documents_keep_the_change(change):
    """Guards against a field that is lost on its way to another host."""
    document = changes.to_document(change)
    assert changes.from_document(document) == changes.validated(change)
    assert changes.to_document(changes.validated(change)) == document
