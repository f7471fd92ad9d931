"""Exchanges the configuration, and how fresh it is, with linked hosts."""

import asyncio
import random

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import evacuations as evacuations_module
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import members as members_module
from samphirestand.fleet import watch
from samphirestand.hosts import rendezvous
from samphirestand import log

__all__ = ['CatalogExchange', 'adopt_snapshot', 'build_snapshot']

# The store sends a new version to all hosts within a few round trips. A host
# that lacks the version for longer than this requests it from another host.
PULL_AFTER_MS = 200

# Hosts of a zone learn of a newer version at the same moment. A random delay
# up to the spread keeps those of a large fleet from fetching all at once.
# Together with the delay above it stays below the one after which other zones
# are asked.
PULL_SPREAD_MS = 350

# Until this long after a newer version was seen it is requested only from a
# host of this zone, which normally gets it meanwhile. A configuration is
# large, and traffic between zones is expensive.
PULL_FROM_ZONE_MS = 600

# A host that isn't a job host sends its version to a job host that still lacks
# it after this time, and so couldn't get it from other job hosts either. A
# random delay up to the spread keeps the hosts of a large fleet from sending
# all at once. An earlier pong says nothing: calm links are pinged seconds
# apart.
PUSH_AFTER_MS = 600
PUSH_SPREAD_MS = 800

# Another host answers a request for its configuration within this time.
SNAPSHOT_TIMEOUT_MS = 1_000

# Evacuated zones are requested again after this time at the earliest, if hosts
# disagree about them.
EVACUATIONS_RETRY_MS = 500

_log = log.get_logger(__name__)


