"""The daemon `samphirestandd`: builds, runs and stops one entry host."""

import argparse
import asyncio
import collections.abc
import contextlib
import pathlib
import random
import signal
import ssl
import sys

import capnp

from samphirestand.callers import entry as entry_module
from samphirestand.callers import limiter as limiter_module
from samphirestand.callers import refusals as refusals_module
from samphirestand.callers import server as caller_server
from samphirestand.callers import tokens
from samphirestand import clock as clock_module
from samphirestand import config
from samphirestand.control import audit as audit_module
from samphirestand.control import bootstrap
from samphirestand.control import client as platform_client
from samphirestand.control import configuration as configuration_module
from samphirestand import exceptions
from samphirestand.hosts import client as peer_client
from samphirestand.hosts import discovery
from samphirestand.hosts import evidence as evidence_module
from samphirestand.hosts import gossip as gossip_module
from samphirestand.hosts import membership as membership_module
from samphirestand.hosts import rate_slots
from samphirestand.hosts import routing
from samphirestand.hosts import server as peer_server
from samphirestand.hosts import tls
from samphirestand.hosts import token_exchange
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand.operators import commands
from samphirestand.operators import explain
from samphirestand.targets import connection
from samphirestand.targets import gateways as gateways_module
from samphirestand import types

# How often a starting host that has no configuration tries to read one.
CONFIGURATION_RETRY_MS = 500

# How long a starting host waits for its first rate slot.
FIRST_SLOT_TIMEOUT_MS = 3_000

EXIT_SETTINGS = 2

_log = log.get_logger(__name__)


