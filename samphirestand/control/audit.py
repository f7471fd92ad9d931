"""The audit trail: events for later explanation, stored by the platform."""

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

# Events buffered while the platform is down; 0.3 MB at 300 bytes each.
MAX_BUFFERED_EVENTS = 1_000
MAX_REASON_CHARS = 1_000
BATCH_ROWS = 50

FIRST_RETRY_DELAY_MS = 500
MAX_RETRY_DELAY_MS = 10_000
STOP_TIMEOUT_MS = 2_000

# A query reads pages up to a total number of rows. If it reaches the total,
# its answer is marked as incomplete.
PAGE_ROWS = 500
MAX_ROWS_READ = 10_000
HOUR_MS = 3_600_000

LOG = log.get_logger(__name__)


class Platform(Protocol):
    """The methods of the platform client that the audit trail uses."""

    async def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[rows.TableRow]:
        """Return at most ``limit`` rows in key order."""

    async def transact(self, puts: collections.abc.Sequence[rows.Put]) -> None:
        """Write all rows atomically, or none."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of the trail; ``wall_ms`` is from the clock of ``host``."""

    wall_ms: int
    host: str
    kind: str
    subject: str
    reason: str
    is_stored: bool = dataclasses.field(default=True, compare=False)


@dataclasses.dataclass(frozen=True)
class Query:
    """A filter of events; empty fields match all events."""

    since_ms: int = 0
    until_ms: int | None = None
    kind: str = ''
    subject: str = ''
    limit: int = 50

    def matches(self, event: Event) -> bool:
        """Return whether ``event`` matches the query."""
        if self.kind and event.kind != self.kind:
            return False
        if self.subject and event.subject != self.subject:
            return False
        if self.until_ms is not None and event.wall_ms >= self.until_ms:
            return False
        return event.wall_ms >= self.since_ms


@dataclasses.dataclass(frozen=True)
class Answer:
    """The latest events that match a query, oldest first.

    ``is_complete`` is false if not all stored rows could be read; ``reason``
    then says why.
    """

    events: tuple[Event, ...]
    is_complete: bool = True
    reason: str = ''


_EVENT: pydantic.TypeAdapter[Event] = pydantic.TypeAdapter(Event)


class Audit:
    """Stores events in the table service.

    Implements ``interfaces.StatusRecorder``.
    """

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
        self._queue: collections.deque[tuple[str, Event]] = collections.deque()
        self._batch: list[tuple[str, Event]] = []
        self._dropped_count = 0
        self._write_requested = asyncio.Event()
        self._write_lock = asyncio.Lock()

    def record(self, kind: str, subject: str, reason: str) -> None:
        """Queue an event, for example of kind ``failover``; never blocks."""
        LOG.info('audit', kind=kind, subject=subject, reason=reason)
        self._enqueue(kind, subject, reason[:MAX_REASON_CHARS])
        while self.buffered_count() > MAX_BUFFERED_EVENTS:
            # Drop queued events only: the current batch may have been written
            # already.
            self._queue.popleft()
            self._dropped_count += 1
            self._metrics.count('audit_rows_lost')
        self._write_requested.set()

    def buffered_count(self) -> int:
        """Return the number of events that aren't known to be stored."""
        return len(self._queue) + len(self._batch)

    async def run(self) -> None:
        """Write queued events to the platform until cancelled."""
        delay_ms = FIRST_RETRY_DELAY_MS
        while True:
            await self._write_requested.wait()
            if await self._write_all():
                delay_ms = FIRST_RETRY_DELAY_MS
                continue
            await self._clock.sleep(self._random.randint(1, delay_ms))
            delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)

    async def stop(self) -> None:
        """Write the remaining events, within ``STOP_TIMEOUT_MS``."""
        try:
            async with asyncio.timeout(STOP_TIMEOUT_MS / 1000):
                await self._write_all()
        except TimeoutError:
            pass
        if self.buffered_count():
            LOG.warning(
                'audit rows lost at stop',
                step='audit',
                count=self.buffered_count(),
            )

    async def query(self, query: Query) -> Answer:
        """Return the latest events that match, including unstored ones."""
        unstored = [
            dataclasses.replace(event, is_stored=False)
            for _, event in [*self._batch, *self._queue]
            if query.matches(event)
        ]
        matching_events: collections.deque[Event] = collections.deque(
            maxlen=query.limit
        )
        reason = ''
        try:
            reason = await self._read_stored(query, matching_events)
        except exceptions.PlatformError as error:
            reason = f'the platform did not answer: {error.message}'

        # An event whose write got no response may be both stored and queued.
        stored_events = set(matching_events)
        merged = [
            *matching_events,
            *(each for each in unstored if each not in stored_events),
        ]
        merged.sort(key=lambda event: event.wall_ms)
        return Answer(tuple(merged[-query.limit :]), not reason, reason)

    def _enqueue(self, kind: str, subject: str, reason: str) -> None:
        wall_ms = self._clock.wall()
        key = (
            f'{wall_ms:013d}-{self._host_id}-{self._random.getrandbits(64):x}'
        )
        event = Event(wall_ms, self._host_id, kind, subject, reason)
        self._queue.append((key, event))

    async def _write_all(self) -> bool:
        """Write all queued events; return false if the platform is down."""
        async with self._write_lock:
            return await self._write_batches()

    async def _write_batches(self) -> bool:
        self._write_requested.clear()
        while self.buffered_count():
            self._fill_batch()
            try:
                await self._platform.transact(
                    [_build_put(key, event) for key, event in self._batch]
                )
            except exceptions.TableConflict:
                # Keys are random and a batch doesn't change until it is
                # written, so the conflict shows that an earlier attempt
                # without a response has written it.
                pass
            except exceptions.PlatformUnavailable:
                self._write_requested.set()
                return False
            except exceptions.PlatformError as error:
                # Drop the batch: the platform would refuse it every time.
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
        if self._dropped_count:
            dropped_count, self._dropped_count = self._dropped_count, 0
            self._enqueue(
                OVERFLOW_KIND,
                self._host_id,
                f'{dropped_count} events lost while the platform was down',
            )
        count = min(BATCH_ROWS, len(self._queue))
        self._batch = [self._queue.popleft() for _ in range(count)]

    async def _read_stored(
        self, query: Query, matching_events: collections.deque[Event]
    ) -> str:
        """Read pages into ``matching_events``.

        Returns why the end was not reached, or an empty string.
        """
        after = f'{query.since_ms:013d}'
        for _ in range(MAX_ROWS_READ // PAGE_ROWS):
            page = await self._platform.list_rows(
                TABLE, after=after, limit=PAGE_ROWS
            )
            events = [_decode_event(row) for row in page]
            matching_events.extend(
                event
                for event in events
                if event is not None and query.matches(event)
            )
            if len(page) < PAGE_ROWS or _is_after_end(query, page[-1].key):
                return ''
            after = page[-1].key
        return f'more than {MAX_ROWS_READ} rows; ask for a shorter time'


def _is_after_end(query: Query, key: str) -> bool:
    return query.until_ms is not None and key >= f'{query.until_ms:013d}'


def _build_put(key: str, event: Event) -> rows.Put:
    value = _EVENT.dump_python(event, mode='json')
    del value['is_stored']
    return rows.Put(TABLE, key, value, 0)


def _decode_event(row: rows.TableRow) -> Event | None:
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
