"""HTTP client of the platform: table service, object store, host list."""

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
# Concurrent requests of one host to the platform. Further requests wait in a
# queue of the client; the timeout includes that wait.
MAX_CONCURRENT_REQUESTS = 32


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """A host in the platform's list; ``status`` is ``live`` or ``leaving``."""

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
    """Sends requests to the platform at ``url``.

    Methods raise ``PlatformUnavailable`` if no response arrived (a write may
    then have taken effect), ``TableConflict`` if a conditional write found
    another version, and ``PlatformError`` if the platform refused the request
    or its response is invalid. ``zone`` is sent in the header ``X-Zone``.
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
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
        )

    async def get_row(self, table: str, key: str) -> rows.TableRow | None:
        """Return a row, or None if it doesn't exist."""
        path = f'/tables/{_quote_segment(table)}/{_quote_segment(key)}'
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
        """Return up to ``limit`` rows after key ``after``, in key order."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        path = f'/tables/{_quote_segment(table)}?{query}'
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
        """Write a row if its version is ``expected_version``.

        ``expected_version`` 0 means that the row must not exist.
        """
        path = f'/tables/{_quote_segment(table)}/{_quote_segment(key)}'
        document = {'value': value, 'expected_version': expected_version}
        body = await self._fetch('put row', 'PUT', path, document)
        model = self._parse('put row', _VersionModel, body)
        return rows.TableRow(key, value, model.version)

    async def transact(self, puts: collections.abc.Sequence[rows.Put]) -> None:
        """Write all rows, or none if one hasn't its expected version."""
        document = {'puts': [dataclasses.asdict(put) for put in puts]}
        body = await self._fetch('transact', 'POST', '/transactions', document)
        versions = self._parse('transact', _VersionsModel, body).versions
        if len(versions) != len(puts):
            raise self._platform_error('transact', 'wrong number of versions')

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it doesn't exist."""
        return await self._fetch(
            'get object', 'GET', f'/objects/{_quote_segment(name)}'
        )

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""
        path = f'/objects/{_quote_segment(name)}'
        await self._fetch('put object', 'PUT', path, data)

    async def hosts(self) -> list[ListedHost]:
        """Return the platform's host list, which may be out of date."""
        body = await self._fetch('list hosts', 'GET', '/hosts')
        models = self._parse('list hosts', _HostsModel, body).root
        return [ListedHost(**model.model_dump()) for model in models]

    async def register_host(self, host: ListedHost) -> None:
        """Set the entry of a host in the platform's list."""
        path = f'/hosts/{_quote_segment(host.host_id)}'
        await self._fetch('register host', 'PUT', path, vars(host))

    def close(self) -> None:
        """Close the client; requests in progress fail."""
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
            # tornado uses status 599 for a request without a response.
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
        raise self._platform_error(step, f'status {response.code}')

    def _parse(
        self, step: str, model: type[_Model], body: bytes | None
    ) -> _Model:
        try:
            return model.model_validate_json(body or b'')
        except pydantic.ValidationError as error:
            raise self._platform_error(
                step, f'unusable answer: {error}'
            ) from error

    def _platform_error(
        self, step: str, message: str
    ) -> exceptions.PlatformError:
        return exceptions.PlatformError(message, step=step, peer=self._url)


def _quote_segment(text: str) -> str:
    return urllib.parse.quote(text, safe='')
