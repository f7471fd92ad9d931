"""Runs a host under cProfile and writes the profile when it stops."""

import cProfile
import pathlib
import sys

from samphirestand import daemon


def main() -> int:
    """Run a host with the settings file given on the command line.

    The arguments are ``PREFIX SETTINGS``; the profile is written to PREFIX,
    a hyphen and the name of the settings file without its suffix.
    """
    prefix, settings = sys.argv[1:]
    profile = cProfile.Profile()
    try:
        return profile.runcall(daemon.main, [settings])
    finally:
        profile.dump_stats(f'{prefix}-{pathlib.Path(settings).stem}')


if __name__ == '__main__':
    sys.exit(main())
