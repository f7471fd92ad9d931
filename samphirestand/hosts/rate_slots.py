"""Claims, renews and releases the rate slots of this host.

A rate slot is a row in the table service. The host that holds it may admit
callers at one share of their rates.
"""

import asyncio
import collections.abc
import dataclasses
import random
from typing import Any

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import rendezvous
from samphirestand.hosts import slot_rows
from samphirestand import interfaces
from samphirestand import log

logger = log.get_logger(__name__)

RENEWAL_INTERVAL_MS = 5_000
CHECK_INTERVAL_MS = 500
FIRST_SLOT_CHECK_INTERVAL_MS = 20

# Any host may claim a slot whose row wasn't renewed for FREE_AFTER_MS. The
# holder stops using it after USE_LIMIT_MS. The 3 s in between are for its last
# use, and for evidence that the platform is available to reach the holder.
FREE_AFTER_MS = 15_000
USE_LIMIT_MS = 12_000

# The platform counts as available if any host had contact with it less than
# this long ago.
PLATFORM_AVAILABLE_MS = 5_000

# A holder that was paused for longer may have missed evidence that the
# platform is available. This time and the time for gossip must together stay
# below FREE_AFTER_MS.
PAUSE_MAX_MS = 8_000

# A longer gap between two checks counts as a pause of this process.
SHORT_PAUSE_MS = 2_000

# For this long after its start, a host holds one slot at most: it may not know
# all other hosts of its zone yet, with which it shares the slots.
STARTUP_MS = 5_000

# A host releases slots beyond its share only after this time, because the
# tokens of a released slot are lost.
SURPLUS_MIN_MS = 30_000

# The hosts of a zone together read the rows about this many times a second.
SCANS_PER_SECOND = 10


@dataclasses.dataclass(frozen=True)
class SlotClaim:
    """A slot that this host has claimed.

    The token bucket of a slot that was never held before starts full; the
    bucket of any other slot starts empty.
    """

    key: str
    never_held: bool


