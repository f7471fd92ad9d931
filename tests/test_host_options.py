"""Tests of the options file of a host."""

import pathlib

import pytest

from samphirestand import exceptions
from samphirestand import host_options

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
