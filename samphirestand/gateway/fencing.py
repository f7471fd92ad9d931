"""Fencing tokens for promotions, and the orders that may still take effect.

One row of the store for each service holds its newest token, who holds it,
the targets that orders without a known outcome name, the position that each
later primary must have, and the holders of copies (see ``copies``). An order
is recorded before it is sent, so that any host knows of it, whatever becomes
of the one that sent it.

The store may come back from an older copy of itself. Versions go back then,
and ``Store-Era`` rises, so a token has the era in its high part and the
version of the write that took it in its low part. That needs no memory: no
other write has both. A row from before may lack what was recorded later.
"""

import asyncio
import collections.abc
import dataclasses
from typing import Annotated
from typing import Any

import pydantic

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import copies
from samphirestand import log
from samphirestand.platform import records
from samphirestand.platform import store as store_module
from samphirestand import types

__all__ = [
    'DUTIES_TABLE',
    'TOKEN_HOLD_MS',
    'Duty',
    'FencingTokens',
    'Token',
    'max_position',
]

# The table of the store that holds the fencing token of each service.
DUTIES_TABLE = 'duties'

# For this long no other host may take the fencing token: its holder asks the
# replicas, orders the promotion and waits until it takes effect.
TOKEN_HOLD_MS = 5_000

# The row is read again beside a read that has had no answer for this long: an
# outage of the store loses the calls in it, and no primary is replaced until
# one is answered. A degraded store takes 400 ms.
READ_REPEAT_MS = 500
MAX_READ_ATTEMPTS = 3

# The bits of a token below the era of the store: versions of the store.
TOKEN_VERSION_BITS = 40

# A write whose answer was lost is tried again: the second attempt shows
# whether it took effect, the third one follows it.
MAX_WRITE_ATTEMPTS = 3

# A token is read again if its row has changed meanwhile: another host may only
# have recorded holders of copies.
MAX_TAKE_ATTEMPTS = 2

# Stands for the targets of orders that nothing is known of. No target has
# this id.
UNKNOWN_TARGET = '?'

_log = log.get_logger(__name__)

_Long = Annotated[int, pydantic.Field(ge=0, le=records.MAX_LONG)]


class _PositionModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    term: _Long
    offset: _Long


class _CopyHolderModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    address: str = pydantic.Field(max_length=records.MAX_NAME_LENGTH)
    port: int = pydantic.Field(ge=1, le=65_535)
    started_ms: _Long


class _DutyModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    token: int = pydantic.Field(ge=0)
    holder: str
    until_ms: int = pydantic.Field(default=0, ge=0)  # by the store's clock
    ordered: list[str] = pydantic.Field(default_factory=list)
    required: _PositionModel | None = None
    copy_holders: dict[str, _CopyHolderModel] | None = None
    era: _Long | None = None  # of the store; None in rows of older releases


