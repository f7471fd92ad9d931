"""Stand-in for the platform's store and its call for promotions."""

import asyncio
import base64
import collections.abc
import dataclasses
import json
import time
from typing import Any

from tornado import httpserver
from tornado import web

__all__ = ['StoreStandin']


@dataclasses.dataclass
class _Row:
    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


class StoreStandin:
    """Rows with versions, transactions and feeds, kept in memory.

    Faults are set by attributes: ``is_down`` answers 503 to all calls, and
    ``loses_answers`` performs writes and closes the connection.
    """

    def __init__(self) -> None:
        self.version = 0
        self.is_down = False
        self.loses_answers = False
        self.calls: list[str] = []
        self.promotions: list[tuple[str, str, int]] = []
        self.on_promotion: collections.abc.Callable[[str, str], bool] = (
            lambda service, target_id: False
        )
        self._rows: dict[tuple[str, str], _Row] = {}
        self._changed = asyncio.Event()
        self._tokens_by_service: dict[str, int] = {}
        self._server: httpserver.HTTPServer | None = None
        self.oldest_feed = 0

    def listen(self, port: int, address: str = '127.0.0.1') -> None:
        application = web.Application(
            [
                ('/-/rows-get', _GetHandler, {'store': self}),
                ('/-/rows-feed', _FeedHandler, {'store': self}),
                ('/-/rows-tx', _TransactionHandler, {'store': self}),
                ('/promotion', _PromotionHandler, {'store': self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        self._server.listen(port, address)

    def close(self) -> None:
        if self._server is not None:
            self._server.stop()

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a server would."""
        self.version += 1
        data = value if isinstance(value, bytes) else json.dumps(value)
        encoded = data if isinstance(data, bytes) else data.encode()
        self._rows[table, key] = _Row(table, key, encoded, self.version)
        self._wake()
        return self.version

    def delete(self, table: str, key: str) -> None:
        self.version += 1
        self._rows[table, key] = _Row(table, key, b'', self.version, True)
        self._wake()

    def get(self, table: str, key: str) -> bytes | None:
        row = self._rows.get((table, key))
        return None if row is None or row.is_deleted else row.value

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def rows(self, table: str, after: int = 0) -> list[dict[str, Any]]:
        """Return rows as the store sends them, deleted ones too."""
        found = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == table and row.version > after
            ),
            key=lambda row: row.version,
        )
        return [_encode(row) for row in found]

    async def wait(self, table: str, after: int, wait_ms: int) -> None:
        """Wait until a row of the table is newer than ``after``."""
        deadline = time.monotonic() + wait_ms / 1000
        while not self.rows(table, after):
            left = deadline - time.monotonic()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                return

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply all entries or none."""
        current = []
        holds = True
        for condition in body.get('Precondition', []):
            row = self._rows.get((condition['Table'], condition['Key']))
            exists = row is not None and not row.is_deleted
            version = row.version if row is not None and exists else 0
            holds &= version == condition['Ver']
            if row is not None and exists:
                current.append(_encode(row))
        if not holds:
            return 412, self._answer(current)
        for entry in body.get('Puts', []):
            value = base64.b64decode(entry['Value'])
            self.put(entry['Table'], entry['Key'], value)
        for entry in body.get('Deletes', []):
            self.delete(entry['Table'], entry['Key'])
        return 200, self._answer([])

    def _answer(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            'rows': rows,
            'HasMore': False,
            'Ver': self.version,
            'NowMs': int(time.monotonic() * 1000),
        }

    def listing(self, table: str) -> dict[str, Any]:
        rows = [each for each in self.rows(table) if not each.get('Deleted')]
        return self._answer(sorted(rows, key=lambda each: each['Key']))

    def feed(self, table: str, after: int) -> dict[str, Any]:
        return self._answer(self.rows(table, after))

    def promote(self, service: str, target_id: str, token: int) -> int:
        """Check the fencing token, then let the servers change roles."""
        if token < self._tokens_by_service.get(service, 0):
            return 409
        self._tokens_by_service[service] = token
        self.promotions.append((service, target_id, token))
        return 200 if self.on_promotion(service, target_id) else 409


def _encode(row: _Row) -> dict[str, Any]:
    document = {
        'Table': row.table,
        'part': '',
        'Key': row.key,
        'Value': base64.b64encode(row.value).decode(),
        'Ver': row.version,
    }
    if row.is_deleted:
        document['Deleted'] = True
    return document


class _Handler(web.RequestHandler):
    """Base of all calls; refuses them while the store is down."""

    def initialize(self, store: StoreStandin) -> None:
        self.store = store

    def prepare(self) -> None:
        self.store.calls.append(self.request.path)
        if self.store.is_down:
            self.send_error(503)


class _GetHandler(_Handler):
    def get(self) -> None:
        self.write(self.store.listing(self.get_query_argument('Table')))


class _FeedHandler(_Handler):
    async def get(self) -> None:
        table = self.get_query_argument('Table')
        after = int(self.get_query_argument('after'))
        if after < self.store.oldest_feed:
            self.set_status(410)
            return
        wait_ms = int(self.get_query_argument('WaitMs'))
        await self.store.wait(table, after, wait_ms)
        self.write(self.store.feed(table, after))


class _TransactionHandler(_Handler):
    def post(self) -> None:
        code, answer = self.store.transact(json.loads(self.request.body))
        if self.store.loses_answers:
            self.detach().close()
            return
        self.set_status(code)
        self.write(answer)


class _PromotionHandler(_Handler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        token = int(self.request.headers['X-Samphirestand-Fence-Token'])
        code = self.store.promote(body['Service'], body['Id'], token)
        self.set_status(code)
        self.write({})
