"""Tests of reading and validating settings."""

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


def write_settings(tmp_path, content):
    path = tmp_path / 'host.yaml'
    path.write_bytes(content)
    return path


def test_relative_paths_start_at_the_settings_file(tmp_path):
    """Guards against relative paths resolved in the wrong directory."""
    path = write_settings(tmp_path, yaml.safe_dump(VALID).encode())
    settings = config.load(path)
    assert settings.fleet_secret_file == tmp_path / 'secrets/fleet'
    assert str(settings.token_secrets_file) == '/etc/tokens'
    assert settings.peer_tls.certificate_file == tmp_path / 'c'
    assert settings.peer_tls.authority_file is None
    assert settings.platform_url == 'http://127.0.0.1:7000'


# Field, its value (None removes the field), then parts of the error message:
# the field's path, the value shown, what is allowed.
INVALID_FIELDS = [
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


@pytest.mark.parametrize(
    'field, value, field_path, shown, allowed', INVALID_FIELDS
)
def test_error_names_field_value_and_what_is_allowed(
    tmp_path, field, value, field_path, shown, allowed
):
    """Guards against error messages that don't say what to correct."""
    document = dict(VALID, **{field: value})
    if value is None:
        del document[field]
    path = write_settings(tmp_path, yaml.safe_dump(document).encode())
    with pytest.raises(exceptions.SettingsError) as caught:
        config.load(path)
    message_lines = caught.value.message.splitlines()
    assert len(message_lines) == 1
    assert message_lines[0].startswith(f'{path}: {field_path}: ')
    assert shown in message_lines[0]
    assert allowed in message_lines[0]


UNREADABLE_FILES = [
    (b'', 'valid dictionary'),
    (b'a: [', 'not YAML'),
    (b'\xff\xfe\xfa', 'decode'),
    (None, 'No such file'),
]


@pytest.mark.parametrize('content, message', UNREADABLE_FILES)
def test_error_names_the_unreadable_file(tmp_path, content, message):
    """Guards against a traceback in place of an error message."""
    path = tmp_path / 'none.yaml'
    if content is not None:
        path = write_settings(tmp_path, content)
    with pytest.raises(exceptions.SettingsError) as caught:
        config.load(path)
    assert str(path) in caught.value.message
    assert message in caught.value.message