class Daemon:
    """All components of one entry host."""

    def __init__(self, settings: config.Settings) -> None:
        self._settings = settings
        self._clock = clock_module.SystemClock()
        self._random = random.Random()
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet_secret = settings.fleet_secret_file.read_text().strip()
        self.metrics = metrics_module.Metrics()
        self.refusals = refusals_module.RecentRefusals()
        self._build_hosts()
        self._build_targets()
        self._build_callers()
        self._build_operators()
        self._build_servers()

    def _build_hosts(self) -> None:
        settings = self._settings
        clock = self._clock
        local = types.Host(
            host_id=settings.host_id,
            zone=settings.zone,
            incarnation=clock.wall(),
            caller_url=(
                f'{"https" if settings.caller_tls else "http"}://'
                f'{settings.caller_address}:{settings.caller_port}'
            ),
            peer_address=settings.peer_address,
            peer_port=settings.peer_port,
            status=types.HostStatus.STARTING,
        )
        self.membership = membership_module.Membership(local, clock)
        for contact in settings.contacts:
            if contact.host_id != settings.host_id:
                self.membership.learn_contact(_host_from_contact(contact))
        self.routes = routing.RouteTable(clock)
        self.platform = platform_client.PlatformClient(
            settings.platform_url,
            settings.zone,
            settings.address_translation,
        )
        self.evidence = evidence_module.Evidence(
            clock,
            settings.zones,
            settings.zone,
            lambda: self.configuration.current.version,
        )
        self.configuration = configuration_module.ConfigurationStore(
            self.platform,
            clock,
            is_confirmed=self.evidence.is_confirmed,
            host_count=self._host_count,
            on_head_confirmed=self._record_platform_read,
            metrics=self.metrics,
            generator=self._random,
        )
        self.configuration.subscribe(self._apply_configuration)
        self.audit = audit_module.Audit(
            self.platform,
            clock,
            settings.host_id,
            metrics=self.metrics,
            generator=self._random,
        )
        self.peer_tls = None
        if settings.peer_tls is not None:
            self.peer_tls = tls.PeerTls(settings.peer_tls)
        self.clients = peer_client.PeerClients(
            self._peer_identity,
            clock,
            settings.address_translation,
            lambda: self.peer_tls.client if self.peer_tls else None,
            self._random,
        )
        self.gossip = gossip_module.Gossip(
            self.membership,
            self.routes,
            self.evidence,
            self.configuration,
            self.configuration,
            self.clients,
            clock,
            settings.zones,
            self._random,
        )
        self.discovery = discovery.Discovery(
            self.platform, self.membership, clock, self._host_count
        )

    def _build_targets(self) -> None:
        self.router = routing.HostRouter(
            self.configuration, self.membership, self.clients, self._clock
        )
        self.gateways = gateways_module.TargetGateways(
            self._clock,
            self._random,
            connection.Connector(self._settings.address_translation),
            self.configuration,
            self.membership,
            self.routes,
            self.router,
            self.metrics,
            self.audit,
        )
        self.router.serve_locally(self.gateways)

    def _build_callers(self) -> None:
        self.rate_slots = rate_slots.RateSlots(
            self._settings.host_id,
            self._settings.zone,
            self._settings.zones,
            self.platform,
            self.configuration,
            self.membership,
            self.evidence.platform_contact_age_ms,
            self._clock,
            self._random,
        )
        self.token_exchange = token_exchange.TokenExchange(
            self.membership, self.clients, self._clock, self._random
        )
        self.limiter = limiter_module.Limiter(
            self._clock,
            self._random,
            self.configuration,
            self.rate_slots,
            self.token_exchange,
            self.metrics,
            lambda account: (
                self.membership.rate_owner(account).host_id
                == self._settings.host_id
            ),
        )
        self.rate_slots.subscribe(
            lambda claimed: self.limiter.slots_claimed(
                1, int(claimed.never_held)
            )
        )
        self.entry = entry_module.Entry(
            clock=self._clock,
            rng=self._random,
            configuration=self.configuration,
            routes=self.routes,
            router=self.router,
            membership=self.membership,
            limiter=self.limiter,
            signer=tokens.TokenSigner(
                self._settings.token_secrets_file, self._clock
            ),
            metrics=self.metrics,
            refusals=self.refusals,
        )

    def _build_operators(self) -> None:
        self.explainer = explain.Explainer(
            configuration=self.configuration,
            membership=self.membership,
            routes=self.routes,
            refusals=self.refusals,
            audit_trail=self.audit,
            peers=self.clients,
            clock=self._clock,
            rate_slots=self.rate_slots.held,
        )
        self.commands = commands.Commands(
            store=self.configuration,
            membership=self.membership,
            routes=self.routes,
            refusals=self.refusals,
            audit_trail=self.audit,
            recorder=self.audit,
            explainer=self.explainer,
            clock=self._clock,
        )

    def _build_servers(self) -> None:
        self.peers = peer_server.PeerServer(
            self._login_identity,
            self._fleet_secret,
            peer_server.Services(
                self.gateways,
                self.gossip,
                self.limiter,
                self.configuration,
                self.explainer,
            ),
            self.peer_tls.server if self.peer_tls else None,
        )
        state = caller_server.ServerState(
            entry=self.entry,
            configuration=self.configuration,
            membership=self.membership,
            metrics=self.metrics,
            operators=self.commands,
            clock=self._clock,
            max_body_bytes=self._settings.max_body_bytes,
            operator_keys_by_id={},
        )
        self.callers = caller_server.Server(state, self._create_caller_tls())

    async def start(self) -> None:
        """Join the fleet, then accept requests of callers."""
        settings = self._settings
        await self.peers.start(settings.peer_address, settings.peer_port)
        for component in (
            self.gossip,
            self.configuration,
            self.discovery,
            self.rate_slots,
            self.audit,
        ):
            self._tasks.append(asyncio.create_task(component.run()))
        if self.peer_tls is not None:
            certificate_watch = self.peer_tls.watch(
                self._clock, self.peers.listen
            )
            self._tasks.append(asyncio.create_task(certificate_watch))
        await self.gateways.start()

        # Without a configuration every request would be refused, so the host
        # listens for callers only after the platform or a peer has sent one.
        await self._await_configuration()
        await self.rate_slots.await_first(FIRST_SLOT_TIMEOUT_MS)
        self.membership.set_status(types.HostStatus.READY)
        self.callers.listen(settings.caller_port, settings.caller_address)
        _log.info(
            'ready',
            port=settings.caller_port,
            version=self.configuration.current.version,
        )

    async def stop(self) -> None:
        """Hand over the gateways and finish running requests; abort none."""
        _log.info('draining')
        self.membership.set_status(types.HostStatus.DRAINING)
        self.gossip.push()
        with contextlib.suppress(exceptions.PlatformError):
            await self.discovery.refresh()
        limit_ms = self._settings.stop_limit_ms
        gateway_stop = asyncio.create_task(self.gateways.stop())
        requests_left = await self.callers.drain(
            limit_ms, self._settings.drain_notice_ms
        )
        await asyncio.wait({gateway_stop}, timeout=limit_ms / 1000)
        with contextlib.suppress(exceptions.PlatformError):
            await self.rate_slots.give_up_all()
        await self.callers.close()
        await self.peers.close()
        await self.audit.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.clients.close()
        self.platform.close()
        _log.info('stopped', requests_left=requests_left)

    async def _await_configuration(self) -> None:
        bootstrap_change = None
        if self._settings.bootstrap_file is not None:
            bootstrap_change = bootstrap.load(self._settings.bootstrap_file)
        while not self.configuration.current.version:
            try:
                await self.configuration.refresh()
                if bootstrap_change is not None:
                    await bootstrap.write_first(
                        self.configuration, bootstrap_change
                    )
            except exceptions.PlatformError as error:
                _log.warning(
                    'configuration_not_found',
                    step=error.step,
                    peer='platform',
                    reason=error.message,
                )
            if not self.configuration.current.version:
                await self._clock.sleep(CONFIGURATION_RETRY_MS)

    def _host_count(self) -> int:
        return len(self.membership.reachable())

    def _record_platform_read(self, asked_ms: int) -> None:
        self.evidence.platform_read(asked_ms=asked_ms)

    def _apply_configuration(self, configuration: types.Configuration) -> None:
        self.membership.set_configuration_version(configuration.version)
        self.membership.set_retired(configuration.retired_host_ids)

    def _peer_identity(self) -> peer_client.Identity:
        local = self.membership.local
        return peer_client.Identity(
            local.host_id, local.zone, local.incarnation, self._fleet_secret
        )

    def _login_identity(self) -> tuple[str, int]:
        local = self.membership.local
        return local.host_id, local.incarnation

    def _create_caller_tls(self) -> ssl.SSLContext | None:
        files = self._settings.caller_tls
        if files is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(files.certificate_file, files.key_file)
        return context


def _host_from_contact(contact: config.KnownHost) -> types.Host:
    return types.Host(
        host_id=contact.host_id,
        zone=contact.zone,
        incarnation=0,
        caller_url='',
        peer_address=contact.peer_address,
        peer_port=contact.peer_port,
    )


async def serve(settings: config.Settings) -> None:
    """Run a host until SIGTERM or SIGINT requests a planned stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = Daemon(settings)
    starting = asyncio.create_task(daemon.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait(
        {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
    )
    if starting.done():
        starting.result()
    else:
        starting.cancel()
    await stopping
    await daemon.stop()


def main(
    arguments: collections.abc.Sequence[str] | None = None,
) -> int:
    """Run ``samphirestandd SETTINGS`` and return the exit code."""
    parser = argparse.ArgumentParser(
        prog='samphirestandd', description=__doc__
    )
    parser.add_argument('settings', type=pathlib.Path, help='a YAML file')
    options = parser.parse_args(arguments)
    try:
        settings = config.load(options.settings)
        log.configure(settings.host_id, settings.log_level)
        asyncio.run(capnp.run(serve(settings)))
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        # For example, an address in use or a secret that can't be read.
        print(f'{options.settings}: {error}', file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
