"""Outcomes other than ``Done`` as exceptions, for straight code."""

from samphirestand import exceptions
from samphirestand import types


class Refused(exceptions.SamphirestandError):
    """A request ends here with ``outcome``."""

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
) -> Refused:
    """Return the error for a request that had no effect."""
    reason = f'{step} ({peer}): {message}'
    outcome = types.NotRun(code, reason, retry_after_ms, hint)
    return Refused(outcome, step=step, peer=peer)


def unknown(code: str, message: str, *, step: str, peer: str) -> Refused:
    """Return the error for a request that may have had an effect."""
    reason = f'{step} ({peer}): {message}'
    return Refused(types.Unknown(code, reason), step=step, peer=peer)


def as_unknown(refused: Refused) -> Refused:
    """Return ``refused`` for a request of which an attempt was lost."""
    match refused.outcome:
        case types.NotRun(code=code, reason=reason):
            outcome = types.Unknown(code, f'{reason}; an attempt was lost')
            return Refused(outcome, step=refused.step, peer=refused.peer)
        case _:
            return refused
