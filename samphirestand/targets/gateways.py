"""The gateways that the membership places on this host."""

import asyncio
import collections.abc
import random

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import metrics as metrics_module
from samphirestand.targets import context as context_module
from samphirestand.targets import gateway as gateway_module
from samphirestand.targets import refusals
from samphirestand.targets import transaction_requests
from samphirestand.targets import transactions
from samphirestand import types

# Interval of the pass over the targets of this host's zone.
OWN_ZONE_INTERVAL_MS = 250

# Interval of the pass over the targets of all zones. Targets of other zones
# are placed here only while no host of their own zone is live. A pass over
# 17,400 targets takes 10 ms or more; four passes a second would use up the
# processor time that a host may spend on control.
ALL_TARGETS_INTERVAL_MS = 2_000


class TargetGateways:
    """Starts and stops gateways according to the placement of targets."""

    def __init__(
        self,
        clock: clock_module.Clock,
        rng: random.Random,
        connector: interfaces.TargetConnector,
        configuration: interfaces.ConfigurationSource,
        membership: interfaces.Membership,
        routes: interfaces.Routes,
        router: interfaces.Router,
        metrics: metrics_module.Metrics,
        recorder: interfaces.StatusRecorder,
    ) -> None:
        self.gateways_by_target_id: dict[
            str, gateway_module.TargetGateway
        ] = {}
        self._context = context_module.Context(
            clock,
            rng,
            connector,
            configuration,
            membership,
            routes,
            router,
            metrics,
            recorder,
        )
        self._ended_transactions = transactions.EndedTransactions()
        self._task: asyncio.Task[None] | None = None
        self._stop_tasks_by_target_id: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        self._own_zone_targets: list[types.Target] = []
        configuration.subscribe(self._configuration_changed)

    async def start(self) -> None:
        """Start the task that starts and stops gateways."""
        self._task = asyncio.ensure_future(self._reconcile_periodically())

    async def stop(self) -> None:
        """Stop every gateway; requests in progress finish first."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for target_id in self.gateways_by_target_id:
            self._stop_gateway(target_id)
        await asyncio.gather(*self._stop_tasks_by_target_id.values())

    async def run(self, request: types.Request) -> types.Outcome:
        """Run a request on a target whose gateway is on this host.

        If the gateway has left this host, a repeated commit still gets the
        recorded outcome.
        """
        gateway = self.gateways_by_target_id.get(request.target_id)
        if gateway is not None:
            return await gateway.run(request)
        if request.operation in ('statement', 'commit', 'rollback'):
            commit_outcome = transaction_requests.repeated_commit_outcome(
                self._ended_transactions, request
            )
            return (
                commit_outcome
                or transaction_requests.not_open_refusal(
                    self._ended_transactions, request
                ).outcome
            )
        return refusals.not_run(
            'not_gateway',
            'this host is not the gateway of the target',
            step='gateway',
            peer=request.target_id,
            hint=self._gateway_hint(request.target_id),
        ).outcome

    async def target_status(
        self, target_id: str, for_write: types.Position | None, wait_ms: int
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Return a target's current state, or a sentinel with the reason.

        A sentinel means that the gateway isn't on this host or that the
        target doesn't answer.
        """
        gateway = self.gateways_by_target_id.get(target_id)
        if gateway is None:
            return exceptions.Sentinel('this host is not the gateway')
        status = await gateway.status(for_write, wait_ms)
        return status or exceptions.Sentinel('the target does not answer')

    def reconcile(self) -> None:
        """Start and stop gateways of all targets, without waiting."""
        targets = self._context.configuration.current.targets_by_id.values()
        zone = self._context.membership.local.zone
        self._own_zone_targets = [
            target for target in targets if target.zone == zone
        ]
        self._apply_placement(targets)

    def reconcile_own_zone(self) -> None:
        """Start gateways of this host's zone; stop gateways of all zones.

        Stops those that the membership places on another host.
        """
        self._apply_placement(self._own_zone_targets)

    def _apply_placement(
        self, targets: collections.abc.Iterable[types.Target]
    ) -> None:
        for target in targets:
            if self._is_placed_here(target):
                self._start_gateway(target)
        targets_by_id = self._context.configuration.current.targets_by_id
        for target_id, gateway in self.gateways_by_target_id.items():
            target = targets_by_id.get(target_id, gateway.target)
            is_known = target_id in targets_by_id
            if not is_known or not self._is_placed_here(target):
                self._stop_gateway(target_id)

    async def _reconcile_periodically(self) -> None:
        clock = self._context.clock
        next_full_pass_at = clock.now()
        while True:
            if self._changed.is_set() or clock.now() >= next_full_pass_at:
                self._changed.clear()
                self.reconcile()
                next_full_pass_at = clock.now() + ALL_TARGETS_INTERVAL_MS
            else:
                self.reconcile_own_zone()
            try:
                await context_module.wait_for(
                    clock, self._changed.wait(), OWN_ZONE_INTERVAL_MS
                )
            except TimeoutError:
                pass

    def _configuration_changed(self, _: types.Configuration) -> None:
        self._changed.set()
        for gateway in self.gateways_by_target_id.values():
            gateway.transactions.abort_expired()

    def _is_placed_here(self, target: types.Target) -> bool:
        host = self._context.membership.gateway_host(target)
        if not isinstance(host, types.Host):
            # No host is known for the target, so a running gateway continues.
            return target.target_id in self.gateways_by_target_id
        return host.host_id == self._context.host_id

    def _gateway_hint(self, target_id: str) -> str:
        target = self._context.configuration.current.targets_by_id.get(
            target_id
        )
        if target is None:
            return ''
        host = self._context.membership.gateway_host(target)
        return host.host_id if isinstance(host, types.Host) else ''

    def _start_gateway(self, target: types.Target) -> None:
        # A gateway that is being stopped stays in this dictionary: it still
        # holds the lock, so no second one may start.
        if target.target_id in self.gateways_by_target_id:
            return
        gateway = gateway_module.TargetGateway(
            self._context, target, self._ended_transactions
        )
        self.gateways_by_target_id[target.target_id] = gateway
        gateway.start()

    def _stop_gateway(self, target_id: str) -> None:
        if target_id in self._stop_tasks_by_target_id:
            return
        task = asyncio.ensure_future(self._stop_and_remove(target_id))
        self._stop_tasks_by_target_id[target_id] = task

    async def _stop_and_remove(self, target_id: str) -> None:
        try:
            await self.gateways_by_target_id[target_id].stop()
        finally:
            del self.gateways_by_target_id[target_id]
            del self._stop_tasks_by_target_id[target_id]
