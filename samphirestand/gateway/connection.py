"""A connection to a target and its session state there."""

import asyncio
import dataclasses
import itertools

from samphirestand import catalog
from samphirestand import exceptions
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'Preparation',
    'Reply',
    'TargetConnection',
    'TargetStatement',
    'open_connection',
]

# Prepared statements kept on one connection. More are rare; beyond this number
# DISCARD drops all of them.
MAX_PREPARED_STATEMENTS = 64

# Their length on one connection, in characters. Callers can prepare texts of
# up to 1 MiB each, and a host has hundreds of connections to targets.
MAX_PREPARED_TEXT = 1_048_576


@dataclasses.dataclass(frozen=True)
class TargetStatement:
    """One statement to send to a target, with its request id."""

    request_id: str
    text: str


@dataclasses.dataclass(frozen=True)
class Preparation:
    """The steps that a connection needs before a statement can run on it.

    If one fails that sets the session's values, a statement sent together
    with it would run with wrong values. A prepared statement that is missing
    can't run at all.
    """

    steps: list[TargetStatement]
    sets_values: bool


@dataclasses.dataclass(frozen=True)
class Reply:
    """A target's complete answer to one statement."""

    rows: tuple[str, ...]
    signature: str
    error: wire.Error | None
    state: str
    position: types.Position | None


class TargetConnection:
    """A session with a target, opened for one client account."""

    def __init__(
        self,
        connection: wire.Connection,
        target: catalog.Target,
        account: str,
        opened_ms: int,
    ) -> None:
        self._connection = connection
        self.target = target
        self.account = account
        self.opened_ms = opened_ms
        self.last_used_ms = opened_ms
        self.session_values: dict[str, str] = {}
        self._prepared_names_by_shape: dict[tuple[types.Mode, str], str] = {}
        self._prepared_text = 0
        self._prepared_name_numbers = itertools.count(1)
        self.is_busy = False

    @property
    def is_usable(self) -> bool:
        """Tell whether another statement may be sent.

        A line that arrives while no statement is running means that the
        target is about to close the connection.
        """
        return not self._connection.is_closed and not self._connection.has_line

    def preparation(self, work: work_module.Work) -> Preparation:
        """Return the steps that prepare the connection for ``work``.

        They set session values and prepare the statement. The connection
        records them as done at once, so the caller must close it if one fails.
        """
        steps = []
        wanted_values = dict(work.values)
        if any(name not in wanted_values for name in self.session_values) or (
            len(self._prepared_names_by_shape) > MAX_PREPARED_STATEMENTS
            or self._prepared_text > MAX_PREPARED_TEXT
        ):
            steps.append(TargetStatement(wire.PROXY_REQUEST_ID, wire.DISCARD))
            self.session_values.clear()
            self._prepared_names_by_shape.clear()
            self._prepared_text = 0
        for name, value in wanted_values.items():
            if self.session_values.get(name) != value:
                steps.append(
                    TargetStatement(
                        wire.PROXY_REQUEST_ID, wire.set_text(name, value)
                    )
                )
                self.session_values[name] = value
        sets_values = bool(steps)
        if work.mode is None or (work.mode, work.shape) in (
            self._prepared_names_by_shape
        ):
            return Preparation(steps, sets_values)
        name = f'p{next(self._prepared_name_numbers)}'
        self._prepared_names_by_shape[work.mode, work.shape] = name
        self._prepared_text += len(work.shape)
        text = wire.prepare_text(name, work.mode, work.shape)
        steps.append(TargetStatement(wire.PROXY_REQUEST_ID, text))
        return Preparation(steps, sets_values)

    def count_missing_steps(self, work: work_module.Work) -> int:
        """Return roughly how many setup steps ``work`` needs here."""
        wanted_values = dict(work.values)
        missing_count = sum(
            self.session_values.get(each) != wanted_values[each]
            for each in wanted_values
        )
        if any(name not in wanted_values for name in self.session_values):
            missing_count = 1 + len(wanted_values)
        if work.mode is not None and (
            (work.mode, work.shape) not in self._prepared_names_by_shape
        ):
            missing_count += 1
        return missing_count

    def text(self, work: work_module.Work) -> str:
        """Return the text to send for ``work``.

        A prepared statement is executed by its name on this connection.
        """
        if work.mode is None:
            return work.text
        name = self._prepared_names_by_shape[work.mode, work.shape]
        return wire.execute_text(name, work.arguments)

    async def run(
        self, steps: list[TargetStatement], timeout_ms: int
    ) -> list[Reply]:
        """Send all steps at once and return their replies in order.

        Raises ``AnswerLost`` after ``timeout_ms``, or if the connection ends
        or the answer is malformed; the connection is then closed.
        """
        self._connection.write(
            b''.join(
                wire.encode_query(each.request_id, each.text) for each in steps
            )
        )
        try:
            async with asyncio.timeout(max(0, timeout_ms) / 1000):
                return [await self._read_reply() for _ in steps]
        except TimeoutError as error:
            self.close()
            raise exceptions.AnswerLost(
                'no answer in time',
                step='statement',
                peer=self.target.target_id,
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _read_reply(self) -> Reply:
        rows = []
        signature = ''
        error = None
        while True:
            line = await self._connection.read_line()
            match wire.decode_answer(line) if line is not None else None:
                case wire.Row() as row:
                    rows.append(row.data)
                case wire.Complete() as complete:
                    signature = complete.signature
                case wire.Error() as wire_error:
                    error = wire_error
                case wire.Ready() as ready:
                    return Reply(
                        tuple(rows),
                        signature,
                        error,
                        ready.state,
                        ready.position,
                    )
                case None:
                    self.close()
                    raise exceptions.AnswerLost(
                        'connection closed'
                        if line is None
                        else 'malformed answer',
                        step='statement',
                        peer=self.target.target_id,
                    )

    def discard_unsent_on_close(self) -> None:
        """Withdraw what the target hasn't received when this is closed."""
        self._connection.discard_unsent_on_close()

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""
        self._connection.abort()


async def open_connection(
    target: catalog.Target,
    account: str,
    timeout_ms: int,
    now_ms: int,
    accept_timeout_ms: int | None = None,
) -> TargetConnection:
    """Open a session with a target for ``account``.

    ``accept_timeout_ms`` limits the time until the connection is accepted,
    ``timeout_ms`` if None. Raises ``TargetRefused`` or ``TargetConnectError``.
    """
    connection = await wire.connect(
        target.address, target.port, accept_timeout_ms or timeout_ms
    )
    connection.write(
        wire.encode_startup(target.service, account, target.target_id)
    )
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            line = await connection.read_line()
    except TimeoutError:
        line = None
    except asyncio.CancelledError:
        connection.abort()
        raise
    answer = wire.decode_answer(line) if line is not None else None
    if isinstance(answer, wire.Ready):
        return TargetConnection(connection, target, account, now_ms)
    connection.abort()
    if isinstance(answer, wire.Error):
        raise exceptions.TargetRefused(
            f'{answer.code} {answer.text}',
            step='open session',
            peer=target.target_id,
            code=answer.code,
        )
    raise exceptions.TargetConnectError(
        'no answer', step='open session', peer=target.target_id
    )
