"""Periodic exchange of records of hosts and routes with other hosts.

Messages also carry configuration versions, and ages of the last contact with
the platform and with each zone.
"""

import asyncio
import collections.abc
import random
from typing import Any
from typing import Protocol

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import codec
from samphirestand.hosts import contacts
from samphirestand.hosts import digest
from samphirestand.hosts import evidence as evidences
from samphirestand.hosts import gossip_codec
from samphirestand.hosts import membership as memberships
from samphirestand.hosts import routing
from samphirestand import interfaces
from samphirestand import log
from samphirestand import types

logger = log.get_logger(__name__)

ROUND_MS = 500
EXCHANGE_TIMEOUT_MS = 1_000

# Maximum numbers of records of each kind in one message: recently changed
# records, and records that repair a difference.
CHANGED_RECORDS_MAX = 10
REPAIR_RECORDS_MAX = 500

# Until this long after the last change, gossip is still spreading records, so
# that differing digests don't start a repair yet.
SETTLED_MS = 3_000

# Repairs are limited in rate.
REPAIR_INTERVAL_MS = 5_000
CONSECUTIVE_REPAIRS_MAX = digest.BUCKET_COUNT

# After a pull that brought nothing new the next one waits this long, because
# about 20 messages a second may name the version that is missing.
PULL_RETRY_MS = 200


class GossipClient(Protocol):
    """The methods of ``client.PeerClients`` that gossip calls."""

    async def gossip(
        self, host: types.Host, state: Any, timeout_ms: int
    ) -> Any: ...

    async def configuration_changes(
        self, host: types.Host, after: int, timeout_ms: int
    ) -> list[types.ChangeRow]: ...


class ChangeSink(Protocol):
    """Applies configuration changes that another host has accepted."""

    def apply_rows(
        self, new_rows: collections.abc.Iterable[types.ChangeRow]
    ) -> int:
        """Apply rows that follow the current version.

        Returns the version that is then in force.
        """


