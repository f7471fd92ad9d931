"""The start of the host program."""

import gc
import subprocess
import sys

from samphirestand import __main__ as main_module
from samphirestand import node


def test_missing_settings_end_the_program_with_their_exit_code(tmp_path):
    path = tmp_path / 'missing.toml'
    result = subprocess.run(
        [sys.executable, '-m', 'samphirestand', str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == node.EXIT_SETTINGS
    assert str(path) in result.stderr


def test_garbage_is_collected_while_the_host_runs(monkeypatch):
    """Guards against a host that grows until it is ended."""
    states = []
    monkeypatch.setattr(node, 'main', lambda: states.append(gc.isenabled()))
    try:
        main_module.main()
    finally:
        gc.unfreeze()
    assert states == [True]
