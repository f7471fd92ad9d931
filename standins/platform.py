"""Simulated platform: table service, object store and host list."""

import argparse
import asyncio
import collections
import dataclasses
import json
import random
import signal
from typing import Any

from tornado import web

from samphirestand import clock as clock_module

MAX_LISTED_ROWS = 1_000


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table; version 0 means that the row doesn't exist."""

    table: str
    key: str
    value: Any
    version: int


class ConflictError(Exception):
    """A conditional put found ``row`` with an unexpected version."""

    def __init__(self, row: Row) -> None:
        super().__init__(f'{row.table}/{row.key} has version {row.version}')
        self.row = row


@dataclasses.dataclass
class Faults:
    """Faults that are currently active.

    ``outage`` is empty, ``error`` (answers 503) or ``hang`` (never answers).
    ``lost_probability`` is the probability that the answer to a write isn't
    sent although the write took effect. ``list_lag_ms`` delays registrations
    in the host list. Requests from ``deny_zones`` get no answer.
    """

    outage: str = ''
    delay_ms: int = 0
    lost_probability: float = 0.0
    list_lag_ms: int = 0
    deny_zones: list[str] = dataclasses.field(default_factory=list)


class Platform:
    """The state of the simulated platform; does no I/O."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self.faults = Faults()
        self.rng = random.Random(0)
        self.counters: collections.Counter[str] = collections.Counter()
        self.objects_by_name: dict[str, bytes] = {}
        self._clock = clock
        self._rows_by_table_and_key: dict[tuple[str, str], Row] = {}
        # All registrations with their times, to list hosts with a lag.
        self._registrations: list[tuple[int, dict[str, str]]] = []

    def get_row(self, table: str, key: str) -> Row:
        """Return a row; its version is 0 if it doesn't exist."""
        return self._rows_by_table_and_key.get(
            (table, key), Row(table, key, None, version=0)
        )

    def list_rows(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[Row]:
        """Return rows with keys above ``after``, sorted by key."""
        found = [
            row
            for (row_table, key), row in self._rows_by_table_and_key.items()
            if row_table == table and key.startswith(prefix) and key > after
        ]
        return sorted(found, key=lambda row: row.key)[:limit]

    def transact(self, puts: list[Row]) -> list[Row]:
        """Apply all puts and return the written rows.

        The version of a put is the version that it expects to find; raises
        ``ConflictError`` and applies no put if one differs.
        """
        for put in puts:
            current = self.get_row(put.table, put.key)
            if current.version != put.version:
                raise ConflictError(current)
        written = [
            dataclasses.replace(put, version=put.version + 1) for put in puts
        ]
        for row in written:
            self._rows_by_table_and_key[row.table, row.key] = row
        return written

    def register_host(self, host: dict[str, str]) -> None:
        """Store the registration of a host with the current time."""
        self._registrations.append((self._clock.now(), host))

    def hosts(self) -> list[dict[str, str]]:
        """Return the hosts as registered ``list_lag_ms`` ago, sorted by id."""
        listed_until_ms = self._clock.now() - self.faults.list_lag_ms
        hosts_by_id = {
            host['host_id']: host
            for registered_ms, host in self._registrations
            if registered_ms <= listed_until_ms
        }
        return [hosts_by_id[each] for each in sorted(hosts_by_id)]

    def set_faults(self, body: dict[str, Any]) -> None:
        """Replace the faults named in ``body``.

        ``seed`` restarts the random choice of lost answers.
        """
        if 'seed' in body:
            self.rng = random.Random(body.pop('seed'))
        self.faults = dataclasses.replace(self.faults, **body)


class Handler(web.RequestHandler):
    """Base of the handlers to which faults apply."""

    def initialize(
        self, platform: Platform, clock: clock_module.Clock
    ) -> None:
        self.platform = platform
        self.clock = clock

    async def prepare(self) -> None:
        faults = self.platform.faults
        is_write = self.request.method != 'GET'
        self.platform.counters['writes' if is_write else 'reads'] += 1
        if faults.outage == 'hang':
            await asyncio.Event().wait()
        if faults.outage:
            raise web.HTTPError(503, 'outage')
        if self.request.headers.get('X-Zone', '') in faults.deny_zones:
            self.drop_connection()
            raise web.Finish
        await self.clock.sleep(faults.delay_ms)

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.platform.counters['dropped'] += 1
        self.detach().close()

    def send_answer(self, body: Any, status: int = 200) -> None:
        """Send the answer, or drop it with ``lost_probability``."""
        faults = self.platform.faults
        if self.platform.rng.random() < faults.lost_probability:
            self.drop_connection()
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body))

    def send_conflict(self, row: Row) -> None:
        """Answer 409 with the ``row`` that conflicts with a write."""
        self.send_answer(dataclasses.asdict(row), 409)

    def parse_body(self) -> Any:
        """Return the JSON body; 400 if it is malformed."""
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400, str(error)) from error

    def parse_put(self, table: str, key: str, body: dict[str, Any]) -> Row:
        """Return a conditional put; 400 if a field is missing or invalid."""
        try:
            return Row(
                table, key, body['value'], int(body['expected_version'])
            )
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPError(400, f'bad put: {error!r}') from error


