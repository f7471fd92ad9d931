"""Tasks that nobody awaits."""

import asyncio

import structlog

from samphirestand import background


def test_failure_is_logged():
    """Fails if a part of a host can end without a word."""

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


def test_cancelled_task_is_no_failure():
    async def main():
        tasks = background.Background()
        tasks.spawn(asyncio.sleep(60))
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0.01)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    assert lines == []
