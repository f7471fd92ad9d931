"""Confirmation by another server that the primary wasn't replaced."""

import asyncio

from samphirestand import exceptions
from samphirestand.targets import context as context_module
from samphirestand.targets import control
from samphirestand.targets import messages
from samphirestand import types

# Writes are refused before they are sent when the last confirmation is older,
# because the primary may have been replaced.
MAX_CONFIRMATION_AGE_MS = 1_000
# Pause between two status requests to a server that didn't confirm.
RETRY_PAUSE_MS = 25
# One status request waits at most this long for a position.
MAX_POSITION_WAIT_MS = 1_000
# Time for the answer in addition to the wait for a position.
STATUS_MARGIN_MS = 500


class TermConfirmation:
    """Asks the other servers of the service to confirm the primary's term."""

    def __init__(
        self, context: context_module.Context, target: types.Target
    ) -> None:
        self._context = context
        self._target = target
        self._term = 0
        self._confirmed_at: int | None = None
        self._directly_requested_ids: set[str] = set()

    def age_ms(self, term: int) -> int | None:
        """Return the age of the last confirmation of ``term``, or None."""
        if term != self._term or self._confirmed_at is None:
            return None
        return self._context.clock.now() - self._confirmed_at

    def is_recent(self, term: int) -> bool:
        """Tell whether ``term`` was confirmed recently enough for writes.

        Always true for a service with a single target.
        """
        age = self.age_ms(term)
        return not self._peers() or (
            age is not None and age <= MAX_CONFIRMATION_AGE_MS
        )

    def record_status(
        self, state: types.TargetState, asked_at: int, term: int
    ) -> None:
        """Record another server's answer to a request sent at ``asked_at``."""
        if state.term != term:
            return
        if term != self._term:
            self._term, self._confirmed_at = term, asked_at
        elif self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    async def wait_for_confirmation(
        self, term: int, position: types.Position | None, deadline: int
    ) -> bool:
        """Wait until another server confirms ``term`` after this call.

        With ``position``, that server's log must also contain it. Returns
        false at the deadline or when every server has a higher term.
        """
        peers = self._peers()
        if not peers:
            return True
        tasks = {
            asyncio.ensure_future(
                self._wait_for_peer(peer, term, position, deadline)
            )
            for peer in peers
        }
        pending = tasks
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    def _peers(self) -> list[types.Target]:
        return [
            each
            for each in context_module.service_targets(
                self._context, self._target
            )
            if each.target_id != self._target.target_id
        ]

    async def _wait_for_peer(
        self,
        peer: types.Target,
        term: int,
        position: types.Position | None,
        deadline: int,
    ) -> bool:
        clock = self._context.clock
        while (remaining := deadline - clock.now()) > 0:
            asked_at = clock.now()
            wait_ms = min(remaining, MAX_POSITION_WAIT_MS) if position else 0
            state = await self._request_status(
                peer, position, wait_ms, remaining
            )
            now = clock.now()
            if state is not None:
                # With a position, the state may be older than the request.
                if position is None:
                    self.record_status(state, asked_at, term)
                if state.term > term:
                    return False
                has_position = not position or state.history.contains(position)
                # An answer that is read late, after a pause of this process,
                # doesn't exclude a promotion since it was sent.
                is_current = (
                    now - asked_at <= wait_ms + MAX_CONFIRMATION_AGE_MS
                )
                if state.term == term and has_position and is_current:
                    return now <= deadline
            await clock.sleep(RETRY_PAUSE_MS)
        return False

    async def _request_status(
        self,
        peer: types.Target,
        position: types.Position | None,
        wait_ms: int,
        remaining_ms: int,
    ) -> types.TargetState | None:
        timeout_ms = min(remaining_ms, wait_ms + STATUS_MARGIN_MS)
        status = await self._context.router.target_status(
            peer.target_id, position, wait_ms, timeout_ms
        )
        if isinstance(status, types.TargetStatus):
            return status.state
        return await self._request_status_directly(
            peer, position, wait_ms, timeout_ms
        )

    async def _request_status_directly(
        self,
        peer: types.Target,
        position: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetState | None:
        # Servers reserve only three connections for control calls, so this
        # host opens at most one to each server.
        if peer.target_id in self._directly_requested_ids:
            return None
        self._directly_requested_ids.add(peer.target_id)
        try:
            answer = await control.call_once(
                self._context,
                peer.url,
                messages.Status(position, wait_ms),
                max(1, timeout_ms),
            )
        except exceptions.TargetError:
            return None
        finally:
            self._directly_requested_ids.discard(peer.target_id)
        return answer.state
