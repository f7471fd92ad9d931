"""The hosts of the fleet: who exists, who answers, who does which job."""

import asyncio
import collections.abc
import json

import pydantic

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.hosts import rendezvous
from samphirestand import log
from samphirestand.platform import store as store_module

__all__ = ['HOSTS_TABLE', 'PING_INTERVAL_MS', 'Members']

# The table of the store in which hosts find each other.
HOSTS_TABLE = 'hosts'

# Four pings in a row are lost within 1 s when a host fails.
PING_INTERVAL_MS = 250

# A host renews its row this often, and reads the others' rows.
RENEW_MS = 10_000

# A row that nobody has renewed for this long, of a host that doesn't answer,
# is deleted: four renewals were missed.
EXPIRY_MS = 45_000

# Links come up within a few round trips; hosts that start together are ready
# within half a second of each other.
SETTLE_MS = 800

# Hosts that were killed answer again within about a second.
ISOLATION_MS = 1_300

# How long a host that failed to reach the store for a job leaves jobs to
# others.
STORE_PAUSE_MS = 3_000

# While the store can't be reached.
RETRY_MS = 700

_log = log.get_logger(__name__)


class _RowModel(pydantic.BaseModel):
    zone: str
    address: str
    port: int = pydantic.Field(ge=1, le=65535)
    incarnation: int = pydantic.Field(ge=0)


class Members:
    """Keeps a link to each other host and chooses hosts for jobs."""

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
        self._links_by_id: dict[str, links.Link] = {}
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._was_up_by_id: dict[str, bool] = {}
        self._seen_ms_by_id: dict[str, tuple[int, int]] = {}
        self._known_count = 1
        self._read_ms: int | None = None  # when the store first answered

    @property
    def known_count(self) -> int:
        """Return how many hosts exist, reachable or not, this one included."""
        return max(self._known_count, 1)

    @property
    def is_settled(self) -> bool:
        """Tell whether this host has found the hosts that answer.

        Until then it would choose itself for every job. Hosts that don't
        answer are waited for only a short while.
        """
        if self._read_ms is None:
            return False
        if self._clock.now() - self._read_ms > SETTLE_MS:
            return True
        return all(each.is_up for each in self._links_by_id.values())

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
        """Return the id of the host that should do ``job``.

        Prefers hosts that reach the store, then hosts of ``zone``. Draining
        hosts are chosen only when no other answers.
        """
        usable = [each for each in self.up_links() if not each.is_draining]
        choices = [
            (each.peer.host_id, each.peer.zone, each.reaches_store)
            for each in usable
        ]
        if not self.is_draining or not choices:
            choices.append(
                (self.local.host_id, self.local.zone, self.reaches_store)
            )
        connected = [each for each in choices if each[2]] or choices
        near = [each for each in connected if each[1] == zone] or connected
        return max(
            (host_id for host_id, _, _ in near),
            key=lambda host_id: rendezvous.score(host_id, job),
        )

    @property
    def is_isolated(self) -> bool:
        """Tell whether this host is cut off from the fleet.

        Either most hosts have gone silent, or none of the other zones has
        answered for a while. Hosts whose process has ended refuse
        connections and count only in the second case: after many hosts were
        killed the rest must go on serving.
        """
        down = [each for each in self._links_by_id.values() if not each.is_up]
        if 2 * sum(each.is_silent for each in down) > self.known_count:
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
        """Note a host; dials it if it is new or has moved."""
        if hello.host_id == self.local.host_id:
            return
        known = self._links_by_id.get(hello.host_id)
        if known is not None:
            # Incarnations are told apart, not ordered: the time of day may
            # jump back between two starts.
            if known.peer == hello:
                return
            known.stop()
            self._tasks_by_id[hello.host_id].cancel()
        link = links.Link(hello, self.local, self._clock, self._note_change)
        self._links_by_id[hello.host_id] = link
        self._tasks_by_id[hello.host_id] = asyncio.create_task(link.run())
        self._known_count = max(self._known_count, len(self._links_by_id) + 1)
        _log.info('host_learned', peer=hello.host_id, zone=hello.zone)

    def _note_change(self) -> None:
        for host_id, link in self._links_by_id.items():
            if self._was_up_by_id.get(host_id, False) == link.is_up:
                continue
            self._was_up_by_id[host_id] = link.is_up
            event = 'host_reachable' if link.is_up else 'host_unreachable'
            _log.info(event, peer=host_id, zone=link.peer.zone)
        self._on_change()

    async def ping_forever(
        self,
        start_round: collections.abc.Callable[
            [], collections.abc.Callable[[links.Link], frames.Ping]
        ],
    ) -> None:
        """Ping all other hosts until the task is cancelled.

        ``start_round`` is called before each round and returns what builds
        the ping to each host.
        """
        while True:
            build = start_round()
            for link in list(self._links_by_id.values()):
                was_up = link.is_up
                link.ping(build(link))
                if was_up and not link.is_up:
                    self._note_change()
            await self._clock.sleep(PING_INTERVAL_MS)

    async def register_forever(self) -> None:
        """Keep this host's row in the store, and learn the others'."""
        is_lost = False
        while True:
            try:
                await self._register()
                await self._read()
            except exceptions.PlatformError as error:
                if not is_lost:
                    _log.warning('host_registration_failed', reason=str(error))
                is_lost = True
                await self._clock.sleep(RETRY_MS)
                continue
            is_lost = False
            await self._clock.sleep(RENEW_MS)

    async def _register(self) -> None:
        value = {
            'zone': self.local.zone,
            'address': self.local.address,
            'port': self.local.port,
            'incarnation': self.local.incarnation,
        }
        await self._store.put(
            HOSTS_TABLE, self.local.host_id, json.dumps(value).encode(), None
        )

    async def _read(self) -> None:
        feed = await self._store.read(HOSTS_TABLE)
        now = self._clock.now()
        count = 0
        for row in feed.rows:
            seen_version, since_ms = self._seen_ms_by_id.get(row.key, (0, 0))
            is_new = row.version != seen_version
            if is_new:
                since_ms = now
            self._seen_ms_by_id[row.key] = (row.version, since_ms)
            hello = _hello(row)
            if hello is None:
                continue
            if now - since_ms > EXPIRY_MS and not self._answers(row.key):
                await self._forget(row)
                continue
            count += 1
            if is_new:
                self.learn(hello)
        self._known_count = max(count, 1)
        if self._read_ms is None:
            self._read_ms = now

    def _answers(self, host_id: str) -> bool:
        link = self._links_by_id.get(host_id)
        return host_id == self.local.host_id or (
            link is not None and link.is_up
        )

    async def _forget(self, row: store_module.Row) -> None:
        await self._store.delete(HOSTS_TABLE, row.key, row.version)
        link = self._links_by_id.pop(row.key, None)
        if link is not None:
            link.stop()
            self._tasks_by_id.pop(row.key).cancel()
        _log.info('host_forgotten', peer=row.key)

    def stop(self) -> None:
        """Close all links."""
        for link in self._links_by_id.values():
            link.stop()
        for task in self._tasks_by_id.values():
            task.cancel()


def _hello(row: store_module.Row) -> frames.Hello | None:
    try:
        model = _RowModel.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        _log.warning('host_row_unreadable', peer=row.key, reason=str(error))
        return None
    return frames.Hello(
        row.key, model.zone, model.address, model.port, model.incarnation
    )
