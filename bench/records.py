"""Records of a run by its callers, its targets and the fault script."""

import dataclasses
import json
import pathlib
from typing import Any

DONE = 'done'
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
# The request was sent, but the connection ended or no answer came in time.
LOST = 'lost'
# The connection couldn't be opened, so nothing was sent.
UNSENT = 'unsent'


@dataclasses.dataclass
class Call:
    """One attempt of a request by a caller; wall times in milliseconds.

    ``intent`` is ``normal``, ``empty transaction``, or the reason why the
    caller sent a request that no host may run. ``group`` is the caller's own
    name for its transaction.
    """

    caller: str
    account: str
    key_id: str
    host: str
    request_id: str
    operation: str
    service: str
    statement: str = ''
    mode: str = 'write'
    repeatable: bool = False
    max_age_ms: int = 0
    group: str = ''
    sent_ms: int = 0
    done_ms: int = 0
    outcome: str = UNSENT
    code: str = ''
    reason: str = ''
    rows: list[Any] = dataclasses.field(default_factory=list)
    served_by: str = ''
    intent: str = 'normal'


@dataclasses.dataclass
class Event:
    """An action or observation of the fault script; wall time in ms.

    Kinds and subjects: ``withdrawn`` (key), ``retired`` (target),
    ``restored`` (target), ``accepted`` (change; ``value`` is the version),
    ``health`` (host; ``value`` is its version), ``started`` (host),
    ``stop_asked`` and ``stopped`` (host; ``value`` is the exit code),
    ``fault`` (what was made to fail), ``healed`` (link groups that work
    again) and ``refused`` (an operator's command; ``text`` is the answer).
    """

    kind: str
    subject: str
    wall_ms: int
    value: int = 0
    text: str = ''


@dataclasses.dataclass
class Account:
    """The rate a second and the burst that a client account is allowed."""

    name: str
    rate: int
    burst: int


@dataclasses.dataclass
class Evidence:
    """All the input of the checker.

    ``records_by_server`` holds the messages that each target received, in
    order. ``entries_by_service`` is the replicated log of each service's
    last primary. ``secrets`` must not reach a target.
    ``primaries_by_service`` holds the primaries at the start of the run.
    """

    calls: list[Call]
    records_by_server: dict[str, list[dict[str, Any]]]
    entries_by_service: dict[str, list[dict[str, Any]]]
    events: list[Event]
    accounts_by_name: dict[str, Account]
    servers_by_service: dict[str, list[str]]
    secrets: list[str]
    open_accounts_by_service: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    primaries_by_service: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    def save(self, path: pathlib.Path) -> None:
        """Write everything to a JSON file."""
        path.write_text(json.dumps(dataclasses.asdict(self)))

    @staticmethod
    def load(path: pathlib.Path) -> 'Evidence':
        """Read a file that ``save`` wrote."""
        document = json.loads(path.read_text())
        document['calls'] = [Call(**each) for each in document['calls']]
        document['events'] = [Event(**each) for each in document['events']]
        document['accounts_by_name'] = {
            name: Account(**each)
            for name, each in document['accounts_by_name'].items()
        }
        return Evidence(**document)


@dataclasses.dataclass(frozen=True)
class Key:
    """A database key ``account/caller/name[/part]`` of the workload.

    Each key is written by one caller only, and the name of a transaction's
    keys is the caller's name for the transaction.
    """

    account: str
    caller: str
    name: str


def parse_key(key: str) -> Key | None:
    """Return the parts of a key, None if it has no ``account/caller/name``."""
    parts = key.split('/')
    if len(parts) < 3:
        return None
    return Key(parts[0], parts[1], parts[2])


def statement_key(statement: str) -> str:
    """Return the key or prefix of a statement."""
    parts = statement.split(' ', 2)
    return parts[1] if len(parts) > 1 else ''


def statement_value(statement: str) -> str:
    """Return the value of a statement that writes."""
    parts = statement.split(' ', 2)
    return parts[2] if len(parts) > 2 else ''


def last_sequence(value: str) -> int:
    """Return the sequence number of the last part of a value.

    A value is ``sequence:caller:request_id``; APPEND joins values by commas.
    Raises ``ValueError`` if there is no number.
    """
    return int(value.rpartition(',')[2].partition(':')[0])
