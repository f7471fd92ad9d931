"""Clocks: monotonic and wall time in integer milliseconds."""

import asyncio
import heapq
import itertools
import time


class Clock:
    """Source of time and of delays.

    Durations and points in time are integer milliseconds. ``now`` is
    monotonic; timeouts use nothing else. ``wall`` is for timestamps that
    people read and is never compared between hosts.
    """

    def now(self) -> int:
        """Return the monotonic time in milliseconds."""
        raise NotImplementedError

    def wall(self) -> int:
        """Return the time since the Unix epoch in milliseconds."""
        raise NotImplementedError

    async def sleep(self, duration_ms: int) -> None:
        """Wait for ``duration_ms`` milliseconds."""
        raise NotImplementedError


class SystemClock(Clock):
    """The clock of the operating system.

    Uses ``CLOCK_BOOTTIME``, which includes the time in which the machine was
    suspended: leases, ages and timeouts must count that time.
    ``CLOCK_MONOTONIC`` would leave it out.
    """

    def now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self) -> int:
        return time.time_ns() // 1_000_000

    async def sleep(self, duration_ms: int) -> None:
        await asyncio.sleep(max(0, duration_ms) / 1000)


class ManualClock(Clock):
    """A clock for tests whose time changes only by ``set`` and ``advance``."""

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self._now = start_ms
        self._sequence = itertools.count()
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []

    def now(self) -> int:
        return self._now

    def wall(self) -> int:
        return self._now

    async def sleep(self, duration_ms: int) -> None:
        if duration_ms <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        entry = (self._now + duration_ms, next(self._sequence), future)
        heapq.heappush(self._sleepers, entry)
        await future

    def set(self, now_ms: int) -> None:
        """Set the time to ``now_ms`` without waking sleeping tasks.

        Simulates a process that was paused. The time never goes back.
        """
        self._now = max(self._now, now_ms)

    async def advance(self, duration_ms: int) -> None:
        """Advance the time, waking each sleeping task when it is due."""
        end = self._now + duration_ms
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            if not future.done():
                future.set_result(None)
            await self.settle()
        self._now = end
        await self.settle()

    async def settle(self, rounds: int = 50) -> None:
        """Let ready tasks run, for ``rounds`` turns of the event loop."""
        for _ in range(rounds):
            await asyncio.sleep(0)
