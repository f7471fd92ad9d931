"""Tests of the session tokens."""

import os

import pytest

from samphirestand.callers import tokens
from samphirestand import clock
from samphirestand import exceptions
from samphirestand import types
from tests.callers import fakes


@pytest.fixture
def world(tmp_path):
    return fakes.World(tmp_path)


def test_token_keeps_what_was_seen(world):
    """Guards against positions that get lost between two hosts."""
    session = tokens.Session('a', {'s': types.Position(2, 7)}, True)
    other_host = tokens.TokenSigner(world.secrets_file, world.clock)
    assert other_host.read(world.signer.sign(session)) == session


@pytest.mark.parametrize(
    'spoil',
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
def test_tampered_token(world, spoil):
    """Guards against positions or accounts that a caller made up."""
    refused = world.signer.read(spoil(world.token(s=(2, 7))))
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
def test_rotated_secrets(world, changes, is_read):
    """Guards against old tokens refused too early, or read for ever."""
    token = world.token(s=(2, 7))
    for change in changes:
        world.write_secrets(*change)
        os.utime(world.secrets_file, ns=(1, 1))
    world.clock.set(world.clock.now() + tokens.FILE_CHECK_MS)
    session = world.signer.read(token)
    assert isinstance(session, tokens.Session) is is_read
    fresh = world.signer.read(world.token(s=(2, 7)))
    assert isinstance(fresh, tokens.Session)


def test_unreadable_secrets_keep_the_old_ones(world):
    """Guards against an editing mistake that ends all sessions."""
    token = world.token(s=(2, 7))
    world.secrets_file.write_text('current: [')
    world.clock.set(world.clock.now() + tokens.FILE_CHECK_MS)
    assert isinstance(world.signer.read(token), tokens.Session)
    world.secrets_file.unlink()
    world.clock.set(world.clock.now() + tokens.FILE_CHECK_MS)
    assert isinstance(world.signer.read(token), tokens.Session)


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
    """Guards against a host that starts with weak or no secrets."""
    path = tmp_path / 'secrets.yaml'
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError) as caught:
        tokens.TokenSigner(path, clock.ManualClock())
    assert 'short' not in str(caught.value)


def test_oldest_service_is_dropped_first():
    """Guards against tokens that grow, and against a forgotten drop."""
    session = tokens.Session('a')
    for number in range(tokens.MOST_SERVICES):
        session = session.advanced(f's{number}', types.Position(1, number))
    session = session.advanced('s0', types.Position(1, 50))
    assert not session.may_have_seen('other')
    session = session.advanced('other', types.Position(1, 1))
    assert len(session.positions_by_service) == tokens.MOST_SERVICES
    assert session.may_have_seen('s1')
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
    """Guards against a late answer that hides a newer write."""
    session = tokens.Session('a', {'s': types.Position(*earlier)})
    session = session.advanced('s', types.Position(*later))
    assert session.position('s') == types.Position(*kept)
