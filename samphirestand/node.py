"""The program of one host on the platform: builds, runs and stops it."""

import argparse
import asyncio
import collections.abc
import dataclasses
import os
import pathlib
import random
import resource
import signal
import sys
from typing import Any

from tornado import web

from samphirestand import background
from samphirestand import callers_budget
from samphirestand import clock as clock_module
from samphirestand import descriptor_budget
from samphirestand import exceptions
from samphirestand.fleet import allowance as allowance_module
from samphirestand.fleet import catalog_exchange
from samphirestand.fleet import evacuations as evacuations_module
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import members as members_module
from samphirestand.fleet import service as service_module
from samphirestand.fleet import traffic
from samphirestand.fleet import watch
from samphirestand.gateway import evacuation
from samphirestand.gateway import gateways as gateways_module
from samphirestand.gateway import succession as succession_module
from samphirestand.gateway import warmup
from samphirestand import host_options
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import node_settings
from samphirestand.platform import node_file
from samphirestand.platform import promotion
from samphirestand.platform import store as store_module
from samphirestand import probe_server
from samphirestand.sessions import entry_explanation
from samphirestand.sessions import listener as listener_module
from samphirestand.sessions import session as session_module

EXIT_SETTINGS = 2

# The load balancer probes each host once a second and removes it after two
# failed probes. Until then it sends new connections.
BALANCER_REMOVAL_MS = 2_300

# Interval at which a starting host checks whether it may accept callers.
START_CHECK_INTERVAL_MS = 20

# Part of the grace period that is kept for sending the last answers and for
# the exit of the process.
EXIT_MARGIN_MS = 700

# Interval at which the open descriptors of the process are counted.
DESCRIPTOR_CHECK_INTERVAL_MS = 1_000
DESCRIPTOR_DIRECTORY = '/proc/self/fd'

_log = log.get_logger(__name__)


