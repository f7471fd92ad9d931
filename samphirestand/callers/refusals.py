"""The latest refusals of this host, kept for explanations."""

import collections

from samphirestand import types

MOST_REFUSALS = 10_000
LONGEST_REASON = 300


class Refusals:
    """A bounded store of refusals; the oldest goes first."""

    def __init__(self, most: int = MOST_REFUSALS) -> None:
        self._most = most
        # Accounts choose their request ids, so two may choose the same one.
        self._refusals_by_id: collections.OrderedDict[
            tuple[str, str], types.Refusal
        ] = collections.OrderedDict()

    def add(self, refusal: types.Refusal) -> None:
        """Keep ``refusal``; it replaces an earlier one of the request."""
        key = (refusal.account, refusal.request_id)
        self._refusals_by_id.pop(key, None)
        self._refusals_by_id[key] = refusal
        if len(self._refusals_by_id) > self._most:
            self._refusals_by_id.popitem(last=False)

    def find(self, request_id: str) -> list[types.Refusal]:
        """Return the latest refusals with this request id, of any account."""
        return [
            refusal
            for refusal in self._refusals_by_id.values()
            if refusal.request_id == request_id
        ]

    def latest(self, account: str, limit: int) -> list[types.Refusal]:
        """Return the latest refusals, oldest first; of all if no account."""
        found = [
            refusal
            for refusal in self._refusals_by_id.values()
            if account in ('', refusal.account)
        ]
        return found[max(0, len(found) - limit) :]

    def __len__(self) -> int:
        return len(self._refusals_by_id)
