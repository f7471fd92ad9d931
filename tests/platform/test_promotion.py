"""Orders to promote a replica, over connections that a partition has cut."""

import asyncio

import pytest

from samphirestand import node_settings
from samphirestand.platform import promotion


def test_order_without_answer_is_withdrawn_from_the_network(monkeypatch):
    """Guards against an order that arrives after one with a higher token.

    A partition holds up what was sent. Where the platform doesn't compare
    tokens, only a reset keeps these bytes from being delivered later.
    """
    monkeypatch.setattr(promotion, 'REQUEST_TIMEOUT_MS', 100)

    async def scenario():
        ended = asyncio.get_running_loop().create_future()

        async def receive(reader, writer):
            try:
                await reader.read()
            except ConnectionResetError as error:
                ended.set_result(error)
            else:
                ended.set_result('end of stream')
            writer.close()

        server = await asyncio.start_server(receive, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = promotion.PromotionClient(
            node_settings.Endpoint('127.0.0.1', port)
        )
        answer, _ = await client.order('svc', 'i-2', 'host-0', 3, lambda: True)
        assert answer is promotion.PromotionAnswer.UNKNOWN
        async with asyncio.timeout(5):
            assert isinstance(await ended, ConnectionResetError)
        client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('status', 'answer'),
    [
        (200, promotion.PromotionAnswer.ACCEPTED),
        (409, promotion.PromotionAnswer.REJECTED),
        (429, promotion.PromotionAnswer.NOT_DONE),
        (503, promotion.PromotionAnswer.NOT_DONE),
        (500, promotion.PromotionAnswer.UNKNOWN),
    ],
)
def test_answers_of_the_platform(status, answer):
    """Guards against an order that may be carried out counted as not done."""

    async def scenario():
        async def respond(reader, writer):
            await reader.readuntil(b'}')
            head = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n'
            writer.write(head.encode() + b'{}')

        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = promotion.PromotionClient(
            node_settings.Endpoint('127.0.0.1', port)
        )
        found, _ = await client.order('svc', 'i-2', 'host-0', 3, lambda: True)
        assert found is answer
        client.close()
        server.close()

    asyncio.run(scenario())
