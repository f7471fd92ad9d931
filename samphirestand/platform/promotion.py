"""Client of the platform call that makes a replica the primary."""

import collections.abc
import enum
import json
from typing import Any

from tornado import httpclient
from tornado import iostream
from tornado import simple_httpclient
from tornado import tcpclient

from samphirestand import node_settings
from samphirestand import sockets

__all__ = ['PromotionAnswer', 'PromotionClient']

# The platform accepts a promotion within 30 ms. The limit allows for a slow
# platform and still leaves time for two attempts during a failover.
REQUEST_TIMEOUT_MS = 1_500


class PromotionAnswer(enum.Enum):
    """The platform's answer to an order to promote a replica."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'  # a higher token was seen, or no such server runs
    NOT_DONE = 'not done'  # the platform answered 429 or 503
    UNKNOWN = 'unknown'  # the promotion may still take place


class _SendingStopped(Exception):
    """The body of a request was not sent."""


class _ResettingTCPClient(tcpclient.TCPClient):
    """Opens connections that are reset when they are closed."""

    async def connect(self, *args: Any, **kwargs: Any) -> iostream.IOStream:
        stream = await super().connect(*args, **kwargs)
        sockets.discard_unsent_on_close(stream.socket)
        return stream


class PromotionClient:
    """Orders the platform to promote replicas, with a fencing token."""

    def __init__(self, endpoint: node_settings.Endpoint) -> None:
        self._url = f'http://{endpoint}/promotion'
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )
        # An order that timed out must not arrive after a later one.
        self._client.tcp_client = _ResettingTCPClient(
            resolver=self._client.resolver
        )

    async def order(
        self,
        service: str,
        target_id: str,
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> tuple[PromotionAnswer, str]:
        """Order the platform to make ``target_id`` the primary of ``service``.

        Returns the answer and its text for the log. ``token`` is the fencing
        token. Not all platforms reject one that is below the highest seen, so
        ``may_send`` is called once more when the connection is open: the
        process may have been suspended meanwhile.
        """
        body = json.dumps({'Service': service, 'Id': target_id}).encode()

        def produce_body(
            write: collections.abc.Callable[[bytes], Any],
        ) -> Any:
            if not may_send():
                raise _SendingStopped
            return write(body)

        request = httpclient.HTTPRequest(
            self._url,
            method='POST',
            headers={
                'Content-Type': 'application/json',
                'X-Samphirestand-Duty-Holder': holder,
                'X-Samphirestand-Fence-Token': str(token),
                'Content-Length': str(len(body)),
            },
            body_producer=produce_body,
            connect_timeout=REQUEST_TIMEOUT_MS / 1000,
            request_timeout=REQUEST_TIMEOUT_MS / 1000,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except _SendingStopped:
            return PromotionAnswer.NOT_DONE, 'the token may have expired'
        except (httpclient.HTTPError, OSError) as error:
            return PromotionAnswer.UNKNOWN, str(error)
        text = (
            f'{response.code} {response.body[:200].decode(errors="replace")}'
        )
        match response.code:
            case 200:
                return PromotionAnswer.ACCEPTED, text
            case 409:
                return PromotionAnswer.REJECTED, text
            case 429 | 503:
                return PromotionAnswer.NOT_DONE, text
            case _:
                return PromotionAnswer.UNKNOWN, text

    def close(self) -> None:
        self._client.close()
