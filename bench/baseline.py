"""A simple proxy, as a baseline for samphirestand in bench runs.

Each host guesses the primary of a service by asking targets at random, sends
all reads to it, and has an equal share of the rates and connections. Writes
are not confirmed and there are no sessions. When no target has answered as
primary for ``PROMOTE_AFTER_MS``, a host promotes one without consulting other
hosts.
"""

import argparse
import asyncio
import dataclasses
import hashlib
import json
import pathlib
import random
import secrets
import signal
from typing import Any

from tornado import web
import yaml

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.targets import connection as connection_module
from samphirestand.targets import messages
from samphirestand.targets import pool as pool_module
from samphirestand import types

HOST_COUNT = 9
PROMOTE_AFTER_MS = 5_000
CALL_TIMEOUT_MS = 2_000
ACQUIRE_TIMEOUT_MS = 1_000
RETRY_DELAY_MS = 50
# Connections of a target that the pools of the hosts leave unused; they have
# equal shares of the rest.
RESERVED_CONNECTIONS = 3


class TokenBucket:
    """A token bucket with this host's share of an account's rate."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._refilled_ms = 0

    def take(self, now_ms: int) -> bool:
        """Take a token at ``now_ms``; returns whether there was one."""
        if self._refilled_ms:
            earned = (now_ms - self._refilled_ms) * self._rate / 1000
            self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass
class Service:
    """A service and this host's guess of its primary.

    ``answered_ms`` is when a target last answered as primary, or when this
    host last tried to promote one.
    """

    name: str
    pools_by_url: dict[str, pool_module.ConnectionPool]
    primary_url: str
    term: int = 1
    answered_ms: int = 0


@dataclasses.dataclass
class Transaction:
    """An open transaction and the connection that it runs on."""

    service: Service
    url: str
    connection: interfaces.TargetConnection
    account: str


class Refused(Exception):
    """The request wasn't run; has the HTTP status and code of the answer."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class Proxy:
    """The state of one host of the baseline."""

    def __init__(self, settings: dict[str, Any], folder: pathlib.Path) -> None:
        path = folder / settings['bootstrap_file']
        bootstrap = yaml.safe_load(path.read_text())
        self.host_id: str = settings['host_id']
        self.clock = clock_module.SystemClock()
        self.rng = random.Random(self.host_id)
        self.accounts_by_hash = {
            each['secret_sha256']: each['account']
            for each in bootstrap['keys']
        }
        self.buckets_by_account = {
            each['name']: TokenBucket(
                each['rate'] / HOST_COUNT, each['burst'] / HOST_COUNT
            )
            for each in bootstrap['accounts']
        }
        self.transactions_by_id: dict[str, Transaction] = {}
        self.connector = connection_module.Connector(
            settings['address_translation']
        )
        self.services_by_name = {
            each['name']: self._make_service(each)
            for each in bootstrap['services']
        }

    def admit(self, header: str) -> str:
        """Return the account of the key and take a token of its rate.

        Raises ``Refused`` if the key is unknown or no token is left.
        """
        secret = header.removeprefix('Bearer ').partition('.')[2]
        digest = hashlib.sha256(secret.encode()).hexdigest()
        account = self.accounts_by_hash.get(digest)
        if account is None:
            raise Refused(401, 'key_unknown')
        bucket = self.buckets_by_account.get(account)
        if bucket is not None and not bucket.take(self.clock.now()):
            raise Refused(429, 'rate_exceeded')
        return account

    def service(self, name: str) -> Service:
        """Return a service by name; raises ``Refused`` if it is unknown."""
        known_service = self.services_by_name.get(name)
        if known_service is None:
            raise Refused(404, 'service_unknown')
        return known_service

    async def execute(
        self, service: Service, account: str, body: dict[str, Any]
    ) -> messages.Answer:
        """Run one statement at the primary.

        Tries again until the deadline while the primary can't be found or
        reached. Raises ``AnswerLost`` if the statement may have run, and
        ``Refused`` if it has not.
        """
        mode = types.Mode(body['mode'])
        deadline_ms = self.clock.now() + min(
            body.get('deadline_ms', 5_000), 5_000
        )
        while True:
            statement_call = messages.Execute(
                body['statement'],
                mode,
                account,
                f'{account}/{body["request_id"]}',
                service.term,
            )
            try:
                return await self._execute_at_primary(service, statement_call)
            except (exceptions.AnswerLost, Refused):
                raise
            except exceptions.TargetError:
                if self.clock.now() > deadline_ms:
                    raise Refused(503, 'target_unreachable') from None
            await self.clock.sleep(RETRY_DELAY_MS)

    async def begin(self, service: Service, account: str) -> str:
        """Begin a transaction and return its id.

        Raises ``Refused`` if the guessed primary doesn't begin one.
        """
        url = service.primary_url
        pool = service.pools_by_url[url]
        try:
            connection = await pool.acquire(ACQUIRE_TIMEOUT_MS)
        except exceptions.TargetError:
            self._guess_primary(service)
            raise Refused(503, 'target_unreachable') from None
        try:
            answer = await connection.call(
                messages.Begin(account, service.term), CALL_TIMEOUT_MS
            )
        except exceptions.TargetError:
            pool.discard(connection)
            raise Refused(503, 'target_unreachable') from None
        if answer.failure is not None:
            pool.release(connection)
            self._update_primary(service, url, answer)
            raise Refused(503, answer.failure.code)
        transaction_id = secrets.token_hex(8)
        self.transactions_by_id[transaction_id] = Transaction(
            service, url, connection, account
        )
        return f'{self.host_id}.{transaction_id}'

    async def run_in_transaction(
        self, transaction_id: str, account: str, call: messages.Call
    ) -> messages.Answer:
        """Run a statement, commit or rollback of a transaction.

        The transaction ends after a commit, a rollback or a failure. Raises
        ``Refused`` if the account has no such transaction, and
        ``TargetError`` if the target doesn't answer.
        """
        transaction_key = transaction_id.rpartition('.')[2]
        transaction = self.transactions_by_id.get(transaction_key)
        if transaction is None:
            raise Refused(404, 'transaction_unknown')
        if transaction.account != account:
            raise Refused(403, 'transaction_account_mismatch')
        pool = transaction.service.pools_by_url[transaction.url]
        try:
            answer = await transaction.connection.call(call, CALL_TIMEOUT_MS)
        except exceptions.TargetError:
            self.transactions_by_id.pop(transaction_key, None)
            pool.discard(transaction.connection)
            raise
        if not isinstance(call, messages.Statement) or answer.failure:
            self.transactions_by_id.pop(transaction_key, None)
            pool.discard(transaction.connection)
        return answer

    def _make_service(self, document: dict[str, Any]) -> Service:
        urls = [each['url'] for each in document['targets']]
        pools = {
            each['url']: pool_module.ConnectionPool(
                self.connector,
                each['url'],
                self.host_id,
                size=max(
                    1,
                    (each['connections'] - RESERVED_CONNECTIONS) // HOST_COUNT,
                ),
                clock=self.clock,
                rng=self.rng,
                minimum=0,
            )
            for each in document['targets']
        }
        return Service(
            document['name'],
            pools,
            self.rng.choice(urls),
            answered_ms=self.clock.now(),
        )

    async def _execute_at_primary(
        self, service: Service, call: messages.Execute
    ) -> messages.Answer:
        url = service.primary_url
        pool = service.pools_by_url[url]
        try:
            connection = await pool.acquire(ACQUIRE_TIMEOUT_MS)
        except exceptions.TargetError:
            await self._promote_if_silent(service)
            self._guess_primary(service)
            raise
        try:
            answer = await connection.call(call, CALL_TIMEOUT_MS)
        except exceptions.TargetError:
            pool.discard(connection)
            await self._promote_if_silent(service)
            self._guess_primary(service)
            raise
        pool.release(connection)
        self._update_primary(service, url, answer)
        # Reads are only valid at the primary, so an answer from a replica is
        # an error, too.
        if answer.state.role != 'primary':
            await self._promote_if_silent(service)
            raise exceptions.TargetError('not the primary', step='baseline')
        if answer.failure is not None and answer.failure.code == 'stale_term':
            raise exceptions.TargetError('stale term', step='baseline')
        return answer

    def _update_primary(
        self, service: Service, url: str, answer: messages.Answer
    ) -> None:
        if answer.state.role == 'primary':
            service.term = answer.state.term
            service.primary_url = url
            service.answered_ms = self.clock.now()
        else:
            self._guess_primary(service)

    def _guess_primary(self, service: Service) -> None:
        service.primary_url = self.rng.choice(list(service.pools_by_url))

    async def _promote_if_silent(self, service: Service) -> None:
        """Promote a random target if no primary has answered for too long.

        The other targets are told to follow it.
        """
        now_ms = self.clock.now()
        if now_ms - service.answered_ms < PROMOTE_AFTER_MS:
            return
        service.answered_ms = now_ms
        term = service.term + self.rng.randint(1, 1_000)
        candidate = f'{self.host_id}-{term}'
        urls = list(service.pools_by_url)
        self.rng.shuffle(urls)
        promoted_url = ''
        for url in urls:
            calls: list[messages.Call] = [messages.Follow(term, promoted_url)]
            if not promoted_url:
                calls = [
                    messages.Fence(term, candidate),
                    messages.Promote(term, candidate),
                ]
            try:
                connection = await self.connector.connect(
                    url, self.host_id, ACQUIRE_TIMEOUT_MS
                )
                answers = [
                    await connection.call(each, CALL_TIMEOUT_MS)
                    for each in calls
                ]
                connection.close()
            except exceptions.TargetError:
                continue
            if not promoted_url and not any(each.failure for each in answers):
                promoted_url = url
                service.term, service.primary_url = term, url


