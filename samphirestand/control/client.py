"""Client of the platform: table service, object store and host list."""

import collections.abc
import dataclasses
import json
from typing import Any
from typing import TypeVar
import urllib.parse

import pydantic
from tornado import httpclient

from samphirestand import addresses
from samphirestand.control import rows
from samphirestand import exceptions

REQUEST_TIMEOUT_MS = 2_000
# Requests of one host that wait for the platform at the same time; more
# than that queue here, within the timeout.
MAX_REQUESTS = 32


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """A host in the platform's list; ``status`` is live or leaving."""

    host_id: str
    zone: str
    url: str
    peer_address: str
    status: str


class _RowModel(pydantic.BaseModel):
    value: Any
    version: pydantic.NonNegativeInt


class _ListedRowModel(_RowModel):
    table: str
    key: str


class _RowsModel(pydantic.BaseModel):
    rows: list[_ListedRowModel]


class _VersionModel(pydantic.BaseModel):
    version: pydantic.PositiveInt


class _VersionsModel(pydantic.BaseModel):
    versions: list[pydantic.PositiveInt]


class _HostModel(pydantic.BaseModel):
    host_id: str
    zone: str
    url: str
    peer_address: str
    status: str


class _HostsModel(pydantic.RootModel[list[_HostModel]]):
    pass


_Model = TypeVar('_Model', bound=pydantic.BaseModel)


class PlatformClient:
    """Requests to the platform at ``url``.

    Each method raises ``PlatformUnavailable`` when the answer is missing (a
    write may then have taken effect), ``TableConflict`` when a conditional
    write found another version, and ``PlatformError`` when the platform
    refuses or answers nonsense. ``zone`` is sent in the header ``X-Zone``.
    """

    def __init__(
        self,
        url: str,
        zone: str,
        translation: collections.abc.Mapping[str, str] | None = None,
        timeout_ms: int = REQUEST_TIMEOUT_MS,
    ) -> None:
        self._url = addresses.translate_url(url.rstrip('/'), translation or {})
        self._zone = zone
        self._timeout_ms = timeout_ms
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_REQUESTS
        )

    async def get_row(self, table: str, key: str) -> rows.TableRow | None:
        """Return a row, None if it doesn't exist."""
        path = f'/tables/{_quote(table)}/{_quote(key)}'
        body = await self._fetch('get row', 'GET', path)
        if body is None:
            return None
        model = self._parse('get row', _RowModel, body)
        return rows.TableRow(key, model.value, model.version)

    async def list_rows(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = 100,
    ) -> list[rows.TableRow]:
        """Return at most ``limit`` rows after the key ``after``, by key."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        path = f'/tables/{_quote(table)}?{query}'
        body = await self._fetch('list rows', 'GET', path)
        if body is None:
            return []
        model = self._parse('list rows', _RowsModel, body)
        return [
            rows.TableRow(row.key, row.value, row.version)
            for row in model.rows
        ]

    async def put_row(
        self, table: str, key: str, value: Any, expected_version: int
    ) -> rows.TableRow:
        """Write one row if it has the expected version.

        The expected version 0 means that the row must not exist.
        """
        path = f'/tables/{_quote(table)}/{_quote(key)}'
        document = {'value': value, 'expected_version': expected_version}
        body = await self._fetch('put row', 'PUT', path, document)
        model = self._parse('put row', _VersionModel, body)
        return rows.TableRow(key, value, model.version)

    async def transact(self, puts: collections.abc.Sequence[rows.Put]) -> None:
        """Write all rows, or none if one hasn't the expected version."""
        document = {'puts': [dataclasses.asdict(put) for put in puts]}
        body = await self._fetch('transact', 'POST', '/transactions', document)
        versions = self._parse('transact', _VersionsModel, body).versions
        if len(versions) != len(puts):
            raise self._error('transact', 'wrong number of versions')

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it doesn't exist."""
        return await self._fetch(
            'get object', 'GET', f'/objects/{_quote(name)}'
        )

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""
        path = f'/objects/{_quote(name)}'
        await self._fetch('put object', 'PUT', path, data)

    async def hosts(self) -> list[ListedHost]:
        """Return the host list, which lags behind the actual state."""
        body = await self._fetch('list hosts', 'GET', '/hosts')
        models = self._parse('list hosts', _HostsModel, body).root
        return [ListedHost(**model.model_dump()) for model in models]

    async def register_host(self, host: ListedHost) -> None:
        """Say what the platform's list should show of a host."""
        path = f'/hosts/{_quote(host.host_id)}'
        await self._fetch('register host', 'PUT', path, vars(host))

    def close(self) -> None:
        """Close the client; requests under way fail."""
        self._client.close()

    async def _fetch(
        self, step: str, method: str, path: str, document: Any = None
    ) -> bytes | None:
        body = document
        if document is not None and not isinstance(document, bytes):
            body = json.dumps(document)
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            headers={'X-Zone': self._zone},
            body=body,
            connect_timeout=self._timeout_ms / 1000,
            request_timeout=self._timeout_ms / 1000,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            # tornado reports an answer that never came as status 599.
            if response.code == 599:
                response.rethrow()
        except (OSError, httpclient.HTTPClientError) as error:
            raise exceptions.PlatformUnavailable(
                str(error), step=step, peer=self._url
            ) from error
        match response.code:
            case 200:
                return response.body
            case 404 if method == 'GET':
                return None
            case 409:
                row = self._parse(step, _ListedRowModel, response.body)
                raise exceptions.TableConflict(
                    f'{row.table}/{row.key} has version {row.version}',
                    step=step,
                    peer=self._url,
                    row=rows.TableRow(row.key, row.value, row.version),
                )
            case code if code >= 500:
                raise exceptions.PlatformUnavailable(
                    f'status {code}', step=step, peer=self._url
                )
        raise self._error(step, f'status {response.code}')

    def _parse(
        self, step: str, model: type[_Model], body: bytes | None
    ) -> _Model:
        try:
            return model.model_validate_json(body or b'')
        except pydantic.ValidationError as error:
            raise self._error(step, f'unusable answer: {error}') from error

    def _error(self, step: str, message: str) -> exceptions.PlatformError:
        return exceptions.PlatformError(message, step=step, peer=self._url)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe='')
