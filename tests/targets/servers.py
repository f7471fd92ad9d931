"""Database servers that run in the test's event loop."""

import contextlib
import json

from samphirestand.targets import connection
from standins import target
from tests import processes
from tornado import web
from tornado import websocket


@contextlib.asynccontextmanager
async def database_server(**options):
    """Run a database server; yields it with an attribute ``url``."""
    (port,) = processes.free_ports(1)
    arguments = ['--server-id', 'a', '--port', str(port), '--primary']
    arguments += ['--connect-delay-ms', '0', '--statement-ms', '0']
    for name, value in options.items():
        arguments += ['--' + name.replace('_', '-'), str(value)]
    server = target.Server(target.parse(arguments))
    server.url = f'ws://127.0.0.1:{port}'
    listener = target.application(server).listen(port, '127.0.0.1')
    try:
        yield server
    finally:
        listener.stop()
        await server.stop()


def usable_answer(message):
    """Return the fields of a valid answer to ``message``."""
    return {
        'id': message['id'],
        'server': 'a',
        'term': 1,
        'role': 'primary',
        'position': [1, 0],
        'history': [[1, 0]],
    }


@contextlib.asynccontextmanager
async def scripted_server(answer):
    """Run a server that sends ``answer(message)``; yields its URL.

    ``answer`` returns the texts to send; None closes the connection.
    """

    class Handler(websocket.WebSocketHandler):
        async def on_message(self, message):
            for text in answer(json.loads(message)):
                if text is None:
                    self.close()
                else:
                    await self.write_message(text)

    (port,) = processes.free_ports(1)
    application = web.Application([('/session', Handler)])
    listener = application.listen(port, '127.0.0.1')
    try:
        yield f'ws://127.0.0.1:{port}'
    finally:
        listener.stop()


CONNECTORS = [connection.Connector]
