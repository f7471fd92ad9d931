"""In-memory fakes of what the entry uses, and an entry that uses them."""

import asyncio
import random

from samphirestand.callers import authentication
from samphirestand.callers import entry
from samphirestand.callers import models
from samphirestand.callers import tokens
from samphirestand import clock
from samphirestand import exceptions
from samphirestand import metrics
from samphirestand import types

SECRET = 'the-secret-of-a-caller-in-a-test'
KEY_HEADER = f'Bearer key-a.{SECRET}'
OPERATOR_HEADER = f'Bearer key-o.{SECRET}'
SHA256 = authentication.hash_secret(SECRET)

KEYS = [
    types.Key('key-a', 'a', SHA256),
    types.Key('key-b', 'b', SHA256),
    types.Key('key-old', 'a', SHA256, withdrawn=True),
    types.Key('key-o', '', SHA256, role='operator'),
]
ACCOUNTS = [
    types.Account('a', 100, 100),
    types.Account('b', 100, 100, when_isolated='serve'),
    types.Account('public', 100, 100),
]
TARGETS = [
    types.Target('t1', 's', 'oberland', 'ws://1', 2, 16),
    types.Target('t2', 's', 'franken', 'ws://2', 2, 16),
    types.Target('t3', 's', 'schwaben', 'ws://3', 2, 16),
]
TARGET_IDS = ('t1', 't2', 't3')
SERVICES = [
    types.Service('s', TARGET_IDS, max_read_age_ms=2_000),
    types.Service('free', TARGET_IDS, open_account='public'),
]

CONFIGURATION = types.Configuration(
    version=1,
    accounts_by_name={each.name: each for each in ACCOUNTS},
    keys_by_id={each.key_id: each for each in KEYS},
    services_by_name={each.name: each for each in SERVICES},
    targets_by_id={each.target_id: each for each in TARGETS},
)

DEFAULT_DONE = types.Done(
    ({'value': 1},), types.Position(2, 10), 't1', 'primary'
)
ANSWER_LOST = types.Unknown('answer_lost', 'no answer')


def not_run(code):
    """Return a gateway's refusal with the given code."""
    return types.NotRun(code, f'reason of {code}')


class Clock(clock.ManualClock):
    """A manual clock that settles in fewer rounds.

    The chains of tasks in these tests are short.
    """

    async def settle(self, rounds=15):
        await super().settle(rounds)


class Configuration:
    """A configuration source that tests can change."""

    def __init__(self):
        self.current = CONFIGURATION
        self.confirmed = True

    def is_confirmed(self):
        return self.confirmed

    def withdraw(self, key_id):
        """Apply a new version of the configuration that withdraws a key."""
        key = types.Key(key_id, 'a', SHA256, withdrawn=True)
        keys = {**self.current.keys_by_id, key_id: key}
        self.current = types.Configuration(
            version=self.current.version + 1,
            accounts_by_name=self.current.accounts_by_name,
            keys_by_id=keys,
            services_by_name=self.current.services_by_name,
            targets_by_id=self.current.targets_by_id,
        )


class Routes:
    """The primary of every service; none while ``target_id`` is empty."""

    def __init__(self):
        self.term = 2
        self.target_id = 't1'

    def primary(self, service):
        if not self.target_id:
            return exceptions.Sentinel('no primary known')
        return types.Route(service, self.term, self.target_id)


class Router:
    """Answers with the given outcomes in order, then always with done."""

    def __init__(self, manual, outcomes=()):
        self.clock = manual
        self.outcomes = list(outcomes)
        self.requests = []
        self.sent_times_ms = []
        self.answer_delay_ms = 0

    async def run(self, request):
        self.requests.append(request)
        self.sent_times_ms.append(self.clock.now())
        await self.clock.sleep(self.answer_delay_ms)
        outcome = self.outcomes.pop(0) if self.outcomes else DEFAULT_DONE
        if isinstance(outcome, types.Done) and outcome is DEFAULT_DONE:
            role = 'primary' if request.target_id == 't1' else 'replica'
            return types.Done(
                DEFAULT_DONE.rows,
                DEFAULT_DONE.position,
                request.target_id,
                role,
            )
        return outcome


class Membership:
    """The local host, in zone ``oberland``."""

    local = types.Host('h1', 'oberland', 1, '', '', 0)


class Limiter:
    """Admits every request unless a test sets ``refusal``."""

    def __init__(self):
        self.refusal = None
        self.admitted = []

    async def admit(self, account, deadline_ms):
        self.admitted.append(account)
        return self.refusal


class Harness:
    """An entry together with the fakes that it uses."""

    def __init__(self, folder, outcomes=(), real_clock=False):
        self.clock = clock.SystemClock() if real_clock else Clock()
        self.configuration = Configuration()
        self.routes = Routes()
        self.router = Router(self.clock, outcomes)
        self.limiter = Limiter()
        self.metrics = metrics.Metrics()
        self.secrets_file = folder / 'secrets.yaml'
        self.write_secrets(1, {1: 'x' * 40})
        self.signer = tokens.TokenSigner(self.secrets_file, self.clock)
        self.entry = entry.Entry(
            clock=self.clock,
            rng=random.Random(1),
            configuration=self.configuration,
            routes=self.routes,
            router=self.router,
            membership=Membership(),
            limiter=self.limiter,
            signer=self.signer,
            metrics=self.metrics,
        )

    def write_secrets(self, current, secrets):
        """Replace the secrets file."""
        lines = [f'  {number}: {text}' for number, text in secrets.items()]
        text = '\n'.join([f'current: {current}', 'secrets:', *lines])
        self.secrets_file.write_text(text)

    async def handle(self, call, header=KEY_HEADER, step_ms=10):
        """Handle ``call`` while time passes; return the reply."""
        task = asyncio.create_task(
            self.entry.handle(call, header, entry.CancellationToken())
        )
        await self.clock.settle()
        while not task.done():
            await self.clock.advance(step_ms)
        return task.result()

    def token(self, account='a', **positions):
        """Return a signed session token with a position for each service."""
        seen = {
            service: types.Position(*each)
            for service, each in positions.items()
        }
        return self.signer.sign(tokens.Session(account, seen))


def call(**fields):
    """Return the call of a write; ``fields`` replace its defaults."""
    values = {
        'operation': 'execute',
        'service': 's',
        'request_id': 'r1',
        'deadline_ms': 5_000,
        'statement': 'SET x 1',
        'mode': types.Mode.WRITE,
    }
    return models.Call(**{**values, **fields})


def read(**fields):
    """Return the call of a repeatable read; ``fields`` replace defaults."""
    values = {'mode': types.Mode.READ, 'repeatable': True}
    return call(**{**values, 'statement': 'GET x', **fields})
