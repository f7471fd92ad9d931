"""Registers this host in the platform's list and reads the list."""

import collections.abc

from samphirestand import clock as clocks
from samphirestand.control import client as platform_client
from samphirestand import exceptions
from samphirestand.hosts import membership as memberships
from samphirestand import log
from samphirestand import types

POLL_INTERVAL_MS = 2_000

# All hosts together read the list at most about this many times a second.
POLLS_PER_SECOND = 30

LIVE = 'live'
LEAVING = 'leaving'

_log = log.get_logger(__name__)


class Discovery:
    """Registers this host with the platform and finds other hosts there.

    The platform's list isn't up to date, so it is only used to add hosts to
    gossip with; gossip then tells which of them are alive.
    """

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        membership: memberships.Membership,
        clock: clocks.Clock,
        host_count: collections.abc.Callable[[], int],
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._host_count = host_count
        self._registered_status = ''

    async def run(self) -> None:
        """Register and poll until cancelled."""
        while True:
            try:
                await self.refresh()
            except exceptions.PlatformError as error:
                _log.info(
                    'host_list_not_read',
                    step=error.step,
                    peer='platform',
                    reason=error.message,
                )
            fleet_interval_ms = self._host_count() * 1_000 // POLLS_PER_SECOND
            await self._clock.sleep(max(POLL_INTERVAL_MS, fleet_interval_ms))

    async def refresh(self) -> None:
        """Register if the status changed, then add the hosts of the list.

        Raises ``PlatformError`` if the platform can't be reached or refuses.
        """
        await self._register_if_changed()
        for listed in await self._platform.hosts():
            if listed.status != LIVE:
                continue
            if listed.host_id == self._membership.local.host_id:
                continue
            address, _, port = listed.peer_address.rpartition(':')
            self._membership.learn_contact(
                types.Host(
                    host_id=listed.host_id,
                    zone=listed.zone,
                    incarnation=0,
                    caller_url=listed.url,
                    peer_address=address,
                    peer_port=int(port),
                )
            )

    async def _register_if_changed(self) -> None:
        local = self._membership.local
        is_draining = local.status == types.HostStatus.DRAINING
        status = LEAVING if is_draining else LIVE
        if status == self._registered_status:
            return
        await self._platform.register_host(
            platform_client.ListedHost(
                host_id=local.host_id,
                zone=local.zone,
                url=local.caller_url,
                peer_address=f'{local.peer_address}:{local.peer_port}',
                status=status,
            )
        )
        self._registered_status = status
