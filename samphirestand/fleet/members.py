"""The hosts of the fleet: who exists, who answers, who does which job."""

import asyncio
import collections.abc
import json

import pydantic

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand.fleet import links
from samphirestand.hosts import rendezvous
from samphirestand import log
from samphirestand import node_settings
from samphirestand.platform import store as store_module

__all__ = ['HOSTS_TABLE', 'PING_INTERVAL_MS', 'Members', 'gateway_job']

# The table of the store in which hosts find each other.
HOSTS_TABLE = 'hosts'

# Four pings in a row are lost within 1 s when a host fails.
PING_INTERVAL_MS = 250

# Links that carry nothing are pinged in each of this many rounds.
IDLE_ROUNDS = 4

# A link carries work if it did within this time.
LINK_USE_MS = 2_000

# Links to hosts that no longer do jobs are kept until the last transaction
# on them has ended; operators allow about 3 s of rest inside one.
LINK_KEPT_MS = 10_000

# A host renews its row this often, and reads the others' rows. Hosts that do
# no jobs change little and are many.
JOB_RENEW_MS = 10_000
RENEW_MS = 30_000

# Hosts that start together find each other's rows with the second reading.
SECOND_READING_MS = 1_500

# A row of a host that doesn't answer is deleted after so many renewals were
# missed.
MISSED_RENEWALS = 4

# A host that does jobs is replaced by the next one of its zone when it hasn't
# answered for this long; a process that ended is back within about a second.
DEAD_MS = 2_000

# Links come up within a few round trips; hosts that start together are ready
# within half a second of each other.
SETTLE_MS = 800

# When most links are up and no other came up for this long, the rest is not
# waited for: hosts that start together are apart by less.
QUIET_MS = 200

# Hosts that were killed answer again within about a second.
ISOLATION_MS = 1_300

# How long a host that failed to reach the store for a job leaves jobs to
# others.
STORE_PAUSE_MS = 3_000

# Names of hosts that one log line holds.
MAX_LOGGED_HOSTS = 10

# While the store can't be reached.
RETRY_MS = 700

_log = log.get_logger(__name__)

StartRound = collections.abc.Callable[
    [], collections.abc.Callable[[links.Link], frames.Ping]
]


class _RowModel(pydantic.BaseModel):
    zone: str
    address: str
    port: int = pydantic.Field(ge=1, le=65535)
    incarnation: int = pydantic.Field(ge=0)
    millicores: int = pydantic.Field(default=0, ge=0)
    link_kbps: int = pydantic.Field(default=0, ge=0)
    renew_ms: int = pydantic.Field(default=JOB_RENEW_MS, ge=0)


