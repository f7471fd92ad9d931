"""An event loop whose time passes only while nothing is ready to run."""

import asyncio
import selectors
from typing import Any

from samphirestand import clock

__all__ = ['LoopClock', 'VirtualLoop']

START_MS = 1_000_000


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the loop's time forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events and timeout:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order and without waiting for them."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


class LoopClock(clock.Clock):
    """The clock of the running loop, virtual or not."""

    def now(self) -> int:
        return START_MS + int(asyncio.get_running_loop().time() * 1000)

    def wall(self) -> int:
        return self.now()

    async def sleep(self, duration_ms: int) -> None:
        await asyncio.sleep(max(0, duration_ms) / 1000)
