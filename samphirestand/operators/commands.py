"""Carries out operators' commands."""

import collections.abc
import re
import secrets
from typing import Any
from typing import Protocol

from samphirestand.callers import authentication
from samphirestand import clock as clocks
from samphirestand.control import audit
from samphirestand.control import changes
from samphirestand.control import configuration as configuration_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.operators import explain
from samphirestand.operators import language
from samphirestand.operators import listing
from samphirestand import types

# How long an accepted change waits for the hosts before it is answered.
SPREAD_WAIT_MS = 2_000
SPREAD_STEP_MS = 50

# Host ids in one answer; the counts are always complete.
HOSTS_NAMED = 50

AUDIT_HOURS = 24
AUDIT_ROWS = 50
CHANGE_ID_BYTES = 8

# Latest changes that SHOW AUDIT looks through; about six hours of them.
CHANGES_READ = 500

SERVE_NOTE = (
    'goes on in an isolated availability zone: a key withdrawn meanwhile '
    'works there until the zone is connected again'
)

Document = dict[str, Any]

# The change id at the end of a command is kept beside it.
_CHANGE_OPTION = re.compile(
    r"""\s+(AS|USING)\s+CHANGE\s+('[^']*'|"[^"]*")[\s;]*$""", re.IGNORECASE
)


class Store(interfaces.ConfigurationSource, Protocol):
    """The configuration with its history."""

    async def propose(
        self, proposal: configuration_module.Proposal
    ) -> configuration_module.Result:
        """Write a change at the head of the history."""

    async def history(self, count: int) -> list[types.ChangeRow]:
        """Return the latest rows; raises ``PlatformError``."""


class Explainer(Protocol):
    """Explains with the knowledge of all hosts."""

    async def ask(self, kind: str, subject: str) -> list[str]:
        """Return lines of text."""


