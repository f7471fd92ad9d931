"""Steps that single statements and open transactions share."""

import collections.abc

from samphirestand import exceptions
from samphirestand.gateway import connection as connection_module
from samphirestand.gateway import pool as pool_module
from samphirestand import log
from samphirestand.platform import wire
from samphirestand import work as work_module

__all__ = [
    'answered_outcome',
    'failed_outcome',
    'first_error',
    'log_lost_answer',
    'return_connection',
]

_log = log.get_logger(__name__)


def first_error(
    step_replies: collections.abc.Iterable[connection_module.Reply],
) -> str | None:
    """Return the code of the first error, None if all steps succeeded."""
    return next(
        (each.error.code for each in step_replies if each.error is not None),
        None,
    )


def return_connection(
    pool: pool_module.TargetPool,
    connection: connection_module.TargetConnection,
    reply: connection_module.Reply,
) -> None:
    """Return a connection to its pool after a transaction.

    Closes it instead if the target still has a transaction open on it.
    """
    if reply.state == wire.STATE_IDLE:
        pool.checkin(connection)
        return
    pool.discard(connection)


def answered_outcome(
    pool: pool_module.TargetPool,
    reply: connection_module.Reply,
) -> work_module.Answered:
    return work_module.Answered(
        reply.rows,
        reply.signature,
        reply.position,
        pool.target.target_id,
    )


def failed_outcome(
    pool: pool_module.TargetPool, reply: connection_module.Reply
) -> work_module.Failed:
    assert reply.error is not None
    return work_module.Failed(
        reply.error.code,
        reply.error.text,
        reply.position,
        pool.target.target_id,
    )


def log_lost_answer(
    pool: pool_module.TargetPool,
    work: work_module.Work,
    error: exceptions.AnswerLost,
    *,
    is_sent: bool,
) -> None:
    """Log that the answer to a statement, or to its setup, was lost."""
    _log.warning(
        'answer_lost',
        request=work.request_id,
        target=pool.target.target_id,
        reason=str(error),
        sent=is_sent,
        writes=work.writes or work.commits,
    )
