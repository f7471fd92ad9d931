"""Executes the commands of operators."""

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

# How long the answer to an accepted change waits until all hosts apply it, and
# how often this is checked.
ROLLOUT_TIMEOUT_MS = 2_000
ROLLOUT_POLL_INTERVAL_MS = 50

# Host ids listed in one answer; the counts include all hosts.
MAX_HOSTS_LISTED = 50

DEFAULT_AUDIT_HOURS = 24
DEFAULT_AUDIT_ROWS = 50
CHANGE_ID_BYTES = 8

# How many of the latest changes SHOW AUDIT searches: about six hours of them.
MAX_CHANGES_READ = 500

SERVED_WHEN_ISOLATED_NOTE = (
    'goes on in an isolated availability zone: a key withdrawn meanwhile '
    'works there until the zone is connected again'
)

Document = dict[str, Any]

# The change id at the end of a command is stored in a field of its own, so it
# is removed from the stored command.
_CHANGE_ID_OPTION = re.compile(
    r"""\s+(AS|USING)\s+CHANGE\s+('[^']*'|"[^"]*")[\s;]*$""", re.IGNORECASE
)


class Store(interfaces.ConfigurationSource, Protocol):
    """The configuration and its history."""

    async def propose(
        self, proposal: configuration_module.Proposal
    ) -> configuration_module.Result:
        """Append a change to the history."""

    async def history(self, count: int) -> list[types.ChangeRow]:
        """Return the latest ``count`` rows; raises ``PlatformError``."""


class Explainer(Protocol):
    """Explains requests, hosts and primaries with data of all hosts."""

    async def explain_to_operator(self, kind: str, subject: str) -> list[str]:
        """Return the explanation as lines of text."""


