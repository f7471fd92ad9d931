"""Tests of the authentication by key."""

import dataclasses

import pytest

from samphirestand.callers import authentication
from samphirestand import types
from tests.callers import fakes

SECRET = fakes.SECRET


@pytest.mark.parametrize(
    ('header', 'code'),
    [
        (None, 'key_missing'),
        ('', 'key_missing'),
        ('Bearer', 'key_missing'),
        ('Bearer ', 'key_missing'),
        (f'Basic key-a.{SECRET}', 'key_missing'),
        (f'key-a.{SECRET}', 'key_missing'),
        ('Bearer key-a', 'key_unknown'),
        ('Bearer key-a.', 'key_unknown'),
        ('Bearer .', 'key_unknown'),
        (f'Bearer .{SECRET}', 'key_unknown'),
        (f'Bearer nobody.{SECRET}', 'key_unknown'),
        (f'Bearer key-a.{SECRET}x', 'key_unknown'),
        (f'Bearer key-a.{SECRET[:-1]}', 'key_unknown'),
        (f'Bearer key-a.{fakes.SHA256}', 'key_unknown'),
        (f'Bearer  key-a.{SECRET}', 'key_unknown'),
        ('Bearer key-a.\u00e9\u00e9', 'key_unknown'),
        ('Bearer key-a.\ud800', 'key_unknown'),
        ('Bearer key-a.' + 'x' * 100_000, 'key_unknown'),
        ('Bearer key-old.wrong', 'key_unknown'),
        (f'Bearer key-old.{SECRET}', 'key_withdrawn'),
        (f'Bearer key-o.{SECRET}', 'key_role_mismatch'),
    ],
)
def test_refused_header(header, code):
    """Guards against a request that runs without a valid key."""
    refused = authentication.authenticate(header, fakes.CONFIGURATION)
    assert isinstance(refused, types.NotRun)
    assert refused.code == code


def test_valid_key():
    """Guards against a key that authenticates as another account."""
    caller = authentication.authenticate(fakes.KEY_HEADER, fakes.CONFIGURATION)
    assert caller == authentication.Caller('a', 'key-a')


@pytest.mark.parametrize(
    ('header', 'account'),
    [(None, 'public'), (fakes.KEY_HEADER, 'a'), ('Bearer key-old.x', None)],
)
def test_service_with_open_account(header, account):
    """Guards against a bad key that passes as the service needs no key."""
    caller = authentication.authenticate(
        header,
        fakes.CONFIGURATION,
        fakes.CONFIGURATION.services_by_name['free'],
    )
    assert getattr(caller, 'account', None) == account


def test_caller_key_is_no_operator_key():
    """Guards against a caller's key that authenticates an operator."""
    refused = authentication.authenticate(
        fakes.KEY_HEADER, fakes.CONFIGURATION, role='operator'
    )
    assert refused.code == 'key_role_mismatch'


def test_new_keys_are_valid_and_unique():
    """Guards against generated keys that repeat or can't be verified."""
    keys = [authentication.new_key() for _ in range(100)]
    assert len({key_id for key_id, _, _ in keys}) == 100
    assert len({secret for _, secret, _ in keys}) == 100
    key_id, secret, sha256 = keys[0]
    configuration = dataclasses.replace(
        fakes.CONFIGURATION,
        keys_by_id={key_id: types.Key(key_id, 'a', sha256)},
    )
    caller = authentication.authenticate(
        f'Bearer {key_id}.{secret}', configuration
    )
    assert caller == authentication.Caller('a', key_id)
    assert secret not in repr(configuration)
