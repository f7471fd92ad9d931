"""A small HTTP/1.1 server for the stand-ins of the platform."""

import asyncio
import json
import urllib.parse


class HttpServer:
    """Serves JSON over HTTP/1.1 with connections that stay open.

    ``handle`` gets method, path, query, headers and the decoded body and
    returns status and body, or None to leave the request without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._tasks = set()

    async def start(self, address, port):
        self._server = await asyncio.start_server(
            self._serve_connection, address, port
        )

    async def _serve_connection(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.split('\r\n')
        method, target, _ = first.split(' ', 2)
        headers = {}
        for line in lines:
            name, separator, value = line.partition(':')
            if separator:
                headers[name.strip().lower()] = value.strip()
        raw = await reader.readexactly(int(headers.get('content-length', 0)))
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        result = await self._handle(
            method, url.path, query, headers, json.loads(raw) if raw else {}
        )
        if result is None:
            # No answer: the connection delivers nothing further.
            await reader.read()
            return False
        status, body = result
        data = json.dumps(body).encode()
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'.encode()
            + data
        )
        await writer.drain()
        return True

    def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
