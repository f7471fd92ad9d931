"""Tests of the options file of a host."""

import pathlib
import subprocess
import sys

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


def create_settings(options, bounds):
    endpoint = node_settings.Endpoint('127.0.0.1', 1)
    return node_settings.NodeSettings(
        'h',
        'z',
        *[endpoint] * 5,
        promotions=None,
        grace_ms=1,
        rate_slack=0,
        bounds=bounds,
        options=options,
    )


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
    settings = create_settings(
        host_options.load(path),
        node_settings.Bounds(accounts_compete=competes),
    )
    assert settings.fair_shares is expected


@pytest.mark.parametrize(
    ('option', 'bounds', 'expected'),
    [
        ('null', {}, False),
        ('null', {'targets_degrade': True}, True),
        ('null', {'accounts_compete': True}, True),
        ('true', {}, True),
        ('false', {'targets_degrade': True}, False),
    ],
)
def test_target_limits_follow_the_option_then_the_settings(
    tmp_path, option, bounds, expected
):
    """Fails if targets get fewer statements where nobody asked for it."""
    path = tmp_path / 'host.yaml'
    path.write_text(f'targets: {{adaptive_limits: {option}}}')
    settings = create_settings(
        host_options.load(path), node_settings.Bounds(**bounds)
    )
    assert settings.adaptive_limits is expected


@pytest.mark.parametrize(
    ('option', 'competes', 'expected'),
    [
        ('null', False, False),
        ('null', True, True),
        ('true', False, True),
        ('false', True, False),
    ],
)
def test_placement_follows_the_option_then_the_settings(
    tmp_path, option, competes, expected
):
    """Fails if gateways are placed otherwise where nobody asked for it."""
    path = tmp_path / 'host.yaml'
    path.write_text(f'placement: {{by_demand: {option}}}')
    settings = create_settings(
        host_options.load(path),
        node_settings.Bounds(accounts_compete=competes),
    )
    assert settings.places_by_demand is expected


def test_host_without_options_imports_no_parser_for_them():
    """Fails if all hosts of a fleet that starts load a parser they don't use.

    After a loss of power all hosts need their processors for imports.
    """
    output = subprocess.check_output(
        [
            sys.executable,
            '-c',
            "import sys, samphirestand.node; print('yaml' in sys.modules)",
        ],
        text=True,
    )
    assert output.strip() == 'False'
