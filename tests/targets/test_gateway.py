"""Tests of the gateway: outcomes, transactions, keys and the lock."""

import asyncio

from samphirestand import types
from tests.targets import fakes


def run(case, **options):
    """Run ``case`` with a started fleet."""

    async def main():
        fleet = fakes.Fleet(**options)
        await fleet.start()
        try:
            await case(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())


def test_a_write_is_acknowledged_and_read_back():
    """Guards against a gateway that never gets confirmation."""

    async def case(fleet):
        written = await fleet.run('t0')
        assert isinstance(written, types.Done), written
        read = await fleet.run(
            't0', statement='GET x', mode=types.Mode.READ, request_id='r2'
        )
        assert read.rows == (['x', '1'],)

    run(case)