class CatalogExchange:
    """Compares configuration versions with each linked host."""

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        members: members_module.Members,
        catalog: watch.CatalogWatch,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._clock = clock
        self._random = generator
        self._members = members
        self._catalog = catalog
        self._evacuations = evacuations
        self._evacuations_task: asyncio.Task[None] | None = None
        self._evacuations_asked_ms = 0
        self._returns_task: asyncio.Task[None] | None = None
        self._returns_asked_ms = 0
        self._behind_since_ms: int | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._reviewed_version = 0
        self._push_due_ms = 0
        self._pull_delay_ms = PULL_AFTER_MS
        # The hosts that didn't answer since this host fell behind.
        self._failed_host_ids: set[str] = set()

    def compare_versions(self, link: links.Link) -> None:
        """Fetch the configuration from a host, or send it, if versions differ.

        If the host has no newer one, adopts what it knows about how fresh
        its version is. Called for each link at each round of pings.
        """
        now = self._clock.now()
        self._compare_evacuations(link, now)
        own_version = self._catalog.current.version
        if own_version != self._reviewed_version:
            self._behind_since_ms = None
            self._reviewed_version = own_version
            self._push_due_ms = (
                now + PUSH_AFTER_MS + self._random.randrange(PUSH_SPREAD_MS)
            )
        if (
            link.catalog_version <= own_version
            and link.catalog_confirmed_ms is not None
        ):
            self._catalog.confirm(link.catalog_confirmed_ms)
        if link.catalog_version > own_version:
            self._pull_from(link, now)
        elif (
            link.is_up
            and link.catalog_version < own_version
            and not self._members.is_job_host
            and link.answered_ping_ms >= self._push_due_ms
        ):
            self._push_to(link)

    def _compare_evacuations(self, link: links.Link, now: int) -> None:
        """Fetch evacuated zones from a host that knows other, newer ones.

        They are few and needed at once, so neither the store nor a host of
        this zone is waited for.
        """
        evacuations = self._evacuations
        if evacuations is None:
            return
        if (
            link.evacuation_version < evacuations.version
            and link.evacuation_digest != evacuations.digest
            and not self._members.is_job_host
            and link.is_up
            and link.answered_ping_ms >= evacuations.changed_ms + PUSH_AFTER_MS
        ):
            link.send(
                build_snapshot(
                    self._catalog, evacuations, 0, omits_catalog=True
                )
            )
            # Assumed until the host's next pong.
            link.evacuation_digest = evacuations.digest
        if evacuations.needs_returns(link.return_digest) and (
            now - self._returns_asked_ms >= EVACUATIONS_RETRY_MS
        ):
            self._returns_asked_ms = now
            self._returns_task = asyncio.create_task(
                self._fetch_from(link, omits_catalog=True)
            )
        if (
            not evacuations.needs(
                link.evacuation_version, link.evacuation_digest
            )
            or now - self._evacuations_asked_ms < EVACUATIONS_RETRY_MS
        ):
            return
        self._evacuations_asked_ms = now
        self._evacuations_task = asyncio.create_task(
            self._fetch_from(link, omits_catalog=True)
        )

    def _pull_from(self, link: links.Link, now: int) -> None:
        if self._behind_since_ms is None:
            self._behind_since_ms = now
            self._failed_host_ids.clear()
            self._pull_delay_ms = PULL_AFTER_MS + self._random.randrange(
                PULL_SPREAD_MS
            )
        if now - self._behind_since_ms < self._pull_delay_ms:
            return
        if self._fetch_task is not None and not self._fetch_task.done():
            return
        # After a restart, an older version than the newest could bring back a
        # key that was withdrawn before.
        newest_link = max(
            [link, *self._members.up_links()],
            key=lambda each: (
                each.catalog_version,
                each.peer.host_id not in self._failed_host_ids,
                self._is_in_zone(each),
                # Each host prefers another one.
                rendezvous.score(
                    each.peer.host_id, self._members.local.host_id
                ),
            ),
        )
        if (
            self._is_in_zone(newest_link)
            or now - self._behind_since_ms >= PULL_FROM_ZONE_MS
        ):
            self._fetch_task = asyncio.create_task(
                self._fetch_from(newest_link)
            )

    def _is_in_zone(self, link: links.Link) -> bool:
        return link.peer.zone == self._members.local.zone

    def host_ids_to_ping(self) -> frozenset[str]:
        """Return the hosts whose version must be known soon.

        These are the hosts of this zone while a newer version exists.
        """
        if self._behind_since_ms is None:
            return frozenset()
        return frozenset(
            each.peer.host_id
            for each in self._members.up_links()
            if self._is_in_zone(each)
        )

    async def _fetch_from(
        self, link: links.Link, *, omits_catalog: bool = False
    ) -> None:
        answer = await link.request(
            lambda call_id: frames.SnapshotRequest(call_id, omits_catalog),
            SNAPSHOT_TIMEOUT_MS,
        )
        match answer:
            case frames.Snapshot():
                adopt_snapshot(
                    answer,
                    self._catalog,
                    self._evacuations,
                    link.peer.host_id,
                )
            case exceptions.Sentinel():
                self._failed_host_ids.add(link.peer.host_id)
                _log.info(
                    'configuration_not_fetched',
                    peer=link.peer.host_id,
                    reason=answer.reason,
                )

    def _push_to(self, link: links.Link) -> None:
        current = self._catalog.current
        _log.info(
            'configuration_sent',
            peer=link.peer.host_id,
            version=current.version,
            peer_version=link.catalog_version,
        )
        link.send(build_snapshot(self._catalog, self._evacuations, 0))
        # Assumed until the host's next pong reports its version; prevents
        # sending the same version again.
        link.catalog_version = current.version


def build_snapshot(
    catalog: watch.CatalogWatch,
    evacuations: evacuations_module.Evacuations | None,
    call_id: int,
    *,
    omits_catalog: bool = False,
) -> frames.Snapshot:
    """Return what this host knows of operators' rows, for another host."""
    return frames.Snapshot(
        call_id,
        0 if omits_catalog else catalog.current.version,
        b'' if omits_catalog else catalog.raw,
        0 if evacuations is None else evacuations.version,
        {} if evacuations is None else evacuations.ages_by_zone(),
        {} if evacuations is None else evacuations.return_ages_by_zone(),
    )


def adopt_snapshot(
    snapshot: frames.Snapshot,
    catalog: watch.CatalogWatch,
    evacuations: evacuations_module.Evacuations | None,
    source: str,
) -> None:
    """Adopt what another host knows; evacuations first.

    Nothing is sent to targets before there is a configuration.
    """
    if evacuations is not None:
        evacuations.adopt_from_host(
            snapshot.evacuation_version,
            snapshot.evacuation_ages_by_zone,
            source,
        )
        evacuations.adopt_returns(snapshot.return_ages_by_zone)
    # Many hosts may send the same version.
    if snapshot.catalog and snapshot.catalog_version > catalog.current.version:
        catalog.adopt_if_newer(snapshot.catalog, source)
