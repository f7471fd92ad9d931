"""Lets servers answer one read with many rows, as fast as a link allows."""

import asyncio
import time
from typing import Any

# The item whose read has many rows.
REPORT = 'report'

# All servers together send no faster than one host's link of 1,000 Mbit/s.
LINK_BYTES_PER_S = 125_000_000
BYTES_PER_STEP = 1_250_000


class PacedWriter:
    """Sends no faster than the link of the host that reads."""

    # When the link has sent what it was given; shared by all connections.
    _link_free_s = 0.0

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.transport = writer.transport
        self._task = asyncio.create_task(self._send())

    def write(self, data: bytes) -> None:
        self._queue.put_nowait(data)

    async def _send(self) -> None:
        try:
            while True:
                data = await self._queue.get()
                for start in range(0, len(data), BYTES_PER_STEP):
                    end = start + BYTES_PER_STEP
                    self._writer.write(data[start:end])
                    await self._writer.drain()
                    await self._wait_for_link(len(data[start:end]))
        except OSError:
            # The host has closed the connection.
            self._writer.close()

    def close(self) -> None:
        self._task.cancel()
        self._writer.close()

    async def _wait_for_link(self, byte_count: int) -> None:
        now = time.monotonic()
        free_s = max(PacedWriter._link_free_s, now)
        PacedWriter._link_free_s = free_s + byte_count / LINK_BYTES_PER_S
        if byte_count == BYTES_PER_STEP:
            await asyncio.sleep(PacedWriter._link_free_s - now)


def answer_report(server: Any, rows: str) -> None:
    """Let a server answer a read of the report with many rows."""
    run_session = server._run_session
    run_request = server._run_request

    async def run_paced(reader, writer):
        await run_session(reader, PacedWriter(writer))

    async def answer(session, request_id, command, text):
        answered = await run_request(session, request_id, command, text)
        if (command, text) != ('READ', REPORT):
            return answered
        return rows + answered[answered.index('COMPLETE') :]

    server._run_session = run_paced
    server._run_request = answer
