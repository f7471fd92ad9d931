"""Client of the platform call that makes a replica the primary."""

import enum
import json

from tornado import httpclient

from samphirestand import node_settings

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


class PromotionClient:
    """Orders the platform to promote replicas, with a fencing token."""

    def __init__(self, endpoint: node_settings.Endpoint) -> None:
        self._url = f'http://{endpoint}/promotion'
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    async def order(
        self, service: str, target_id: str, holder: str, token: int
    ) -> tuple[PromotionAnswer, str]:
        """Order the platform to make ``target_id`` the primary of ``service``.

        Returns the answer and its text for the log. ``token`` is the fencing
        token: the platform rejects one that is below the highest it has seen.
        """
        request = httpclient.HTTPRequest(
            self._url,
            method='POST',
            headers={
                'Content-Type': 'application/json',
                'X-Samphirestand-Duty-Holder': holder,
                'X-Samphirestand-Fence-Token': str(token),
            },
            body=json.dumps({'Service': service, 'Id': target_id}),
            connect_timeout=REQUEST_TIMEOUT_MS / 1000,
            request_timeout=REQUEST_TIMEOUT_MS / 1000,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
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