class Members:
    """Knows all hosts, keeps links to those that do jobs, and chooses.

    A few hosts of each zone do jobs for the fleet, the large ones first. All
    hosts have links to these, and only to these.
    """

    def __init__(
        self,
        local: frames.Hello,
        clock: clock_module.Clock,
        store: store_module.Store,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self.local = local
        self.is_draining = False
        self._without_store_until_ms = 0
        self._clock = clock
        self._store = store
        self._on_change = on_change
        self._hosts_by_id = {local.host_id: local}
        self._large_ids: frozenset[str] = frozenset()
        self._job_host_ids: frozenset[str] = frozenset()
        self._token_source_ids: frozenset[str] = frozenset()
        self._considered_dead_ids: frozenset[str] = frozenset()
        self._links_by_id: dict[str, links.Link] = {}
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._was_up_by_id: dict[str, bool] = {}
        self._seen_ms_by_id: dict[str, tuple[int, int]] = {}
        self._read_ms: int | None = None  # when the store first answered
        self._last_read_ms = clock.now()
        self._last_up_ms = clock.now()  # when a link came up last
        self._round = 0
        self._choose_job_hosts()

    @property
    def known_count(self) -> int:
        """Return how many hosts exist, reachable or not, this one included."""
        return len(self._hosts_by_id)

    @property
    def knows_fleet(self) -> bool:
        """Tell whether the other hosts' rows have been read."""
        return self._read_ms is not None

    @property
    def token_source_count(self) -> int:
        """Return among how many hosts the accounts' rates are divided.

        Hosts that don't answer count, too: they may live behind a partition.
        """
        return max(len(self._token_source_ids), 1)

    @property
    def is_token_source(self) -> bool:
        """Tell whether this host gains a part of the accounts' rates."""
        return self.local.host_id in self._token_source_ids

    @property
    def is_job_host(self) -> bool:
        """Tell whether this host may do jobs for the fleet."""
        return self.local.host_id in self._job_host_ids

    @property
    def is_settled(self) -> bool:
        """Tell whether this host has found the hosts that answer.

        Until then it would choose itself for every job. Hosts that don't
        answer are waited for only a short while.
        """
        if self._read_ms is None:
            return False
        now = self._clock.now()
        if now - self._read_ms > SETTLE_MS:
            return True
        count = len(self._links_by_id)
        up_count = len(self.up_links())
        if up_count == count:
            return True
        # A host that is gone for good doesn't answer, and its row is kept
        # for a while.
        return 2 * up_count > count and now - self._last_up_ms > QUIET_MS

    @property
    def reaches_store(self) -> bool:
        """Tell whether this host could do a job that needs the store."""
        return self._clock.now() >= self._without_store_until_ms

    def note_store_failure(self) -> None:
        """Leave jobs to hosts that the store serves, for a while.

        Called when a job has failed for want of the store, and not whenever
        it is away: while it is away for all, jobs must not move about.
        """
        self._without_store_until_ms = self._clock.now() + STORE_PAUSE_MS

    def up_links(self) -> list[links.Link]:
        """Return the links to hosts that answer."""
        return [each for each in self._links_by_id.values() if each.is_up]

    def link(self, host_id: str) -> links.Link | None:
        """Return the link to a host, also if it doesn't answer."""
        return self._links_by_id.get(host_id)

    def host_for(self, job: str, zone: str | None = None) -> str:
        """Return the id of the host that should do ``job``; '' if none can.

        Prefers hosts that reach the store, then hosts of ``zone``, then large
        ones. Draining hosts are chosen only when no other answers.
        """
        usable = [
            each
            for each in self.up_links()
            if not each.is_draining and each.peer.host_id in self._job_host_ids
        ]
        choices = [
            (each.peer.host_id, each.peer.zone, each.reaches_store)
            for each in usable
        ]
        if self.is_job_host and (not self.is_draining or not choices):
            choices.append(
                (self.local.host_id, self.local.zone, self.reaches_store)
            )
        connected = [each for each in choices if each[2]] or choices
        near = [each for each in connected if each[1] == zone] or connected
        large = [each for each in near if each[0] in self._large_ids] or near
        return max(
            (host_id for host_id, _, _ in large),
            key=lambda host_id: rendezvous.score(host_id, job),
            default='',
        )

    def gateway_for(self, service: str) -> str:
        """Return the id of the host that says it is a service's gateway.

        While that host doesn't answer, the one that will take over: the job
        hosts choose it by the same rule.
        """
        claiming = [
            each
            for each in self._links_by_id.values()
            if service in each.claims.zones_by_service
        ]
        newest = max(claiming, key=lambda each: each.claimed_ms, default=None)
        if newest is None:
            return self.host_for(gateway_job(service))
        if newest.is_up and not newest.is_draining:
            return newest.peer.host_id
        zone = newest.claims.zones_by_service[service]
        return self.host_for(gateway_job(service), zone)

    @property
    def is_isolated(self) -> bool:
        """Tell whether this host is cut off from the fleet.

        Either most hosts have gone silent, or none of the other zones has
        answered for a while. Hosts whose process has ended refuse
        connections and count only in the second case: after many hosts were
        killed the rest must go on serving.
        """
        down = [each for each in self._links_by_id.values() if not each.is_up]
        count = len(self._links_by_id) + 1
        if 2 * sum(each.is_silent for each in down) > count:
            return True
        before = self._clock.now() - ISOLATION_MS
        others = [
            each
            for each in self._links_by_id.values()
            if each.peer.zone != self.local.zone
        ]
        return bool(others) and all(
            not each.is_up and each.answered_ms < before for each in others
        )

    def is_zone_silent(self, zone: str) -> bool:
        """Tell whether all hosts of another zone have gone silent."""
        links_there = [
            each
            for each in self._links_by_id.values()
            if each.peer.zone == zone
        ]
        return (
            zone != self.local.zone
            and bool(links_there)
            and all(each.is_silent and not each.is_up for each in links_there)
        )

    def learn(self, hello: frames.Hello) -> None:
        """Note a host that is new or has moved."""
        self.learn_all([hello])

    def learn_all(
        self, hellos: collections.abc.Iterable[frames.Hello]
    ) -> None:
        """Note all hosts before any of them is dialled."""
        learned = []
        for hello in hellos:
            # Incarnations are told apart, not ordered: the time of day may
            # jump back between two starts.
            if hello.host_id == self.local.host_id or (
                self._hosts_by_id.get(hello.host_id) == hello
            ):
                continue
            self._hosts_by_id[hello.host_id] = hello
            self._drop_link(hello.host_id)
            learned.append(hello.host_id)
        if not learned:
            return
        _log.info(
            'hosts_learned',
            count=len(learned),
            first=learned[:MAX_LOGGED_HOSTS],
            known=self.known_count,
        )
        self._choose_job_hosts()

    def _choose_job_hosts(self) -> None:
        """Keep links to the hosts that do jobs, and to no others."""
        hosts = self._hosts_by_id.values()
        self._large_ids = job_hosts.large_host_ids(hosts)
        self._token_source_ids = job_hosts.choose_job_hosts(hosts)
        self._replace_dead_job_hosts(self._dead_ids())

    def _dead_ids(self) -> frozenset[str]:
        now = self._clock.now()
        return frozenset(
            host_id
            for host_id, link in self._links_by_id.items()
            if not link.is_up and now - link.answered_ms > DEAD_MS
        )

    def _replace_dead_job_hosts(self, dead_ids: frozenset[str]) -> None:
        self._considered_dead_ids = dead_ids
        hosts = self._hosts_by_id.values()
        chosen = job_hosts.choose_job_hosts(hosts, dead_ids)
        if chosen != self._job_host_ids:
            _log.info(
                'job_hosts_changed',
                hosts=sorted(chosen),
                dead=sorted(dead_ids),
                known=len(hosts),
            )
        self._job_host_ids = chosen
        for host_id in chosen - self._links_by_id.keys():
            if host_id != self.local.host_id:
                self._add_link(self._hosts_by_id[host_id])

    def _review_links(self) -> None:
        """Follow hosts that died or came back; close links without use."""
        dead_ids = self._dead_ids()
        if dead_ids != self._considered_dead_ids:
            self._replace_dead_job_hosts(dead_ids)
        before = self._clock.now() - LINK_KEPT_MS
        for host_id, link in list(self._links_by_id.items()):
            if host_id not in self._job_host_ids and link.used_ms < before:
                self._drop_link(host_id)

    def _add_link(self, hello: frames.Hello) -> None:
        link = links.Link(hello, self.local, self._clock, self._note_change)
        self._links_by_id[hello.host_id] = link
        self._tasks_by_id[hello.host_id] = asyncio.create_task(link.run())

    def _drop_link(self, host_id: str) -> None:
        link = self._links_by_id.pop(host_id, None)
        if link is None:
            return
        link.stop()
        self._tasks_by_id.pop(host_id).cancel()

    def _note_change(self) -> None:
        for host_id, link in self._links_by_id.items():
            if self._was_up_by_id.get(host_id, False) == link.is_up:
                continue
            self._was_up_by_id[host_id] = link.is_up
            if link.is_up:
                self._last_up_ms = self._clock.now()
            event = 'host_reachable' if link.is_up else 'host_unreachable'
            _log.info(event, peer=host_id, zone=link.peer.zone)
        self._on_change()

    async def ping_forever(
        self,
        start_round: StartRound,
    ) -> None:
        """Ping all other hosts until the task is cancelled.

        ``start_round`` is called before each round and returns what builds
        the ping to each host.
        """
        while True:
            self._review_links()
            self.ping_once(start_round)
            await self._clock.sleep(PING_INTERVAL_MS)

    def ping_once(self, start_round: StartRound) -> None:
        """Ping the hosts that are due in this round."""
        build = start_round()
        self._round += 1
        for link in list(self._links_by_id.values()):
            if not self._is_pinged(link):
                continue
            was_up = link.is_up
            link.ping(build(link))
            if was_up and not link.is_up:
                self._note_change()

    def _is_pinged(self, link: links.Link) -> bool:
        """Tell whether a link is pinged in this round.

        Hosts that do jobs decide by their pings who does which job.
        """
        return (
            self.is_job_host
            or self._round % IDLE_ROUNDS == 0
            or not link.is_up
            or self._clock.now() - link.used_ms < LINK_USE_MS
        )

    async def register_forever(self) -> None:
        """Keep this host's row in the store, and learn the others'."""
        is_lost = False
        is_first = True
        while True:
            try:
                await self._register()
                await self._read()
                if is_first:
                    await self._clock.sleep(SECOND_READING_MS)
                    await self._read()
                    is_first = False
            except exceptions.PlatformError as error:
                if not is_lost:
                    _log.warning('host_registration_failed', reason=str(error))
                is_lost = True
                await self._clock.sleep(RETRY_MS)
                continue
            is_lost = False
            await self._clock.sleep(self._renew_ms)

    @property
    def _renew_ms(self) -> int:
        return JOB_RENEW_MS if self.is_job_host else RENEW_MS

    async def _register(self) -> None:
        value = {
            'zone': self.local.zone,
            'address': self.local.address,
            'port': self.local.port,
            'incarnation': self.local.incarnation,
            'millicores': self.local.capacity.millicores,
            'link_kbps': self.local.capacity.link_kbps,
            'renew_ms': self._renew_ms,
        }
        await self._store.put(
            HOSTS_TABLE, self.local.host_id, json.dumps(value).encode(), None
        )

    async def _read(self) -> None:
        feed = await self._store.read(HOSTS_TABLE)
        now = self._clock.now()
        if now - self._last_read_ms > JOB_RENEW_MS * MISSED_RENEWALS:
            # Nobody could renew rows while the store was away.
            self._seen_ms_by_id.clear()
        self._last_read_ms = now
        learned = []
        for row in feed.rows:
            seen_version, since_ms = self._seen_ms_by_id.get(row.key, (0, 0))
            is_new = row.version != seen_version
            if is_new:
                since_ms = now
            self._seen_ms_by_id[row.key] = (row.version, since_ms)
            model = _decode(row)
            if model is None:
                continue
            expiry_ms = model.renew_ms * (MISSED_RENEWALS + 1)
            if now - since_ms > expiry_ms and not self._answers(row.key):
                await self._forget(row)
                continue
            if is_new:
                learned.append(_hello(row.key, model))
        self.learn_all(learned)
        if self._read_ms is None:
            self._read_ms = now

    def _answers(self, host_id: str) -> bool:
        link = self._links_by_id.get(host_id)
        return host_id == self.local.host_id or (
            link is not None and link.is_up
        )

    async def _forget(self, row: store_module.Row) -> None:
        if self._hosts_by_id.pop(row.key, None) is not None:
            _log.info('host_forgotten', peer=row.key)
        self._drop_link(row.key)
        self._choose_job_hosts()
        if self.is_job_host:
            await self._store.delete(HOSTS_TABLE, row.key, row.version)

    def stop(self) -> None:
        """Close all links."""
        for link in self._links_by_id.values():
            link.stop()
        for task in self._tasks_by_id.values():
            task.cancel()


def gateway_job(service: str) -> str:
    """Return the name of the job of being a service's gateway."""
    return f'gateway/{service}'


def _decode(row: store_module.Row) -> _RowModel | None:
    try:
        return _RowModel.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        _log.warning('host_row_unreadable', peer=row.key, reason=str(error))
        return None


def _hello(host_id: str, model: _RowModel) -> frames.Hello:
    return frames.Hello(
        host_id,
        model.zone,
        model.address,
        model.port,
        model.incarnation,
        node_settings.Capacity(model.millicores, model.link_kbps),
    )