class Commands:
    """Executes the commands that operators send to this host."""

    def __init__(
        self,
        *,
        store: Store,
        membership: interfaces.Membership,
        routes: interfaces.Routes,
        refusals: listing.Refusals,
        audit_trail: explain.AuditTrail,
        recorder: interfaces.StatusRecorder,
        explainer: Explainer,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._membership = membership
        self._listing = listing.Listing(store, membership, routes, refusals)
        self._audit_trail = audit_trail
        self._recorder = recorder
        self._explainer = explainer
        self._clock = clock

    async def execute(self, command: str, operator: str) -> Document:
        """Execute a command of ``operator`` and return the answer.

        Its field ``outcome`` is done, accepted, refused, conflict or
        unknown. Raises ``CommandError`` if the command can't be parsed.
        """
        parsed = language.parse(command)
        match parsed:
            case language.Help():
                return _answer_done(
                    [{'syntax': line} for line in language.HELP]
                )
            case language.Explain(kind=kind, subject=subject):
                lines = await self._explainer.explain_to_operator(
                    kind, subject
                )
                return _answer_done([{'explanation': line} for line in lines])
            case language.Show(topic=language.ShowTopic.CONFIGURATION):
                return await self._show_configuration()
            case language.Show(topic=language.ShowTopic.AUDIT):
                return await self._show_audit(parsed)
            case language.Show():
                rows, notes = self._listing.rows(parsed)
                return _answer_done(rows, notes)
            case language.ChangeConfiguration(change=change, options=options):
                proposal = self._build_proposal(
                    change, options, operator, command
                )
                return await self._propose(proposal)
            case language.CreateKey():
                return await self._create_key(parsed, operator, command)

    async def _show_configuration(self) -> Document:
        version = self._store.current.version
        rollout = self._rollout_status(version)
        row: Document = {
            'version': version,
            'confirmed': self._store.is_confirmed(),
            'rate_slots': self._store.current.rate_slots,
            **rollout,
        }
        notes = []
        try:
            for change in await self._store.history(1):
                row['changed'] = explain.format_time(change.wall_ms)
                row['author'] = change.author
                row['command'] = change.command
                row['reason'] = change.reason
        except exceptions.PlatformError as error:
            notes.append(f'the last change cannot be read: {error.message}')
        return _answer_done([row], notes)

    async def _show_audit(self, show: language.Show) -> Document:
        hours = DEFAULT_AUDIT_HOURS if show.hours is None else show.hours
        limit = DEFAULT_AUDIT_ROWS if show.limit is None else show.limit
        since_ms = max(0, self._clock.wall() - hours * audit.HOUR_MS)
        answer = await self._audit_trail.query(
            audit.Query(
                since_ms=since_ms,
                kind=show.kind,
                subject=show.subject,
                limit=limit,
            )
        )
        notes = [] if answer.is_complete else [f'incomplete: {answer.reason}']
        timed_rows = [
            (each.wall_ms, _event_row(each)) for each in answer.events
        ]
        if show.kind in ('', 'change'):
            timed_rows += await self._find_accepted_changes(
                show, since_ms, notes
            )
        timed_rows.sort(key=lambda pair: pair[0])
        return _answer_done(
            [row for _, row in timed_rows][max(0, len(timed_rows) - limit) :],
            notes,
        )

    async def _find_accepted_changes(
        self,
        show: language.Show,
        since_ms: int,
        notes: list[str],
    ) -> list[tuple[int, Document]]:
        """Return matching accepted changes, read from the history."""
        try:
            rows = await self._store.history(MAX_CHANGES_READ)
        except exceptions.PlatformError as error:
            notes.append(f'accepted changes cannot be read: {error.message}')
            return []
        return [
            (row.wall_ms, _change_row(row))
            for row in rows
            if row.wall_ms >= since_ms
            and (not show.subject or show.subject in _row_subjects(row))
        ]

    def _build_proposal(
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
            command=_CHANGE_ID_OPTION.sub('', command).strip(),
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
        answer = await self._propose(
            self._build_proposal(change, create.options, operator, command)
        )
        if answer['outcome'] == 'unknown':
            answer['key'] = f'{key_id}.{secret}'
            answer['notes'].append(
                'keep the key: it is valid if the change was accepted with '
                f'key id {key_id}; it is not shown again'
            )
        if answer['outcome'] == 'accepted':
            self._add_key(answer, key_id, secret)
        return answer

    def _add_key(self, answer: Document, key_id: str, secret: str) -> None:
        """Add the key unless an earlier attempt created a different one."""
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

    async def _propose(
        self, proposal: configuration_module.Proposal
    ) -> Document:
        result = await self._store.propose(proposal)
        match result:
            case configuration_module.Accepted(row=row):
                return await self._answer_accepted(row)
            case configuration_module.Conflict():
                return self._answer_conflict(proposal, result)
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
                return self._answer_unknown(proposal, reason)

    async def _answer_accepted(self, row: types.ChangeRow) -> Document:
        deadline = self._clock.now() + ROLLOUT_TIMEOUT_MS
        rollout = self._rollout_status(row.version)
        while rollout['hosts_unconfirmed'] and self._clock.now() < deadline:
            await self._clock.sleep(ROLLOUT_POLL_INTERVAL_MS)
            rollout = self._rollout_status(row.version)
        return {
            'outcome': 'accepted',
            'version': row.version,
            'change_id': row.change_id,
            'change': _without_secret_hash(row.document),
            **rollout,
            'notes': self._isolation_notes(row.document),
        }

    def _rollout_status(self, version: int) -> Document:
        """Return which hosts apply ``version`` and which may not yet."""
        running: list[str] = []
        unconfirmed: list[str] = []
        for host in self._membership.reachable():
            is_running = host.configuration_version >= version
            (running if is_running else unconfirmed).append(host.host_id)
        return {
            'hosts_running': len(running),
            'hosts_unconfirmed': len(unconfirmed),
            'running': sorted(running)[:MAX_HOSTS_LISTED],
            'unconfirmed': sorted(unconfirmed)[:MAX_HOSTS_LISTED],
        }

    def _isolation_notes(self, document: Document) -> list[str]:
        """Return a note if the changed account is served when isolated."""
        name = document.get('name') or document.get('account')
        account = self._store.current.accounts_by_name.get(name or '')
        is_account_change = document['kind'] in (
            'create_account',
            'alter_account',
            'create_key',
        )
        if document['kind'] == 'withdraw_key':
            key = self._store.current.keys_by_id[document['key_id']]
            account = self._store.current.accounts_by_name.get(key.account)
            is_account_change = key.role == 'caller'
        if document.get('role') == 'operator':
            return []
        if account is None or not is_account_change:
            return []
        if account.when_isolated != 'serve':
            return []
        return [f'account {account.name} {SERVED_WHEN_ISOLATED_NOTE}']

    def _answer_conflict(
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

    def _answer_unknown(
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


def _answer_done(
    rows: collections.abc.Sequence[Document],
    notes: collections.abc.Sequence[str] = (),
) -> Document:
    return {'outcome': 'done', 'rows': list(rows), 'notes': list(notes)}


def _event_row(event: audit.Event) -> Document:
    return {
        'time': explain.format_time(event.wall_ms),
        'kind': event.kind,
        'subject': event.subject,
        'host': event.host,
        'reason': event.reason,
        'stored': event.is_stored,
    }


def _change_row(row: types.ChangeRow) -> Document:
    return {
        'time': explain.format_time(row.wall_ms),
        'kind': 'change',
        'subject': row.author,
        'host': '',
        'reason': f'version {row.version}: {row.command}',
        'stored': True,
    }


def _row_subjects(row: types.ChangeRow) -> set[Any]:
    names = ('name', 'key_id', 'account', 'target_id', 'service', 'host_id')
    return {row.author, *(row.document.get(name) for name in names)}


def _without_secret_hash(document: Document) -> Document:
    """Return a change document without the hash of the secret."""
    return {
        name: value
        for name, value in document.items()
        if name != 'secret_sha256'
    }
