"""Tests of the RPC server and client over the loopback interface."""

import asyncio
import contextlib
import datetime
import socket

import capnp
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
import pytest

from samphirestand import clock as clocks
from samphirestand import config
from samphirestand import exceptions
from samphirestand.hosts import client
from samphirestand.hosts import codec
from samphirestand.hosts import server
from samphirestand.hosts import tls
from samphirestand import types
from tests.hosts import fakes

SECRET = 'fleet secret'


def run(coroutine):
    return asyncio.run(capnp.run(coroutine))


@contextlib.asynccontextmanager
async def host(gateway=None, secret=SECRET, contexts=None):
    """Run the server of one host.

    Yields the host, and with ``contexts`` also its server.
    """
    gateway = gateway or fakes.Gateway()
    services = server.Services(
        gateway,
        fakes.Echo(),
        fakes.Tokens(),
        fakes.Configuration(3),
        fakes.Explainer(),
    )
    peer_server = server.PeerServer(
        lambda: ('h1', 7),
        secret,
        services,
        contexts and contexts.server,
    )
    port = await peer_server.start('127.0.0.1', 0)
    try:
        served_host = fakes.host('h1', port=port)
        if contexts is None:
            yield served_host
        else:
            yield served_host, peer_server
    finally:
        await peer_server.close()


@contextlib.asynccontextmanager
async def clients(secret=SECRET, translation=None, contexts=None):
    peer_clients = client.PeerClients(
        lambda: client.Identity('h2', 'a', 1, secret),
        clocks.SystemClock(),
        translation,
        lambda: contexts and contexts.client,
    )
    try:
        yield peer_clients
    finally:
        await peer_clients.close()


def test_all_methods_reach_the_services():
    """Guards against message fields that get lost between two hosts."""
    position = types.Position(3, 14)
    state = types.TargetState(
        't1', 3, 'primary', types.History(((1, 0), (3, 5)), 14), 'ws://x'
    )
    gateway = fakes.Gateway(
        types.Done(({'a': None}, 2), position, 't1', 'primary', 'x', True, 9),
        types.TargetStatus(state, 0, True),
    )
    sent = fakes.request(session=position, transaction_id='s.t1.h1.r')

    async def main():
        async with host(gateway) as h1, clients() as peers:
            assert await peers.run(h1, sent, 5_000) == gateway.outcome
            assert gateway.requests == [sent]
            status = await peers.target_status(h1, 't1', position, 0, 5_000)
            assert status.state == state
            assert status.suspects_primary
            grant = await peers.take_tokens(h1, 'acme', 8, True, 5_000)
            assert grant == types.TokenGrant(4, 300)
            rows = await peers.configuration_changes(h1, 1, 5_000)
            assert rows == [fakes.change(2), fakes.change(3)]
            text = await peers.explain(h1, 'request', 'r1', 5_000)
            assert text == 'request r1'
            unknown_text = await peers.explain(h1, 'request', 'unknown', 5_000)
            assert isinstance(unknown_text, exceptions.Sentinel)
            gossip = codec.schema.Gossip.new_message(heartbeat=4)
            assert (await peers.gossip(h1, gossip, 5_000)).heartbeat == 4

    run(main())


@pytest.mark.parametrize(
    'outcome',
    [
        types.NotRun('not_gateway', 'elsewhere', None, 'h9'),
        types.NotRun('rate_exceeded', 'slow down', 0),
        types.Unknown('answer_lost', 'silence'),
        types.Done(),
    ],
)
def test_outcomes_are_encoded_without_loss(outcome):
    """Guards against an outcome that is changed by its encoding."""
    message = codec.encode_outcome(outcome).as_reader()
    assert codec.decode_outcome(message) == outcome


def test_reason_with_a_lone_surrogate():
    """Guards against a refusal that can't be encoded because of its reason."""
    outcome = types.NotRun('bad_statement', 'SET \ud800')
    message = codec.encode_outcome(outcome).as_reader()
    assert codec.decode_outcome(message).reason == 'SET ?'


