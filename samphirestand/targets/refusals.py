"""Outcomes other than ``Done``, raised as exceptions."""

from samphirestand import exceptions
from samphirestand import types


class RequestRefused(exceptions.SamphirestandError):
    """Ends a request with ``outcome``, which its caller gets."""

    def __init__(
        self, outcome: types.NotRun | types.Unknown, *, step: str, peer: str
    ) -> None:
        super().__init__(outcome.reason, step=step, peer=peer)
        self.outcome = outcome


def not_run(
    code: str,
    message: str,
    *,
    step: str,
    peer: str,
    hint: str = '',
    retry_after_ms: int | None = None,
) -> RequestRefused:
    """Return the error for a request that had no effect."""
    reason = f'{step} ({peer}): {message}'
    outcome = types.NotRun(code, reason, retry_after_ms, hint)
    return RequestRefused(outcome, step=step, peer=peer)


def unknown(
    code: str, message: str, *, step: str, peer: str
) -> RequestRefused:
    """Return the error for a request that may have had an effect."""
    reason = f'{step} ({peer}): {message}'
    return RequestRefused(types.Unknown(code, reason), step=step, peer=peer)


def as_unknown(refused: RequestRefused) -> RequestRefused:
    """Return ``refused`` with an unknown outcome.

    For a request with an earlier attempt whose answer was lost: that attempt
    may have run.
    """
    match refused.outcome:
        case types.NotRun(code=code, reason=reason):
            outcome = types.Unknown(code, f'{reason}; an attempt was lost')
            return RequestRefused(
                outcome, step=refused.step, peer=refused.peer
            )
        case _:
            return refused
