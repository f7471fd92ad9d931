"""Ends hosts above their memory limit, as the platform does."""

import asyncio
import pathlib
from typing import Any

MEMORY_KB = 300 * 1_024  # MemoryMb of the settings
RESTART_S = 0.5
WATCH_S = 0.02

# A tenth of the machines in use, two at least, and three times.
MIN_HOSTS = 2
MIN_ENDS = 3


class MemoryLimit:
    """Watches the hosts, and restarts what has ended."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self.ends_by_host: dict[str, int] = {}
        self.peaks_by_host: dict[str, int] = {}
        for host in world.hosts:
            world.spawn(self._watch(host))

    @property
    def fault(self) -> str | None:
        """Return what broke the rule, or None."""
        ends = [
            each for each in self.ends_by_host.values() if each >= MIN_ENDS
        ]
        if len(ends) < MIN_HOSTS:
            return None
        return f'Fault: processes ended by themselves: {self.ends_by_host}'

    async def _watch(self, host: Any) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            memory_kb = _memory_kb(host.process.pid)
            self.peaks_by_host[host.name] = max(
                self.peaks_by_host.get(host.name, 0), memory_kb // 1_024
            )
            if host.process.returncode is not None:
                reason = f'ended with {host.process.returncode}'
            elif memory_kb > MEMORY_KB:
                reason = f'killed with {memory_kb // 1_024} MB'
                await host.end()
            else:
                continue
            self.ends_by_host[host.name] = (
                self.ends_by_host.get(host.name, 0) + 1
            )
            self._world.record.note(f'platform: {host.name} {reason}')
            await asyncio.sleep(RESTART_S)
            await host.start()


def _memory_kb(process_id: int) -> int:
    """Return the resident memory; 0 if the process has ended."""
    path = pathlib.Path(f'/proc/{process_id}/status')
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0