def test_wrong_secret_is_refused():
    """Guards against a host with a wrong fleet secret that calls methods."""

    async def main():
        gateway = fakes.Gateway()
        async with host(gateway) as h1, clients(secret='other') as peers:
            with pytest.raises(exceptions.HostError) as caught:
                await peers.run(h1, fakes.request(), 1_000)
            assert not isinstance(caught.value, exceptions.HostAnswerLost)
            assert gateway.requests == []

    run(main())


def test_connections_set_tcp_nodelay():
    """Guards against 40 ms for each call because of delayed acknowledgements.

    They occur on connections without TCP_NODELAY.
    """

    async def main():
        accepted = asyncio.get_running_loop().create_future()
        listening = server.listening_socket('127.0.0.1', 0)
        listener = await asyncio.start_server(
            lambda _, writer: accepted.set_result(writer), sock=listening
        )
        _, writer = await asyncio.open_connection(*listening.getsockname())
        connection = (await accepted).get_extra_info('socket')
        option = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert option
        writer.close()
        listener.close()

    run(main())


class Proxy:
    """Forwards connections; on demand, holds back the bytes of open ones."""

    def __init__(self, port):
        self._port = port
        self._tasks = set()
        self._gate = asyncio.Event()
        self._gate.set()
        self.connections = 0

    def silence(self):
        """Hold back the bytes of open connections, but not of new ones."""
        self._gate.clear()
        self._gate = asyncio.Event()
        self._gate.set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.connections += 1
        gate = self._gate
        peer_reader, peer_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        for pair in ((reader, peer_writer), (peer_reader, writer)):
            task = asyncio.create_task(self._pump(*pair, gate))
            self._tasks.add(task)

    async def _pump(self, reader, writer, gate):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await gate.wait()
                writer.write(data)
                await writer.drain()
            writer.close()

    def close(self):
        self.server.close()
        for task in self._tasks:
            task.cancel()


async def read_to_end(reader):
    """Wait until the peer has closed the connection; fail after 5 s."""
    with contextlib.suppress(ConnectionError):
        await asyncio.wait_for(reader.read(-1), 5)


@pytest.mark.parametrize(
    'sent',
    [
        b'',  # sends nothing
        b'\0',  # starts a message and never ends it
        b'GET / HTTP/1.1\r\n\r\n',
        b'\xff' * 64,
        b'\0\0\0\0\xff\xff\xff\x7f' + b'x' * 64,
    ],
)
def test_connections_without_login_are_closed(sent, monkeypatch):
    """Guards against connections without login that stay open.

    Whatever they send, the server must continue to serve other hosts.
    """
    monkeypatch.setattr(server, 'LOGIN_TIMEOUT_MS', 50)

    async def main():
        async with host() as h1, clients() as peers:
            reader, writer = await asyncio.open_connection(
                h1.peer_address, h1.peer_port
            )
            writer.write(sent)
            await read_to_end(reader)
            writer.close()
            outcome = await peers.run(h1, fakes.request(), 5_000)
            assert isinstance(outcome, types.Done)

    run(main())


def test_no_method_is_callable_before_login():
    """Guards against methods that can be called without a login."""

    async def main():
        gateway = fakes.Gateway()
        async with host(gateway) as h1:
            stream = await capnp.AsyncIoStream.create_connection(
                h1.peer_address, h1.peer_port
            )
            bootstrap = capnp.TwoPartyClient(stream).bootstrap()
            peer = bootstrap.cast_as(codec.schema.Peer)
            message = codec.encode_request(fakes.request())
            with pytest.raises(capnp.KjException):
                await peer.run(message)
            assert gateway.requests == []
            stream.close()

    run(main())


@pytest.mark.parametrize('listens', [True, False])
def test_peer_that_never_answers_a_login(listens):
    """Guards against calls that hang or are reported as sent."""

    async def main():
        writers = []

        async def accept(reader, writer):
            writers.append(writer)
            await read_to_end(reader)

        silent_server = await asyncio.start_server(accept, '127.0.0.1', 0)
        port = silent_server.sockets[0].getsockname()[1]
        if not listens:
            silent_server.close()
            await silent_server.wait_closed()
        async with clients() as peers:
            with pytest.raises(exceptions.HostError) as caught:
                await peers.run(
                    fakes.host('h1', port=port), fakes.request(), 300
                )
            assert not isinstance(caught.value, exceptions.HostAnswerLost)
        silent_server.close()

    run(main())


