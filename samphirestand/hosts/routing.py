"""Keeps the routes of services and sends requests to gateway hosts."""

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

# Number of gossip messages that carry a new route; see
# membership.SPREAD_TIMES.
SPREAD_TIMES = 12


# The deadline of the gateway is this much earlier than that of the caller, so
# that the gateway's own outcome for a request that ran out of time, often "not
# run", still arrives.
ANSWER_RESERVE_MS = 50


class RouteTable:
    """Keeps the route of the highest known term for each service.

    Implements ``interfaces.Routes``.
    """

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

    def recent_routes(self, limit: int) -> list[types.Route]:
        """Return recently changed routes for one gossip message."""
        return [
            self._routes_by_service[service]
            for service in self.hot.take(limit)
        ]

    def routes_in_buckets(
        self, buckets: set[int], limit: int
    ) -> list[types.Route]:
        """Return the routes in ``buckets``, about ``limit`` at most."""
        services = digest.keys_in_buckets(
            self._routes_by_service, buckets, limit
        )
        return [self._routes_by_service[each] for each in services]


class RouterClient(Protocol):
    """The methods of ``client.PeerClients`` that the router calls."""

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
    """Sends each request to the gateway host of its target.

    That may be this host. Implements ``interfaces.Router``.
    """

    def __init__(
        self,
        configuration: interfaces.ConfigurationSource,
        membership: memberships.Membership,
        clients: RouterClient,
        clock: clocks.Clock,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._clients = clients
        self._clock = clock
        self._local_gateway: interfaces.GatewayService | None = None

    def serve_locally(self, gateway: interfaces.GatewayService) -> None:
        """Set the gateways of this host.

        They are set after construction, because they need the router.
        """
        self._local_gateway = gateway

    async def run(self, request: types.Request) -> types.Outcome:
        """Run the request on the gateway host of its target; never raises.

        A failure is returned as an outcome.
        """
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
        outcome = await self._run_on_host(host, request)
        hinted_host = self._hinted_host(outcome, host)
        if isinstance(hinted_host, exceptions.Sentinel):
            return outcome
        left_ms = request.deadline_ms - (self._clock.now() - started_ms)
        if left_ms <= 0:
            return outcome
        return await self._run_on_host(
            hinted_host, dataclasses.replace(request, deadline_ms=left_ms)
        )

    async def target_status(
        self,
        target_id: str,
        for_write: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Return the target's status as its gateway reports it.

        Returns a sentinel if no status can be had.
        """
        target = self._configuration.current.targets_by_id.get(target_id)
        if target is None:
            return exceptions.Sentinel(f'unknown target {target_id}')
        host = self._membership.gateway_host(target)
        if isinstance(host, exceptions.Sentinel):
            return host
        if host.host_id == self._membership.local.host_id:
            if self._local_gateway is None:
                return exceptions.Sentinel('no gateways on this host')
            return await self._local_gateway.target_status(
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
        """Run the request on the host that its transaction id names."""
        parts = request.transaction_id.rsplit('.', 2)
        if len(parts) != 3:
            return types.NotRun('transaction_unknown', 'malformed id')
        host = self._membership.host(parts[1])
        if not isinstance(host, exceptions.Sentinel):
            return await self._run_on_host(host, request)
        # An earlier attempt of this commit may have reached the gateway.
        if request.operation == 'commit':
            return types.Unknown('transaction_lost', host.reason)
        return types.NotRun('transaction_lost', host.reason)

    async def _run_on_host(
        self, host: types.Host, request: types.Request
    ) -> types.Outcome:
        try:
            if host.host_id == self._membership.local.host_id:
                if self._local_gateway is None:
                    return types.NotRun('not_gateway', 'no gateways here')
                return await self._local_gateway.run(request)
            return await self._clients.run(
                host, _with_shorter_deadline(request), request.deadline_ms
            )
        except exceptions.HostAnswerLost as error:
            return types.Unknown('gateway_answer_lost', str(error))
        except exceptions.HostError as error:
            return types.NotRun('target_unreachable', str(error))
        except exceptions.SamphirestandError as error:
            logger.error('gateway_failed', step=error.step, peer=error.peer)
            return types.Unknown('gateway_failed', str(error))

    def _hinted_host(
        self, outcome: types.Outcome, asked: types.Host
    ) -> types.Host | exceptions.Sentinel:
        """Return the host that a ``not_gateway`` refusal names.

        Returns a sentinel if ``outcome`` is no such refusal, or if it names no
        host, an unknown host or ``asked`` itself.
        """
        match outcome:
            case types.NotRun(code='not_gateway', hint=hint) if (
                hint and hint != asked.host_id
            ):
                return self._membership.host(hint)
            case _:
                return exceptions.Sentinel('no hint')


def _with_shorter_deadline(request: types.Request) -> types.Request:
    reserve_ms = min(ANSWER_RESERVE_MS, request.deadline_ms // 10)
    return dataclasses.replace(
        request, deadline_ms=request.deadline_ms - reserve_ms
    )


def _is_sendable(request: types.Request) -> bool:
    """Tell whether UTF-8 can encode the texts of the request.

    It can't if the JSON of the caller held lone surrogates.
    """
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
