"""Callers that write all the time and check what was kept."""

import asyncio
import contextlib

from tests import nodes


class Writers:
    """Callers that write through all hosts until the end of a block."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._tasks = []
        self.served = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self._write(number))
            for number in range(len(self._fleet.nodes))
        ]
        return self

    async def __aexit__(self, *error):
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _write(self, number):
        count = 0
        while True:
            count += 1
            with contextlib.suppress(OSError):
                client = await nodes.Client.connect(self._fleet.nodes[number])
                data = f'{number}.{count}'
                _, result, _ = await client.query(f'WRITE x {data}')
                client.close()
                if result.startswith('COMPLETE'):
                    self.served.append(data)
            await asyncio.sleep(0.05)

    def lost(self):
        """Return the served writes that the current primary lacks."""
        log = {
            data
            for writes in self._fleet.group.primary.log
            for _, data in writes
        }
        return [each for each in self.served if each not in log]

    async def until_served(self, limit_s=10):
        """Wait until one more write is served."""
        count = len(self.served)
        await self._fleet.until(lambda: len(self.served) > count, limit_s)
