"""Sends statements at a fixed rate and measures their response times."""

import asyncio
import collections.abc
import itertools
from typing import Any

from bench import capacity_fleet
from bench import http
from samphirestand.targets import connection
from samphirestand.targets import messages
from samphirestand import types

CHANNEL_COUNT = 48
TIMEOUT_MS = 5_000

# Kinds of statements, which differ in cost.
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
    """Results of one load.

    ``times_us`` are the response times of the statements that succeeded.
    """

    def __init__(self) -> None:
        self.times_us: list[int] = []
        self.failed = 0

    def summary(self) -> dict[str, Any]:
        """Return counts, and percentiles in milliseconds."""
        times = sorted(self.times_us)
        last_index = len(times) - 1
        return {
            'done': len(times),
            'failed': self.failed,
            'p50_ms': round(times[last_index // 2] / 1e3, 2)
            if times
            else None,
            'p99_ms': round(times[int(last_index * 0.99)] / 1e3, 2)
            if times
            else None,
        }


async def run_load(send: Send, rate: float, seconds: float) -> Load:
    """Call ``send`` ``rate`` times a second for ``seconds``.

    A late answer doesn't delay the next statement. Returns when all have
    ended.
    """
    load = Load()
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    async def send_one(number: int) -> None:
        sent_s = loop.time()
        if await send(number):
            load.times_us.append(round((loop.time() - sent_s) * 1e6))
        else:
            load.failed += 1

    async with asyncio.TaskGroup() as tasks:
        for number in range(int(rate * seconds)):
            delay_s = started_s + number / rate - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.create_task(send_one(number))
    return load


class CallerPool:
    """A pool of persistent connections of callers to one host."""

    def __init__(
        self, fleet: capacity_fleet.Fleet, index: int, seed: int
    ) -> None:
        self._idle_channels: asyncio.LifoQueue[http.Channel] = (
            asyncio.LifoQueue()
        )
        for _ in range(CHANNEL_COUNT):
            self._idle_channels.put_nowait(fleet.channel(index))
        self._id_prefix = f'{seed}-{index}-{id(self)}'
        self._numbers = itertools.count()
        self.account = fleet.plan.accounts[0]

    def make_sender(self, kind: str, **fields: Any) -> Send:
        """Return a function that sends one statement of this kind."""

        async def send(_: int) -> bool:
            document = {
                'service': 'service-0',
                'request_id': f'{self._id_prefix}-{next(self._numbers)}',
                **STATEMENTS[kind],
                **fields,
            }
            channel = await self._idle_channels.get()
            try:
                answer = await channel.request(
                    'POST',
                    '/v1/statements',
                    document,
                    capacity_fleet.account_key(self.account),
                )
                return answer.status == 200
            except (http.Unsent, http.Lost):
                return False
            finally:
                self._idle_channels.put_nowait(channel)

        return send

    def close(self) -> None:
        """Close all connections."""
        while not self._idle_channels.empty():
            self._idle_channels.get_nowait().close()


class DirectPool:
    """A pool of connections to a target, without a host in between."""

    def __init__(self) -> None:
        self._idle_connections: asyncio.LifoQueue[Any] = asyncio.LifoQueue()
        self._numbers = itertools.count()

    async def connect(self, url: str) -> None:
        """Open 16 connections to a target."""
        connector = connection.Connector({})
        for _ in range(16):
            self._idle_connections.put_nowait(
                await connector.connect(url, 'direct', TIMEOUT_MS)
            )

    def make_sender(self, kind: str) -> Send:
        """Return a function that sends a statement of a kind."""
        fields = STATEMENTS[kind]

        async def send(_: int) -> bool:
            target_connection = await self._idle_connections.get()
            try:
                call = messages.Execute(
                    statement=fields['statement'],
                    mode=types.Mode(fields['mode']),
                    account='direct',
                    request_key=f'direct/{next(self._numbers)}',
                    term=1,
                )
                answer = await target_connection.call(call, TIMEOUT_MS)
                return answer.failure is None
            finally:
                self._idle_connections.put_nowait(target_connection)

        return send

    def close(self) -> None:
        """Close all connections."""
        while not self._idle_connections.empty():
            self._idle_connections.get_nowait().close()
