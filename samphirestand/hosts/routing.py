"""Finds the gateway host of a target and sends requests to it."""

import dataclasses
from typing import Protocol

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import digest
from samphirestand.hosts import membership as memberships
from samphirestand import interfaces
from samphirestand import log
from samphirestand import types

logger = log.get_logger(__name__)

# How many messages carry a new route; see membership.SPREAD_TIMES.
SPREAD_TIMES = 12


# The gateway gets this much less time than the caller waits, so that its own
# verdict on a request that ran out of time, often "not run", still arrives.
ANSWER_MS = 50


class RouteTable:
    """The routes of the highest known terms; ``interfaces.Routes``."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._routes_by_service: dict[str, types.Route] = {}
        self.digests = digest.BucketDigests()
        self.hot = digest.RecentKeys()
        self.changed_ms = clock.now()

    def primary(self, service: str) -> types.Route | exceptions.Sentinel:
        route = self._routes_by_service.get(service)
        return route or exceptions.Sentinel(f'no route for {service}')

    def learn(self, route: types.Route) -> None:
        known = self._routes_by_service.get(route.service)
        if known is not None and known.term >= route.term:
            return
        self._routes_by_service[route.service] = route
        self.digests.put(
            route.service, f'{route.term} {route.primary_target_id}'
        )
        self.hot.add(route.service, SPREAD_TIMES)
        self.changed_ms = self._clock.now()

    def entries(self, limit: int) -> list[types.Route]:
        """Return the routes that changed lately, for one message."""
        return [
            self._routes_by_service[service]
            for service in self.hot.take(limit)
        ]

    def entries_in(self, buckets: set[int], limit: int) -> list[types.Route]:
        """Return the routes in ``buckets``."""
        services = digest.keys_in_buckets(
            self._routes_by_service, buckets, limit
        )
        return [self._routes_by_service[each] for each in services]


class Caller(Protocol):
    """The calls of ``client.PeerClients`` that the router makes."""

    async def run(
        self, host: types.Host, request: types.Request, timeout_ms: int
    ) -> types.Outcome: ...

    async def target_status(
        self,
        host: types.Host,
        target_id: str,
        for_write: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetStatus | exceptions.Sentinel: ...


class HostRouter:
    """Runs requests on this host or on another; ``interfaces.Router``."""

    def __init__(
        self,
        configuration: interfaces.ConfigurationSource,
        membership: memberships.Membership,
        clients: Caller,
        clock: clocks.Clock,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._clients = clients
        self._clock = clock
        self._gateway: interfaces.GatewayService | None = None

    def serve_locally(self, gateway: interfaces.GatewayService) -> None:
        """Name the gateways on this host, which need a router themselves."""
        self._gateway = gateway

    async def run(self, request: types.Request) -> types.Outcome:
        """Run on the gateway host of the target; never raises."""
        if not _is_sendable(request):
            return types.NotRun('bad_request', 'text that UTF-8 cannot hold')
        if request.transaction_id:
            return await self._run_in_transaction(request)
        target = self._configuration.current.targets_by_id.get(
            request.target_id
        )
        if target is None:
            return types.NotRun(
                'target_unreachable', f'unknown target {request.target_id}'
            )
        host = self._membership.gateway_host(target)
        if isinstance(host, exceptions.Sentinel):
            return types.NotRun('target_unreachable', host.reason)
        started_ms = self._clock.now()
        outcome = await self._run_on(host, request)
        hinted = self._hinted(outcome, host)
        if isinstance(hinted, exceptions.Sentinel):
            return outcome
        left_ms = request.deadline_ms - (self._clock.now() - started_ms)
        if left_ms <= 0:
            return outcome
        return await self._run_on(
            hinted, dataclasses.replace(request, deadline_ms=left_ms)
        )

    async def target_status(
        self,
        target_id: str,
        for_write: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Ask the gateway of the target for the target's state."""
        target = self._configuration.current.targets_by_id.get(target_id)
        if target is None:
            return exceptions.Sentinel(f'unknown target {target_id}')
        host = self._membership.gateway_host(target)
        if isinstance(host, exceptions.Sentinel):
            return host
        if host.host_id == self._membership.local.host_id:
            if self._gateway is None:
                return exceptions.Sentinel('no gateways on this host')
            return await self._gateway.target_status(
                target_id, for_write, wait_ms
            )
        try:
            return await self._clients.target_status(
                host, target_id, for_write, wait_ms, timeout_ms
            )
        except exceptions.HostError as error:
            return exceptions.Sentinel(str(error))

    async def _run_in_transaction(
        self, request: types.Request
    ) -> types.Outcome:
        """Run on the host that the transaction id names."""
        parts = request.transaction_id.rsplit('.', 2)
        if len(parts) != 3:
            return types.NotRun('transaction_unknown', 'malformed id')
        host = self._membership.host(parts[1])
        if not isinstance(host, exceptions.Sentinel):
            return await self._run_on(host, request)
        # An earlier try of this commit may have reached the gateway.
        if request.operation == 'commit':
            return types.Unknown('transaction_lost', host.reason)
        return types.NotRun('transaction_lost', host.reason)

    async def _run_on(
        self, host: types.Host, request: types.Request
    ) -> types.Outcome:
        try:
            if host.host_id == self._membership.local.host_id:
                if self._gateway is None:
                    return types.NotRun('not_gateway', 'no gateways here')
                return await self._gateway.run(request)
            return await self._clients.run(
                host, _with_time_to_answer(request), request.deadline_ms
            )
        except exceptions.HostAnswerLost as error:
            return types.Unknown('gateway_answer_lost', str(error))
        except exceptions.HostError as error:
            return types.NotRun('target_unreachable', str(error))
        except exceptions.SamphirestandError as error:
            logger.error('gateway_failed', step=error.step, peer=error.peer)
            return types.Unknown('gateway_failed', str(error))

    def _hinted(
        self, outcome: types.Outcome, asked: types.Host
    ) -> types.Host | exceptions.Sentinel:
        """Return the host that a ``not_gateway`` refusal points to."""
        match outcome:
            case types.NotRun(code='not_gateway', hint=hint) if (
                hint and hint != asked.host_id
            ):
                return self._membership.host(hint)
            case _:
                return exceptions.Sentinel('no hint')


def _with_time_to_answer(request: types.Request) -> types.Request:
    reserve_ms = min(ANSWER_MS, request.deadline_ms // 10)
    return dataclasses.replace(
        request, deadline_ms=request.deadline_ms - reserve_ms
    )


def _is_sendable(request: types.Request) -> bool:
    """Tell whether the texts can be sent; JSON may hold lone surrogates."""
    texts = (
        request.statement,
        request.request_id,
        request.transaction_id,
        request.service,
        request.account,
        request.key_id,
    )
    try:
        '\n'.join(texts).encode()
    except UnicodeEncodeError:
        return False
    return True
