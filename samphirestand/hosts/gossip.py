"""Periodic exchange of hosts, routes, versions and ages with other hosts."""

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

# Records in one message that changed lately, and in one that repairs.
CHANGED_MAX = 10
REPAIRED_MAX = 500

# Records that changed less than this ago are still being spread, so that a
# difference is no reason for a repair yet. Repairs are limited in rate.
SETTLED_MS = 3_000
REPAIR_EVERY_MS = 5_000
REPAIRS_IN_A_ROW = digest.BUCKETS


# After a pull that brought nothing new the next one waits, because about 20
# messages a second may name the version that is missing.
PULL_PAUSE_MS = 200


class Caller(Protocol):
    """The calls of ``client.PeerClients`` that gossip makes."""

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
        """Apply rows that follow the current version; return the version."""


class Gossip:
    """This host's side of gossip; ``server.GossipReceiver``."""

    def __init__(
        self,
        membership: memberships.Membership,
        routes: routing.RouteTable,
        evidence: evidences.Evidence,
        configuration: interfaces.ConfigurationSource,
        changes: ChangeSink,
        clients: Caller,
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
        self._pulling: asyncio.Task[None] | None = None
        self._repaired_ms: int | None = None
        self._pull_again_ms = clock.now()
        configuration.subscribe(self._on_configuration)
        self._on_configuration(configuration.current)

    async def run(self) -> None:
        """Gossip every 500 ms until cancelled."""
        try:
            while True:
                self.round()
                await self._clock.sleep(ROUND_MS)
        finally:
            for task in list(self._tasks):
                task.cancel()

    def round(self) -> None:
        """Judge the hosts and start this round's exchanges.

        A silent peer doesn't hold up the others: its exchange runs on, and
        the peer is left out until it has ended.
        """
        self._membership.tick()
        for host in self._contacts.choose(self._busy_ids):
            self._start(self.exchange(host), host.host_id)

    async def exchange(self, host: types.Host) -> None:
        """Exchange gossip with one host; failures are left to membership."""
        try:
            answer = await self._ask(host, self._request(host))
            if self._needs_repair(answer):
                await self._repair(host)
        except exceptions.HostError as error:
            logger.debug('gossip_failed', peer=host.host_id, why=str(error))

    async def _repair(self, host: types.Host) -> None:
        """Fetch the records that differ from those of ``host``."""
        self._repaired_ms = self._clock.now()
        for _ in range(REPAIRS_IN_A_ROW):
            answer = await self._ask(host, self._repair_request(host))
            if max(len(answer.hosts), len(answer.routes)) < REPAIRED_MAX // 2:
                return

    def receive(self, peer_id: str, state: Any) -> Any:
        """Merge a request and return the answer."""
        self._merge(peer_id, state)
        peer = self._membership.host(peer_id)
        if isinstance(peer, types.Host):
            self._pull_if_behind(peer, state.configurationVersion)
        return self._answer(peer, state)

    # Messages

    def _request(self, host: types.Host) -> Any:
        message = codec.schema.Gossip.new_message()
        self._fill(message)
        # Heartbeats go both ways: with answers alone, a host in a zone of 333
        # was falsely suspected by another about once a second.
        if host.zone == self._membership.local.zone:
            self._fill_heartbeats(message)
        return message

    def _repair_request(self, host: types.Host) -> Any:
        message = self._request(host)
        message.hostBuckets = self._membership.digests.encode()
        message.routeBuckets = self._routes.digests.encode()
        return message

    def _fill(self, message: Any) -> None:
        """Add what requests and answers have in common."""
        local = self._membership.local
        message.configurationVersion = self._configuration.current.version
        message.incarnation = local.incarnation
        message.heartbeat = self._membership.heartbeat
        message.viewDigest = self._membership.view_digest
        message.hostsDigest = self._membership.digests.total
        message.routesDigest = self._routes.digests.total
        news = self._membership.entries(CHANGED_MAX)
        if news:
            message.hosts = [gossip_codec.encode_news(each) for each in news]
        routes = self._routes.entries(CHANGED_MAX)
        if routes:
            message.routes = [
                gossip_codec.encode_route(each) for each in routes
            ]

    def _answer(
        self, peer: types.Host | exceptions.Sentinel, request: Any
    ) -> Any:
        message = codec.schema.Gossip.new_message()
        self._fill(message)
        self._fill_repair(message, request)
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

    def _fill_repair(self, message: Any, request: Any) -> None:
        if not request.hostBuckets and not request.routeBuckets:
            return
        news = self._membership.entries_in(
            self._membership.digests.differing(request.hostBuckets),
            REPAIRED_MAX,
        )
        message.hosts = [gossip_codec.encode_news(each) for each in news]
        routes = self._routes.entries_in(
            self._routes.digests.differing(request.routeBuckets), REPAIRED_MAX
        )
        message.routes = [gossip_codec.encode_route(each) for each in routes]

    def _fill_heartbeats(self, message: Any) -> None:
        beats, versions = self._membership.heartbeats()
        message.heartbeats = beats
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

    async def _ask(self, host: types.Host, request: Any) -> Any:
        asked_ms = self._clock.now()
        answer = await self._clients.gossip(host, request, EXCHANGE_TIMEOUT_MS)
        self._merge(host.host_id, answer)
        self._merge_ages(answer, asked_ms)
        self._pull_if_behind(host, answer.configurationVersion)
        return answer

    def _merge(self, peer_id: str, message: Any) -> None:
        for each in message.hosts:
            try:
                self._membership.learn(gossip_codec.decode_news(each))
            except ValueError as error:
                logger.warning('bad_news', peer=peer_id, why=str(error))
        for each in message.routes:
            self._routes.learn(gossip_codec.decode_route(each))
        self._membership.heard_from(
            peer_id,
            message.incarnation,
            message.heartbeat,
            message.configurationVersion,
        )
        if message.heartbeats:
            self._membership.learn_heartbeats(
                message.viewDigest,
                message.heartbeats,
                message.versions,
                message.configurationVersion,
            )
        if message.keyedHeartbeats:
            self._membership.learn_keyed_heartbeats(message.keyedHeartbeats)

    def _merge_ages(self, answer: Any, asked_ms: int) -> None:
        """Merge ages, which count from the moment this host asked."""
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
        self._evidence.heard(
            version,
            asked_ms,
            None if platform_age_ms < 0 else platform_age_ms,
            ages_ms,
        )

    def _needs_repair(self, answer: Any) -> bool:
        now_ms = self._clock.now()
        if self._repaired_ms is None:
            return True
        if now_ms - self._repaired_ms < REPAIR_EVERY_MS:
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

    def _on_configuration(self, configuration: types.Configuration) -> None:
        self._membership.set_configuration_version(configuration.version)
        self._membership.set_retired(configuration.retired_host_ids)
        self.push()

    def push(self) -> None:
        """Gossip at once instead of with the next round."""
        if not self._has_loop():
            return
        for host in self._contacts.choose(set()):
            self._start(self.exchange(host), host.host_id)

    def _pull_if_behind(self, host: types.Host, version: int) -> None:
        """Fetch the changes that ``host`` has and this host hasn't.

        An older or equal version is never a reason to change anything.
        """
        if version <= self._configuration.current.version:
            return
        if self._clock.now() < self._pull_again_ms:
            return
        if self._pulling is None or self._pulling.done():
            self._pulling = self._start(self._pull(host, version))

    async def _pull(self, host: types.Host, version: int) -> None:
        """Fetch changes up to ``version`` as long as that brings any."""
        while self._configuration.current.version < version:
            before = self._configuration.current.version
            await self._pull_once(host, before)
            if self._configuration.current.version <= before:
                self._pull_again_ms = self._clock.now() + PULL_PAUSE_MS
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
            logger.warning('pull_failed', peer=host.host_id, why=str(error))

    def _start(
        self,
        work: collections.abc.Coroutine[Any, Any, None],
        busy_id: str = '',
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        if busy_id:
            self._busy_ids.add(busy_id)

        def ended(_: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._busy_ids.discard(busy_id)

        task.add_done_callback(ended)
        return task

    def _has_loop(self) -> bool:
        """Tell whether the event loop runs; set-up happens before it."""
        try:
            asyncio.get_running_loop()
        except RuntimeError:
            return False
        return True