def test_silent_connection_is_replaced(monkeypatch):
    """Guards against calls on a connection that doesn't answer any more."""
    monkeypatch.setattr(client, 'SILENT_MS', 50)
    monkeypatch.setattr(client, 'PING_TIMEOUT_MS', 50)

    async def main():
        async with host() as h1:
            proxy = Proxy(h1.peer_port)
            translation = {
                f'127.0.0.1:{h1.peer_port}': f'127.0.0.1:{await proxy.start()}'
            }
            async with clients(translation=translation) as peers:
                await peers.run(h1, fakes.request(), 5_000)
                proxy.silence()
                with pytest.raises(exceptions.HostAnswerLost) as caught:
                    await peers.run(h1, fakes.request(), 60_000)
                assert 'unanswered' in caught.value.message
                await peers.run(h1, fakes.request(), 5_000)
                assert proxy.connections == 2
            proxy.close()

    run(main())


def test_slow_call_keeps_its_connection(monkeypatch):
    """Guards against a slow statement that ends with its connection.

    The connection still answers pings, so it must not be replaced.
    """
    monkeypatch.setattr(client, 'SILENT_MS', 20)

    async def main():
        gateway = fakes.Gateway()
        gateway.gate = asyncio.Event()
        async with host(gateway) as h1, clients() as peers:
            slow = asyncio.create_task(peers.run(h1, fakes.request(), 60_000))
            await asyncio.sleep(0.3)
            gateway.gate.set()
            assert await slow == gateway.outcome

    run(main())


def test_idle_connection_is_closed_and_reopened(monkeypatch):
    """Guards against idle connections that stay open or can't be reopened."""
    monkeypatch.setattr(client, 'IDLE_CLOSE_MS', 200)
    monkeypatch.setattr(client, 'IDLE_CHECK_MS', 20)

    async def main():
        async with host() as h1, clients() as peers:
            await peers.run(h1, fakes.request(), 5_000)
            assert peers.is_connected(h1)
            for _ in range(500):
                await asyncio.sleep(0.01)
                if not peers.is_connected(h1):
                    break
            assert not peers.is_connected(h1)
            await peers.run(h1, fakes.request(), 5_000)

    run(main())


def test_answer_after_the_timeout_is_discarded():
    """Guards against an answer that is taken for that of a later call.

    Also guards against a statement that is cancelled when its caller gives up.
    """

    async def main():
        gateway = fakes.Gateway()
        gateway.gate = asyncio.Event()
        async with host(gateway) as h1, clients() as peers:
            with pytest.raises(exceptions.HostAnswerLost):
                await peers.run(h1, fakes.request(), 300)
            gateway.gate.set()
            gateway.outcome = types.Done(rows=('second',))
            second = await peers.run(h1, fakes.request(request_id='r2'), 5_000)
            assert second.rows == ('second',)
            assert gateway.finished == 2

    run(main())


def test_caller_that_disconnects_during_a_call():
    """Guards against a statement that is cancelled while it runs."""

    async def main():
        gateway = fakes.Gateway()
        gateway.gate = asyncio.Event()
        async with host(gateway) as h1:
            async with clients() as peers:
                call = asyncio.create_task(
                    peers.run(h1, fakes.request(), 60_000)
                )
                await gateway.started.wait()
            with pytest.raises(exceptions.HostAnswerLost):
                await call
            await asyncio.sleep(0.05)
            gateway.gate.set()
        assert gateway.finished == 1

    run(main())


def test_close_finishes_running_calls():
    """Guards against a planned stop that cancels another host's request."""

    async def main():
        gateway = fakes.Gateway()
        gateway.gate = asyncio.Event()
        async with clients() as peers:
            async with host(gateway) as h1:
                call = asyncio.create_task(
                    peers.run(h1, fakes.request(), 60_000)
                )
                await gateway.started.wait()
                asyncio.get_running_loop().call_later(0.05, gateway.gate.set)
            assert isinstance(await call, types.Done)

    run(main())


