"""Tests of the configuration changes."""

import dataclasses

import pytest

from samphirestand.control import changes
from samphirestand import exceptions
from samphirestand import types

HASH = 64 * 'a'


def add_target(number, zone=None, service='s', url=None):
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
    add_target(1),
    add_target(2),
    add_target(3),
)


def build_configuration(*later_changes):
    configuration = types.Configuration()
    for change in (*BASE, *later_changes):
        configuration = changes.apply(configuration, change)
        assert configuration, configuration
    return configuration


# Change, path of a value in the new configuration, value.
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


def get_by_path(value, path):
    for part in path.split('.'):
        if isinstance(value, dict):
            value = value.get(part)
        else:
            value = getattr(value, part)
    return value


@pytest.mark.parametrize('change, path, expected', APPLIED)
def test_change_is_applied(change, path, expected):
    """Guards against a missing effect, or a change to the old version."""
    before = build_configuration()
    before_fields = dataclasses.asdict(before)
    after = changes.apply(before, changes.validate(change))
    assert after.version == before.version + 1
    assert get_by_path(after, path) == expected
    assert dataclasses.asdict(before) == before_fields


RETIRED = (changes.RetireTarget(target_id='t1'),)
# Change, changes applied before it, part of the reason.
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
    (add_target(1), (), 'exists already'),
    (add_target(4), (), 'at most 3'),
    (add_target(4, service='x'), (), 'no service x'),
    (add_target(4, zone='z2'), RETIRED, 'each target needs its own'),
    (
        add_target(4, url='ws://127.0.0.1:2/session'),
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
        (*RETIRED, add_target(4)),
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
def test_refused_change_gives_the_reason(change, earlier, reason):
    """Guards against a configuration that refers to missing objects."""
    result = changes.apply(build_configuration(*earlier), change)
    assert isinstance(result, exceptions.Sentinel)
    assert reason in result.reason


# Document, the name that the reason must contain.
INVALID_DOCUMENTS = [
    ({'kind': 'create_account', 'name': 'a.b', 'rate': 1, 'burst': 1}, 'name'),
    ({'kind': 'create_account', 'name': 'a', 'rate': 0, 'burst': 1}, 'rate'),
    ({'kind': 'create_account', 'name': 'a', 'rate': 1}, 'burst'),
    ({'kind': 'drop_account', 'name': 'a', 'more': 1}, 'more'),
    ({'kind': 'set_rate_slots', 'count': 'many'}, 'count'),
    ({'kind': 'of_a_later_release'}, 'of_a_later_release'),
    ([], 'document'),
]


@pytest.mark.parametrize('document, expected_name', INVALID_DOCUMENTS)
def test_invalid_document_names_the_field(document, expected_name):
    """Guards against an invalid stored row that a host accepts."""
    result = changes.from_document(document)
    assert isinstance(result, exceptions.Sentinel)
    assert expected_name in result.reason


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
def test_document_round_trip(change):
    """Guards against a field that is lost in the JSON form of a change."""
    document = changes.to_document(change)
    assert changes.from_document(document) == changes.validate(change)
    assert changes.to_document(changes.validate(change)) == document