class Handler(web.RequestHandler):
    """Answers requests with the same JSON as a samphirestand host."""

    def initialize(self, proxy: Proxy) -> None:
        self.proxy = proxy

    async def post(self, *arguments: str) -> None:
        body = json.loads(self.request.body)
        try:
            header = self.request.headers.get('Authorization', '')
            account = self.proxy.admit(header)
            document = await self.run(account, body, *arguments)
        except Refused as error:
            self.set_status(error.status)
            document = {'outcome': 'not_run', 'code': error.code}
        except exceptions.TargetError as error:
            self.set_status(504)
            document = {
                'outcome': 'unknown',
                'code': 'answer_lost',
                'reason': str(error),
            }
        self.finish(document)

    async def run(
        self, account: str, body: dict[str, Any], *arguments: str
    ) -> dict[str, Any]:
        """Run the request and return the JSON document of the answer."""
        raise NotImplementedError

    def done_document(self, answer: messages.Answer) -> dict[str, Any]:
        """Return the JSON document of a target's answer.

        Raises ``Refused`` if the target reports a failure.
        """
        if answer.failure is not None:
            raise Refused(409, answer.failure.code)
        return {
            'outcome': 'done',
            'rows': list(answer.rows),
            'served_by': answer.state.server,
            'replayed': answer.replayed,
        }


