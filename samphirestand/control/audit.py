"""The audit trail: events worth explaining later, kept by the platform."""

import asyncio
import collections
import collections.abc
import dataclasses
import random
from typing import Protocol

import pydantic

from samphirestand import clock as clocks
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand import log
from samphirestand import metrics as metrics_module

TABLE = 'audit'
OVERFLOW_KIND = 'audit_overflow'

# Events kept while the platform is down; at 300 bytes each, 0.3 MB.
MOST_BUFFERED = 1_000
LONGEST_REASON = 1_000
BATCH_ROWS = 50

FIRST_DELAY_MS = 500
LARGEST_DELAY_MS = 10_000
STOP_LIMIT_MS = 2_000

# A query reads at most that many rows; a full one says so.
PAGE_ROWS = 500
MOST_ROWS_READ = 10_000
HOUR_MS = 3_600_000

LOG = log.get_logger(__name__)


class Platform(Protocol):
    """The calls of the platform client that the audit trail needs."""

    async def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[rows.TableRow]:
        """Return rows in key order."""

    async def transact(self, puts: collections.abc.Sequence[rows.Put]) -> None:
        """Write all rows or none."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One row; ``wall_ms`` is by the clock of ``host``."""

    wall_ms: int
    host: str
    kind: str
    subject: str
    reason: str
    is_stored: bool = dataclasses.field(default=True, compare=False)


@dataclasses.dataclass(frozen=True)
class Query:
    """Which events to return; empty fields match all."""

    since_ms: int = 0
    until_ms: int | None = None
    kind: str = ''
    subject: str = ''
    limit: int = 50

    def matches(self, event: Event) -> bool:
        """Tell whether the query asks for ``event``."""
        if self.kind and event.kind != self.kind:
            return False
        if self.subject and event.subject != self.subject:
            return False
        if self.until_ms is not None and event.wall_ms >= self.until_ms:
            return False
        return event.wall_ms >= self.since_ms


@dataclasses.dataclass(frozen=True)
class Answer:
    """Events in order of time, the latest that match.

    ``is_complete`` is false when the platform was not read to the end;
    ``reason`` then says why.
    """

    events: tuple[Event, ...]
    is_complete: bool = True
    reason: str = ''


_EVENT: pydantic.TypeAdapter[Event] = pydantic.TypeAdapter(Event)


