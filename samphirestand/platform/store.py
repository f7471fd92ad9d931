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

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import node_settings

__all__ = ['Conflict', 'Row', 'Store', 'TableRows']

# The store normally answers in about 4 ms; while it is degraded, it takes
# up to a hundred times as long.
REQUEST_TIMEOUT_MS = 1_500

# The store accepts a connection within one round trip. A store behind a
# network partition doesn't answer at all.
CONNECT_TIMEOUT_MS = 600

# How long after the requested wait the answer of a change feed may arrive.
FEED_MARGIN_MS = 700

# A key followed by this is the next one in the order of the store.
FIRST_KEY_SUFFIX = '\0'

# Counts how often the store has come back from an older copy of itself.
ERA_HEADER = 'Store-Era'
MAX_ERA_DIGITS = 18

_ERROR_STEP = 'store'

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the store; version 0 means that it doesn't exist."""

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True)
class TableRows:
    """Rows of a table and the store version up to which they are complete."""

    rows: tuple[Row, ...]
    version: int
    now_ms: int  # the store's monotonic clock
    era: int | None = None  # of the first answer; None if it doesn't tell


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A row had another version than expected; ``rows`` are current rows."""

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
    """Client of the store: reads, change feeds and conditional writes."""

    def __init__(
        self,
        endpoint: node_settings.Endpoint,
        metrics: metrics_module.Metrics | None = None,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self._metrics = metrics
        self._clock = clock or clock_module.SystemClock()
        # When the store last answered a call of this host; None before.
        self.answered_ms: int | None = None
        # Rises when the store has come back from an older copy: what was
        # written for some seconds before is gone. None if it isn't known.
        self.era: int | None = None
        self._is_era_unreadable = False
        self._url = f'http://{endpoint}'
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=16
        )

    async def read(self, table: str, key: str | None = None) -> TableRows:
        """Return the rows of a table as of the first request or later.

        With ``key``, only the row with that key is asked for. A large table is
        read page by page, with one request for each. The version is that of
        the first page, so that ``changes`` after it returns what has changed
        on earlier pages since.

        Raises ``PlatformUnavailable`` or ``PlatformError``.
        """
        rows: dict[str, Row] = {}
        start_key = key or ''
        version: int | None = None
        era: int | None = None
        while True:
            query = {'Table': table, 'part': '', 'From': start_key}
            if key is not None:
                query['To'] = key + FIRST_KEY_SUFFIX
            answer, answer_era = await self._get_rows(
                'rows-get', query, REQUEST_TIMEOUT_MS
            )
            rows.update((each.key, each) for each in _decode_rows(answer.rows))
            if version is None:
                version, era = answer.Ver, answer_era
            if not answer.HasMore or not answer.rows:
                return TableRows(
                    tuple(rows.values()), version, answer.NowMs, era
                )
            start_key = answer.rows[-1].Key + FIRST_KEY_SUFFIX

    async def changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> TableRows | Literal['forgotten']:
        """Return the rows that changed after a version.

        Waits up to ``wait_ms`` for the first change. Returns ``forgotten``
        if the store no longer keeps all changes since that version, or doesn't
        return all of them in one answer. Raises
        ``PlatformUnavailable`` or ``PlatformError``.
        """
        query = {
            'Table': table,
            'after': str(after_version),
            'WaitMs': str(wait_ms),
        }
        try:
            answer, era = await self._get_rows(
                'rows-feed', query, wait_ms + FEED_MARGIN_MS
            )
        except _ChangesForgotten:
            return 'forgotten'
        if answer.HasMore:
            # Which changes were left out isn't known.
            return 'forgotten'
        return TableRows(
            tuple(_decode_rows(answer.rows)), answer.Ver, answer.NowMs, era
        )

    async def put(
        self, table: str, key: str, value: bytes, expected_version: int | None
    ) -> int | Conflict:
        """Write a row if it still has the ``expected_version``.

        With None, writes unconditionally. Returns the new version, or the
        conflict. Raises ``PlatformUnavailable`` if the write may or may not
        have taken effect, or if the store has come back from an older copy
        since it answered, and ``PlatformError`` for an unexpected answer.
        """
        entry = {'Table': table, 'part': '', 'Key': key}
        conditions = (
            []
            if expected_version is None
            else [{**entry, 'Ver': expected_version}]
        )
        body = {
            'Precondition': conditions,
            'Puts': [{**entry, 'Value': base64.b64encode(value).decode()}],
            'Deletes': [],
        }
        return await self._post_transaction(table, body)

    async def delete(
        self, table: str, key: str, expected_version: int
    ) -> int | Conflict:
        """Delete a row if it still has the ``expected_version``.

        Returns and raises the same as ``put``.
        """
        entry = {'Table': table, 'part': '', 'Key': key}
        body = {
            'Precondition': [{**entry, 'Ver': expected_version}],
            'Puts': [],
            'Deletes': [entry],
        }
        return await self._post_transaction(table, body)

    async def _post_transaction(
        self, table: str, body: dict[str, Any]
    ) -> int | Conflict:
        response, era = await self._fetch(
            'rows-tx', REQUEST_TIMEOUT_MS, json.dumps(body)
        )
        if era is not None and self.era is not None and era < self.era:
            raise exceptions.PlatformUnavailable(
                f'the answer is of era {era}, the store is in {self.era}',
                step=_ERROR_STEP,
                peer=self._url,
            )
        self._count_answer(table, response)
        answer = _parse_answer(response.body)
        if response.code == 412:
            return Conflict(tuple(_decode_rows(answer.rows)))
        return answer.Ver

    async def _get_rows(
        self,
        call: str,
        query: collections.abc.Mapping[str, str],
        timeout_ms: int,
    ) -> tuple[_RowsModel, int | None]:
        path = f'{call}?{urllib.parse.urlencode(query)}'
        response, era = await self._fetch(path, timeout_ms, None)
        self._count_answer(query['Table'], response)
        if response.code == 410:
            raise _ChangesForgotten(
                'the store no longer keeps these changes', step=_ERROR_STEP
            )
        return _parse_answer(response.body), era

    def _count_answer(
        self, table: str, response: httpclient.HTTPResponse
    ) -> None:
        if self._metrics is not None:
            self._metrics.count(f'store_answers_{table}')
            self._metrics.count(
                f'store_bytes_received_{table}', len(response.body)
            )

    async def _fetch(
        self, path: str, timeout_ms: int, body: str | None
    ) -> tuple[httpclient.HTTPResponse, int | None]:
        """Return an answer, and the era of the store that it bears."""
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
                str(error), step=_ERROR_STEP, peer=self._url
            ) from error
        era = self._note_era(response.headers.get(ERA_HEADER))
        if response.code in (200, 410, 412):
            self.answered_ms = self._clock.now()
            return response, era
        if response.code in (429, 503, 599):
            raise exceptions.PlatformUnavailable(
                f'HTTP status {response.code}',
                step=_ERROR_STEP,
                peer=self._url,
            )
        raise exceptions.PlatformError(
            f'HTTP status {response.code}', step=_ERROR_STEP, peer=self._url
        )

    def _note_era(self, text: str | None) -> int | None:
        """Record and return the era of an answer; None if it can't be read.

        An older one is of a late answer.
        """
        if text is None:
            return None
        era = _decode_era(text)
        if (era is None) is not self._is_era_unreadable:
            self._is_era_unreadable = era is None
            if era is None:
                _log.warning('store_era_unreadable', length=len(text))
        if era is None or (self.era is not None and era <= self.era):
            return era
        if self.era is not None:
            _log.warning('store_came_back', era=era, earlier=self.era)
            if self._metrics is not None:
                self._metrics.count('store_came_back')
        self.era = era
        return era

    def close(self) -> None:
        self._client.close()


class _ChangesForgotten(exceptions.PlatformError):
    """The store no longer keeps the requested changes."""


def _decode_era(text: str) -> int | None:
    if len(text) > MAX_ERA_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)


def _parse_answer(body: bytes) -> _RowsModel:
    try:
        return _RowsModel.model_validate_json(body)
    except pydantic.ValidationError as error:
        answer = _parse_readable_rows(body)
        if answer is None:
            raise exceptions.PlatformError(
                f'malformed answer: {error}', step=_ERROR_STEP
            ) from error
        return answer


def _parse_readable_rows(body: bytes) -> _RowsModel | None:
    """Parse an answer without the rows that can't be read.

    Another program may have written these; they don't hide the others.
    Returns None if the answer itself is malformed.
    """
    try:
        document: Any = json.loads(body)
        rows = document.pop('rows')
        answer = _RowsModel.model_validate(document)
        for each in rows:
            try:
                # JSON, since it rejects texts that can't be encoded.
                row = _RowModel.model_validate_json(json.dumps(each))
                answer.rows.append(row)
            except pydantic.ValidationError as error:
                _log.warning('row_unreadable', reason=str(error))
    except (
        ValueError,  # includes pydantic's ValidationError
        AttributeError,
        KeyError,
        TypeError,
        RecursionError,
    ):
        return None
    return answer


def _decode_rows(models: collections.abc.Iterable[_RowModel]) -> list[Row]:
    return [
        Row(
            each.Table,
            each.Key,
            _decode_value(each.Value),
            each.Ver,
            each.Deleted,
        )
        for each in models
    ]


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except (binascii.Error, ValueError):
        # Another program wrote an invalid value. Returned as empty, so that
        # the code that decodes the row reports it as unreadable.
        return b''