class StatementHandler(Handler):
    """``POST /v1/statements``"""

    async def run(
        self, account: str, body: dict[str, Any], *arguments: str
    ) -> dict[str, Any]:
        service = self.proxy.service(body['service'])
        if 'transaction' not in body:
            return self.done_document(
                await self.proxy.execute(service, account, body)
            )
        call = messages.Statement(
            body['statement'], types.Mode(body['mode']), account
        )
        return self.done_document(
            await self.proxy.run_in_transaction(
                body['transaction'], account, call
            )
        )


class BeginHandler(Handler):
    """``POST /v1/transactions``"""

    async def run(
        self, account: str, body: dict[str, Any], *arguments: str
    ) -> dict[str, Any]:
        service = self.proxy.service(body['service'])
        transaction_id = await self.proxy.begin(service, account)
        return {
            'outcome': 'done',
            'rows': [],
            'transaction': transaction_id,
        }


class EndHandler(Handler):
    """``POST /v1/transactions/<id>/commit`` and ``/rollback``"""

    async def run(
        self, account: str, body: dict[str, Any], *arguments: str
    ) -> dict[str, Any]:
        transaction_id, operation = arguments
        transaction_key = transaction_id.rpartition('.')[2]
        transaction = self.proxy.transactions_by_id.get(transaction_key)
        call: messages.Call = messages.Rollback()
        if operation == 'commit' and transaction is not None:
            call = messages.Commit(
                f'{account}/{body["request_id"]}', transaction.service.term
            )
        return self.done_document(
            await self.proxy.run_in_transaction(transaction_id, account, call)
        )


class HealthHandler(web.RequestHandler):
    """``GET /v1/health``"""

    def get(self) -> None:
        self.write({'status': 'ready', 'version': 1})


async def serve(settings: dict[str, Any], folder: pathlib.Path) -> None:
    """Serve HTTP requests until SIGTERM."""
    options = {'proxy': Proxy(settings, folder)}
    application = web.Application(
        [
            ('/v1/statements', StatementHandler, options),
            ('/v1/transactions', BeginHandler, options),
            (
                '/v1/transactions/([^/]+)/(commit|rollback)',
                EndHandler,
                options,
            ),
            ('/v1/health', HealthHandler),
        ],
        log_function=lambda handler: None,
    )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    application.listen(
        settings['callers']['port'], settings['callers']['address']
    )
    await stop.wait()


def main() -> None:
    """Run one host of the baseline."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.baseline', description=__doc__
    )
    parser.add_argument('settings', type=pathlib.Path)
    path = parser.parse_args().settings
    asyncio.run(serve(yaml.safe_load(path.read_text()), path.parent))


if __name__ == '__main__':
    main()