class Audit:
    """Implements ``interfaces.StatusRecorder`` on the table service."""

    def __init__(
        self,
        platform: Platform,
        clock: clocks.Clock,
        host_id: str,
        *,
        metrics: metrics_module.Metrics | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._host_id = host_id
        self._metrics = metrics or metrics_module.Metrics()
        self._random = generator or random.Random()
        self._waiting: collections.deque[tuple[str, Event]] = (
            collections.deque()
        )
        self._batch: list[tuple[str, Event]] = []
        self._lost = 0
        self._wake = asyncio.Event()
        self._writing = asyncio.Lock()

    def record(self, kind: str, subject: str, reason: str) -> None:
        """Add an audit row, for example kind ``failover``; never blocks."""
        LOG.info('audit', kind=kind, subject=subject, reason=reason)
        self._add(kind, subject, reason[:LONGEST_REASON])
        while self.buffered() > MOST_BUFFERED:
            # The batch under way may be written already, so it stays.
            self._waiting.popleft()
            self._lost += 1
            self._metrics.count('audit_rows_lost')
        self._wake.set()

    def buffered(self) -> int:
        """Return how many events are not known to be stored."""
        return len(self._waiting) + len(self._batch)

    async def run(self) -> None:
        """Write events until cancelled."""
        delay_ms = FIRST_DELAY_MS
        while True:
            await self._wake.wait()
            if await self._write_all():
                delay_ms = FIRST_DELAY_MS
                continue
            await self._clock.sleep(self._random.randint(1, delay_ms))
            delay_ms = min(2 * delay_ms, LARGEST_DELAY_MS)

    async def stop(self) -> None:
        """Write what is left, but don't wait for a platform that is down."""
        try:
            async with asyncio.timeout(STOP_LIMIT_MS / 1000):
                await self._write_all()
        except TimeoutError:
            pass
        if self.buffered():
            LOG.warning(
                'audit rows lost at stop', step='audit', count=self.buffered()
            )

    async def query(self, query: Query) -> Answer:
        """Return the latest events that match, also those not stored yet."""
        waiting = [
            dataclasses.replace(event, is_stored=False)
            for _, event in [*self._batch, *self._waiting]
            if query.matches(event)
        ]
        found: collections.deque[Event] = collections.deque(maxlen=query.limit)
        reason = ''
        try:
            reason = await self._read(query, found)
        except exceptions.PlatformError as error:
            reason = f'the platform did not answer: {error.message}'

        # An event whose write got no answer may be in both places.
        stored = set(found)
        merged = [*found, *(each for each in waiting if each not in stored)]
        merged.sort(key=lambda event: event.wall_ms)
        return Answer(tuple(merged[-query.limit :]), not reason, reason)

    def _add(self, kind: str, subject: str, reason: str) -> None:
        wall_ms = self._clock.wall()
        key = (
            f'{wall_ms:013d}-{self._host_id}-{self._random.getrandbits(64):x}'
        )
        event = Event(wall_ms, self._host_id, kind, subject, reason)
        self._waiting.append((key, event))

    async def _write_all(self) -> bool:
        """Write all events; return false if the platform is down."""
        async with self._writing:
            return await self._write_batches()

    async def _write_batches(self) -> bool:
        self._wake.clear()
        while self.buffered():
            self._fill_batch()
            try:
                await self._platform.transact(
                    [_put(key, event) for key, event in self._batch]
                )
            except exceptions.TableConflict:
                # Keys are random and a batch stays the same until it is
                # written, so an earlier attempt without an answer wrote it.
                pass
            except exceptions.PlatformUnavailable:
                self._wake.set()
                return False
            except exceptions.PlatformError as error:
                # The platform would refuse the same batch for ever.
                self._metrics.count('audit_rows_lost', len(self._batch))
                LOG.error(
                    'audit rows refused',
                    step='audit',
                    peer='platform',
                    reason=error.message,
                    count=len(self._batch),
                )
            self._batch = []
        return True

    def _fill_batch(self) -> None:
        if self._batch:
            return
        if self._lost:
            lost, self._lost = self._lost, 0
            self._add(
                OVERFLOW_KIND,
                self._host_id,
                f'{lost} events lost while the platform was down',
            )
        count = min(BATCH_ROWS, len(self._waiting))
        self._batch = [self._waiting.popleft() for _ in range(count)]

    async def _read(
        self, query: Query, found: collections.deque[Event]
    ) -> str:
        """Read pages into ``found``; return why the end was not reached."""
        after = f'{query.since_ms:013d}'
        for _ in range(MOST_ROWS_READ // PAGE_ROWS):
            page = await self._platform.list_rows(
                TABLE, after=after, limit=PAGE_ROWS
            )
            events = [_decode(row) for row in page]
            found.extend(
                event
                for event in events
                if event is not None and query.matches(event)
            )
            if len(page) < PAGE_ROWS or _is_past(query, page[-1].key):
                return ''
            after = page[-1].key
        return f'more than {MOST_ROWS_READ} rows; ask for a shorter time'


def _is_past(query: Query, key: str) -> bool:
    return query.until_ms is not None and key >= f'{query.until_ms:013d}'


def _put(key: str, event: Event) -> rows.Put:
    value = _EVENT.dump_python(event, mode='json')
    del value['is_stored']
    return rows.Put(TABLE, key, value, 0)


def _decode(row: rows.TableRow) -> Event | None:
    try:
        return _EVENT.validate_python(row.value)
    except pydantic.ValidationError as error:
        LOG.error(
            'invalid audit row',
            step='audit',
            peer='platform',
            key=row.key,
            reason=str(error),
        )
        return None
