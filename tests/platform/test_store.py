"""The client of the store, against answers that a test chooses."""

import asyncio
import base64
import json

from tornado import httpserver
from tornado import web

from samphirestand import node_settings
from samphirestand.platform import store as store_module
from tests import nodes


def row(key, version):
    value = base64.b64encode(b'{}').decode()
    return {'Table': 't', 'Key': key, 'Value': value, 'Ver': version}


def ask(answers, question):
    """Return the result of ``question(store)`` and the queries it sent."""
    queries = []

    class Handler(web.RequestHandler):
        def get(self):
            queries.append(self.request.query_arguments)
            self.write(json.dumps(answers.pop(0)))

    async def scenario():
        server = httpserver.HTTPServer(
            web.Application(
                [('/-/.*', Handler)], log_function=lambda handler: None
            )
        )
        port = nodes.free_port()
        server.listen(port, '127.0.0.1')
        store = store_module.Store(node_settings.Endpoint('127.0.0.1', port))
        try:
            return await question(store)
        finally:
            store.close()
            server.stop()

    return asyncio.run(scenario()), queries


def test_changes_of_earlier_pages_are_not_missed():
    """Guards against targets that stay unknown until they change again.

    A row of the first page changed in version 8, while the second page was
    read.
    """
    answers = [
        {'rows': [row('a', 3)], 'HasMore': True, 'Ver': 7, 'NowMs': 1},
        {'rows': [row('b', 4)], 'HasMore': False, 'Ver': 8, 'NowMs': 2},
    ]
    found, _ = ask(answers, lambda store: store.read('t'))
    assert [each.key for each in found.rows] == ['a', 'b']
    assert found.version == 7
