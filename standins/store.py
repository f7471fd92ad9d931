"""Simulated store of the platform and its promotion endpoint."""

import asyncio
import base64
import collections.abc
import copy
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
    """An in-memory store with versioned rows, transactions and feeds.

    Faults are set by attributes: with ``is_down``, all requests get status
    503; with ``loses_answers``, a transaction is performed, but the
    connection is closed without an answer. Feeds that start before
    ``oldest_feed_version`` get status 410. While ``orders_are_held`` is set,
    orders to promote get no answer; ``carry_out_held_orders`` carries them
    out, when their tokens are checked. ``come_back`` goes back to an earlier
    copy of the rows; with an ``era``, each answer bears it.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era: int | None = None
        self.is_down = False
        self.loses_answers = False
        self.request_paths: list[str] = []
        self.promotions: list[tuple[str, str, int]] = []
        self.orders_are_held = False
        self.held_orders: list[tuple[str, str, int]] = []
        self.on_promotion: collections.abc.Callable[[str, str], bool] = (
            lambda service, target_id: False
        )
        self._rows_by_table_and_key: dict[tuple[str, str], _Row] = {}
        self._rows_changed = asyncio.Event()
        self._tokens_by_service: dict[str, int] = {}
        self._server: httpserver.HTTPServer | None = None
        self.oldest_feed_version = 0

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
        """Write a row unconditionally, as an operator or a server does."""
        self.version += 1
        data = value if isinstance(value, bytes) else json.dumps(value)
        encoded = data if isinstance(data, bytes) else data.encode()
        self._rows_by_table_and_key[table, key] = _Row(
            table, key, encoded, self.version
        )
        self._notify_waiters()
        return self.version

    def delete(self, table: str, key: str) -> None:
        self.version += 1
        self._rows_by_table_and_key[table, key] = _Row(
            table, key, b'', self.version, True
        )
        self._notify_waiters()

    def get(self, table: str, key: str) -> bytes | None:
        row = self._rows_by_table_and_key.get((table, key))
        return None if row is None or row.is_deleted else row.value

    def take_copy(self) -> tuple[int, dict[tuple[str, str], _Row]]:
        """Return a copy to which ``come_back`` can go back."""
        return self.version, copy.deepcopy(self._rows_by_table_and_key)

    def come_back(
        self, earlier: tuple[int, dict[tuple[str, str], _Row]]
    ) -> None:
        """Go back to an earlier copy.

        The operator and the servers write again what they have written since.
        """
        kept_rows = [
            row
            for (table, _), row in self._rows_by_table_and_key.items()
            if table in ('op', 'servers')
        ]
        self.version, self._rows_by_table_and_key = copy.deepcopy(earlier)
        self.era = (self.era or 0) + 1
        for row in kept_rows:
            if row.is_deleted:
                self.delete(row.table, row.key)
            else:
                self.put(row.table, row.key, row.value)

    def _notify_waiters(self) -> None:
        self._rows_changed.set()
        self._rows_changed = asyncio.Event()

    def encoded_rows(self, table: str, after: int = 0) -> list[dict[str, Any]]:
        """Return the rows above version ``after`` in their JSON form.

        They include deleted rows and are sorted by version.
        """
        matching_rows = sorted(
            (
                row
                for row in self._rows_by_table_and_key.values()
                if row.table == table and row.version > after
            ),
            key=lambda row: row.version,
        )
        return [_encode_row(row) for row in matching_rows]

    async def wait_for_rows(
        self, table: str, after: int, wait_ms: int
    ) -> None:
        """Wait for a row above version ``after``, at most ``wait_ms``."""
        deadline_s = time.monotonic() + wait_ms / 1000
        while not self.encoded_rows(table, after):
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self._rows_changed.wait()
            except TimeoutError:
                return

    def apply_transaction(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Apply all puts and deletes, or none; return status and body.

        The status is 412 if a precondition isn't met; the body then holds
        the current rows.
        """
        current_rows = []
        preconditions_hold = True
        for condition in body.get('Precondition', []):
            row = self._rows_by_table_and_key.get(
                (condition['Table'], condition['Key'])
            )
            exists = row is not None and not row.is_deleted
            version = row.version if row is not None and exists else 0
            preconditions_hold &= version == condition['Ver']
            if row is not None and exists:
                current_rows.append(_encode_row(row))
        if not preconditions_hold:
            return 412, self._response_body(current_rows)
        for entry in body.get('Puts', []):
            value = base64.b64decode(entry['Value'])
            self.put(entry['Table'], entry['Key'], value)
        for entry in body.get('Deletes', []):
            self.delete(entry['Table'], entry['Key'])
        return 200, self._response_body([])

    def _response_body(
        self, encoded_rows: list[dict[str, Any]]
    ) -> dict[str, Any]:
        return {
            'rows': encoded_rows,
            'HasMore': False,
            'Ver': self.version,
            'NowMs': int(time.monotonic() * 1000),
        }

    def live_rows_body(self, table: str) -> dict[str, Any]:
        encoded_rows = [
            each
            for each in self.encoded_rows(table)
            if not each.get('Deleted')
        ]
        return self._response_body(
            sorted(encoded_rows, key=lambda each: each['Key'])
        )

    def feed_body(self, table: str, after: int) -> dict[str, Any]:
        return self._response_body(self.encoded_rows(table, after))

    def carry_out_held_orders(self) -> None:
        """Carry out the orders that got no answer, the oldest first."""
        held_orders, self.held_orders = self.held_orders, []
        for service, target_id, token in held_orders:
            self.request_promotion(service, target_id, token)

    def request_promotion(
        self, service: str, target_id: str, token: int
    ) -> int:
        """Check the fencing token and order the promotion.

        Returns status 200, or 409 for an older token than before or a refused
        promotion.
        """
        if token < self._tokens_by_service.get(service, 0):
            return 409
        self._tokens_by_service[service] = token
        self.promotions.append((service, target_id, token))
        return 200 if self.on_promotion(service, target_id) else 409


def _encode_row(row: _Row) -> dict[str, Any]:
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
    """Base of the handlers; answers 503 while the store is down."""

    def initialize(self, store: StoreStandin) -> None:
        self.store = store

    def prepare(self) -> None:
        if self.store.era is not None:
            self.set_header('Store-Era', str(self.store.era))
        self.store.request_paths.append(self.request.path)
        if self.store.is_down:
            self.send_error(503)


class _GetHandler(_Handler):
    def get(self) -> None:
        self.write(self.store.live_rows_body(self.get_query_argument('Table')))


class _FeedHandler(_Handler):
    async def get(self) -> None:
        table = self.get_query_argument('Table')
        after = int(self.get_query_argument('after'))
        if not self.store.oldest_feed_version <= after <= self.store.version:
            self.set_status(410)
            return
        wait_ms = int(self.get_query_argument('WaitMs'))
        await self.store.wait_for_rows(table, after, wait_ms)
        self.write(self.store.feed_body(table, after))


class _TransactionHandler(_Handler):
    def post(self) -> None:
        status, body = self.store.apply_transaction(
            json.loads(self.request.body)
        )
        if self.store.loses_answers:
            self.detach().close()
            return
        self.set_status(status)
        self.write(body)


class _PromotionHandler(_Handler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        token = int(self.request.headers['X-Samphirestand-Fence-Token'])
        if self.store.orders_are_held:
            self.store.held_orders.append((body['Service'], body['Id'], token))
            self.detach().close()
            return
        status = self.store.request_promotion(
            body['Service'], body['Id'], token
        )
        self.set_status(status)
        self.write({})