def test_host_that_disconnects_during_a_call():
    """Guards against "not sent" for a request that may have run."""

    async def main():
        gateway = fakes.Gateway()
        gateway.gate = asyncio.Event()
        async with host(gateway) as h1:
            proxy = Proxy(h1.peer_port)
            proxied_host = fakes.host('h1', port=await proxy.start())
            async with clients() as peers:
                call = asyncio.create_task(
                    peers.run(proxied_host, fakes.request(), 60_000)
                )
                await gateway.started.wait()
                proxy.close()
                with pytest.raises(exceptions.HostAnswerLost):
                    await call
            gateway.gate.set()

    run(main())


def test_another_host_at_the_same_address():
    """Guards against a request to a host that took over an address."""

    async def main():
        gateway = fakes.Gateway()
        async with host(gateway) as h1, clients() as peers:
            with pytest.raises(exceptions.HostError):
                await peers.run(
                    fakes.host('gone', port=h1.peer_port),
                    fakes.request(),
                    5_000,
                )
            assert gateway.requests == []

    run(main())


class Authority:
    """A certificate authority for the tests."""

    def __init__(self, name):
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self.certificate = self._sign(self._name, self._key, True)

    def _sign(self, name, key, is_authority):
        now = datetime.datetime.now(datetime.UTC)
        day = datetime.timedelta(days=1)
        return (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - day)
            .not_valid_after(now + day)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .sign(self._key, hashes.SHA256())
        )

    def write(self, folder):
        """Write the files of a host and return their settings."""
        folder.mkdir(exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'h')])
        pem = serialization.Encoding.PEM
        contents = {
            'cert': self._sign(name, key, False).public_bytes(pem),
            'key': key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
            'authority': self.certificate.public_bytes(pem),
        }
        for file_name, content in contents.items():
            (folder / file_name).write_bytes(content)
        return config.Tls(
            folder / 'cert', folder / 'key', folder / 'authority'
        )


@pytest.mark.parametrize('kind', ['member', 'foreign', 'plain'])
def test_mutual_tls(kind, tmp_path):
    """Guards against calls of hosts without a certificate of the fleet."""

    async def main():
        fleet = Authority('fleet')
        contexts = tls.PeerTls(fleet.write(tmp_path / 'h1'))
        own_contexts = None
        if kind == 'member':
            own_contexts = tls.PeerTls(fleet.write(tmp_path / 'h2'))
        elif kind == 'foreign':
            files = Authority('other').write(tmp_path / 'h2')
            (tmp_path / 'h2' / 'authority').write_bytes(
                (tmp_path / 'h1' / 'authority').read_bytes()
            )
            own_contexts = tls.PeerTls(files)
        async with (
            host(contexts=contexts) as (h1, _),
            clients(contexts=own_contexts) as peers,
        ):
            if kind == 'member':
                await peers.run(h1, fakes.request(), 5_000)
                return
            with pytest.raises(exceptions.HostError) as caught:
                await peers.run(h1, fakes.request(), 1_000)
            assert type(caught.value) is exceptions.HostError

    run(main())


def test_certificates_are_replaced_without_a_restart(tmp_path):
    """Guards against new certificates that aren't used, or end connections.

    Open connections must stay, and new ones must use the new authority.
    """

    async def main():
        old, new = Authority('old'), Authority('new')
        contexts = tls.PeerTls(old.write(tmp_path / 'h1'))
        old_host = tls.PeerTls(old.write(tmp_path / 'h2'))
        new_host = tls.PeerTls(new.write(tmp_path / 'h3'))
        async with (
            host(contexts=contexts) as (h1, peer_server),
            clients(contexts=old_host) as first,
            clients(contexts=old_host) as second,
            clients(contexts=new_host) as third,
        ):
            await first.run(h1, fakes.request(), 5_000)
            assert not contexts.refresh()
            (tmp_path / 'h1' / 'key').write_text('half-written')
            assert not contexts.refresh()
            new.write(tmp_path / 'h1')
            assert contexts.refresh()
            await peer_server.listen(contexts.server)
            await third.run(h1, fakes.request(), 5_000)
            await first.run(h1, fakes.request(), 5_000)
            with pytest.raises(exceptions.HostError):
                await second.run(h1, fakes.request(), 1_000)

    run(main())
