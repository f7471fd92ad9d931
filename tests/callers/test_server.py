"""Tests of the HTTP server on the loopback address."""

import asyncio
import json
import pathlib
import tempfile

import pytest
from tornado import iostream
from tornado import tcpclient
from tornado import testing

from samphirestand.callers import server
from samphirestand import exceptions
from samphirestand import types
from tests.callers import fakes

MAX_BODY_BYTES = 4_096
STATEMENT = {
    'service': 's',
    'statement': 'SET x 1',
    'mode': 'write',
    'request_id': 'r1',
}


class Operators:
    """Echoes commands; refuses the command ``BAD``."""

    async def execute(self, command, operator):
        if command == 'BAD':
            raise exceptions.CommandError('no such command', step='parse')
        return {'command': command, 'operator': operator}


class ServerTest(testing.AsyncHTTPTestCase):
    """Base of the tests: runs a server with the entry of a harness."""

    idle_timeout_s = 60.0
    body_timeout_s = 60.0

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        super().setUp()

    def tearDown(self):
        super().tearDown()
        self.folder.cleanup()

    def get_app(self):
        return None

    def get_http_server(self):
        self.harness = fakes.Harness(
            pathlib.Path(self.folder.name), real_clock=True
        )
        self.state = server.ServerState(
            entry=self.harness.entry,
            configuration=self.harness.configuration,
            membership=fakes.Membership(),
            metrics=self.harness.metrics,
            operators=Operators(),
            clock=self.harness.clock,
            max_body_bytes=MAX_BODY_BYTES,
            operator_keys_by_id={
                'key-file': types.Key(
                    'key-file', '', fakes.SHA256, role='operator'
                )
            },
        )
        self.server = server.Server(
            self.state,
            idle_timeout_s=self.idle_timeout_s,
            body_timeout_s=self.body_timeout_s,
        )
        return self.server._http

    def post(self, path, document, header=fakes.KEY_HEADER):
        """Post a document; return status, headers and the parsed answer."""
        body = document
        if not isinstance(document, bytes):
            body = json.dumps(document)
        response = self.fetch(
            path,
            method='POST',
            body=body,
            headers={'Authorization': header} if header else {},
        )
        return response.code, response.headers, json.loads(response.body)

    async def connect(self):
        """Open a TCP connection to the server."""
        client = tcpclient.TCPClient()
        return await client.connect('127.0.0.1', self.get_http_port())

    async def send(self, stream, document):
        """Send a statement over a connection that stays open."""
        body = json.dumps(document).encode()
        head = (
            'POST /v1/statements HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: {fakes.KEY_HEADER}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        await stream.write(head.encode() + body)

    async def wait_until(self, condition):
        """Wait until ``condition`` holds; fail after about 20 seconds."""
        for _ in range(4_000):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError('the condition did not become true')


class AnswerTest(ServerTest):
    def test_done(self):
        """Guards against answers without rows, session or target."""
        code, _, answer = self.post('/v1/statements', STATEMENT)
        assert code == 200
        assert answer['outcome'] == 'done'
        assert answer['rows'] == [{'value': 1}]
        assert answer['served_by'] == 't1'
        again = {**STATEMENT, 'session': answer['session']}
        assert self.post('/v1/statements', again)[0] == 200
        assert self.harness.router.requests[1].session == types.Position(2, 10)

    def test_transaction(self):
        """Guards against requests that lose their transaction id."""
        self.harness.router.outcomes = [
            types.Done(transaction_id='s.t1.h2.x', target_id='t1')
        ]
        begin = {'service': 's', 'request_id': 'r1'}
        code, _, answer = self.post('/v1/transactions', begin)
        assert (code, answer['transaction']) == (200, 's.t1.h2.x')
        inside = {**STATEMENT, 'transaction': 's.t1.h2.x'}
        assert self.post('/v1/statements', inside)[0] == 200
        for end in ('commit', 'rollback'):
            path = f'/v1/transactions/s.t1.h2.x/{end}'
            assert self.post(path, {'request_id': end})[0] == 200
        sent = self.harness.router.requests
        assert [each.operation for each in sent] == [
            'begin',
            'statement',
            'commit',
            'rollback',
        ]
        assert {each.transaction_id for each in sent[1:]} == {'s.t1.h2.x'}

    def test_outcomes_to_statuses(self):
        """Guards against an unknown outcome that looks like a refusal."""
        cases = [
            (fakes.not_run('bad_statement'), 400, 'not_run'),
            (fakes.not_run('transaction_account_mismatch'), 403, 'not_run'),
            (fakes.not_run('transaction_unknown'), 404, 'not_run'),
            (fakes.not_run('session_position_discarded'), 409, 'not_run'),
            (fakes.not_run('transaction_lost'), 409, 'not_run'),
            (fakes.not_run('conflict'), 409, 'not_run'),
            (types.NotRun('rate_exceeded', 'over', 70), 429, 'not_run'),
            (fakes.not_run('deadline_unattainable'), 503, 'not_run'),
            (fakes.not_run('some_new_code'), 503, 'not_run'),
            (fakes.ANSWER_LOST, 504, 'unknown'),
        ]
        for outcome, status, kind in cases:
            self.harness.router.outcomes = [outcome]
            code, _, answer = self.post('/v1/statements', STATEMENT)
            assert (code, answer['outcome']) == (status, kind)
            assert answer['code'] == outcome.code
            if kind == 'not_run':
                assert answer['retry_after_ms'] == outcome.retry_after_ms

    def test_refusals_of_the_server(self):
        """Guards against refusals that aren't answered with JSON."""
        large = {**STATEMENT, 'statement': 'x' * MAX_BODY_BYTES}
        huge = {**STATEMENT, 'statement': 'x' * 3 * MAX_BODY_BYTES}
        commit = '/v1/transactions/nonsense/commit'
        cases = [
            ('/v1/statements', b'{', fakes.KEY_HEADER, 400, 'bad_request'),
            ('/v1/statements', large, fakes.KEY_HEADER, 413, 'body_too_large'),
            ('/v1/statements', huge, fakes.KEY_HEADER, 413, 'body_too_large'),
            ('/v1/statements', STATEMENT, None, 401, 'key_missing'),
            (commit, {'request_id': 'r'}, fakes.KEY_HEADER, 404,
             'transaction_unknown'),
            ('/v1/nothing', {}, fakes.KEY_HEADER, 404, 'bad_request'),
            ('/v1/operator', {}, fakes.KEY_HEADER, 403, 'key_role_mismatch'),
            ('/v1/operator', {}, fakes.OPERATOR_HEADER, 400, 'bad_request'),
            ('/v1/operator', {'command': 'BAD'}, fakes.OPERATOR_HEADER, 400,
             'bad_request'),
        ]  # fmt: skip
        for path, document, header, status, code in cases:
            result, headers, answer = self.post(path, document, header)
            assert (result, answer['code']) == (status, code)
            assert answer['outcome'] == 'not_run'
            if status == 401:
                assert headers['WWW-Authenticate'] == 'Bearer'
        assert self.harness.router.requests == []
        assert self.state.running_requests == 0

    def test_wrong_method(self):
        """Guards against an answer in HTML, tornado's default."""
        response = self.fetch('/v1/statements')
        assert response.code == 405
        assert json.loads(response.body)['outcome'] == 'not_run'
        assert self.state.running_requests == 0

    def test_chunked_body_over_the_limit(self):
        """Guards against a body without a length that fills the memory."""

        async def main():
            stream = await self.connect()
            await stream.write(
                b'POST /v1/statements HTTP/1.1\r\nHost: x\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
            )
            chunk = b'x' * 1_024
            for _ in range(5):
                await stream.write(b'400\r\n' + chunk + b'\r\n')
            return await stream.read_until(b'\r\n')

        status = self.io_loop.run_sync(main)
        assert status.startswith(b'HTTP/1.1 413')

    def test_operator(self):
        """Guards against commands that run without an operator's key."""
        for key in ('key-o', 'key-file'):
            code, _, answer = self.post(
                '/v1/operator',
                {'command': 'SHOW HOSTS'},
                f'Bearer {key}.{fakes.SECRET}',
            )
            assert code == 200
            assert answer == {'command': 'SHOW HOSTS', 'operator': key}

    def test_withdrawn_key_on_an_open_connection(self):
        """Guards against a key that is checked once per connection only."""

        async def main():
            stream = await self.connect()
            answers = []
            for _ in range(2):
                await self.send(stream, STATEMENT)
                head = await stream.read_until(b'\r\n\r\n')
                length = int(head.split(b'Content-Length: ')[1].split()[0])
                answers.append(json.loads(await stream.read_bytes(length)))
                self.harness.configuration.withdraw('key-a')
            return answers

        first, second = self.io_loop.run_sync(main)
        assert first['outcome'] == 'done'
        assert second['code'] == 'key_withdrawn'

    def test_health_and_metrics(self):
        """Guards against a wrong status of a cut-off or draining host."""
        assert self.fetch('/v1/health').code == 200
        self.harness.configuration.confirmed = False
        answer = self.fetch('/v1/health')
        # Load balancers must go on using the hosts of a cut-off zone.
        assert answer.code == 200
        assert json.loads(answer.body)['status'] == 'cut_off'
        self.state.is_draining = True
        answer = self.fetch('/v1/health')
        assert answer.code == 503
        assert json.loads(answer.body)['status'] == 'draining'
        self.post('/v1/statements', STATEMENT)
        counters = json.loads(self.fetch('/v1/metrics').body)['counters']
        assert counters['callers.not_run.configuration_unconfirmed'] == 1


class DisconnectTest(ServerTest):
    def test_queued_work_of_a_lost_caller_is_cancelled(self):
        """Guards against a request that runs after its caller has gone."""
        self.harness.router.outcomes = [fakes.not_run('not_primary')] * 10_000

        async def main():
            stream = await self.connect()
            await self.send(stream, {**STATEMENT, 'deadline_ms': 60_000})
            await self.wait_until(lambda: self.harness.router.requests)
            stream.close()
            await self.wait_until(lambda: self.state.running_requests == 0)

        self.io_loop.run_sync(main)
        assert self.harness.metrics.counter('callers.abandoned') == 1

    def test_sent_work_of_a_lost_caller_is_finished(self):
        """Guards against a sent request whose outcome isn't recorded."""
        self.harness.router.answer_delay_ms = 100

        async def main():
            stream = await self.connect()
            await self.send(stream, STATEMENT)
            await self.wait_until(lambda: self.harness.router.requests)
            stream.close()
            await self.wait_until(lambda: self.state.running_requests == 0)

        self.io_loop.run_sync(main)
        assert self.harness.metrics.counter('callers.done') == 1


class SlowCallerTest(ServerTest):
    idle_timeout_s = 0.1
    body_timeout_s = 0.1

    def test_slow_and_silent_callers_are_closed(self):
        """Guards against idle connections that use memory for ever."""

        async def main(sent):
            stream = await self.connect()
            await stream.write(sent)
            with pytest.raises(iostream.StreamClosedError):
                await stream.read_bytes(1)

        line = b'POST /v1/statements HTTP/1.1\r\n'
        for sent in (
            b'',
            line,
            line + b'Host: x\r\nContent-Length: 9\r\n\r\n{',
        ):
            self.io_loop.run_sync(lambda sent=sent: main(sent))
        assert self.state.running_requests == 0


class DrainTest(ServerTest):
    def test_drain_waits_for_running_requests(self):
        """Guards against a stop that interrupts a request."""
        # A shorter request would end while the server still waits for
        # DRAIN_IDLE_MS.
        self.harness.router.answer_delay_ms = server.DRAIN_IDLE_MS + 300

        async def main():
            stream = await self.connect()
            await self.send(stream, STATEMENT)
            await self.wait_until(lambda: self.harness.router.requests)
            still_running = await self.server.drain(10_000)
            await self.server.close()
            return await stream.read_until(b'\r\n\r\n'), still_running

        head, still_running = self.io_loop.run_sync(main)
        assert head.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in head
        assert still_running == 0

    def test_drain_ends_at_its_limit(self):
        """Guards against a stop that waits for ever."""
        self.harness.router.answer_delay_ms = 60_000

        async def main():
            stream = await self.connect()
            await self.send(stream, STATEMENT)
            await self.wait_until(lambda: self.harness.router.requests)
            return await self.server.drain(50)

        assert self.io_loop.run_sync(main) == 1

    def test_drain_gives_notice(self):
        """Guards against a stop before load balancers see the host drain."""

        async def main():
            clock = self.state.clock
            started_ms = clock.now()
            await self.server.drain(10_000, 1_000)
            return clock.now() - started_ms

        assert self.io_loop.run_sync(main) >= 1_000

    def test_draining_host_still_answers_until_it_is_quiet(self):
        """Guards against refused callers that still use a draining host."""

        async def main():
            draining = asyncio.ensure_future(self.server.drain(10_000))
            await asyncio.sleep(0)
            stream = await self.connect()
            await self.send(stream, STATEMENT)
            head = await stream.read_until(b'\r\n\r\n')
            await draining
            return head

        assert self.io_loop.run_sync(main).startswith(b'HTTP/1.1 200')
