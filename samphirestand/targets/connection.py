"""Connections to targets: JSON messages over WebSocket."""

import asyncio
import dataclasses
import itertools
import json
from typing import Any
import urllib.parse

import pydantic
from tornado import httpclient
from tornado import httputil
from tornado import iostream
from tornado import websocket

from samphirestand import addresses
from samphirestand import exceptions
from samphirestand.targets import messages
from samphirestand import types

# An answer carries all rows of one statement. A larger answer is refused to
# limit the memory that it takes.
MAX_ANSWER_BYTES = 16_777_216

_OPS_BY_TYPE: dict[type, str] = {
    messages.Status: 'status',
    messages.Lock: 'lock',
    messages.Execute: 'execute',
    messages.Begin: 'begin',
    messages.Statement: 'statement',
    messages.Commit: 'commit',
    messages.Rollback: 'rollback',
    messages.Fence: 'fence',
    messages.Promote: 'promote',
    messages.Follow: 'follow',
}

_WirePosition = tuple[
    pydantic.NonNegativeInt,
    pydantic.NonNegativeInt,
]


class _ErrorModel(pydantic.BaseModel):
    """Error object of an answer."""

    code: str
    message: str = ''


class _AnswerModel(pydantic.BaseModel):
    """JSON form of an answer."""

    id: int
    server: str
    term: pydantic.NonNegativeInt
    role: str
    position: _WirePosition
    history: list[_WirePosition] = pydantic.Field(min_length=1)
    primary_url: str = ''
    locked_by: str = ''
    rows: list[Any] = pydantic.Field(default_factory=list)
    result_position: _WirePosition | None = None
    replayed: bool = False
    granted: bool = False
    holder: str = ''
    error: _ErrorModel | None = None
    ran: bool | None = None


