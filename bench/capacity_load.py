"""A load of statements at a fixed rate, and the times that they take."""

import asyncio
import collections.abc
import itertools
from typing import Any

from bench import capacity_fleet
from bench import http
from samphirestand.targets import connection
from samphirestand.targets import messages
from samphirestand import types

CHANNELS = 48
TIMEOUT_MS = 5_000

# The kinds of statements that cost differently.
STATEMENTS: dict[str, dict[str, Any]] = {
    'replica_read': {
        'statement': 'GET key',
        'mode': 'read',
        'max_age_ms': 5_000,
    },
    'primary_read': {'statement': 'GET key', 'mode': 'read'},
    'write': {'statement': 'SET key value', 'mode': 'write'},
}

Send = collections.abc.Callable[[int], collections.abc.Awaitable[bool]]


class Load:
    """Results of one load."""

    def __init__(self) -> None:
        self.times_us: list[int] = []
        self.failed = 0

    def summary(self) -> dict[str, Any]:
        """Return counts and percentiles in milliseconds."""
        times = sorted(self.times_us)
        last = len(times) - 1
        return {
            'done': len(times),
            'failed': self.failed,
            'p50_ms': round(times[last // 2] / 1e3, 2) if times else None,
            'p99_ms': round(times[int(last * 0.99)] / 1e3, 2)
            if times
            else None,
        }


async def run(send: Send, rate: float, seconds: float) -> Load:
    """Send at ``rate``; a late answer doesn't delay the next statement."""
    load = Load()
    loop = asyncio.get_running_loop()
    started = loop.time()

    async def one(number: int) -> None:
        begun = loop.time()
        if await send(number):
            load.times_us.append(round((loop.time() - begun) * 1e6))
        else:
            load.failed += 1

    async with asyncio.TaskGroup() as tasks:
        for number in range(int(rate * seconds)):
            delay = started + number / rate - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.create_task(one(number))
    return load


class Callers:
    """Persistent connections of callers to one host, used in turn."""

    def __init__(
        self, fleet: capacity_fleet.Fleet, index: int, seed: int
    ) -> None:
        self._free: asyncio.LifoQueue[http.Channel] = asyncio.LifoQueue()
        for _ in range(CHANNELS):
            self._free.put_nowait(fleet.channel(index))
        self._run = f'{seed}-{index}-{id(self)}'
        self._ids = itertools.count()
        self.account = fleet.plan.accounts[0]

    def sender(self, kind: str, **fields: Any) -> Send:
        """Return a function that sends a statement of a kind."""

        async def send(_: int) -> bool:
            document = {
                'service': 'service-0',
                'request_id': f'{self._run}-{next(self._ids)}',
                **STATEMENTS[kind],
                **fields,
            }
            channel = await self._free.get()
            try:
                answer = await channel.request(
                    'POST',
                    '/v1/statements',
                    document,
                    capacity_fleet.key(self.account),
                )
                return answer.status == 200
            except (http.Unsent, http.Lost):
                return False
            finally:
                self._free.put_nowait(channel)

        return send

    def close(self) -> None:
        """Close all connections."""
        while not self._free.empty():
            self._free.get_nowait().close()


class Direct:
    """A caller that runs statements on a target without a host."""

    def __init__(self) -> None:
        self._free: asyncio.LifoQueue[Any] = asyncio.LifoQueue()
        self._ids = itertools.count()

    async def connect(self, url: str) -> None:
        """Open the connections."""
        connector = connection.Connector({})
        for _ in range(16):
            self._free.put_nowait(
                await connector.connect(url, 'direct', TIMEOUT_MS)
            )

    def sender(self, kind: str) -> Send:
        """Return a function that sends a statement of a kind."""
        fields = STATEMENTS[kind]

        async def send(_: int) -> bool:
            target = await self._free.get()
            try:
                call = messages.Execute(
                    statement=fields['statement'],
                    mode=types.Mode(fields['mode']),
                    account='direct',
                    request_key=f'direct/{next(self._ids)}',
                    term=1,
                )
                answer = await target.call(call, TIMEOUT_MS)
                return answer.failure is None
            finally:
                self._free.put_nowait(target)

        return send

    def close(self) -> None:
        """Close all connections."""
        while not self._free.empty():
            self._free.get_nowait().close()
