"""Tests of the session tokens."""

import os

import pytest

from samphirestand.callers import tokens
from samphirestand import clock
from samphirestand import exceptions
from samphirestand import types
from tests.callers import fakes


@pytest.fixture
def harness(tmp_path):
    return fakes.Harness(tmp_path)


def test_token_round_trip_between_hosts(harness):
    """Guards against positions that another host reads differently."""
    session = tokens.Session('a', {'s': types.Position(2, 7)}, True)
    other_host = tokens.TokenSigner(harness.secrets_file, harness.clock)
    assert other_host.verify(harness.signer.sign(session)) == session


@pytest.mark.parametrize(
    'tamper',
    [
        lambda token: token[:-1] + ('0' if token[-1] != '0' else '1'),
        lambda token: token.replace('|', '||', 1),
        lambda token: token[: len(token) // 2],
        lambda token: token.replace('1:1|', '1:9|', 1),
        lambda token: '1' + token[1:],
        lambda token: 'nonsense',
        lambda token: '2|9999999999:x',
        lambda token: '\u00e9' + token,
    ],
)
def test_tampered_token(harness, tamper):
    """Guards against positions or accounts that a caller forged."""
    refused = harness.signer.verify(tamper(harness.token(s=(2, 7))))
    assert refused.code == 'bad_session'


@pytest.mark.parametrize(
    ('changes', 'is_read'),
    [
        ([], True),
        ([(1, {1: 'x' * 40, 2: 'y' * 40})], True),
        ([(2, {1: 'x' * 40, 2: 'y' * 40})], True),
        ([(2, {2: 'y' * 40})], False),
        ([(1, {1: 'z' * 40})], False),
    ],
)
def test_rotated_secrets(harness, changes, is_read):
    """Guards against old tokens that are refused early or read for ever."""
    token = harness.token(s=(2, 7))
    for change in changes:
        harness.write_secrets(*change)
        os.utime(harness.secrets_file, ns=(1, 1))
    harness.clock.set(harness.clock.now() + tokens.FILE_CHECK_INTERVAL_MS)
    session = harness.signer.verify(token)
    assert isinstance(session, tokens.Session) is is_read
    fresh = harness.signer.verify(harness.token(s=(2, 7)))
    assert isinstance(fresh, tokens.Session)


def test_unreadable_secrets_keep_the_old_ones(harness):
    """Guards against a faulty secrets file that invalidates all tokens."""
    token = harness.token(s=(2, 7))
    harness.secrets_file.write_text('current: [')
    harness.clock.set(harness.clock.now() + tokens.FILE_CHECK_INTERVAL_MS)
    assert isinstance(harness.signer.verify(token), tokens.Session)
    harness.secrets_file.unlink()
    harness.clock.set(harness.clock.now() + tokens.FILE_CHECK_INTERVAL_MS)
    assert isinstance(harness.signer.verify(token), tokens.Session)


@pytest.mark.parametrize(
    'text',
    [
        'nothing',
        'current: 1',
        'current: 2\nsecrets: {1: ' + 'x' * 40 + '}',
        'current: 1\nsecrets: {1: short}',
        'current: a\nsecrets: {a: ' + 'x' * 40 + '}',
    ],
)
def test_bad_secrets_file(tmp_path, text):
    """Guards against a host that starts with short or missing secrets."""
    path = tmp_path / 'secrets.yaml'
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError) as raised:
        tokens.TokenSigner(path, clock.ManualClock())
    assert 'short' not in str(raised.value)


def test_oldest_service_is_dropped_first():
    """Guards against tokens that grow, and services dropped unnoticed."""
    session = tokens.Session('a')
    for number in range(tokens.MAX_SERVICES):
        session = session.with_position(
            f's{number}', types.Position(1, number)
        )
    session = session.with_position('s0', types.Position(1, 50))
    assert not session.may_have_dropped('other')
    session = session.with_position('other', types.Position(1, 1))
    assert len(session.positions_by_service) == tokens.MAX_SERVICES
    assert session.may_have_dropped('s1')
    assert session.position('s0') == types.Position(1, 50)


@pytest.mark.parametrize(
    ('earlier', 'later', 'kept'),
    [
        ((1, 9), (2, 5), (2, 5)),
        ((2, 5), (2, 9), (2, 9)),
        ((2, 9), (2, 5), (2, 9)),
        ((2, 5), (1, 9), (2, 5)),
    ],
)
def test_position_never_goes_back(earlier, later, kept):
    """Guards against a late answer that replaces a newer position."""
    session = tokens.Session('a', {'s': types.Position(*earlier)})
    session = session.with_position('s', types.Position(*later))
    assert session.position('s') == types.Position(*kept)
