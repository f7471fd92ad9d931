"""Passes the configuration to hosts that the store doesn't serve."""

import asyncio
import random

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import members as members_module
from samphirestand.fleet import watch
from samphirestand import log

__all__ = ['CatalogExchange']

# The store sends a version to all hosts within a few round trips; a host
# that lacks it for longer asks another host.
PULL_AFTER_MS = 200

# A host that does no jobs sends its version to one that does when that one
# could not get it from its own kind either. The spread keeps a large fleet
# from sending at once.
PUSH_AFTER_MS = 600
PUSH_SPREAD_MS = 800

# Another host answers a question about its configuration within this time.
SNAPSHOT_TIMEOUT_MS = 1_000

_log = log.get_logger(__name__)


class CatalogExchange:
    """Compares versions with each linked host, at each round of pings."""

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        members: members_module.Members,
        catalog: watch.CatalogWatch,
    ) -> None:
        self._clock = clock
        self._random = generator
        self._members = members
        self._catalog = catalog
        self._behind_since_ms: int | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._push_version = 0
        self._push_ms = 0

    def review(self, link: links.Link) -> None:
        """Pull from or push to a host whose version differs."""
        now = self._clock.now()
        own = self._catalog.current.version
        if own != self._push_version:
            self._behind_since_ms = None
            self._push_version = own
            self._push_ms = (
                now + PUSH_AFTER_MS + self._random.randrange(PUSH_SPREAD_MS)
            )
        if link.catalog_version > own:
            self._pull(link, now)
        elif (
            link.is_up
            and link.catalog_version < own
            and not self._members.is_job_host
            and now >= self._push_ms
        ):
            self._push(link)

    def _pull(self, link: links.Link, now: int) -> None:
        if self._behind_since_ms is None:
            self._behind_since_ms = now
        if now - self._behind_since_ms < PULL_AFTER_MS:
            return
        if self._pulling is None or self._pulling.done():
            self._pulling = asyncio.create_task(self._fetch(link))

    async def _fetch(self, link: links.Link) -> None:
        answer = await link.ask(frames.SnapshotRequest, SNAPSHOT_TIMEOUT_MS)
        match answer:
            case frames.Snapshot() if answer.catalog:
                self._catalog.adopt_if_newer(answer.catalog, link.peer.host_id)
            case exceptions.Sentinel():
                _log.info(
                    'configuration_not_fetched',
                    peer=link.peer.host_id,
                    reason=answer.reason,
                )

    def _push(self, link: links.Link) -> None:
        current = self._catalog.current
        _log.info(
            'configuration_sent',
            peer=link.peer.host_id,
            version=current.version,
            theirs=link.catalog_version,
        )
        link.tell(frames.Snapshot(0, current.version, self._catalog.raw))
        # Until the host's next answer says what it has.
        link.catalog_version = current.version
