"""Processor time and memory of processes, from /proc."""

import os
import pathlib

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def processor_ms(pid: int) -> float:
    """Return the user and system time that a process has used, in ms."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # The process name, which ends at the last parenthesis, may contain
    # spaces.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_SECOND


def rss_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one."""
    status = pathlib.Path(f'/proc/{pid or "self"}/status').read_text()
    line = next(
        each for each in status.splitlines() if each.startswith('VmRSS:')
    )
    return int(line.split()[1]) * 1024
