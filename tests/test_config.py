"""Tests of the settings."""

import pytest
import yaml

from samphirestand import config
from samphirestand import exceptions

VALID = {
    'host_id': 'h1',
    'zone': 'z1',
    'zones': ['z1', 'z2'],
    'callers': {'address': '127.0.0.1', 'port': 7101},
    'peers': {'address': '127.0.0.1', 'port': 7201},
    'platform_url': 'http://127.0.0.1:7000/',
    'fleet_secret_file': 'secrets/fleet',
    'token_secrets_file': '/etc/tokens',
    'peer_tls': {'certificate_file': 'c', 'key_file': 'k'},
}


def write(tmp_path, content):
    path = tmp_path / 'host.yaml'
    path.write_bytes(content)
    return path


def test_valid_settings(tmp_path):
    """Guards against files that are looked for in the wrong folder."""
    path = write(tmp_path, yaml.safe_dump(VALID).encode())
    settings = config.load(path)
    assert settings.fleet_secret_file == tmp_path / 'secrets/fleet'
    assert str(settings.token_secrets_file) == '/etc/tokens'
    assert settings.peer_tls.certificate_file == tmp_path / 'c'
    assert settings.peer_tls.authority_file is None
    assert settings.platform_url == 'http://127.0.0.1:7000'


# Path, value (None removes the field), place, value shown, what is allowed.
INVALID = [
    ('host_id', 'h.1', 'host_id', "'h.1'", 'A-Za-z0-9_-'),
    ('zone', 'z3', 'zones', "'z3'", 'must be one of the zones'),
    ('zones', [], 'zones', '[]', 'at least 1 item'),
    ('callers', None, 'callers', '', 'missing'),
    ('callers', {'address': 'a', 'port': 1}, 'callers.address', "'a'", 'IPv4'),
    (
        'peers',
        {'address': '::1', 'port': 70000},
        'peers.port',
        '70000',
        'less than or equal to 65535',
    ),
    ('platform_url', 'ftp://x', 'platform_url', "'ftp://x'", 'https?://'),
    ('log_level', 'loud', 'log_level', "'loud'", "'debug', 'info'"),
    ('max_body_bytes', 1, 'max_body_bytes', '1', 'equal to 1024'),
    ('stop_limit_ms', 'x', 'stop_limit_ms', "'x'", 'valid integer'),
    ('unknown', 1, 'unknown', '1', 'not permitted'),
    (
        'peer_tls',
        {'key_file': 'k'},
        'peer_tls.certificate_file',
        '',
        'missing',
    ),
]


@pytest.mark.parametrize('field, value, place, shown, allowed', INVALID)
def test_errors_name_place_value_and_rule(
    tmp_path, field, value, place, shown, allowed
):
    """Guards against errors that don't say what to correct."""
    document = dict(VALID, **{field: value})
    if value is None:
        del document[field]
    path = write(tmp_path, yaml.safe_dump(document).encode())
    with pytest.raises(exceptions.SettingsError) as caught:
        config.load(path)
    lines = caught.value.message.splitlines()
    assert len(lines) == 1
    assert lines[0].startswith(f'{path}: {place}: ')
    assert shown in lines[0]
    assert allowed in lines[0]


UNREADABLE = [
    (b'', 'valid dictionary'),
    (b'a: [', 'not YAML'),
    (b'\xff\xfe\xfa', 'decode'),
    (None, 'No such file'),
]


@pytest.mark.parametrize('content, message', UNREADABLE)
def test_unreadable_files_are_named(tmp_path, content, message):
    """Guards against a traceback in place of a message."""
    path = tmp_path / 'none.yaml'
    if content is not None:
        path = write(tmp_path, content)
    with pytest.raises(exceptions.SettingsError) as caught:
        config.load(path)
    assert str(path) in caught.value.message
    assert message in caught.value.message
