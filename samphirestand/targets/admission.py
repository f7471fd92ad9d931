"""Checks that a gateway makes before it sends a request to its target."""

from samphirestand.targets import confirmation as confirmation_module
from samphirestand.targets import context as context_module
from samphirestand.targets import history
from samphirestand.targets import probe as probe_module
from samphirestand.targets import refusals
from samphirestand import types

PRIMARY = 'primary'
FRESH_PROBE_TIMEOUT_MS = 500


class Admission:
    """Decides whether a gateway may run a request now.

    ``work_hold_reason`` is set while a planned replacement of the primary
    runs: new work is then refused with ``not_primary``, and entry hosts
    retry it. ``transaction_hold_reason`` is set while only new transactions
    are refused.
    """

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        probe: probe_module.Probe,
        confirmation: confirmation_module.TermConfirmation,
    ) -> None:
        self.work_hold_reason = ''
        self.transaction_hold_reason = ''
        self._context = context
        self._target = target
        self._probe = probe
        self._confirmation = confirmation

    def current_target(self) -> types.Target:
        """Return the target from the current configuration."""
        current = self._context.configuration.current
        return current.targets_by_id.get(self._target.target_id, self._target)

    def current_service(self) -> types.Service:
        """Return the target's service from the current configuration.

        Raises ``RequestRefused`` when the service was dropped.
        """
        current = self._context.configuration.current
        service = current.services_by_name.get(self._target.service)
        if service is None:
            raise self.refusal(
                'service_unknown', f'no service {self._target.service}'
            )
        return service

    def account_weight(self, account: str) -> int:
        """Return the account's weight in the queue; 1 if it is unknown."""
        current = self._context.configuration.current
        configured = current.accounts_by_name.get(account)
        return configured.weight if configured else 1

    def check_request(self, request: types.Request) -> None:
        """Check that the request may run on this gateway.

        Raises ``RequestRefused`` if it may not.
        """
        if not self._probe.holds_lock:
            raise self.refusal(
                'not_gateway',
                'this host does not hold the lock of the target',
                hint=self._probe.lock_holder,
            )
        self.check_key(request)

    def check_key(self, request: types.Request) -> None:
        """Check that the key is valid for the account now.

        Raises ``RequestRefused`` if it isn't. A request without a key is
        allowed only to the open account.
        """
        if not request.key_id:
            if request.account != self.current_service().open_account:
                raise self.refusal('key_missing', 'the route needs a key')
            return
        keys = self._context.configuration.current.keys_by_id
        key = keys.get(request.key_id)
        if key is None:
            raise self.refusal('key_unknown', f'no key {request.key_id}')
        if key.withdrawn:
            raise self.refusal(
                'key_withdrawn', f'{request.key_id} was withdrawn'
            )
        if key.account != request.account:
            raise self.refusal(
                'key_unknown', f'{request.key_id} is of another account'
            )

    def check_new_work(self) -> None:
        """Raise ``RequestRefused`` when the target takes no new work.

        A retired primary takes work until another target replaces it.
        """
        if self.work_hold_reason:
            raise self.refusal('not_primary', self.work_hold_reason)
        target = self.current_target()
        state = self._probe.state
        is_primary = state is not None and state.role == PRIMARY
        if target.retired and not is_primary:
            raise self.refusal('target_leaving', 'the target is retired')

    def check_new_transaction(self) -> None:
        """Raise ``RequestRefused`` when no transaction may begin."""
        self.check_new_work()
        if self.transaction_hold_reason:
            raise self.refusal('not_primary', self.transaction_hold_reason)

    async def primary_state_for(
        self, session: types.Position | None
    ) -> types.TargetState:
        """Return the state of the primary, probed again for a session.

        The latest probe may be older than the session's last write on this
        primary. Raises ``RequestRefused`` like ``primary_state``.
        """
        state = self.primary_state()
        if session is None:
            return state
        if history.compare(state.history, session) is history.Relation.BEHIND:
            await self._probe.fetch_state(FRESH_PROBE_TIMEOUT_MS)
        return self.primary_state()

    def primary_state(self) -> types.TargetState:
        """Return the state of the primary if its term was confirmed recently.

        Raises ``RequestRefused`` with ``not_primary`` or
        ``primary_unconfirmed``.
        """
        state = self._probe.state
        route = self._context.routes.primary(self._target.service)
        if state is None or state.role != PRIMARY:
            hint = ''
            if isinstance(route, types.Route):
                hint = route.primary_target_id
            raise self.refusal(
                'not_primary', 'the target is a replica', hint=hint
            )
        if isinstance(route, types.Route) and route.term > state.term:
            raise self.refusal(
                'not_primary',
                f'term {route.term} replaced term {state.term}',
                hint=route.primary_target_id,
            )
        if not self._confirmation.is_recent(state.term):
            age = self._confirmation.age_ms(state.term)
            raise self.refusal(
                'primary_unconfirmed',
                f'the last confirmation is {age} ms old'
                if age is not None
                else f'term {state.term} was not confirmed yet',
            )
        return state

    def refusal(
        self, code: str, message: str, hint: str = ''
    ) -> refusals.RequestRefused:
        """Return the error for a request that wasn't sent to the target."""
        return refusals.not_run(
            code,
            message,
            step='gateway',
            peer=self._target.target_id,
            hint=hint,
        )
