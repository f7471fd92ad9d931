"""A small HTTP/1.1 client that knows whether a request was sent."""

import asyncio
import dataclasses
import json
from typing import Any


class Unsent(Exception):
    """The connection couldn't be opened; nothing was sent."""


class Lost(Exception):
    """The request was sent and the whole answer didn't come."""


class Garbled(Lost):
    """Bytes came that aren't an answer to a request."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete answer."""

    status: int
    document: dict[str, Any]


class Channel:
    """One persistent connection to a host, for one request at a time.

    The network's one-way delay is waited for here and not in a forwarded
    port: a port accepts connections to a host that refuses them, and the
    caller would take a request as sent that never left.
    """

    def __init__(self, address: str, port: int, delay_ms: int = 0) -> None:
        self._address = address
        self._port = port
        self._delay_s = delay_ms / 1000
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        key: str = '',
        timeout_s: float = 10.0,
    ) -> Response:
        """Send a request; raises ``Unsent``, ``Lost`` or ``Garbled``."""
        body = json.dumps(document).encode() if document else b''
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self._address}:{self._port}',
            f'Content-Length: {len(body)}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        head = '\r\n'.join([*lines, '', '']).encode()
        reader, writer = await self._open(timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self._delay_s)
                writer.write(head + body)
                await writer.drain()
                response = await self._read(reader)
                await asyncio.sleep(self._delay_s)
                return response
        except TimeoutError as error:
            self.close()
            raise Lost('no answer in time') from error
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise Lost(str(error) or type(error).__name__) from error
        except (ValueError, KeyError, asyncio.LimitOverrunError) as error:
            self.close()
            raise Garbled(repr(error)) from error
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _open(
        self, timeout_s: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is not None and self._reader.at_eof():
            self.close()
        if self._reader is None or self._writer is None:
            try:
                async with asyncio.timeout(timeout_s):
                    await asyncio.sleep(2 * self._delay_s)
                    self._reader, self._writer = await asyncio.open_connection(
                        self._address, self._port
                    )
            except (OSError, TimeoutError) as error:
                raise Unsent(str(error) or 'no connection') from error
        return self._reader, self._writer

    async def _read(self, reader: asyncio.StreamReader) -> Response:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        start, *fields = head.split('\r\n')[:-2]
        headers = {}
        for field in fields:
            name, _, value = field.partition(':')
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers['content-length']))
        if headers.get('connection', '').lower() == 'close':
            self.close()
        document = json.loads(body) if body else {}
        if not isinstance(document, dict):
            raise ValueError('the body is not an object')
        return Response(int(start.split(' ')[1]), document)
