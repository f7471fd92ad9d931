"""Client of the platform's store: rows, transactions and change feeds."""

import base64
import binascii
import collections.abc
import dataclasses
import json
from typing import Any
from typing import Literal
import urllib.parse

import pydantic
from tornado import httpclient

from samphirestand import exceptions
from samphirestand import node_settings

__all__ = ['Conflict', 'Feed', 'Row', 'Store']

# The store answers in about 4 ms; on bad days it takes up to a hundred times
# as long.
REQUEST_TIMEOUT_MS = 1_500

# The store accepts connections within a round trip; one that is cut off
# doesn't answer at all.
CONNECT_TIMEOUT_MS = 600

# How long after its waiting time a feed's answer may come.
FEED_MARGIN_MS = 700

_STEP = 'store'


@dataclasses.dataclass(frozen=True)
class Row:
    """A row; version 0 means that it doesn't exist."""

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Feed:
    """Rows of a table and the version up to which they are complete."""

    rows: tuple[Row, ...]
    version: int
    now_ms: int  # the store's steady clock


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A precondition didn't hold; ``rows`` are the current ones."""

    rows: tuple[Row, ...]


class _RowModel(pydantic.BaseModel):
    Table: str
    Key: str
    Value: str = ''
    Ver: int = 0
    Deleted: bool = False


class _RowsModel(pydantic.BaseModel):
    rows: list[_RowModel] = pydantic.Field(default_factory=list)
    HasMore: bool = False
    Ver: int = 0
    NowMs: int = 0


class Store:
    """The platform's store: conditional writes, reads and change feeds."""

    def __init__(self, endpoint: node_settings.Endpoint) -> None:
        self._url = f'http://{endpoint}'
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=16
        )

    async def read(self, table: str) -> Feed:
        """Return all rows of a table as they were at one moment or later.

        Raises ``PlatformUnavailable`` or ``PlatformError``.
        """
        rows: dict[str, Row] = {}
        start = ''
        while True:
            query = {'Table': table, 'part': '', 'From': start}
            answer = await self._get('rows-get', query, REQUEST_TIMEOUT_MS)
            rows.update((each.key, each) for each in _rows(answer.rows))
            if not answer.HasMore or not answer.rows:
                return Feed(tuple(rows.values()), answer.Ver, answer.NowMs)
            start = answer.rows[-1].Key + '\0'

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Feed | Literal['forgotten']:
        """Return the rows that changed after a version.

        Waits up to ``wait_ms`` for the first change. Answers ``forgotten``
        if the store no longer knows the changes since that version. Raises
        ``PlatformUnavailable`` or ``PlatformError``.
        """
        query = {'Table': table, 'after': str(after), 'WaitMs': str(wait_ms)}
        try:
            answer = await self._get(
                'rows-feed', query, wait_ms + FEED_MARGIN_MS
            )
        except _Gone:
            return 'forgotten'
        return Feed(tuple(_rows(answer.rows)), answer.Ver, answer.NowMs)

    async def put(
        self, table: str, key: str, value: bytes, expected: int | None
    ) -> int | Conflict:
        """Write a row if it still has the ``expected`` version.

        None writes in any case. Returns the new version. Raises
        ``PlatformUnavailable`` when the write may or may not have happened.
        """
        entry = {'Table': table, 'part': '', 'Key': key}
        conditions = [] if expected is None else [{**entry, 'Ver': expected}]
        body = {
            'Precondition': conditions,
            'Puts': [{**entry, 'Value': base64.b64encode(value).decode()}],
            'Deletes': [],
        }
        return await self._transact(body)

    async def delete(
        self, table: str, key: str, expected: int
    ) -> int | Conflict:
        """Delete a row if it still has the ``expected`` version."""
        entry = {'Table': table, 'part': '', 'Key': key}
        body = {
            'Precondition': [{**entry, 'Ver': expected}],
            'Puts': [],
            'Deletes': [entry],
        }
        return await self._transact(body)

    async def _transact(self, body: dict[str, Any]) -> int | Conflict:
        response = await self._fetch(
            'rows-tx', REQUEST_TIMEOUT_MS, json.dumps(body)
        )
        answer = _parse(response.body)
        if response.code == 412:
            return Conflict(tuple(_rows(answer.rows)))
        return answer.Ver

    async def _get(
        self,
        call: str,
        query: collections.abc.Mapping[str, str],
        timeout_ms: int,
    ) -> _RowsModel:
        path = f'{call}?{urllib.parse.urlencode(query)}'
        response = await self._fetch(path, timeout_ms, None)
        if response.code == 410:
            raise _Gone('history is gone', step=_STEP)
        return _parse(response.body)

    async def _fetch(
        self, path: str, timeout_ms: int, body: str | None
    ) -> httpclient.HTTPResponse:
        request = httpclient.HTTPRequest(
            f'{self._url}/-/{path}',
            method='GET' if body is None else 'POST',
            headers={'Content-Type': 'application/json'},
            body=body,
            connect_timeout=CONNECT_TIMEOUT_MS / 1000,
            request_timeout=timeout_ms / 1000,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            raise exceptions.PlatformUnavailable(
                str(error), step=_STEP, peer=self._url
            ) from error
        if response.code in (200, 410, 412):
            return response
        if response.code in (429, 503, 599):
            raise exceptions.PlatformUnavailable(
                f'status {response.code}', step=_STEP, peer=self._url
            )
        raise exceptions.PlatformError(
            f'status {response.code}', step=_STEP, peer=self._url
        )

    def close(self) -> None:
        self._client.close()


class _Gone(exceptions.PlatformError):
    """The asked history is no longer kept."""


def _parse(body: bytes) -> _RowsModel:
    try:
        return _RowsModel.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.PlatformError(
            f'malformed answer: {error}', step=_STEP
        ) from error


def _rows(models: collections.abc.Iterable[_RowModel]) -> list[Row]:
    return [
        Row(each.Table, each.Key, _value(each.Value), each.Ver, each.Deleted)
        for each in models
    ]


def _value(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except (binascii.Error, ValueError):
        # A row of another writer; its reader reports that it is unreadable.
        return b''
