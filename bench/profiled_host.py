"""Runs a host under cProfile and writes the profile when it stops."""

import cProfile
import pathlib
import sys

from samphirestand import daemon


def main() -> int:
    """Run ``profiled_host PREFIX SETTINGS``."""
    prefix, settings = sys.argv[1:]
    profile = cProfile.Profile()
    try:
        return profile.runcall(daemon.main, [settings])
    finally:
        profile.dump_stats(f'{prefix}-{pathlib.Path(settings).stem}')


if __name__ == '__main__':
    sys.exit(main())