@dataclasses.dataclass(frozen=True)
class Duty:
    """The row of a service; ``version`` is 0 if there is none yet.

    A target that lacks ``required_position`` may not be promoted. The holders
    of copies are None if they haven't been recorded yet.

    ``is_restored`` tells that the store has come back since the row was
    written, so that tokens and orders may have been recorded later and be
    lost; the ordered ids then have ``UNKNOWN_TARGET``. ``was_idle`` tells that
    this host has known the row until then, and no promotion was under way.
    """

    token: int
    holder: str
    held_ms: int  # how much longer the token is held
    ordered_ids: frozenset[str]
    version: int
    required_position: types.Position | None = None
    holders_by_id: copies.HoldersById | None = None
    # Whether this host knows more about copies than the row has.
    is_outdated: bool = False
    era: int | None = None  # of the store in which it was read
    is_restored: bool = False
    was_idle: bool = False
    # Whether the row doesn't say in which era it was written.
    lacks_era: bool = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no promotion is under way or may still take effect."""
        return not self.held_ms and not self.ordered_ids

    @property
    def must_be_written(self) -> bool:
        """Tell whether the row lacks something that this host knows."""
        return self.is_outdated or self.is_restored or self.lacks_era

    @property
    def has_lost_orders(self) -> bool:
        """Tell whether orders may be under way that the store has lost."""
        return UNKNOWN_TARGET in self.ordered_ids and (
            self.is_restored or not self.holder
        )

    def without_lost_orders(self) -> 'Duty':
        """Return this row for a host that knows that none were lost."""
        if not (self.is_restored and self.was_idle):
            return self
        return dataclasses.replace(
            self, ordered_ids=self.ordered_ids - {UNKNOWN_TARGET}
        )

    def with_copies_of(self, earlier: 'Duty') -> 'Duty':
        """Return this row with what was recorded of copies in another one.

        More holders or a later position are always safe.
        """
        required_position = max_position(
            self.required_position, earlier.required_position
        )
        holders_by_id = self.holders_by_id
        if earlier.holders_by_id is not None:
            holders_by_id = {
                **earlier.holders_by_id,
                **(self.holders_by_id or {}),
            }
        return dataclasses.replace(
            self,
            required_position=required_position,
            holders_by_id=holders_by_id,
            is_outdated=(required_position, holders_by_id)
            != (self.required_position, self.holders_by_id),
        )


@dataclasses.dataclass(frozen=True)
class _KnownDuty:
    """A row as this host read or wrote it last.

    ``is_current`` unless it must be read again before it is used.
    ``is_followed`` unless a promotion may have begun since.
    """

    duty: Duty
    is_current: bool = True
    is_followed: bool = True


@dataclasses.dataclass(frozen=True)
class Token:
    """A fencing token that this host has taken.

    ``taken_ms`` is by this host's clock, from before the store counted. An
    order for one of ``ordered_ids`` may still be carried out.
    """

    service: str
    number: int
    taken_ms: int
    until_ms: int  # by the store's clock
    ordered_ids: frozenset[str]
    required_position: types.Position | None = None
    holders_by_id: copies.HoldersById | None = None
    era: int | None = None  # of the store in which it was taken


def _find_no_obstacle(duty: Duty) -> str | None:
    """Return None: nothing that is recorded forbids a promotion."""


class FencingTokens:
    """Takes, extends and releases the fencing tokens of services."""

    def __init__(
        self,
        host_id: str,
        clock: clock_module.Clock,
        store: store_module.Store,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._store = store
        self._versions_by_service: dict[str, int] = {}
        self._known_by_service: dict[str, _KnownDuty] = {}

    async def acquire(
        self,
        service: str,
        find_obstacle: collections.abc.Callable[
            [Duty], str | None
        ] = _find_no_obstacle,
        *,
        are_replicas_open: bool = False,
    ) -> Token | None:
        """Take a service's fencing token; None if another host holds it.

        Raises the token in the store. Another host's token is not taken
        before it expires by the store's clock: two holders at once would
        choose different replicas. Nor is it taken if ``find_obstacle`` returns
        a reason why it would be of no use. Raises ``PlatformError`` while the
        store can't be reached.

        After the store has come back, a token that it has lost may still be
        held: this host waits until that has expired, unless it has known the
        row until then and replicas have answered that they aren't paused
        (``are_replicas_open``).
        """
        for _ in range(MAX_TAKE_ATTEMPTS):
            taken_ms = self._clock.now()
            duty, now_ms = await self._read(service)
            if are_replicas_open:
                duty = duty.without_lost_orders()
            if duty.holder != self._host_id and duty.held_ms > 0:
                _log.info(
                    'succession_token_held',
                    service=service,
                    peer=duty.holder,
                    token=duty.token,
                    remaining_ms=duty.held_ms,
                )
                return None
            obstacle = find_obstacle(duty)
            if obstacle is not None:
                _log.warning(
                    'succession_waits', service=service, reason=obstacle
                )
                return None
            if duty.is_restored and duty.has_lost_orders:
                await self._hold_for_lost_tokens(service, duty, now_ms)
                return None
            token = Token(
                service,
                _next_number(duty, duty.version),
                taken_ms,
                now_ms + TOKEN_HOLD_MS,
                duty.ordered_ids,
                duty.required_position,
                duty.holders_by_id,
                duty.era,
            )
            self._change_known(service, is_followed=False)
            result = await self._write(token, duty.version)
            if (
                isinstance(result, store_module.Conflict)
                or self._store.era != duty.era
            ):
                continue
            token = dataclasses.replace(
                token, number=_next_number(duty, result)
            )
            self._versions_by_service[service] = result
            _log.info(
                'fencing_token_taken',
                service=service,
                token=token.number,
                ordered=sorted(token.ordered_ids),
            )
            return token
        _log.info('succession_taken_by_other', service=service)
        return None

    async def _hold_for_lost_tokens(
        self, service: str, duty: Duty, now_ms: int
    ) -> None:
        """Let nobody take a token until those that were lost have expired."""
        _log.warning(
            'lost_tokens_awaited',
            service=service,
            era=duty.era,
            remaining_ms=TOKEN_HOLD_MS,
        )
        model = _to_model(
            dataclasses.replace(duty, holder=''), now_ms + TOKEN_HOLD_MS
        )
        self.let_read_again(service)
        await self._put(service, model, duty.version)

    async def record_order(
        self,
        token: Token,
        target_id: str,
        position: types.Position | None = None,
    ) -> Token | None:
        """Record that an order for ``target_id`` is about to be sent.

        ``position`` is what it has received, if all later primaries must have
        that, too. Returns the token with what was recorded; None if the order
        may not be sent, because another host has taken a higher token or the
        store didn't answer.
        """
        recorded = dataclasses.replace(
            token,
            ordered_ids=token.ordered_ids | {target_id},
            required_position=max_position(token.required_position, position),
        )
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not self.is_valid(token):
                break
            try:
                result = await self._write(
                    recorded, self._versions_by_service[token.service]
                )
                if not self.is_valid(token):
                    break
                if not isinstance(result, store_module.Conflict):
                    self._versions_by_service[token.service] = result
                    return recorded
                duty, _ = await self._read(token.service)
            except exceptions.PlatformError as error:
                _log.warning(
                    'order_not_recorded',
                    service=token.service,
                    token=token.number,
                    reason=str(error),
                )
                continue
            if (duty.holder, duty.token) != (self._host_id, token.number):
                break
            # An earlier write of this host took effect without an answer.
            self._versions_by_service[token.service] = duty.version
        return None

    def is_valid(self, token: Token) -> bool:
        """Tell whether the store hasn't come back since a token was taken.

        Otherwise it may have lost the token, and another host may take one.
        """
        return self._store.era == token.era

    async def release(
        self, token: Token, ordered_ids: collections.abc.Set[str] = frozenset()
    ) -> None:
        """Expire a token, so that another host can take it at once.

        ``ordered_ids`` are the targets of orders that may still be carried
        out. Does nothing if another host has taken a higher token, or if the
        store may have lost this one. Raises ``PlatformError`` while the store
        can't be reached.
        """
        if not self.is_valid(token):
            return
        released = dataclasses.replace(
            token, until_ms=0, ordered_ids=frozenset(ordered_ids)
        )
        result = await self._write(
            released, self._versions_by_service[token.service]
        )
        if isinstance(result, store_module.Conflict) or (
            not self.is_valid(token)
        ):
            return
        self._versions_by_service[token.service] = result
        self._note_duty(token.service, self._to_duty(released, result))

    def known_duty(self, service: str) -> Duty | None:
        """Return a service's row as this host knows it.

        None if it must be read first, also because the store has come back
        from an older copy.
        """
        known = self._known_by_service.get(service)
        if known is None or not known.is_current:
            return None
        return known.duty if known.duty.era == self._store.era else None

    def _note_duty(self, service: str, duty: Duty) -> None:
        self._known_by_service[service] = _KnownDuty(duty)

    def has_come_back(self, service: str) -> bool:
        """Tell whether the store has come back since a row was known."""
        known = self._known_by_service.get(service)
        if known is None or known.duty.era is None:
            return False
        return known.duty.era != self._store.era or known.duty.has_lost_orders

    def let_read_again(self, service: str) -> None:
        """Let a service's row be read again before it is used."""
        self._change_known(service, is_current=False)

    def forget(self, service: str) -> None:
        """Let a row be read again that another host may have changed."""
        self._change_known(service, is_current=False, is_followed=False)

    def _change_known(self, service: str, **flags: Any) -> None:
        known = self._known_by_service.get(service)
        if known is not None:
            self._known_by_service[service] = dataclasses.replace(
                known, **flags
            )

    async def read(self, service: str) -> Duty:
        """Return a service's row.

        Raises ``PlatformError`` while the store can't be reached.
        """
        duty, _ = await self._read(service)
        return duty

    async def record_holders(
        self,
        service: str,
        duty: Duty,
        holders_by_id: copies.HoldersById | None,
        required_position: types.Position | None,
    ) -> bool:
        """Replace the holders of copies in an idle row.

        Returns whether the row was still as in ``duty``. Raises
        ``PlatformError`` while the store can't be reached.
        """
        recorded = dataclasses.replace(
            duty,
            holders_by_id=holders_by_id,
            required_position=required_position,
            is_outdated=False,
            is_restored=False,
            lacks_era=False,
        )
        self.let_read_again(service)
        if duty.era != self._store.era:
            return False
        result = await self._put(service, _to_model(recorded), duty.version)
        if isinstance(result, store_module.Conflict) or (
            duty.era != self._store.era
        ):
            # A version that is given out again may be that of another row.
            return False
        self._note_duty(service, dataclasses.replace(recorded, version=result))
        return True

    async def read_ordered_ids(self, service: str) -> frozenset[str]:
        """Return the targets for which an order may still be carried out.

        For a host that has evidence that replicas aren't paused. Raises
        ``PlatformError`` while the store can't be reached.
        """
        duty, _ = await self._read(service)
        return duty.without_lost_orders().ordered_ids

    async def _read(self, service: str) -> tuple[Duty, int]:
        """Return a service's duty and the store's time in milliseconds."""
        key = _duty_key(service)
        feed = await self._read_repeatedly(key)
        era = self._store.era
        if feed.era is not None and feed.era != era:
            raise exceptions.PlatformUnavailable(
                'the store has come back since it answered', step='fencing'
            )
        row = next((each for each in feed.rows if each.key == key), None)
        duty = (
            Duty(0, '', 0, frozenset(), 0, era=era)
            if row is None
            else _decode_duty(row, feed, era)
        )
        known = self._known_by_service.get(service)
        if known is not None:
            is_of_era = known.duty.era == era
            if not is_of_era or known.duty.is_outdated:
                duty = duty.with_copies_of(known.duty)
            if known.is_followed:
                duty = dataclasses.replace(
                    duty,
                    was_idle=known.duty.was_idle
                    if is_of_era
                    else known.duty.is_idle,
                )
        self._note_duty(service, duty)
        return duty, feed.now_ms

    async def _read_repeatedly(self, key: str) -> store_module.TableRows:
        """Return the first answer to a read that is repeated meanwhile."""
        reads: set[asyncio.Task[store_module.TableRows]] = set()
        try:
            for attempt in range(MAX_READ_ATTEMPTS):
                reads.add(
                    asyncio.create_task(self._store.read(DUTIES_TABLE, key))
                )
                is_last = attempt == MAX_READ_ATTEMPTS - 1
                done, _ = await asyncio.wait(
                    reads,
                    timeout=None if is_last else READ_REPEAT_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    break
            # An error is raised only if no read of these has an answer.
            answered = [each for each in done if each.exception() is None]
            return (answered or list(done))[0].result()
        finally:
            for each in reads:
                each.cancel()

    async def _write(
        self, token: Token, version: int
    ) -> int | store_module.Conflict:
        duty = self._to_duty(token, version)
        return await self._put(
            token.service, _to_model(duty, token.until_ms), version
        )

    def _to_duty(self, token: Token, version: int) -> Duty:
        """Return the row of a token that this host no longer holds."""
        return Duty(
            token.number,
            self._host_id,
            0,
            token.ordered_ids,
            version,
            token.required_position,
            token.holders_by_id,
            era=token.era,
        )

    async def _put(
        self, service: str, model: _DutyModel, version: int
    ) -> int | store_module.Conflict:
        return await self._store.put(
            DUTIES_TABLE,
            _duty_key(service),
            model.model_dump_json().encode(),
            version,
        )


def max_position(
    *positions: types.Position | None,
) -> types.Position | None:
    """Return the newest of the positions that are known."""
    return max((each for each in positions if each is not None), default=None)


def _encode_position(position: types.Position | None) -> _PositionModel | None:
    if position is None:
        return None
    return _PositionModel(term=position.term, offset=position.offset)


def _decode_position(model: _PositionModel | None) -> types.Position | None:
    return None if model is None else types.Position(model.term, model.offset)


def _encode_holders(
    holders_by_id: copies.HoldersById | None,
) -> dict[str, _CopyHolderModel] | None:
    if holders_by_id is None:
        return None
    return {
        target_id: _CopyHolderModel(
            address=each.address, port=each.port, started_ms=each.started_ms
        )
        for target_id, each in sorted(holders_by_id.items())
    }


def _decode_holders(
    models: dict[str, _CopyHolderModel] | None,
) -> copies.HoldersById | None:
    if models is None:
        return None
    return {
        target_id: copies.CopyHolder(each.address, each.port, each.started_ms)
        for target_id, each in models.items()
    }


def _duty_key(service: str) -> str:
    return f'promotion/{service}'


def _to_model(duty: Duty, until_ms: int = 0) -> _DutyModel:
    return _DutyModel(
        token=duty.token,
        holder=duty.holder,
        until_ms=until_ms,
        ordered=sorted(duty.ordered_ids),
        required=_encode_position(duty.required_position),
        copy_holders=_encode_holders(duty.holders_by_id),
        era=duty.era,
    )


def _next_number(duty: Duty, version: int) -> int:
    """Return the number of a token that a write of ``version`` has taken.

    Tokens of older releases, and of a store that doesn't tell its era, only
    count up.
    """
    if not duty.era:
        return duty.token + 1
    return max(duty.token + 1, (duty.era << TOKEN_VERSION_BITS) + version)


def _is_possible(model: _DutyModel, version: int, era: int | None) -> bool:
    """Tell whether a host can have written a row that has ``version``.

    Each token took a write, and each write raises the store's version.
    """
    row_era = model.era or 0
    token_era = model.token >> TOKEN_VERSION_BITS
    token_version = model.token - (token_era << TOKEN_VERSION_BITS)
    return (
        token_version <= version
        and token_era <= row_era
        and (era is None or row_era <= era)
    )


def _decode_duty(
    row: store_module.Row, feed: store_module.TableRows, era: int | None
) -> Duty:
    """Decode a row; one that no host can have written is replaced.

    What an unreadable row held is not known, so an order for any target may
    be under way.
    """
    try:
        model = _DutyModel.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        reason = str(error)
    else:
        held_ms = max(0, model.until_ms - feed.now_ms)
        if _is_possible(model, row.version, era) and held_ms <= TOKEN_HOLD_MS:
            is_restored = (
                model.era is not None and era is not None and model.era < era
            )
            lost_ids = {UNKNOWN_TARGET} if is_restored else set()
            return Duty(
                model.token,
                model.holder,
                held_ms,
                frozenset(model.ordered) | lost_ids,
                row.version,
                _decode_position(model.required),
                _decode_holders(model.copy_holders),
                era=era,
                is_restored=is_restored,
                lacks_era=model.era is None and era is not None,
            )
        reason = f'token {model.token}, era {model.era}, held for {held_ms} ms'
    _log.error('duty_unreadable', key=row.key, reason=reason)
    return Duty(
        row.version,
        '',
        0,
        frozenset({UNKNOWN_TARGET}),
        row.version,
        era=era,
    )
