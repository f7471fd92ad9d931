"""Tests of the options file of a host."""

import pathlib

import pytest

from samphirestand import exceptions
from samphirestand import host_options
from samphirestand import node_settings

DEPLOY_FILE = pathlib.Path(__file__).parents[1] / 'deploy' / 'host.yaml'


def test_deployed_options_are_valid():
    """Fails if hosts couldn't start with the options that are deployed."""
    assert host_options.load(DEPLOY_FILE).callers is not None


def test_empty_file_has_the_defaults(tmp_path):
    """Fails if a file without options isn't accepted."""
    path = tmp_path / 'host.yaml'
    path.write_text('')
    assert host_options.load(path) == host_options.HostOptions()


@pytest.mark.parametrize(
    'text', ['callers: {unknown: 1}', 'unknown: {}', '[', 'callers: 3']
)
def test_invalid_options_name_the_file(tmp_path, text):
    """Fails if a mistyped option is ignored, so that a default holds."""
    path = tmp_path / 'host.yaml'
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError, match='host.yaml'):
        host_options.load(path)


@pytest.mark.parametrize(
    ('option', 'competes', 'expected'),
    [
        ('null', False, False),
        ('null', True, True),
        ('true', False, True),
        ('false', True, False),
    ],
)
def test_fair_shares_follow_the_option_then_the_settings(
    tmp_path, option, competes, expected
):
    """Fails if the order of work changes where nobody asked for it."""
    path = tmp_path / 'host.yaml'
    path.write_text(f'queue: {{fair_shares: {option}}}')
    endpoint = node_settings.Endpoint('127.0.0.1', 1)
    settings = node_settings.NodeSettings(
        'h',
        'z',
        *[endpoint] * 5,
        promotions=None,
        grace_ms=1,
        rate_slack=0,
        bounds=node_settings.Bounds(accounts_compete=competes),
        options=host_options.load(path),
    )
    assert settings.fair_shares is expected
