"""An in-memory platform with fault injection, and stores that use it."""

import asyncio
import copy
import random

from samphirestand import clock
from samphirestand.control import configuration
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand import metrics


class FakePlatform:
    """Table service and object store with injected faults.

    Each call removes the next entry of ``faults``: ``''`` for no fault,
    ``down`` for an error without an effect, ``lost`` for an effect without a
    response, ``late`` for a write without a response that takes effect when
    ``deliver`` is called. ``down`` set to true fails all calls.
    """

    def __init__(self):
        self.rows_by_table_and_key = {}
        self.objects_by_name = {}
        self.faults = []
        self.down = False
        self.delayed = []
        self.before_transact = None
        self.calls = []
        self.pause_generator = None

    async def _next_fault(self, call):
        self.calls.append(call)
        # Random pauses let concurrent calls overtake each other.
        for _ in range(
            self.pause_generator.randrange(4) if self.pause_generator else 0
        ):
            await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else ''
        if self.down or fault == 'down':
            raise _unavailable_error()
        return fault

    async def get_row(self, table, key):
        self._raise_if_lost(await self._next_fault(f'get {table}/{key}'))
        found = self.rows_by_table_and_key.get((table, key))
        return copy.deepcopy(found)

    async def list_rows(self, table, prefix='', after='', limit=100):
        self._raise_if_lost(await self._next_fault(f'list {table} {after}'))
        found = [
            copy.deepcopy(row)
            for (row_table, key), row in sorted(
                self.rows_by_table_and_key.items()
            )
            if row_table == table and key > after and key.startswith(prefix)
        ]
        return found[:limit]

    async def transact(self, puts):
        fault = await self._next_fault('transact')
        if self.before_transact is not None:
            callback, self.before_transact = self.before_transact, None
            await callback()
        if fault == 'late':
            self.delayed.append(puts)
            raise _unavailable_error()
        self._apply_puts(puts)
        self._raise_if_lost(fault)

    async def put_row(self, table, key, value, expected_version=0):
        fault = await self._next_fault(f'put {table}/{key}')
        self._apply_puts([rows.Put(table, key, value, expected_version)])
        self._raise_if_lost(fault)

    async def get_object(self, name):
        self._raise_if_lost(await self._next_fault(f'object {name}'))
        return self.objects_by_name.get(name)

    async def put_object(self, name, data):
        fault = await self._next_fault(f'put object {name}')
        self.objects_by_name[name] = data
        self._raise_if_lost(fault)

    def deliver(self):
        """Apply the delayed transactions to the table service."""
        delayed, self.delayed = self.delayed, []
        for puts in delayed:
            try:
                self._apply_puts(puts)
            except exceptions.TableConflict:
                pass

    def history(self):
        """Return the accepted change rows in order."""
        return [
            rows.decode_row(row.value)
            for (table, key), row in sorted(self.rows_by_table_and_key.items())
            if table == rows.HISTORY_TABLE and key.isdigit()
        ]

    def _apply_puts(self, puts):
        for put in puts:
            found = self.rows_by_table_and_key.get((put.table, put.key))
            if put.expected_version != (found.version if found else 0):
                raise exceptions.TableConflict('row changed', step='table')
        for put in puts:
            row = rows.TableRow(
                put.key, copy.deepcopy(put.value), put.expected_version + 1
            )
            self.rows_by_table_and_key[(put.table, put.key)] = row

    def _raise_if_lost(self, fault):
        if fault == 'lost':
            raise _unavailable_error()


class InstantClock(clock.ManualClock):
    """A manual clock whose ``sleep`` advances the time and returns."""

    async def sleep(self, duration_ms):
        self.set(self.now() + duration_ms)


def _unavailable_error():
    return exceptions.PlatformUnavailable(
        'no answer', step='table', peer='platform'
    )


def make_store(platform, **options):
    """Return a configuration store on an instant clock, with a fixed seed."""
    return configuration.ConfigurationStore(
        platform,
        options.pop('clock', None) or InstantClock(),
        is_confirmed=options.pop('is_confirmed', lambda: True),
        metrics=options.pop('metrics', None) or metrics.Metrics(),
        generator=random.Random(1),
        **options,
    )


def propose(change, change_id, **options):
    """Return a proposal by the operator ``ada`` unless ``author`` is set."""
    return configuration.Proposal(
        change=change,
        change_id=change_id,
        author=options.pop('author', 'ada'),
        reason='',
        command=change.kind,
        **options,
    )