class Commands:
    """Executes the commands that operators send to this host."""

    def __init__(
        self,
        *,
        store: Store,
        membership: interfaces.Membership,
        routes: interfaces.Routes,
        refusals: listing.Refusals,
        trail: explain.Trail,
        recorder: interfaces.StatusRecorder,
        explainer: Explainer,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._membership = membership
        self._listing = listing.Listing(store, membership, routes, refusals)
        self._trail = trail
        self._recorder = recorder
        self._explainer = explainer
        self._clock = clock

    async def execute(self, command: str, operator: str) -> Document:
        """Carry out a command of ``operator``; return the answer.

        The field ``outcome`` is done, accepted, refused, conflict or
        unknown. Raises ``CommandError`` if the command can't be parsed.
        """
        parsed = language.parse(command)
        match parsed:
            case language.Help():
                return _done([{'syntax': line} for line in language.HELP])
            case language.Explain(kind=kind, subject=subject):
                lines = await self._explainer.ask(kind, subject)
                return _done([{'explanation': line} for line in lines])
            case language.Show(what=language.What.CONFIGURATION):
                return await self._configuration()
            case language.Show(what=language.What.AUDIT):
                return await self._audit(parsed)
            case language.Show():
                rows, notes = self._listing.rows(parsed)
                return _done(rows, notes)
            case language.Alter(change=change, options=options):
                proposal = self._proposal(change, options, operator, command)
                return await self._change(proposal)
            case language.CreateKey():
                return await self._create_key(parsed, operator, command)

    async def _configuration(self) -> Document:
        version = self._store.current.version
        spread = self._spread(version)
        row: Document = {
            'version': version,
            'confirmed': self._store.is_confirmed(),
            'rate_slots': self._store.current.rate_slots,
            **spread,
        }
        notes = []
        try:
            for change in await self._store.history(1):
                row['changed'] = explain.moment(change.wall_ms)
                row['author'] = change.author
                row['command'] = change.command
                row['reason'] = change.reason
        except exceptions.PlatformError as error:
            notes.append(f'the last change cannot be read: {error.message}')
        return _done([row], notes)

    async def _audit(self, show: language.Show) -> Document:
        hours = AUDIT_HOURS if show.hours is None else show.hours
        limit = AUDIT_ROWS if show.limit is None else show.limit
        since_ms = max(0, self._clock.wall() - hours * audit.HOUR_MS)
        answer = await self._trail.query(
            audit.Query(
                since_ms=since_ms,
                kind=show.kind,
                subject=show.subject,
                limit=limit,
            )
        )
        notes = [] if answer.is_complete else [f'incomplete: {answer.reason}']
        found = [(each.wall_ms, _event(each)) for each in answer.events]
        if show.kind in ('', 'change'):
            found += await self._changes(show, since_ms, notes)
        found.sort(key=lambda pair: pair[0])
        return _done(
            [row for _, row in found][max(0, len(found) - limit) :], notes
        )

    async def _changes(
        self,
        show: language.Show,
        since_ms: int,
        notes: list[str],
    ) -> list[tuple[int, Document]]:
        """Return the accepted changes, which are the history's rows."""
        try:
            rows = await self._store.history(CHANGES_READ)
        except exceptions.PlatformError as error:
            notes.append(f'accepted changes cannot be read: {error.message}')
            return []
        return [
            (row.wall_ms, _change_row(row))
            for row in rows
            if row.wall_ms >= since_ms
            and (not show.subject or show.subject in _subjects(row))
        ]

    def _proposal(
        self,
        change: changes.Change,
        options: language.Options,
        operator: str,
        command: str,
    ) -> configuration_module.Proposal:
        return configuration_module.Proposal(
            change=change,
            change_id=options.change_id or secrets.token_hex(CHANGE_ID_BYTES),
            author=operator,
            reason=options.reason,
            command=_CHANGE_OPTION.sub('', command).strip(),
            if_version=options.if_version,
            repeated=options.is_repeated,
        )

    async def _create_key(
        self, create: language.CreateKey, operator: str, command: str
    ) -> Document:
        key_id, secret, secret_sha256 = authentication.new_key()
        change = changes.CreateKey(
            key_id=key_id,
            account=create.account,
            secret_sha256=secret_sha256,
            role=create.role,
        )
        answer = await self._change(
            self._proposal(change, create.options, operator, command)
        )
        if answer['outcome'] == 'unknown':
            answer['key'] = f'{key_id}.{secret}'
            answer['notes'].append(
                'keep the key: it is valid if the change was accepted with '
                f'key id {key_id}; it is not shown again'
            )
        if answer['outcome'] == 'accepted':
            self._show_key(answer, key_id, secret)
        return answer

    def _show_key(self, answer: Document, key_id: str, secret: str) -> None:
        """Show the secret unless an earlier attempt made another key."""
        stored_id = answer['change']['key_id']
        answer['key_id'] = stored_id
        if stored_id == key_id:
            answer['key'] = f'{key_id}.{secret}'
            answer['notes'].append('the key is not shown again')
            return
        answer['notes'].append(
            f'key {stored_id} was made by an earlier attempt, which showed '
            'its secret; if that is lost, withdraw the key and make another'
        )

    async def _change(
        self, proposal: configuration_module.Proposal
    ) -> Document:
        result = await self._store.propose(proposal)
        match result:
            case configuration_module.Accepted(row=row):
                return await self._accepted(row)
            case configuration_module.Conflict():
                return self._superseded(proposal, result)
            case configuration_module.Refused(code=code, reason=reason):
                self._recorder.record(
                    'command_refused',
                    proposal.author,
                    f'{proposal.command}: {code}: {reason}',
                )
                return {
                    'outcome': 'refused',
                    'code': code,
                    'reason': reason,
                    'version': self._store.current.version,
                    'notes': [],
                }
            case configuration_module.Undetermined(reason=reason):
                return self._undetermined(proposal, reason)

    async def _accepted(self, row: types.ChangeRow) -> Document:
        give_up_at = self._clock.now() + SPREAD_WAIT_MS
        spread = self._spread(row.version)
        while spread['hosts_unconfirmed'] and self._clock.now() < give_up_at:
            await self._clock.sleep(SPREAD_STEP_MS)
            spread = self._spread(row.version)
        return {
            'outcome': 'accepted',
            'version': row.version,
            'change_id': row.change_id,
            'change': _public(row.document),
            **spread,
            'notes': self._notes(row.document),
        }

    def _spread(self, version: int) -> Document:
        """Return which hosts run ``version`` and which may not yet."""
        running: list[str] = []
        behind: list[str] = []
        for host in self._membership.reachable():
            is_running = host.configuration_version >= version
            (running if is_running else behind).append(host.host_id)
        return {
            'hosts_running': len(running),
            'hosts_unconfirmed': len(behind),
            'running': sorted(running)[:HOSTS_NAMED],
            'unconfirmed': sorted(behind)[:HOSTS_NAMED],
        }

    def _notes(self, document: Document) -> list[str]:
        """Return what an operator is told of accounts that may go on."""
        name = document.get('name') or document.get('account')
        account = self._store.current.accounts_by_name.get(name or '')
        concerns_account = document['kind'] in (
            'create_account',
            'alter_account',
            'create_key',
        )
        if document['kind'] == 'withdraw_key':
            key = self._store.current.keys_by_id[document['key_id']]
            account = self._store.current.accounts_by_name.get(key.account)
            concerns_account = key.role == 'caller'
        if document.get('role') == 'operator':
            return []
        if account is None or not concerns_account:
            return []
        if account.when_isolated != 'serve':
            return []
        return [f'account {account.name} {SERVE_NOTE}']

    def _superseded(
        self,
        proposal: configuration_module.Proposal,
        conflict: configuration_module.Conflict,
    ) -> Document:
        answer: Document = {
            'outcome': 'conflict',
            'code': 'conflict',
            'reason': (
                f'the configuration is at version {conflict.version}, '
                f'not {proposal.if_version}'
            ),
            'version': conflict.version,
            'notes': ['nothing was changed; check and send a new command'],
        }
        winner = conflict.winner
        if winner is not None:
            answer['reason'] = (
                f'version {winner.version} by {winner.author} came first: '
                f'{winner.command}'
            )
            answer['winner'] = _change_row(winner)
        self._recorder.record(
            'command_superseded',
            proposal.author,
            f'{proposal.command}: {answer["reason"]}',
        )
        return answer

    def _undetermined(
        self, proposal: configuration_module.Proposal, reason: str
    ) -> Document:
        self._recorder.record(
            'command_unknown',
            proposal.author,
            f'{proposal.command}: change id {proposal.change_id}: {reason}',
        )
        return {
            'outcome': 'unknown',
            'code': 'platform_unavailable',
            'reason': reason,
            'change_id': proposal.change_id,
            'notes': [
                'the change may have been accepted; repeat the command with '
                f"USING CHANGE '{proposal.change_id}'"
            ],
        }


def _done(
    rows: collections.abc.Sequence[Document],
    notes: collections.abc.Sequence[str] = (),
) -> Document:
    return {'outcome': 'done', 'rows': list(rows), 'notes': list(notes)}


def _event(event: audit.Event) -> Document:
    return {
        'time': explain.moment(event.wall_ms),
        'kind': event.kind,
        'subject': event.subject,
        'host': event.host,
        'reason': event.reason,
        'stored': event.is_stored,
    }


def _change_row(row: types.ChangeRow) -> Document:
    return {
        'time': explain.moment(row.wall_ms),
        'kind': 'change',
        'subject': row.author,
        'host': '',
        'reason': f'version {row.version}: {row.command}',
        'stored': True,
    }


def _subjects(row: types.ChangeRow) -> set[Any]:
    names = ('name', 'key_id', 'account', 'target_id', 'service', 'host_id')
    return {row.author, *(row.document.get(name) for name in names)}


def _public(document: Document) -> Document:
    """Return a change without the hash of a secret."""
    return {
        name: value
        for name, value in document.items()
        if name != 'secret_sha256'
    }
