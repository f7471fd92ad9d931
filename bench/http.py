"""A small HTTP/1.1 client that tells whether a failed request was sent."""

import asyncio
import dataclasses
import json
from typing import Any


class Unsent(Exception):
    """The connection couldn't be opened; nothing was sent."""


class Lost(Exception):
    """The request may have been sent, and no complete answer came."""


class Garbled(Lost):
    """The bytes received are not a valid HTTP answer with a JSON object."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete answer; ``document`` is empty if it has no body."""

    status: int
    document: dict[str, Any]


class Channel:
    """A persistent connection to a host, for one request at a time.

    ``delay_ms`` simulates the one-way delay of the network. A forwarded port
    with a delay would not do: it accepts connections even if the host refuses
    them, so a request that never reached the host would count as sent.
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
        """Send a request and return the answer.

        Opens the connection if needed. ``timeout_s`` applies to connecting
        and to the exchange separately. Raises ``Unsent`` if no connection
        can be opened, ``Garbled`` if the answer is invalid, and ``Lost`` if
        it is missing or incomplete.
        """
        body = json.dumps(document).encode() if document else b''
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self._address}:{self._port}',
            f'Content-Length: {len(body)}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        head = '\r\n'.join([*lines, '', '']).encode()
        reader, writer = await self._ensure_connected(timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self._delay_s)
                writer.write(head + body)
                await writer.drain()
                response = await self._read_response(reader)
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
        """Close the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _ensure_connected(
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

    async def _read_response(self, reader: asyncio.StreamReader) -> Response:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        status_line, *header_lines = head.split('\r\n')[:-2]
        headers = {}
        for header_line in header_lines:
            name, _, value = header_line.partition(':')
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers['content-length']))
        if headers.get('connection', '').lower() == 'close':
            self.close()
        document = json.loads(body) if body else {}
        if not isinstance(document, dict):
            raise ValueError('the body is not an object')
        return Response(int(status_line.split(' ')[1]), document)