class RowHandler(Handler):
    """Reads or writes one row of a table."""

    def get(self, table: str, key: str) -> None:
        row = self.platform.get_row(table, key)
        if not row.version:
            raise web.HTTPError(404)
        self.write({'value': row.value, 'version': row.version})

    def put(self, table: str, key: str) -> None:
        put = self.parse_put(table, key, self.parse_body())
        try:
            (row,) = self.platform.transact([put])
        except ConflictError as error:
            self.send_conflict(error.row)
            return
        self.send_answer({'version': row.version})


class TableHandler(Handler):
    """Lists the rows of a table."""

    def get(self, table: str) -> None:
        limit = int(self.get_argument('limit', str(MAX_LISTED_ROWS)))
        rows = self.platform.list_rows(
            table,
            self.get_argument('prefix', ''),
            self.get_argument('after', ''),
            min(limit, MAX_LISTED_ROWS),
        )
        self.write({'rows': [dataclasses.asdict(row) for row in rows]})


class TransactionsHandler(Handler):
    """Applies all of several conditional puts, or none."""

    def post(self) -> None:
        puts = [
            self.parse_put(each['table'], each['key'], each)
            for each in self.parse_body()['puts']
        ]
        try:
            rows = self.platform.transact(puts)
        except ConflictError as error:
            self.send_conflict(error.row)
            return
        self.send_answer({'versions': [row.version for row in rows]})


class ObjectHandler(Handler):
    """Reads or writes one object."""

    def get(self, name: str) -> None:
        found = self.platform.objects_by_name.get(name)
        if found is None:
            raise web.HTTPError(404)
        self.set_header('Content-Type', 'application/octet-stream')
        self.write(found)

    def put(self, name: str) -> None:
        self.platform.objects_by_name[name] = self.request.body
        self.send_answer({})


class HostsHandler(Handler):
    """Returns the host list."""

    def get(self) -> None:
        self.send_answer(self.platform.hosts())


class HostHandler(Handler):
    """Registers one host."""

    def put(self, host_id: str) -> None:
        body = self.parse_body()
        names = ('zone', 'url', 'peer_address', 'status')
        try:
            host = {name: str(body[name]) for name in names}
        except KeyError as error:
            raise web.HTTPError(400, f'{error} is missing') from error
        if host['status'] not in ('live', 'leaving'):
            raise web.HTTPError(400, f'bad status {host["status"]!r}')
        self.platform.register_host({'host_id': host_id, **host})
        self.send_answer({})


class FaultsHandler(web.RequestHandler):
    """Sets faults; see ``Faults`` and ``Platform.set_faults``."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def post(self) -> None:
        try:
            self.platform.set_faults(json.loads(self.request.body))
        except (TypeError, ValueError) as error:
            raise web.HTTPError(400, str(error)) from error
        self.write(dataclasses.asdict(self.platform.faults))


class CountersHandler(web.RequestHandler):
    """Returns the numbers of received reads and writes."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        self.write(dict(self.platform.counters))


def application(
    platform: Platform, clock: clock_module.Clock
) -> web.Application:
    """Return the tornado application of the simulated platform."""
    options = {'platform': platform, 'clock': clock}
    control_options = {'platform': platform}
    return web.Application(
        [
            ('/tables/([^/]+)/(.+)', RowHandler, options),
            ('/tables/([^/]+)', TableHandler, options),
            ('/transactions', TransactionsHandler, options),
            ('/objects/(.+)', ObjectHandler, options),
            ('/hosts', HostsHandler, options),
            ('/hosts/([^/]+)', HostHandler, options),
            ('/faults', FaultsHandler, control_options),
            ('/counters', CountersHandler, control_options),
        ],
        log_function=lambda handler: None,
    )


async def serve(address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    clock = clock_module.SystemClock()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    application(Platform(clock), clock).listen(port, address)
    await stop.wait()


def main() -> None:
    """Run the simulated platform with the command line options."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.platform', description=__doc__
    )
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    found = parser.parse_args()
    asyncio.run(serve(found.address, found.port))


if __name__ == '__main__':
    main()