class Node:
    """One host: its listeners, its gateways and its links to other hosts."""

    def __init__(
        self, settings: node_settings.NodeSettings, settings_path: pathlib.Path
    ) -> None:
        self.settings = settings
        self._settings_path = settings_path
        self._clock = clock_module.SystemClock()
        self._random = random.Random()
        self._background = background.Background()
        self._probe_servers: list[probe_server.ProbeServer] = []
        self.metrics = metrics_module.Metrics()
        log.count_with(self.metrics.count)
        self.store = store_module.Store(
            settings.store, self.metrics, self._clock
        )
        self.evacuations = evacuations_module.Evacuations(
            self._clock,
            self.metrics,
            self._refresh_gateways,
            is_enabled=settings.bounds.zones_can_be_evacuated,
            is_zone=self._is_zone,
        )
        self.catalog = watch.CatalogWatch(
            self.store,
            self._clock,
            lambda catalog: self._on_configuration(),
            self.evacuations,
        )
        self.targets = watch.TargetWatch(
            self.store, self._clock, self._refresh_gateways
        )
        counters = traffic.FrameCounters(self.metrics, self._clock)
        own_hello = frames.Hello(
            settings.host_id,
            settings.zone,
            settings.peers.address,
            settings.peers.port,
            self._clock.wall(),
            settings.capacity,
        )
        self.members = members_module.Members(
            own_hello,
            self._clock,
            self.store,
            self._refresh_gateways,
            counters,
        )
        self._exchange = catalog_exchange.CatalogExchange(
            self._clock,
            self._random,
            self.members,
            self.catalog,
            self.evacuations,
        )
        self.rate_limiter = allowance_module.AccountRateLimiter(
            self._clock,
            self.members,
            lambda: self.catalog.current,
            settings.rate_slack,
        )
        succession = None
        if settings.promotions is not None:
            succession = succession_module.PrimaryFailover(
                settings.host_id,
                settings.zone,
                self._clock,
                self.store,
                promotion.PromotionClient(settings.promotions),
            )
        self.gateways = gateways_module.ServiceGateways(
            self._clock,
            self._random,
            self.members,
            self.targets,
            lambda: self.catalog.current,
            self.rate_limiter,
            succession,
            self.metrics,
            evacuation.ZoneView(
                self._zone_limit,
                lambda: self.evacuations.is_known,
                self.evacuations.revoked_ms,
            ),
            warmup.ColdRules(
                settings.bounds.cold_excess, settings.bounds.cold_slack
            ),
            settings.options.queue,
            fair_shares=settings.fair_shares,
            adaptive_limits=settings.adaptive_limits,
            drain_ms=settings.bounds.drain_ms,
            places_by_demand=settings.places_by_demand,
        )
        self.peer_service = service_module.PeerService(
            self.members,
            self.gateways,
            self.rate_limiter,
            self.catalog,
            self.metrics,
            self.evacuations,
        )
        self.gateways.on_claims = self.peer_service.announce
        self.gateways.on_demands = self.peer_service.announce_demands
        max_descriptors = _descriptor_limit(settings.capacity.descriptors)
        self._max_descriptors = max_descriptors
        self._descriptors = descriptor_budget.DescriptorBudget(max_descriptors)
        dispatcher = service_module.PeerDispatcher(self.members, self.gateways)
        context = session_module.Context(
            self._clock,
            lambda: self.catalog.current,
            dispatcher,
            self.metrics,
        )
        self.explainer = entry_explanation.EntryExplainer(
            settings.host_id,
            context,
            dispatcher,
            self.catalog,
            self.evacuations,
        )
        options = settings.options.callers
        limits = dataclasses.replace(
            callers_budget.derive_limits(
                settings.capacity.memory_mb,
                max_descriptors,
                options.max_buffered_bytes,
                options.max_sessions,
            ),
            message_timeout_ms=options.message_timeout_ms,
            answer_timeout_ms=options.answer_timeout_ms,
        )
        self.sessions = listener_module.Listener(
            context, self._clock, limits, self._descriptors
        )
        self.peers = links.Listener(
            self.peer_service,
            max_descriptors // links.DESCRIPTORS_PART,
            self._descriptors,
            self.sessions.limit_events,
            counters,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send sessions to this host."""
        return (
            self.sessions.is_listening
            and not self.members.is_draining
            and not self.members.is_isolated
        )

    def _zone_limit(self, zone: str) -> evacuation.ZoneLimit | None:
        """Return until when a zone's targets get requests; None if always."""
        since_ms = self.evacuations.since_ms(zone)
        if since_ms is None:
            return None
        return evacuation.ZoneLimit(
            zone, since_ms, self.settings.bounds.evacuation_ms
        )

    def _is_zone(self, zone: str) -> bool:
        """Tell whether a host or a target is in a zone of this name."""
        return (
            zone == self.settings.zone
            or zone in self.targets.zones
            or any(each.peer.zone == zone for each in self.members.up_links())
        )

    def _refresh_gateways(self) -> None:
        self.gateways.refresh()

    def _on_configuration(self) -> None:
        self.sessions.review_access()
        self._refresh_gateways()

    async def start(self) -> None:
        """Join the fleet, follow the store and start listening.

        The listener for callers follows once the host can serve them.
        """
        settings = self.settings
        await self.peers.start(settings.peers.address, settings.peers.port)
        for job in (
            self.catalog.run,
            self.targets.run,
            self.members.register_forever,
            self._ping_forever,
            self.gateways.maintain_forever,
            self._close_sessions_while_isolated,
            self.sessions.review_forever,
            self._count_descriptors_forever,
        ):
            self._background.keep_running(job, self._clock)
        self._background.spawn(self._listen_for_callers())
        readiness_application = web.Application(
            [('/-/ready', _ReadyHandler, {'node': self})],
            log_function=_skip_access_log,
        )
        self._start_probe_server(
            'ready', readiness_application, settings.readiness
        )
        metrics = web.Application(
            [
                ('/metrics', _MetricsHandler, {'node': self}),
                ('/explain', _ExplainHandler, {'node': self}),
            ],
            log_function=_skip_access_log,
        )
        self._start_probe_server('metrics', metrics, settings.metrics)
        _log.info('started', zone=settings.zone, callers=str(settings.callers))

    async def _ping_forever(self) -> None:
        await self.members.ping_forever(self._start_ping_round)

    async def _listen_for_callers(self) -> None:
        """Listen for callers once their statements can reach a gateway.

        Waits for links to the other hosts, for a configuration and for the
        registry of targets.
        """
        while not (
            self.members.is_settled
            and self.catalog.current.version > 0
            and self.evacuations.is_known
            and (self.targets.has_read or not self._uses_registry)
        ):
            self._adjust_store_reads()
            await self._clock.sleep(START_CHECK_INTERVAL_MS)
        if self.members.is_draining:
            # The host was told to stop before it had started.
            return
        # Pings carry rate tokens: this one brings the first tokens to the
        # hosts that hand them out.
        self.members.ping_once(self._start_ping_round)
        await self._clock.sleep(START_CHECK_INTERVAL_MS)
        callers = self.settings.callers
        await self.sessions.start(callers.address, callers.port)
        _log.info(
            'ready',
            hosts=len(self.members.up_links()) + 1,
            version=self.catalog.current.version,
        )

    def _start_probe_server(
        self,
        name: str,
        application: web.Application,
        endpoint: node_settings.Endpoint,
    ) -> None:
        server = probe_server.ProbeServer(
            application,
            name,
            self._max_descriptors,
            self._descriptors,
            lambda: self.sessions.limit_events.record(
                'probes_refused_limit', name
            ),
        )
        server.listen(endpoint.address, endpoint.port)
        self._probe_servers.append(server)

    async def _count_descriptors_forever(self) -> None:
        """Tell the descriptor budget what isn't accepted connections."""
        while True:
            try:
                count = len(os.listdir(DESCRIPTOR_DIRECTORY))
            except OSError:
                # No descriptor is left to read it, or there is no such
                # directory on this system.
                count = 0
            if count:
                self._descriptors.record_open(count)
            await self._clock.sleep(DESCRIPTOR_CHECK_INTERVAL_MS)

    def _adjust_store_reads(self) -> None:
        """Reduce reads of the store to what this host's jobs need."""
        members = self.members
        self.catalog.is_relaxed = (
            members.is_settled and not members.is_catalog_reader
        )
        self.catalog.is_relayed = (
            members.is_settled and not members.is_job_host
        )
        self.targets.is_needed = self._uses_registry

    @property
    def _uses_registry(self) -> bool:
        """Tell whether this host has a job that needs the registry."""
        return self.members.knows_fleet and (
            self.members.is_job_host or self.gateways.has_gateways
        )

    def _start_ping_round(self) -> members_module.PingRound:
        """Prepare a round of pings."""
        self._adjust_store_reads()
        for link in self.members.up_links():
            self._exchange.compare_versions(link)
        deposits_by_host = self.rate_limiter.deposits_by_host()

        def build_ping(link: links.Link) -> frames.Ping:
            return frames.Ping(
                0,
                self.members.is_draining,
                self.catalog.current.version,
                deposits_by_host.get(link.peer.host_id, ()),
            )

        return members_module.PingRound(
            build_ping,
            deposits_by_host.keys() | self._exchange.host_ids_to_ping(),
        )

    async def _close_sessions_while_isolated(self) -> None:
        """Close idle sessions while this host is isolated from the fleet.

        An isolated host reaches no primary. Sessions are closed only after
        the load balancer has removed this host, so that callers reconnect to
        a host in another zone.
        """
        isolated_since_ms: int | None = None
        while True:
            await self._clock.sleep(members_module.PING_INTERVAL_MS)
            now = self._clock.now()
            if not self.members.is_isolated:
                if isolated_since_ms is not None:
                    _log.info(
                        'isolation_ended', lasted_ms=now - isolated_since_ms
                    )
                isolated_since_ms = None
                continue
            if isolated_since_ms is None:
                isolated_since_ms = now
                _log.warning('isolated', hosts=self.members.host_count)
            if now - isolated_since_ms >= BALANCER_REMOVAL_MS:
                self.sessions.close_idle_sessions(self.sessions.session_count)

    def reload(self) -> None:
        """Read the settings file again and log whether it has changed.

        No setting is applied: changes need a restart.
        """
        try:
            file_settings = node_file.load(
                self._settings_path, self.settings.options
            )
        except exceptions.SettingsError as error:
            _log.error('reload_failed', reason=str(error))
            return
        _log.info('settings_read', changed=file_settings != self.settings)

    async def stop(self) -> None:
        """Stop as planned: hand gateways over and wait for sessions to end.

        Each request that has been read gets an answer. It is an error if the
        grace period would run out before the target's answer.
        """
        grace_ms = self.settings.grace_ms
        started_ms = self._clock.now()
        _log.info('stopping', sessions=self.sessions.session_count)
        self.members.is_draining = True
        self.peer_service.announce_state()
        await self._clock.sleep(BALANCER_REMOVAL_MS)
        remaining_sessions = await self.sessions.drain(
            grace_ms - EXIT_MARGIN_MS - BALANCER_REMOVAL_MS
        )
        deadline = started_ms + grace_ms - EXIT_MARGIN_MS
        while self.gateways.has_transactions and self._clock.now() < deadline:
            await self._clock.sleep(listener_module.DRAIN_INTERVAL_MS)
        _log.info('stopped', sessions_left=remaining_sessions)
        self.close()

    def close(self) -> None:
        """End all tasks and connections at once."""
        self.sessions.stop_listening()
        for server in self._probe_servers:
            server.stop()
        self.peers.close()
        self.gateways.close()
        self.members.stop()
        self.store.close()
        self._background.cancel()


class _ReadyHandler(web.RequestHandler):
    """Answers the load balancer's readiness probe with 200 or 503."""

    def initialize(self, node: Node) -> None:
        self._node = node

    def get(self) -> None:
        self.set_status(200 if self._node.is_ready else 503)


class _MetricsHandler(web.RequestHandler):
    """Serves counters and latencies as JSON."""

    def initialize(self, node: Node) -> None:
        self._node = node

    def get(self) -> None:
        budget = self._node.sessions.budget
        metrics = self._node.metrics
        metrics.set_gauge('callers_held_bytes', budget.total)
        metrics.set_gauge('callers_sessions', budget.session_count)
        self.write(metrics.snapshot())


class _ExplainHandler(web.RequestHandler):
    """Says where a request would go, as JSON."""

    def initialize(self, node: Node) -> None:
        self._node = node

    async def get(self) -> None:
        explainer = self._node.explainer
        inquiry = entry_explanation.parse_inquiry(self.request.query_arguments)
        if isinstance(inquiry, exceptions.Sentinel):
            self.set_status(400)
            self.write({'error': inquiry.reason})
        elif explainer.is_busy:
            self.set_status(429)
            self.write({'error': 'the host explains another request'})
        else:
            self.write(await explainer.explain(inquiry))

    def log_exception(self, *error: Any) -> None:
        """Log a fault without the request, in which a key may stand."""
        _log.error('explanation_failed', reason=repr(error[0]))


def _descriptor_limit(configured: int) -> int:
    """Return how many descriptors the process may open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return configured
    return min(configured or allowed, allowed)


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Leave requests for readiness and metrics out of the log."""


async def serve(
    settings: node_settings.NodeSettings, settings_path: pathlib.Path
) -> None:
    """Run a host until SIGTERM or SIGINT; SIGHUP rereads the settings."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    node = Node(settings, settings_path)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    await stop.wait()
    await node.stop()


def main(
    arguments: collections.abc.Sequence[str] | None = None,
) -> int:
    """Run ``python -m samphirestand.node``; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog='samphirestand-node', description=__doc__
    )
    parser.add_argument(
        'settings',
        nargs='?',
        type=pathlib.Path,
        help=f'the settings file; {node_file.FILE_VARIABLE} if left out',
    )
    parser.add_argument(
        '--options',
        type=pathlib.Path,
        help='a YAML file with options of the product; defaults if left out',
    )
    parser.add_argument('--log-level', default='info')
    namespace = parser.parse_args(arguments)
    settings_path = namespace.settings
    if settings_path is None:
        settings_path = pathlib.Path(
            os.environ.get(node_file.FILE_VARIABLE, '')
        )
    try:
        options = host_options.DEFAULTS
        if namespace.options is not None:
            options = host_options.load(namespace.options)
        settings = node_file.load(settings_path, options)
        log.configure(settings.host_id, namespace.log_level)
        asyncio.run(serve(settings, settings_path))
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