class Gossip:
    """Sends and receives gossip; implements ``server.GossipReceiver``."""

    def __init__(
        self,
        membership: memberships.Membership,
        routes: routing.RouteTable,
        evidence: evidences.Evidence,
        configuration: interfaces.ConfigurationSource,
        changes: ChangeSink,
        clients: GossipClient,
        clock: clocks.Clock,
        zones: collections.abc.Iterable[str],
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._routes = routes
        self._evidence = evidence
        self._configuration = configuration
        self._changes = changes
        self._clients = clients
        self._clock = clock
        self._zones_by_key = {
            gossip_codec.zone_key(zone): zone for zone in zones
        }
        self._contacts = contacts.Contacts(membership, rng or random.Random())
        self._busy_ids: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pull_task: asyncio.Task[None] | None = None
        self._last_repair_ms: int | None = None
        self._next_pull_ms = clock.now()
        configuration.subscribe(self._on_configuration_changed)
        self._on_configuration_changed(configuration.current)

    async def run(self) -> None:
        """Gossip every 500 ms until cancelled."""
        try:
            while True:
                self.start_round()
                await self._clock.sleep(ROUND_MS)
        finally:
            for task in list(self._tasks):
                task.cancel()

    def start_round(self) -> None:
        """Re-evaluate the hosts and start the exchanges of this round.

        A silent peer doesn't delay exchanges with other peers: its exchange
        keeps running, and the peer isn't chosen again until it has ended.
        """
        self._membership.tick()
        for host in self._contacts.choose(self._busy_ids):
            self._start_task(self.exchange(host), host.host_id)

    async def exchange(self, host: types.Host) -> None:
        """Exchange gossip with one host.

        A failure is only logged: ``Membership`` notices a host that doesn't
        answer by its missing heartbeats.
        """
        try:
            answer = await self._send_request(host, self._build_request(host))
            if self._needs_repair(answer):
                await self._repair(host)
        except exceptions.HostError as error:
            logger.debug('gossip_failed', peer=host.host_id, reason=str(error))

    async def _repair(self, host: types.Host) -> None:
        """Fetch the records that differ from those of ``host``."""
        self._last_repair_ms = self._clock.now()
        for _ in range(CONSECUTIVE_REPAIRS_MAX):
            answer = await self._send_request(
                host, self._build_repair_request(host)
            )
            if (
                max(len(answer.hosts), len(answer.routes))
                < REPAIR_RECORDS_MAX // 2
            ):
                return

    def receive(self, peer_id: str, state: Any) -> Any:
        """Merge a request of another host and return the answer."""
        self._merge_message(peer_id, state)
        peer = self._membership.host(peer_id)
        if isinstance(peer, types.Host):
            self._pull_if_behind(peer, state.configurationVersion)
        return self._build_answer(peer, state)

    # Messages

    def _build_request(self, host: types.Host) -> Any:
        message = codec.schema.Gossip.new_message()
        self._fill_common(message)
        # Requests carry heartbeats, too: with heartbeats in answers only, a
        # host in a zone of 333 hosts was falsely suspected by another about
        # once a second.
        if host.zone == self._membership.local.zone:
            self._fill_heartbeats(message)
        return message

    def _build_repair_request(self, host: types.Host) -> Any:
        message = self._build_request(host)
        message.hostBuckets = self._membership.digests.encode()
        message.routeBuckets = self._routes.digests.encode()
        return message

    def _fill_common(self, message: Any) -> None:
        """Set the fields that requests and answers have in common."""
        local = self._membership.local
        message.configurationVersion = self._configuration.current.version
        message.incarnation = local.incarnation
        message.heartbeat = self._membership.heartbeat
        message.viewDigest = self._membership.view_digest
        message.hostsDigest = self._membership.digests.total
        message.routesDigest = self._routes.digests.total
        records = self._membership.recent_records(CHANGED_RECORDS_MAX)
        if records:
            message.hosts = [
                gossip_codec.encode_host_record(each) for each in records
            ]
        routes = self._routes.recent_routes(CHANGED_RECORDS_MAX)
        if routes:
            message.routes = [
                gossip_codec.encode_route(each) for each in routes
            ]

    def _build_answer(
        self, peer: types.Host | exceptions.Sentinel, request: Any
    ) -> Any:
        message = codec.schema.Gossip.new_message()
        self._fill_common(message)
        self._fill_repair_records(message, request)
        age_ms = self._evidence.platform_age_ms()
        message.platformEvidenceAgeMs = -1 if age_ms is None else age_ms
        message.zones = gossip_codec.encode_zones(
            self._zone_records(), self._configuration.current.version
        )
        local = self._membership.local
        if isinstance(peer, types.Host) and peer.zone == local.zone:
            if request.viewDigest == self._membership.view_digest:
                self._fill_heartbeats(message)
            else:
                message.keyedHeartbeats = self._membership.keyed_heartbeats()
        return message

    def _fill_repair_records(self, message: Any, request: Any) -> None:
        if not request.hostBuckets and not request.routeBuckets:
            return
        records = self._membership.records_in_buckets(
            self._membership.digests.differing(request.hostBuckets),
            REPAIR_RECORDS_MAX,
        )
        message.hosts = [
            gossip_codec.encode_host_record(each) for each in records
        ]
        routes = self._routes.routes_in_buckets(
            self._routes.digests.differing(request.routeBuckets),
            REPAIR_RECORDS_MAX,
        )
        message.routes = [gossip_codec.encode_route(each) for each in routes]

    def _fill_heartbeats(self, message: Any) -> None:
        heartbeats, versions = self._membership.heartbeats()
        message.heartbeats = heartbeats
        message.versions = versions

    def _zone_records(self) -> list[gossip_codec.ZoneRecord]:
        ages_ms = self._evidence.zone_ages_ms()
        own_zone = self._membership.local.zone
        ages_ms[own_zone] = 0
        return [
            gossip_codec.ZoneRecord(
                gossip_codec.zone_key(zone),
                age_ms,
                self._membership.lowest_version(zone),
            )
            for zone, age_ms in ages_ms.items()
        ]

    # Exchanges

    async def _send_request(self, host: types.Host, request: Any) -> Any:
        asked_ms = self._clock.now()
        answer = await self._clients.gossip(host, request, EXCHANGE_TIMEOUT_MS)
        self._merge_message(host.host_id, answer)
        self._merge_ages(answer, asked_ms)
        self._pull_if_behind(host, answer.configurationVersion)
        return answer

    def _merge_message(self, peer_id: str, message: Any) -> None:
        for each in message.hosts:
            try:
                self._membership.learn(gossip_codec.decode_host_record(each))
            except ValueError as error:
                logger.warning('bad_news', peer=peer_id, reason=str(error))
        for each in message.routes:
            self._routes.learn(gossip_codec.decode_route(each))
        self._membership.record_heartbeat(
            peer_id,
            message.incarnation,
            message.heartbeat,
            message.configurationVersion,
        )
        if message.heartbeats:
            self._membership.merge_heartbeats(
                message.viewDigest,
                message.heartbeats,
                message.versions,
                message.configurationVersion,
            )
        if message.keyedHeartbeats:
            self._membership.merge_keyed_heartbeats(message.keyedHeartbeats)

    def _merge_ages(self, answer: Any, asked_ms: int) -> None:
        """Merge the ages in an answer, which count from ``asked_ms``."""
        version = answer.configurationVersion
        ages_ms = {}
        for record in gossip_codec.decode_zones(answer.zones, version):
            zone = self._zones_by_key.get(record.key)
            if zone is None:
                continue
            ages_ms[zone] = record.age_ms
            self._membership.heard_zone(
                zone, asked_ms - record.age_ms, record.lowest_version
            )
        platform_age_ms = answer.platformEvidenceAgeMs
        self._evidence.record_answer(
            version,
            asked_ms,
            None if platform_age_ms < 0 else platform_age_ms,
            ages_ms,
        )

    def _needs_repair(self, answer: Any) -> bool:
        now_ms = self._clock.now()
        if self._last_repair_ms is None:
            return True
        if now_ms - self._last_repair_ms < REPAIR_INTERVAL_MS:
            return False
        hosts_differ = (
            answer.hostsDigest != self._membership.digests.total
            and now_ms - self._membership.changed_ms >= SETTLED_MS
        )
        routes_differ = (
            answer.routesDigest != self._routes.digests.total
            and now_ms - self._routes.changed_ms >= SETTLED_MS
        )
        return hosts_differ or routes_differ

    # Configuration

    def _on_configuration_changed(
        self, configuration: types.Configuration
    ) -> None:
        self._membership.set_configuration_version(configuration.version)
        self._membership.set_retired(configuration.retired_host_ids)
        self.push()

    def push(self) -> None:
        """Gossip at once instead of in the next round.

        Does nothing if no event loop runs.
        """
        if not self._is_loop_running():
            return
        for host in self._contacts.choose(set()):
            self._start_task(self.exchange(host), host.host_id)

    def _pull_if_behind(self, host: types.Host, version: int) -> None:
        """Fetch configuration changes that ``host`` has and this host lacks.

        Does nothing if ``version`` isn't newer than the version here, so that
        a peer can't bring back an older configuration.
        """
        if version <= self._configuration.current.version:
            return
        if self._clock.now() < self._next_pull_ms:
            return
        if self._pull_task is None or self._pull_task.done():
            self._pull_task = self._start_task(self._pull(host, version))

    async def _pull(self, host: types.Host, version: int) -> None:
        """Fetch changes until ``version``, or until none is new."""
        while self._configuration.current.version < version:
            version_before = self._configuration.current.version
            await self._pull_once(host, version_before)
            if self._configuration.current.version <= version_before:
                self._next_pull_ms = self._clock.now() + PULL_RETRY_MS
                return

    async def _pull_once(self, host: types.Host, after: int) -> None:
        try:
            rows = await self._clients.configuration_changes(
                host, after, EXCHANGE_TIMEOUT_MS
            )
            newer = [row for row in rows if row.version > after]
            if newer:
                self._changes.apply_rows(newer)
        except exceptions.SamphirestandError as error:
            logger.warning('pull_failed', peer=host.host_id, reason=str(error))

    def _start_task(
        self,
        coroutine: collections.abc.Coroutine[Any, Any, None],
        busy_id: str = '',
    ) -> asyncio.Task[None]:
        """Run ``coroutine`` in a task that ends with ``run`` at the latest.

        Later rounds don't choose host ``busy_id`` until the task has ended.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        if busy_id:
            self._busy_ids.add(busy_id)

        def forget_task(_: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._busy_ids.discard(busy_id)

        task.add_done_callback(forget_task)
        return task

    def _is_loop_running(self) -> bool:
        """Tell whether an event loop runs; it doesn't during set-up."""
        try:
            asyncio.get_running_loop()
        except RuntimeError:
            return False
        return True