@dataclasses.dataclass
class Slot:
    """A slot that this host claimed, or tried to claim.

    ``usable_ms`` is the local time from which it may be used, and
    ``sent_ms_by_renewal`` says when each write was sent whose outcome is
    unknown.
    """

    key: str
    claim: str
    version: int
    renewal: int
    never_held: bool
    renewed_ms: int  # when the last write that took effect was sent
    suspended: bool = False  # must not be used until it is renewed
    usable_ms: int = 0
    sent_ms_by_renewal: dict[int, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class RowObservation:
    """A version of a row and when this host first read it."""

    version: int
    since_ms: int


class RateSlots:
    """The rate slots of this host; implements ``interfaces.RateSlots``.

    ``contact_age_ms`` returns the time since the last contact of any host with
    the platform that this host knows of, or None if it knows of none.
    """

    def __init__(
        self,
        host_id: str,
        zone: str,
        zones: collections.abc.Sequence[str],
        table: slot_rows.Table,
        configuration: interfaces.ConfigurationSource,
        membership: interfaces.Membership,
        contact_age_ms: collections.abc.Callable[[], int | None],
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._zones = zones
        self._table = table
        self._configuration = configuration
        self._membership = membership
        self._contact_age_ms = contact_age_ms
        self._clock = clock
        self._rng = rng or random.Random()
        self._slots_by_key: dict[str, Slot] = {}
        self._pending_slots_by_claim: dict[str, Slot] = {}
        self._observations_by_key: dict[str, RowObservation] = {}
        self._callbacks: list[collections.abc.Callable[[SlotClaim], None]] = []
        now_ms = clock.now()
        self._started_ms = now_ms
        self._last_check_ms = now_ms
        self._platform_available_since_ms: int | None = None
        self._next_renewal_ms = now_ms
        self._next_scan_ms = now_ms
        self._surplus_since_ms: int | None = None
        self._is_stopping = False

    def held(self) -> int:
        """Return the number of slots that this host may use now."""
        self._check_slots()
        return sum(
            1 for slot in self._slots_by_key.values() if self._is_usable(slot)
        )

    def subscribe(
        self, callback: collections.abc.Callable[[SlotClaim], None]
    ) -> None:
        """Call ``callback`` after each claim, before the slot is used."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Renew and claim slots until cancelled.

        The checks continue while ``renew_and_scan`` waits for the platform,
        because a gap between two checks is taken for a pause of this process.
        """
        step_task = asyncio.create_task(self.renew_and_scan())
        try:
            while True:
                self._check_slots()
                if step_task.done():
                    step_task = asyncio.create_task(self.renew_and_scan())
                await self._clock.sleep(CHECK_INTERVAL_MS)
        finally:
            step_task.cancel()

    async def renew_and_scan(self) -> None:
        """Renew the held slots and scan for free ones when due.

        Failures of the platform are retried in a later call.
        """
        self._check_slots()
        now_ms = self._clock.now()
        if now_ms >= self._next_renewal_ms:
            self._next_renewal_ms = now_ms + RENEWAL_INTERVAL_MS
            await self._renew_all()
        if now_ms >= self._next_scan_ms and not self._is_stopping:
            self._next_scan_ms = now_ms + self._scan_interval_ms()
            await self._run_or_retry(self._scan())

    async def _run_or_retry(
        self, coroutine: collections.abc.Coroutine[Any, Any, None]
    ) -> None:
        """Await ``coroutine``; after a failure, renew earlier than usual."""
        try:
            await coroutine
            return
        except exceptions.PlatformUnavailable as error:
            logger.info(
                'rate_slots_platform_unavailable',
                step=error.step,
                reason=error.message,
            )
        except exceptions.PlatformError as error:
            logger.error(
                'rate_slots_failed', step=error.step, reason=str(error)
            )
        retry_ms = self._rng.randint(
            CHECK_INTERVAL_MS, RENEWAL_INTERVAL_MS // 2
        )
        self._next_renewal_ms = min(
            self._next_renewal_ms, self._clock.now() + retry_ms
        )

    async def await_first(self, limit_ms: int) -> None:
        """Scan for free slots at once and wait until one may be used.

        Without a slot, a host would refuse its first callers. Returns after
        ``limit_ms`` in any case, because no slot can be claimed during an
        outage of the platform. ``run`` must be running.
        """
        end_ms = self._clock.now() + limit_ms
        self._next_scan_ms = self._clock.now()
        # The task of ``run`` claims the slot.
        while not self.held() and self._clock.now() < end_ms:
            await self._clock.sleep(FIRST_SLOT_CHECK_INTERVAL_MS)

    async def give_up_all(self) -> None:
        """Stop using all slots and free their rows before a planned stop."""
        self._is_stopping = True
        for slot in list(self._slots_by_key.values()):
            await self._release(slot)

    # Suspension of held slots

    def _check_slots(self) -> None:
        """Suspend slots that another host may claim soon.

        Runs before each use, so that a process that was paused can't use a
        slot between the end of the pause and the next periodic check.
        """
        now_ms = self._clock.now()
        gap_ms = now_ms - self._last_check_ms
        self._last_check_ms = now_ms
        is_available = self._is_platform_available()
        if not is_available or gap_ms > SHORT_PAUSE_MS:
            self._platform_available_since_ms = None
        if is_available and self._platform_available_since_ms is None:
            self._platform_available_since_ms = now_ms
        for slot in self._slots_by_key.values():
            self._check_slot(slot, now_ms, gap_ms, is_available)

    def _check_slot(
        self, slot: Slot, now_ms: int, gap_ms: int, is_available: bool
    ) -> None:
        """Suspend a slot that wasn't renewed in time.

        ``gap_ms`` is the time since the previous check.
        """
        age_ms = now_ms - slot.renewed_ms
        if slot.suspended or age_ms < USE_LIMIT_MS:
            return
        expired_in_pause = gap_ms > SHORT_PAUSE_MS and (
            gap_ms > PAUSE_MAX_MS or age_ms - gap_ms < USE_LIMIT_MS
        )
        # Without recent contact, the platform is down or this zone is cut
        # off. No host can claim the slot then, so this host keeps it.
        if is_available or expired_in_pause:
            slot.suspended = True
            self._next_renewal_ms = now_ms
            logger.warning('rate_slot_suspended', slot=slot.key, age_ms=age_ms)

    def _is_platform_available(self) -> bool:
        age_ms = self._contact_age_ms()
        return age_ms is not None and age_ms < PLATFORM_AVAILABLE_MS

    def _is_usable(self, slot: Slot) -> bool:
        return not slot.suspended and self._clock.now() >= slot.usable_ms

    # Renewal

    async def _renew_all(self) -> None:
        zone_keys = self._zone_slot_keys()
        await asyncio.gather(
            *(
                self._run_or_retry(
                    self._renew(slot)
                    if slot.key in zone_keys
                    else self._release(slot)
                )
                for slot in self._slots_by_key.values()
            )
        )

    async def _renew(self, slot: Slot) -> None:
        # The outcome of earlier writes is unknown, so read the row first.
        if slot.sent_ms_by_renewal and not await self._resolve_writes(slot):
            return
        renewal = slot.renewal + len(slot.sent_ms_by_renewal) + 1
        asked_ms = self._clock.now()
        slot.sent_ms_by_renewal[renewal] = asked_ms
        row = slot_rows.SlotRow(
            slot.key, slot.version, self._host_id, slot.claim, renewal
        )
        try:
            stored = await slot_rows.write_row(self._table, row)
        except exceptions.TableConflict:
            await self._resolve_writes(slot)
            return
        self._apply_renewal(slot, stored.version, renewal)

    async def _resolve_writes(self, slot: Slot) -> bool:
        """Read the row to find out which of the sent writes took effect.

        Returns whether this host still holds the slot.
        """
        stored = await self._table.get_row(slot_rows.TABLE, slot.key)
        row = None if stored is None else slot_rows.decode_row(stored)
        if row is None or row.claim != slot.claim:
            self._stop_using(slot, 'claimed by another host')
            return False
        if row.version != slot.version:
            self._apply_renewal(slot, row.version, row.renewal)
        return True

    def _apply_renewal(self, slot: Slot, version: int, renewal: int) -> None:
        """Update the slot after the write with number ``renewal`` took effect.

        The slot counts as renewed from the time when the write was sent.
        """
        sent_ms = slot.sent_ms_by_renewal.get(renewal)
        slot.version = version
        slot.renewal = max(slot.renewal, renewal)
        slot.sent_ms_by_renewal.clear()
        if sent_ms is None:
            return
        slot.renewed_ms = max(slot.renewed_ms, sent_ms)
        if self._clock.now() - slot.renewed_ms < USE_LIMIT_MS:
            slot.suspended = False

    async def _release(self, slot: Slot) -> None:
        """Stop using a slot first, then free its row for others."""
        self._stop_using(slot, 'released by this host')
        row = slot_rows.SlotRow(slot.key, slot.version, '', '', 0)
        try:
            await slot_rows.write_row(self._table, row)
        except exceptions.PlatformError as error:
            # The row becomes free after FREE_AFTER_MS without a renewal.
            logger.info(
                'rate_slot_not_freed', slot=slot.key, reason=str(error)
            )

    def _stop_using(self, slot: Slot, reason: str) -> None:
        self._slots_by_key.pop(slot.key, None)
        logger.info('rate_slot_no_longer_held', slot=slot.key, reason=reason)

    # Claims

    async def _scan(self) -> None:
        """Read the rows of the zone and claim free slots up to the share.

        Claims whose answers were lost are taken over first, and slots beyond
        the share are released.
        """
        zone_keys = self._zone_slot_keys()
        rows_by_key = {
            row.key: row
            for row in await self._read_rows()
            if row.key in zone_keys
        }
        self._take_over_claims(rows_by_key)
        self._update_observations(rows_by_key)
        free = [
            key
            for key in zone_keys
            if key not in self._slots_by_key
            and self._is_free(rows_by_key.get(key))
        ]
        missing = self._fair_share(len(zone_keys)) - len(self._slots_by_key)
        free.sort(key=lambda key: rendezvous.score(self._host_id, key))
        for key in free[: max(missing, 0)]:
            await self._claim_slot(key, rows_by_key.get(key))
        await self._release_surplus(missing)

    async def _read_rows(self) -> list[slot_rows.SlotRow]:
        prefix = f'{self._zone}-'
        rows: list[slot_rows.SlotRow] = []
        after = ''
        while True:
            page = await self._table.list_rows(
                slot_rows.TABLE, prefix, after, 1_000
            )
            rows += [slot_rows.decode_row(row) for row in page]
            if len(page) < 1_000:
                return rows
            after = page[-1].key

    def _take_over_claims(
        self, rows_by_key: dict[str, slot_rows.SlotRow]
    ) -> None:
        """Take over claims that took effect although the answer was lost."""
        for row in rows_by_key.values():
            self._forget_failed_claims(row)
            slot = self._pending_slots_by_claim.get(row.claim)
            if slot is None or row.key in self._slots_by_key:
                continue
            slot.version = row.version
            # The write may have taken effect only now, long after it was sent,
            # so that the previous holder may not have noticed it yet.
            if not slot.never_held:
                slot.usable_ms = self._clock.now() + FREE_AFTER_MS
            self._add_held_slot(slot)

    def _forget_failed_claims(self, row: slot_rows.SlotRow) -> None:
        """Forget claims that can't take effect after another write."""
        self._pending_slots_by_claim = {
            claim: slot
            for claim, slot in self._pending_slots_by_claim.items()
            if slot.key != row.key
            or slot.version >= row.version
            or claim == row.claim
        }

    def _update_observations(
        self, rows_by_key: dict[str, slot_rows.SlotRow]
    ) -> None:
        now_ms = self._clock.now()
        previous = self._observations_by_key
        self._observations_by_key = {
            row.key: previous[row.key]
            if row.key in previous and previous[row.key].version == row.version
            else RowObservation(row.version, now_ms)
            for row in rows_by_key.values()
        }

    def _is_free(self, row: slot_rows.SlotRow | None) -> bool:
        """Tell whether no host can still be using the slot.

        Time without a renewal counts only while the platform is available,
        because the holder keeps its slot during an outage.
        """
        if row is None or not row.holder:
            return True
        if self._platform_available_since_ms is None:
            return False
        observation = self._observations_by_key[row.key]
        since_ms = max(observation.since_ms, self._platform_available_since_ms)
        return self._clock.now() - since_ms >= FREE_AFTER_MS

    async def _claim_slot(
        self, key: str, row: slot_rows.SlotRow | None
    ) -> None:
        slot = Slot(
            key=key,
            claim=f'{self._host_id}-{self._rng.getrandbits(64):016x}',
            version=0 if row is None else row.version,
            renewal=0,
            never_held=row is None,
            renewed_ms=self._clock.now(),
        )
        self._pending_slots_by_claim[slot.claim] = slot
        claim = slot_rows.SlotRow(
            key, slot.version, self._host_id, slot.claim, 0
        )
        try:
            stored = await slot_rows.write_row(self._table, claim)
        except exceptions.TableConflict:
            del self._pending_slots_by_claim[slot.claim]
            return
        slot.version = stored.version
        self._add_held_slot(slot)

    def _add_held_slot(self, slot: Slot) -> None:
        self._pending_slots_by_claim.pop(slot.claim, None)
        self._slots_by_key[slot.key] = slot
        self._check_slot(slot, self._clock.now(), 0, True)
        logger.info(
            'rate_slot_claimed', slot=slot.key, never_held=slot.never_held
        )
        for callback in self._callbacks:
            callback(SlotClaim(slot.key, slot.never_held))

    async def _release_surplus(self, missing: int) -> None:
        """Release slots beyond the share after SURPLUS_MIN_MS.

        ``missing`` is negative while this host holds more than its share.
        """
        now_ms = self._clock.now()
        if missing >= 0:
            self._surplus_since_ms = None
            return
        if self._surplus_since_ms is None:
            self._surplus_since_ms = now_ms
        if now_ms - self._surplus_since_ms < SURPLUS_MIN_MS:
            return
        slots = sorted(
            self._slots_by_key.values(),
            key=lambda slot: rendezvous.score(self._host_id, slot.key),
        )
        for slot in slots[missing:]:
            await self._release(slot)

    def _zone_slot_keys(self) -> list[str]:
        # The number of slots isn't known before the first version of the
        # configuration. If hosts claimed slots by the default number and
        # released them again, other slots would be claimed instead of them,
        # whose token buckets start full as well.
        if not self._configuration.current.version:
            return []
        return slot_rows.slot_keys(
            self._zone, self._zones, self._configuration.current.rate_slots
        )

    def _fair_share(self, slots: int) -> int:
        """Return how many slots this host should hold."""
        if self._clock.now() - self._started_ms < STARTUP_MS:
            return min(1, slots)
        return -(-slots // self._zone_size())

    def _zone_size(self) -> int:
        hosts = self._membership.reachable()
        return max(1, sum(1 for host in hosts if host.zone == self._zone))

    def _scan_interval_ms(self) -> int:
        average_ms = max(
            RENEWAL_INTERVAL_MS, 1_000 * self._zone_size() // SCANS_PER_SECOND
        )
        return self._rng.randint(average_ms // 2, average_ms * 3 // 2)
