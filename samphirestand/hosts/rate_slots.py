"""Claims, renews, keeps and gives up the rate slots of this host."""

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

RENEW_MS = 5_000
CHECK_MS = 500

# A row that wasn't renewed for FREE_MS may be claimed. Its holder stops
# after LIMIT_MS, which leaves 3 s for its last use and for evidence of the
# platform to reach it.
FREE_MS = 15_000
LIMIT_MS = 12_000

# The platform counts as available while evidence isn't older than this.
FRESH_MS = 5_000

# A holder that was paused longer than this may have missed evidence of the
# platform: together with the time for gossip it must stay below FREE_MS.
PAUSE_MS = 8_000
SHORT_PAUSE_MS = 2_000

# A host that has just started takes one slot and waits for others of its
# zone to appear before it takes more.
ALONE_MS = 5_000

# Slots beyond the host's share are given up only after this, because the
# tokens of a slot are lost with it.
SURPLUS_MS = 30_000

# All hosts of a zone together read the rows about this often a second.
SCANS_PER_SECOND = 10


@dataclasses.dataclass(frozen=True)
class Claimed:
    """This host has claimed a slot.

    The bucket of a slot that was never held before starts full, any other
    starts empty.
    """

    key: str
    never_held: bool


@dataclasses.dataclass
class Slot:
    """A slot that this host claimed."""

    key: str
    claim: str
    version: int
    renewal: int
    never_held: bool
    renewed_ms: int  # a time before the last effective write
    suspended: bool = False  # may not be used until it has been renewed
    usable_ms: int = 0
    sent_ms_by_renewal: dict[int, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Sighting:
    """A row of another holder and since when it has been unchanged."""

    version: int
    since_ms: int


class RateSlots:
    """The rate slots of this host; implements ``interfaces.RateSlots``.

    ``contact_age_ms`` returns the age of the fleet's last contact with the
    platform as far as this host has heard, None if it never heard of any.
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
        self._attempts_by_claim: dict[str, Slot] = {}
        self._sightings_by_key: dict[str, Sighting] = {}
        self._callbacks: list[collections.abc.Callable[[Claimed], None]] = []
        now_ms = clock.now()
        self._started_ms = now_ms
        self._checked_ms = now_ms
        self._available_since_ms: int | None = None
        self._renew_at_ms = now_ms
        self._scan_at_ms = now_ms
        self._surplus_since_ms: int | None = None
        self._stopping = False

    def held(self) -> int:
        """Return how many slots this host may use at this moment."""
        self._check()
        return sum(
            1 for slot in self._slots_by_key.values() if self._is_usable(slot)
        )

    def subscribe(
        self, callback: collections.abc.Callable[[Claimed], None]
    ) -> None:
        """Call ``callback`` after a slot was claimed, before its use."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Renew and claim slots until cancelled.

        Checks go on while the platform keeps a step waiting: a gap between
        two checks means a pause of this process.
        """
        work = asyncio.create_task(self.step())
        try:
            while True:
                self._check()
                if work.done():
                    work = asyncio.create_task(self.step())
                await self._clock.sleep(CHECK_MS)
        finally:
            work.cancel()

    async def step(self) -> None:
        """Do what is due; failures of the platform are tried again."""
        self._check()
        now_ms = self._clock.now()
        if now_ms >= self._renew_at_ms:
            self._renew_at_ms = now_ms + RENEW_MS
            await self._renew_all()
        if now_ms >= self._scan_at_ms and not self._stopping:
            self._scan_at_ms = now_ms + self._scan_every_ms()
            await self._try(self._scan())

    async def _try(
        self, work: collections.abc.Coroutine[Any, Any, None]
    ) -> None:
        """Await ``work``; after a failure, renew before the usual time."""
        try:
            await work
            return
        except exceptions.PlatformUnavailable as error:
            logger.info('rate_slots_wait', step=error.step, why=error.message)
        except exceptions.PlatformError as error:
            logger.error('rate_slots_failed', step=error.step, why=str(error))
        retry_ms = self._rng.randint(CHECK_MS, RENEW_MS // 2)
        self._renew_at_ms = min(
            self._renew_at_ms, self._clock.now() + retry_ms
        )

    async def give_up_all(self) -> None:
        """Stop using all slots and free their rows, for a planned stop."""
        self._stopping = True
        for slot in list(self._slots_by_key.values()):
            await self._give_up(slot)

    # Use of held slots

    def _check(self) -> None:
        """Suspend slots that another host may be about to claim.

        Runs before each use, so that a paused process can't use a slot
        between its resumption and the next regular check.
        """
        now_ms = self._clock.now()
        gap_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        is_fresh = self._is_platform_available()
        if not is_fresh or gap_ms > SHORT_PAUSE_MS:
            self._available_since_ms = None
        if is_fresh and self._available_since_ms is None:
            self._available_since_ms = now_ms
        for slot in self._slots_by_key.values():
            self._check_slot(slot, now_ms, gap_ms, is_fresh)

    def _check_slot(
        self, slot: Slot, now_ms: int, gap_ms: int, is_fresh: bool
    ) -> None:
        age_ms = now_ms - slot.renewed_ms
        if slot.suspended or age_ms < LIMIT_MS:
            return
        passed_in_pause = gap_ms > SHORT_PAUSE_MS and (
            gap_ms > PAUSE_MS or age_ms - gap_ms < LIMIT_MS
        )
        # Without fresh evidence the platform is down or this zone is cut
        # off; nobody can claim the slot then, and it is kept.
        if is_fresh or passed_in_pause:
            slot.suspended = True
            self._renew_at_ms = now_ms
            logger.warning('rate_slot_suspended', slot=slot.key, age_ms=age_ms)

    def _is_platform_available(self) -> bool:
        age_ms = self._contact_age_ms()
        return age_ms is not None and age_ms < FRESH_MS

    def _is_usable(self, slot: Slot) -> bool:
        return not slot.suspended and self._clock.now() >= slot.usable_ms

    # Renewal

    async def _renew_all(self) -> None:
        wanted = self._wanted_keys()
        await asyncio.gather(
            *(
                self._try(
                    self._renew(slot)
                    if slot.key in wanted
                    else self._give_up(slot)
                )
                for slot in self._slots_by_key.values()
            )
        )

    async def _renew(self, slot: Slot) -> None:
        # The outcome of earlier writes is unknown: read before writing.
        if slot.sent_ms_by_renewal and not await self._resolve(slot):
            return
        renewal = slot.renewal + len(slot.sent_ms_by_renewal) + 1
        asked_ms = self._clock.now()
        slot.sent_ms_by_renewal[renewal] = asked_ms
        row = slot_rows.SlotRow(
            slot.key, slot.version, self._host_id, slot.claim, renewal
        )
        try:
            stored = await slot_rows.write(self._table, row)
        except exceptions.TableConflict:
            await self._resolve(slot)
            return
        self._renewed(slot, stored.version, renewal)

    async def _resolve(self, slot: Slot) -> bool:
        """Learn from the row what became of the writes that were sent.

        Returns whether the slot is still this host's.
        """
        stored = await self._table.get_row(slot_rows.TABLE, slot.key)
        row = None if stored is None else slot_rows.decode(stored)
        if row is None or row.claim != slot.claim:
            self._drop(slot, 'claimed by another host')
            return False
        if row.version != slot.version:
            self._renewed(slot, row.version, row.renewal)
        return True

    def _renewed(self, slot: Slot, version: int, renewal: int) -> None:
        """Note a write that took effect after it was sent."""
        sent_ms = slot.sent_ms_by_renewal.get(renewal)
        slot.version = version
        slot.renewal = max(slot.renewal, renewal)
        slot.sent_ms_by_renewal.clear()
        if sent_ms is None:
            return
        slot.renewed_ms = max(slot.renewed_ms, sent_ms)
        if self._clock.now() - slot.renewed_ms < LIMIT_MS:
            slot.suspended = False

    async def _give_up(self, slot: Slot) -> None:
        """Stop using a slot first, then free its row for others."""
        self._drop(slot, 'given up')
        row = slot_rows.SlotRow(slot.key, slot.version, '', '', 0)
        try:
            await slot_rows.write(self._table, row)
        except exceptions.PlatformError as error:
            # The row then becomes free by itself.
            logger.info('rate_slot_not_freed', slot=slot.key, why=str(error))

    def _drop(self, slot: Slot, why: str) -> None:
        self._slots_by_key.pop(slot.key, None)
        logger.info('rate_slot_ended', slot=slot.key, why=why)

    # Claims

    async def _scan(self) -> None:
        """Read the rows of the zone, adopt own claims, claim free ones."""
        wanted = self._wanted_keys()
        rows_by_key = {
            row.key: row
            for row in await self._read_rows()
            if row.key in wanted
        }
        self._adopt(rows_by_key)
        self._note_sightings(rows_by_key)
        free = [
            key
            for key in wanted
            if key not in self._slots_by_key
            and self._is_free(rows_by_key.get(key))
        ]
        missing = self._share(len(wanted)) - len(self._slots_by_key)
        free.sort(key=lambda key: rendezvous.score(self._host_id, key))
        for key in free[: max(missing, 0)]:
            await self._claim(key, rows_by_key.get(key))
        await self._give_up_surplus(missing)

    async def _read_rows(self) -> list[slot_rows.SlotRow]:
        prefix = f'{self._zone}-'
        rows: list[slot_rows.SlotRow] = []
        after = ''
        while True:
            page = await self._table.list_rows(
                slot_rows.TABLE, prefix, after, 1_000
            )
            rows += [slot_rows.decode(row) for row in page]
            if len(page) < 1_000:
                return rows
            after = page[-1].key

    def _adopt(self, rows_by_key: dict[str, slot_rows.SlotRow]) -> None:
        """Take over claims whose answers were lost but took effect."""
        for row in rows_by_key.values():
            self._forget_failed_attempts(row)
            slot = self._attempts_by_claim.get(row.claim)
            if slot is None or row.key in self._slots_by_key:
                continue
            slot.version = row.version
            # The write may have taken effect just now, long after it was
            # sent, when the earlier holder had no chance to notice yet.
            if not slot.never_held:
                slot.usable_ms = self._clock.now() + FREE_MS
            self._hold(slot)

    def _forget_failed_attempts(self, row: slot_rows.SlotRow) -> None:
        """Drop attempts that another write has made impossible."""
        self._attempts_by_claim = {
            claim: slot
            for claim, slot in self._attempts_by_claim.items()
            if slot.key != row.key
            or slot.version >= row.version
            or claim == row.claim
        }

    def _note_sightings(
        self, rows_by_key: dict[str, slot_rows.SlotRow]
    ) -> None:
        now_ms = self._clock.now()
        earlier = self._sightings_by_key
        self._sightings_by_key = {
            row.key: earlier[row.key]
            if row.key in earlier and earlier[row.key].version == row.version
            else Sighting(row.version, now_ms)
            for row in rows_by_key.values()
        }

    def _is_free(self, row: slot_rows.SlotRow | None) -> bool:
        """Tell whether nobody can be using the slot.

        Only time counts in which the platform was available, because the
        holder keeps its slot in an outage.
        """
        if row is None or not row.holder:
            return True
        if self._available_since_ms is None:
            return False
        sighting = self._sightings_by_key[row.key]
        since_ms = max(sighting.since_ms, self._available_since_ms)
        return self._clock.now() - since_ms >= FREE_MS

    async def _claim(self, key: str, row: slot_rows.SlotRow | None) -> None:
        slot = Slot(
            key=key,
            claim=f'{self._host_id}-{self._rng.getrandbits(64):016x}',
            version=0 if row is None else row.version,
            renewal=0,
            never_held=row is None,
            renewed_ms=self._clock.now(),
        )
        self._attempts_by_claim[slot.claim] = slot
        claim = slot_rows.SlotRow(
            key, slot.version, self._host_id, slot.claim, 0
        )
        try:
            stored = await slot_rows.write(self._table, claim)
        except exceptions.TableConflict:
            del self._attempts_by_claim[slot.claim]
            return
        slot.version = stored.version
        self._hold(slot)

    def _hold(self, slot: Slot) -> None:
        self._attempts_by_claim.pop(slot.claim, None)
        self._slots_by_key[slot.key] = slot
        self._check_slot(slot, self._clock.now(), 0, True)
        logger.info(
            'rate_slot_claimed', slot=slot.key, never_held=slot.never_held
        )
        for callback in self._callbacks:
            callback(Claimed(slot.key, slot.never_held))

    async def _give_up_surplus(self, missing: int) -> None:
        """Free slots beyond the share once that has lasted."""
        now_ms = self._clock.now()
        if missing >= 0:
            self._surplus_since_ms = None
            return
        if self._surplus_since_ms is None:
            self._surplus_since_ms = now_ms
        if now_ms - self._surplus_since_ms < SURPLUS_MS:
            return
        slots = sorted(
            self._slots_by_key.values(),
            key=lambda slot: rendezvous.score(self._host_id, slot.key),
        )
        for slot in slots[missing:]:
            await self._give_up(slot)

    def _wanted_keys(self) -> list[str]:
        # Before the first version the number of slots isn't known. Slots that
        # were claimed by the default number and given up again would make
        # room for others whose buckets start full as well.
        if not self._configuration.current.version:
            return []
        return slot_rows.slot_keys(
            self._zone, self._zones, self._configuration.current.rate_slots
        )

    def _share(self, slots: int) -> int:
        """Return how many slots this host should hold."""
        if self._clock.now() - self._started_ms < ALONE_MS:
            return min(1, slots)
        return -(-slots // self._zone_size())

    def _zone_size(self) -> int:
        hosts = self._membership.reachable()
        return max(1, sum(1 for host in hosts if host.zone == self._zone))

    def _scan_every_ms(self) -> int:
        average_ms = max(
            RENEW_MS, 1_000 * self._zone_size() // SCANS_PER_SECOND
        )
        return self._rng.randint(average_ms // 2, average_ms * 3 // 2)
