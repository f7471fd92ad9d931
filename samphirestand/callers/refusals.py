"""The latest refusals of this host, kept so that operators can see them."""

import collections

from samphirestand import types

MAX_REFUSALS = 10_000
MAX_REASON_CHARS = 300


class RecentRefusals:
    """A bounded store of refusals; the oldest is dropped first."""

    def __init__(self, max_refusals: int = MAX_REFUSALS) -> None:
        self._max_refusals = max_refusals
        # Callers choose request ids, so two accounts may use the same one.
        self._refusals_by_account_and_id: collections.OrderedDict[
            tuple[str, str], types.Refusal
        ] = collections.OrderedDict()

    def add(self, refusal: types.Refusal) -> None:
        """Store ``refusal``; it replaces an earlier one of the request."""
        key = (refusal.account, refusal.request_id)
        self._refusals_by_account_and_id.pop(key, None)
        self._refusals_by_account_and_id[key] = refusal
        if len(self._refusals_by_account_and_id) > self._max_refusals:
            self._refusals_by_account_and_id.popitem(last=False)

    def find(self, request_id: str) -> list[types.Refusal]:
        """Return the latest refusals with this request id, of any account."""
        return [
            refusal
            for refusal in self._refusals_by_account_and_id.values()
            if refusal.request_id == request_id
        ]

    def latest(self, account: str, limit: int) -> list[types.Refusal]:
        """Return up to ``limit`` of an account's latest, the oldest first.

        An empty ``account`` stands for all accounts.
        """
        matching = [
            refusal
            for refusal in self._refusals_by_account_and_id.values()
            if account in ('', refusal.account)
        ]
        return matching[max(0, len(matching) - limit) :]

    def __len__(self) -> int:
        return len(self._refusals_by_account_and_id)
