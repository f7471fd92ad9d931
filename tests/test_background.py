"""Tests of background tasks."""

import asyncio

import structlog

from samphirestand import background


def test_failed_task_is_logged():
    """Guards against a background task that fails without a log line."""

    async def fail():
        raise ValueError('broken')

    async def main():
        tasks = background.Background()
        tasks.spawn(fail())
        await asyncio.sleep(0.01)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    [line] = lines
    assert line['event'] == 'task_failed'
    assert 'fail' in line['task']
    assert 'broken' in line['reason']


def test_cancelled_task_is_not_logged():
    async def main():
        tasks = background.Background()
        tasks.spawn(asyncio.sleep(60))
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0.01)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    assert lines == []