class Connection:
    """One WebSocket connection to a target, with one call at a time."""

    def __init__(
        self, socket: websocket.WebSocketClientConnection, peer: str
    ) -> None:
        self._socket = socket
        self._peer = peer
        self._ids = itertools.count(1)
        self._is_open = True
        self._has_pending_call = False

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can be used."""
        protocol = self._socket.protocol
        if not self._is_open or protocol is None:
            return False
        return not protocol.is_closing()

    async def call(
        self, call: messages.Call, timeout_ms: int
    ) -> messages.Answer:
        """Send ``call`` and await its answer.

        Raises ``TargetError`` if nothing was sent, and ``AnswerLost`` if the
        call was sent and no matching answer came in time; the connection is
        then closed. Cancellation closes it too, because its answer is still
        outstanding.
        """
        if not self.is_open:
            raise self._call_error('the connection is closed', sent=False)
        if self._has_pending_call:
            raise self._call_error('another call is outstanding', sent=False)
        if self._socket.read_queue.qsize():
            self.close()
            raise self._call_error('an answer came without a call', sent=False)
        call_id = next(self._ids)
        text = encode(call_id, call)

        self._has_pending_call = True
        has_answer = False
        try:
            # Not asyncio.wait_for: that of Python 3.11 returns the answer
            # instead of a cancellation that comes at the same moment.
            async with asyncio.timeout(timeout_ms / 1000):
                answer = await self._send_and_receive(call_id, text)
            has_answer = True
        except TimeoutError as error:
            raise self._call_error(
                f'no answer within {timeout_ms} ms', sent=True
            ) from error
        finally:
            self._has_pending_call = False
            if not has_answer:
                self.close()
        return answer

    def close(self) -> None:
        """Close the connection without a WebSocket close handshake."""
        if not self._is_open:
            return
        self._is_open = False
        protocol = self._socket.protocol
        if protocol is None:
            return
        # On a connection whose peer is silent, a close handshake would keep
        # the connection open here for seconds, and the server wouldn't see
        # it end in that time either.
        self._socket.close()
        stream = getattr(protocol, 'stream', None)
        if stream is not None:
            stream.close()

    async def _send_and_receive(
        self, call_id: int, text: str
    ) -> messages.Answer:
        try:
            await self._socket.write_message(text)
        except websocket.WebSocketClosedError as error:
            # The server may have received the message before the close.
            raise self._call_error(
                'closed while sending', sent=True
            ) from error
        reply = await self._socket.read_message()
        if reply is None:
            raise self._call_error('closed before the answer', sent=True)
        try:
            return decode(call_id, reply)
        except ValueError as error:
            raise self._call_error(
                f'unusable answer: {error}', sent=True
            ) from error

    def _call_error(
        self, message: str, *, sent: bool
    ) -> exceptions.TargetError:
        if sent:
            return exceptions.AnswerLost(
                message, step='target call', peer=self._peer
            )
        return exceptions.TargetError(
            message, step='target call', peer=self._peer
        )


class Connector:
    """Opens connections to targets."""

    def __init__(self, translation: dict[str, str] | None = None) -> None:
        self._translation = translation or {}

    async def connect(
        self, url: str, application: str, timeout_ms: int
    ) -> Connection:
        """Open a connection; raise ``TargetConnectError`` on failure.

        ``url`` is ``ws://ip:port``, with or without ``/session``.
        """
        request = httpclient.HTTPRequest(
            session_url(url, application, self._translation),
            connect_timeout=timeout_ms / 1000,
            request_timeout=timeout_ms / 1000,
        )
        attempt = asyncio.ensure_future(
            websocket.websocket_connect(
                request, max_message_size=MAX_ANSWER_BYTES
            )
        )
        try:
            socket = await asyncio.shield(attempt)
        except asyncio.CancelledError:
            # A connection that opens after this would have no owner and use
            # up one of the target's connections.
            attempt.add_done_callback(_close_if_connected)
            raise
        except (
            OSError,
            ValueError,
            httpclient.HTTPClientError,
            httputil.HTTPInputError,
            iostream.StreamClosedError,
            websocket.WebSocketError,
        ) as error:
            raise exceptions.TargetConnectError(
                str(error) or type(error).__name__,
                step='target connect',
                peer=url,
            ) from error
        return Connection(socket, url)


def _close_if_connected(
    attempt: asyncio.Future[websocket.WebSocketClientConnection],
) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        socket = attempt.result()
        Connection(socket, '').close()


def session_url(
    url: str, application: str, translation: dict[str, str]
) -> str:
    """Return the URL of a session with the target at ``url``."""
    query = urllib.parse.urlencode({'application': application})
    base = url.rstrip('/').removesuffix('/session')
    return f'{addresses.translate_url(base, translation)}/session?{query}'


def encode(call_id: int, call: messages.Call) -> str:
    """Return the JSON text of a call."""
    body: dict[str, Any] = {'id': call_id, 'op': _OPS_BY_TYPE[type(call)]}
    for field in dataclasses.fields(call):
        value = getattr(call, field.name)
        if isinstance(value, types.Position):
            value = [value.term, value.offset]
        body[field.name] = value
    return json.dumps(body)


def decode(call_id: int, reply: str | bytes) -> messages.Answer:
    """Parse the answer to call ``call_id``; raise ``ValueError``."""
    model = _AnswerModel.model_validate_json(reply)
    if model.id != call_id:
        raise ValueError(f'answer to call {model.id} instead of {call_id}')
    if model.position[0] != model.history[-1][0]:
        raise ValueError(f'position {model.position} is not of the last term')
    position = model.result_position
    failure = None
    if model.error is not None:
        failure = messages.Failure(
            model.error.code, model.error.message, model.ran
        )
    return messages.Answer(
        state=types.TargetState(
            server=model.server,
            term=model.term,
            role=model.role,
            history=types.History(tuple(model.history), model.position[1]),
            primary_url=model.primary_url,
        ),
        rows=tuple(model.rows),
        position=types.Position(*position) if position else None,
        replayed=model.replayed,
        granted=model.granted,
        holder=model.holder or model.locked_by,
        failure=failure,
    )
