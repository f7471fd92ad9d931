"""An in-memory platform with faults and a store on top of it."""

import asyncio
import copy
import random

from samphirestand import clock
from samphirestand.control import configuration
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand import metrics


class FakePlatform:
    """Table service and object store; faults are taken from a list.

    Each call takes the next entry of ``faults``: ``''`` for none, ``down``
    for no effect, ``lost`` for an effect without an answer, ``late`` for an
    effect that waits until ``deliver`` is called.
    """

    def __init__(self):
        self.rows_by_place = {}
        self.objects_by_name = {}
        self.faults = []
        self.down = False
        self.delayed = []
        self.before_transact = None
        self.calls = []
        self.pauses = None

    async def _fault(self, call):
        self.calls.append(call)
        # Pauses of random length let concurrent calls overtake each other.
        for _ in range(self.pauses.randrange(4) if self.pauses else 0):
            await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else ''
        if self.down or fault == 'down':
            raise _unavailable()
        return fault

    async def get_row(self, table, key):
        self._answer(await self._fault(f'get {table}/{key}'))
        found = self.rows_by_place.get((table, key))
        return copy.deepcopy(found)

    async def list_rows(self, table, prefix='', after='', limit=100):
        self._answer(await self._fault(f'list {table} {after}'))
        found = [
            copy.deepcopy(row)
            for (place, key), row in sorted(self.rows_by_place.items())
            if place == table and key > after and key.startswith(prefix)
        ]
        return found[:limit]

    async def transact(self, puts):
        fault = await self._fault('transact')
        if self.before_transact is not None:
            hook, self.before_transact = self.before_transact, None
            await hook()
        if fault == 'late':
            self.delayed.append(puts)
            raise _unavailable()
        self._put(puts)
        self._answer(fault)

    async def put_row(self, table, key, value, expected_version=0):
        fault = await self._fault(f'put {table}/{key}')
        self._put([rows.Put(table, key, value, expected_version)])
        self._answer(fault)

    async def get_object(self, name):
        self._answer(await self._fault(f'object {name}'))
        return self.objects_by_name.get(name)

    async def put_object(self, name, data):
        fault = await self._fault(f'put object {name}')
        self.objects_by_name[name] = data
        self._answer(fault)

    def deliver(self):
        """Let the delayed transactions reach the table service."""
        delayed, self.delayed = self.delayed, []
        for puts in delayed:
            try:
                self._put(puts)
            except exceptions.TableConflict:
                pass

    def history(self):
        """Return the accepted rows in order."""
        return [
            rows.decode_row(row.value)
            for (table, key), row in sorted(self.rows_by_place.items())
            if table == rows.HISTORY_TABLE and key.isdigit()
        ]

    def _put(self, puts):
        for put in puts:
            found = self.rows_by_place.get((put.table, put.key))
            if put.expected_version != (found.version if found else 0):
                raise exceptions.TableConflict('row changed', step='table')
        for put in puts:
            row = rows.TableRow(
                put.key, copy.deepcopy(put.value), put.expected_version + 1
            )
            self.rows_by_place[(put.table, put.key)] = row

    def _answer(self, fault):
        if fault == 'lost':
            raise _unavailable()


class InstantClock(clock.ManualClock):
    """A manual clock whose sleeps end at once and move the time."""

    async def sleep(self, duration_ms):
        self.set(self.now() + duration_ms)


def _unavailable():
    return exceptions.PlatformUnavailable(
        'no answer', step='table', peer='platform'
    )


def make_store(platform, **options):
    """Return a store on an instant clock with a fixed seed."""
    return configuration.ConfigurationStore(
        platform,
        options.pop('clock', None) or InstantClock(),
        is_confirmed=options.pop('is_confirmed', lambda: True),
        metrics=options.pop('metrics', None) or metrics.Metrics(),
        generator=random.Random(1),
        **options,
    )


def propose(change, change_id, **options):
    """Return a proposal by operator ``ada``."""
    return configuration.Proposal(
        change=change,
        change_id=change_id,
        author=options.pop('author', 'ada'),
        reason='',
        command=change.kind,
        **options,
    )
