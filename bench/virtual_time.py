"""An event loop on virtual time.

Its time advances only when no callback is ready: it then jumps to the next
timer.
"""

import asyncio
import selectors
from typing import Any

from samphirestand import clock

__all__ = ['LoopClock', 'VirtualLoop']

START_MS = 1_000_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events and timeout:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in order, without waiting for them."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now_s


class LoopClock(clock.Clock):
    """A clock that reads the time of the running loop, virtual or not.

    It starts at ``START_MS`` on a virtual loop.
    """

    def now(self) -> int:
        return START_MS + int(asyncio.get_running_loop().time() * 1000)

    def wall(self) -> int:
        return self.now()

    async def sleep(self, duration_ms: int) -> None:
        await asyncio.sleep(max(0, duration_ms) / 1000)
