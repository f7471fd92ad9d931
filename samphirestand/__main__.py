"""Starts the host program on the platform: ``python -m samphirestand``."""

import gc
import importlib
import signal
import sys


def main() -> int:
    """Import and run the host; return the exit code.

    What is imported stays until the end of the process, so that looking for
    garbage meanwhile, or in it later, only takes time.
    """
    # SIGHUP would end the process until the host handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    node = importlib.import_module('samphirestand.node')
    gc.freeze()
    gc.enable()
    return node.main()


if __name__ == '__main__':
    sys.exit(main())
