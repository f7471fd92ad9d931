"""Services of a host that all of its gateways share."""

import asyncio
import collections.abc
import dataclasses
import random
from typing import TypeVar

from samphirestand import clock as clock_module
from samphirestand import interfaces
from samphirestand import metrics as metrics_module
from samphirestand import types


@dataclasses.dataclass(frozen=True)
class Context:
    """The services of the host that a gateway uses."""

    clock: clock_module.Clock
    rng: random.Random
    connector: interfaces.TargetConnector
    configuration: interfaces.ConfigurationSource
    membership: interfaces.Membership
    routes: interfaces.Routes
    router: interfaces.Router
    metrics: metrics_module.Metrics
    recorder: interfaces.StatusRecorder

    @property
    def host_id(self) -> str:
        return self.membership.local.host_id


T = TypeVar('T')


async def wait_for(
    clock: clock_module.Clock,
    awaitable: collections.abc.Awaitable[T],
    timeout_ms: int,
) -> T:
    """Await with a timeout on ``clock``; raise ``TimeoutError``.

    Cancels ``awaitable`` on a timeout and on cancellation.
    """
    task = asyncio.ensure_future(awaitable)
    timer = asyncio.ensure_future(clock.sleep(timeout_ms))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise TimeoutError
    finally:
        timer.cancel()
        task.cancel()


def service_targets(
    context: Context, target: types.Target
) -> list[types.Target]:
    """Return the targets of the target's service, itself included.

    Taken from the current configuration.
    """
    current = context.configuration.current
    service = current.services_by_name.get(target.service)
    ids: collections.abc.Iterable[str] = service.target_ids if service else ()
    return [
        current.targets_by_id[target_id]
        for target_id in ids
        if target_id in current.targets_by_id
    ]
