"""The gateway of one service: its queue, its targets and transactions."""

import asyncio
import collections.abc
import dataclasses
import random

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import watch
from samphirestand.gateway import connection as connection_module
from samphirestand.gateway import freshness as freshness_module
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['Gateway']

# How often work that nothing of was kept is tried on a target.
MAX_ATTEMPTS = 6

# After a target said that it is full.
FULL_PAUSE_MS = 30

# A target that could not be reached is left out for this long, unless a
# probe succeeds earlier.
FAILED_PAUSE_MS = 200

# Evidence about the primary must be newer than the oldest moment that a
# read needs by this much, against timers that fire late.
FRESHNESS_MARGIN_MS = 100

# Connections that must stay available for operations of one statement.
UNPINNED_CONNECTIONS = 2

# When callers come back whose service has no primary: a replacement takes
# about two seconds, and they give up after a second or two.
OUTAGE_RETRY_MS = 400

# A read is tried on another target when this part of its operation's
# objective has gone by without an answer, and not before several times what
# statements usually take: a target that is slow must not get the reads twice.
READ_ATTEMPT_SHARE = 0.6
READ_ATTEMPT_SERVICES = 8

# One for each replica of a service with three targets; the primary is last.
MAX_SHORT_ATTEMPTS = 2

# Errors after which nothing of the statement is kept, so that it may be
# tried again.
NOTHING_KEPT = frozenset(
    ('BUSY', 'LAGGING', 'READONLY', 'WRONGNODE', 'TOOMANY', 'NOSTMT')
)

_log = log.get_logger(__name__)


@dataclasses.dataclass(eq=False)
class _Ticket:
    """Work that waits for a slot."""

    work: work_module.Work
    received_ms: int
    needs_primary: bool
    future: asyncio.Future[pool_module.TargetPool]
    pinned: pool_module.TargetPool | None = None
    attempts: int = 0
    avoided: set[str] = dataclasses.field(default_factory=set)
    last_reason: str = ''
    is_bound: bool = False  # whether only the primary suits it
    leads: bool = False  # whether the chosen target is the primary
    floor: types.Position | None = None  # what a chosen replica must have

    @property
    def deadline_ms(self) -> int:
        return self.received_ms + self.work.budget_ms

    def order(self, now: int) -> tuple[bool, bool, int]:
        """Return the key of the queue.

        Open transactions come first, then what can be in time.
        """
        key = policy.order(
            self.received_ms, self.work.objective_ms, self.work.priority
        )
        is_late = now - self.received_ms > self.work.objective_ms
        return self.pinned is None, is_late, key


@dataclasses.dataclass(eq=False)
class _Transaction:
    """An open transaction and the connection that it holds."""

    pool: pool_module.TargetPool
    connection: connection_module.TargetConnection
    is_running: bool = True


Key = tuple[str, int]
Retry = exceptions.Sentinel


class Gateway:
    """Runs the statements of one service on its targets."""

    def __init__(
        self,
        service: str,
        clock: clock_module.Clock,
        generator: random.Random,
        targets: watch.TargetWatch,
        catalog: collections.abc.Callable[[], catalog_module.Catalog],
        metrics: metrics_module.Metrics,
    ) -> None:
        self.service = service
        self._clock = clock
        self._random = generator
        self._targets = targets
        self._catalog = catalog
        self._metrics = metrics
        self.freshness = freshness_module.Freshness()
        self.pools_by_id: dict[str, pool_module.TargetPool] = {}
        self._waiting: list[_Ticket] = []
        self._transactions: dict[Key, _Transaction] = {}
        self._service_ms = pool_module.FIRST_SERVICE_MS
        self.primary_id = ''
        # Targets that claim to be primary and have answered that they are
        # not.
        self._denied_ids: set[str] = set()
        # The newest claim that was considered; what this host learns from
        # the targets themselves is newer than all claims before it.
        self._claim_version = 0
        self.used_ms = clock.now()
        # When a primary is expected to lead; None if that isn't known.
        self.recovery_ms: int | None = None
        self.bounded_ms = 0  # when a bounded read was last asked for
        self.refresh()

    @property
    def is_idle(self) -> bool:
        return not self._waiting and not self._transactions

    @property
    def primary(self) -> pool_module.TargetPool | None:
        return self.pools_by_id.get(self.primary_id)

    def refresh(self) -> None:
        """Follow the registry and the configuration."""
        service = self._catalog().services_by_name.get(self.service)
        limit = service.max_connections if service is not None else 1
        present = {
            each.target_id: each
            for each in self._targets.of_service(self.service)
        }
        for target_id in [
            each
            for each, pool in self.pools_by_id.items()
            if each not in present
            or present[each].started_ms != pool.target.started_ms
        ]:
            self.pools_by_id.pop(target_id).close()
        for target_id, target in present.items():
            pool = self.pools_by_id.get(target_id)
            if pool is None:
                pool = pool_module.TargetPool(target, self._clock, limit)
                self.pools_by_id[target_id] = pool
            pool.target = target
            pool.max_connections = limit
            if not target.claims_primary:
                self._denied_ids.discard(target_id)
        self._choose_primary()
        self._dispatch()

    def _choose_primary(self) -> None:
        """Follow the registry, unless this host knows something newer."""
        claimed = self._targets.claimed_primary(self.service)
        if claimed is None:
            return
        target_id = claimed.target_id
        version = self._targets.claim_version(target_id)
        if version > self._claim_version:
            self._claim_version = version
            self.set_primary(target_id, 'registry')
        elif not self.primary_id and target_id not in self._denied_ids:
            self.set_primary(target_id, 'registry')

    def set_primary(self, target_id: str, source: str) -> None:
        """Send what only a primary can do to ``target_id`` from now on."""
        claimed = self._targets.claimed_primary(self.service)
        if claimed is not None:
            self._claim_version = max(
                self._claim_version,
                self._targets.claim_version(claimed.target_id),
            )
        self._denied_ids.discard(target_id)
        self.recovery_ms = None
        if target_id == self.primary_id:
            return
        _log.info(
            'primary_changed',
            service=self.service,
            target=target_id,
            earlier=self.primary_id,
            source=source,
        )
        self.primary_id = target_id

    def _deny(self, pool: pool_module.TargetPool) -> None:
        """Note that a target has answered that it is not the primary."""
        target_id = pool.target.target_id
        if target_id in self._denied_ids:
            return
        self._denied_ids.add(target_id)
        _log.info('primary_denied', service=self.service, target=target_id)
        if self.primary_id == target_id:
            self.primary_id = ''
        self._choose_primary()

    async def run(
        self, owner: str, work: work_module.Work
    ) -> work_module.Outcome:
        """Run one statement of the entry host ``owner``."""
        self.used_ms = self._clock.now()
        match work.stage:
            case work_module.Stage.SINGLE | work_module.Stage.OPEN:
                return await self._start(owner, work)
            case _:
                return await self._continue(owner, work)

    async def _start(
        self, owner: str, work: work_module.Work
    ) -> work_module.Outcome:
        now = self._clock.now()
        is_transaction = work.stage is work_module.Stage.OPEN
        needs_primary = (
            work.writes
            or work.consistency is catalog_module.Consistency.PRIMARY
            or (is_transaction and not work.read_only)
        )
        if not needs_primary:
            self.bounded_ms = now
        ticket = _Ticket(
            work,
            now,
            needs_primary,
            asyncio.get_running_loop().create_future(),
        )
        refusal = self._admit(ticket)
        if refusal is not None:
            return refusal
        while True:
            outcome = await self._attempt(owner, ticket)
            if not isinstance(outcome, Retry):
                return outcome
            ticket.attempts += 1
            ticket.last_reason = outcome.reason
            if ticket.attempts >= MAX_ATTEMPTS:
                return self._refuse(ticket, outcome.reason)
            ticket.future = asyncio.get_running_loop().create_future()

    def _admit(self, ticket: _Ticket) -> work_module.Refused | None:
        usable = [
            each for each in self.pools_by_id.values() if not each.is_down
        ]
        if not usable:
            return self._refuse(ticket, 'no target of the service is up')
        if ticket.needs_primary and not self._is_primary_expected(ticket):
            return self._refuse(
                ticket, 'the primary is being replaced', OUTAGE_RETRY_MS
            )
        wait_ms, service_ms = self._expected_wait(ticket, usable)
        patience = self._patience_ms(ticket)
        if not policy.admits(wait_ms, service_ms, patience):
            return self._refuse(ticket, f'a wait of {wait_ms:.0f} ms', wait_ms)
        return None

    def _expected_wait(
        self, ticket: _Ticket, usable: list[pool_module.TargetPool]
    ) -> tuple[float, float]:
        """Return how long a ticket will wait and then run."""
        now = self._clock.now()
        earlier = [
            each
            for each in self._waiting
            if each.order(now) < ticket.order(now)
        ]
        suited = [each for each in usable if self._suits(ticket, each)]
        primary = self.primary
        if primary is None or suited not in ([], [primary]):
            slots = sum(each.target.slots for each in suited or usable)
            service_ms = self._service_ms
        else:
            # Other waiting work may go to the replicas.
            earlier = [each for each in earlier if each.is_bound]
            slots = primary.target.slots
            service_ms = primary.service_ms
            ticket.is_bound = True
        wait_ms = policy.expected_wait_ms(len(earlier), slots, service_ms)
        return wait_ms, service_ms

    def _patience_ms(self, ticket: _Ticket) -> int:
        work = ticket.work
        primary = self.primary
        is_recovering = ticket.needs_primary and (
            self.recovery_ms is not None
            or primary is None
            or primary.needs_probe
        )
        return policy.patience_ms(
            work.objective_ms, work.budget_ms, is_recovering
        )

    def _is_primary_expected(self, ticket: _Ticket) -> bool:
        """Tell whether a primary will lead while the ticket can wait."""
        primary = self.primary
        if primary is not None and not primary.is_down:
            return True
        if self.recovery_ms is None:
            return False
        return self.recovery_ms + self._service_ms < ticket.deadline_ms

    def review_waiting(self) -> None:
        """Refuse waiting work that no primary will serve in time.

        Other work may run on a target that was to be left out for a while.

        Answers the failure of a primary under load: callers learn at once
        that they should come back, instead of at their deadline.
        """
        for ticket in self._waiting:
            if ticket.needs_primary and not self._is_primary_expected(ticket):
                ticket.future.cancel()
        for pool in self.pools_by_id.values():
            pool.decay_estimates(self._service_ms)
        self._dispatch()

    def _refuse(
        self, ticket: _Ticket, reason: str, wait_ms: float | None = None
    ) -> work_module.Refused:
        if wait_ms is None:
            wait_ms = policy.expected_wait_ms(
                len(self._waiting),
                sum(each.target.slots for each in self.pools_by_id.values()),
                self._service_ms,
            )
        self._metrics.count('gateway_refused')
        _log.warning(
            'work_refused',
            request=ticket.work.request_id,
            service=self.service,
            account=ticket.work.account,
            reason=reason,
            last=ticket.last_reason,
            waited_ms=self._clock.now() - ticket.received_ms,
            waiting=len(self._waiting),
            attempts=ticket.attempts,
            primary=self.primary_id,
        )
        retry_ms = policy.retry_after_ms(wait_ms, self._random.random())
        return work_module.Refused('BUSY', reason, retry_ms)

    async def _slot(
        self, ticket: _Ticket
    ) -> pool_module.TargetPool | exceptions.Sentinel:
        """Wait for a slot of a target that may run the ticket."""
        self._waiting.append(ticket)
        self._dispatch()
        patience_ms = ticket.work.budget_ms
        if ticket.pinned is None:
            patience_ms = self._patience_ms(ticket)
        waited_ms = self._clock.now() - ticket.received_ms
        left_ms = patience_ms - waited_ms - self._service_ms
        timer = asyncio.get_running_loop().call_later(
            max(0.0, left_ms / 1000), ticket.future.cancel
        )
        try:
            return await ticket.future
        except asyncio.CancelledError:
            if ticket.future.cancelled():
                return exceptions.Sentinel('no slot in time')
            raise
        finally:
            timer.cancel()
            if ticket in self._waiting:
                self._waiting.remove(ticket)

    def _release(self, pool: pool_module.TargetPool) -> None:
        pool.running -= 1
        self._dispatch()

    def _dispatch(self) -> None:
        """Give free slots to waiting work, the most urgent first."""
        if not self._waiting:
            return
        now = self._clock.now()
        for ticket in sorted(self._waiting, key=lambda each: each.order(now)):
            if not any(map(self._has_slot, self.pools_by_id.values())):
                return
            if ticket.future.done():
                continue
            pool = self._place(ticket)
            if pool is None:
                continue
            pool.running += 1
            self._waiting.remove(ticket)
            ticket.future.set_result(pool)

    def _place(self, ticket: _Ticket) -> pool_module.TargetPool | None:
        """Return the target with a free slot that suits the ticket best."""
        if ticket.pinned is not None:
            return ticket.pinned if self._has_slot(ticket.pinned) else None
        choices = [
            pool
            for pool in self._eligible(ticket)
            if self._has_slot(pool) and pool.can_serve(ticket.work.account)
        ]
        if not choices:
            return None
        account = ticket.work.account
        return min(choices, key=lambda each: self._cost(each, account))

    def _cost(self, pool: pool_module.TargetPool, account: str) -> float:
        return policy.placement_cost(
            (pool.running + 1) / pool.target.slots,
            pool.service_ms,
            pool.round_trip_ms,
            opening_ms=pool.opening_ms(account),
            is_primary=pool.target.target_id == self.primary_id,
            failing_share=pool.failing_share,
            is_unsteady=pool.is_unsteady,
        )

    def _has_slot(self, pool: pool_module.TargetPool) -> bool:
        return pool.running < policy.depth(
            pool.target.slots, pool.round_trip_ms, self._service_ms
        )

    def _eligible(
        self, ticket: _Ticket
    ) -> collections.abc.Iterator[pool_module.TargetPool]:
        now = self._clock.now()
        for pool in self.pools_by_id.values():
            if (
                not pool.is_down
                and now >= pool.avoid_until_ms
                and self._suits(ticket, pool)
            ):
                yield pool

    def _suits(self, ticket: _Ticket, pool: pool_module.TargetPool) -> bool:
        """Tell whether a target may run a ticket once it has a slot."""
        target_id = pool.target.target_id
        is_primary = target_id == self.primary_id
        # A leaving primary is used until another one leads: nothing else can
        # take writes.
        if pool.target.is_draining and not is_primary:
            return False
        is_transaction = ticket.work.stage is work_module.Stage.OPEN
        if is_transaction and (
            pool.pinned >= max(1, pool.limit - UNPINNED_CONNECTIONS)
        ):
            return False
        if is_primary:
            return True
        if ticket.needs_primary or target_id in ticket.avoided:
            return False
        floor = self._floor(ticket)
        return floor is not None and not pool.lacks(floor)

    def _floor(self, ticket: _Ticket) -> types.Position | None:
        """Return the position that a replica must have for the ticket."""
        needed_ms = (
            ticket.received_ms - ticket.work.max_age_ms + FRESHNESS_MARGIN_MS
        )
        floor = self.freshness.floor(needed_ms)
        own = ticket.work.session_position
        if floor is None or own is None:
            return floor
        if ticket.work.consistency is (
            catalog_module.Consistency.READ_YOUR_WRITES
        ):
            return max(floor, own)
        return floor

    async def _attempt(
        self, owner: str, ticket: _Ticket
    ) -> work_module.Outcome | Retry:
        pool = await self._slot(ticket)
        if isinstance(pool, exceptions.Sentinel):
            waited_ms = self._clock.now() - ticket.received_ms
            return self._refuse(ticket, pool.reason, waited_ms)
        started_ms = self._clock.now()
        try:
            outcome = await self._run_on(owner, pool, ticket)
        finally:
            self._release(pool)
        if isinstance(outcome, work_module.Answered):
            took_ms = self._clock.now() - started_ms
            self._service_ms += pool_module.SERVICE_SMOOTHING * (
                took_ms - self._service_ms
            )
            pool.note_service(took_ms, has_failed=False)
        elif isinstance(outcome, work_module.Failed):
            pool.note_service(0, has_failed=True)
        return outcome

    async def _run_on(
        self, owner: str, pool: pool_module.TargetPool, ticket: _Ticket
    ) -> work_module.Outcome | Retry:
        """Run a ticket's statement on a connection of ``pool``."""
        work = ticket.work
        ticket.leads = pool.target.target_id == self.primary_id
        ticket.floor = None if ticket.leads else self._floor(ticket)
        if not ticket.leads and (ticket.floor is None or ticket.needs_primary):
            return Retry('the target no longer suits')
        try:
            used = await pool.checkout(work, self._left_ms(ticket))
        except exceptions.TargetRefused as error:
            pool.avoid_until_ms = self._clock.now() + (
                FULL_PAUSE_MS if error.code == 'TOOMANY' else FAILED_PAUSE_MS
            )
            _log.info(
                'target_refused_session',
                target=pool.target.target_id,
                request=work.request_id,
                reason=str(error),
                open=pool.open_count,
            )
            return Retry(str(error))
        except exceptions.TargetError as error:
            pool.avoid_until_ms = self._clock.now() + FAILED_PAUSE_MS
            return Retry(str(error))

        # Everything that the connection lacks must be there before the
        # statement runs.
        is_open = False
        try:
            code = await self._prepare(pool, used, ticket)
            if code is not None:
                pool.discard(used)
                return Retry(f'prepare: {code}')
            lead = _opening_step(ticket)
            if lead is not None:
                refusal = await self._begin(pool, used, ticket, lead)
                if refusal is not None:
                    return refusal
                is_open = True
            return await self._statement(owner, pool, used, ticket, is_open)
        except exceptions.AnswerLost as error:
            pool.discard(used)
            return self._lost(pool, ticket, error, is_sent=False)

    async def _prepare(
        self,
        pool: pool_module.TargetPool,
        used: connection_module.TargetConnection,
        ticket: _Ticket,
    ) -> str | None:
        """Send what the connection lacks; returns the code of an error."""
        steps = used.preparation(ticket.work)
        if not steps:
            return None
        for reply in await pool.run(used, steps, self._left_ms(ticket)):
            if reply.error is not None:
                return reply.error.code
        return None

    async def _begin(
        self,
        pool: pool_module.TargetPool,
        used: connection_module.TargetConnection,
        ticket: _Ticket,
        step: connection_module.Step,
    ) -> Retry | work_module.Outcome | None:
        sent_ms = self._clock.now()
        [reply] = await pool.run(used, [step], self._left_ms(ticket))
        if reply.error is None:
            if step.text == wire.BEGIN and reply.position is not None:
                self.freshness.record(sent_ms, reply.position)
            return None
        pool.checkin(used)
        return self._error(pool, ticket, reply)

    async def _statement(
        self,
        owner: str,
        pool: pool_module.TargetPool,
        used: connection_module.TargetConnection,
        ticket: _Ticket,
        is_open: bool,
    ) -> work_module.Outcome | Retry:
        work = ticket.work
        is_transaction = work.stage is work_module.Stage.OPEN
        text = used.text(work)
        if not is_open and not work.writes:
            text = wire.wait_for(ticket.floor, text)
        steps = [connection_module.Step(work.request_id, text)]
        if is_open and not is_transaction:
            steps.append(connection_module.Step(wire.OWN_ID, wire.ROLLBACK))
        sent_ms = self._clock.now()
        if is_transaction:
            # Registered before the statement is sent, so that a caller that
            # leaves meanwhile gets its transaction rolled back.
            transaction = _Transaction(pool, used)
            pool.pinned += 1
            self._transactions[owner, work.transaction] = transaction
        try:
            replies = await pool.run(used, steps, self._attempt_ms(ticket))
        except exceptions.AnswerLost as error:
            if is_transaction:
                self._end(owner, work.transaction)
            pool.discard(used)
            return self._lost(pool, ticket, error, is_sent=True)
        reply = replies[0]
        if is_transaction:
            transaction.is_running = False
            if work.commits or reply.state == wire.STATE_IDLE:
                self._end(owner, work.transaction)
                _give_back(pool, used, reply)
        else:
            pool.checkin(used)
        if reply.error is not None:
            if is_transaction:
                return _failed(pool, reply)
            return self._error(pool, ticket, reply)
        if work.writes and not is_transaction and reply.position is not None:
            self.freshness.record(sent_ms, reply.position)
        return _answered(pool, reply)

    def _end(self, owner: str, number: int) -> _Transaction | None:
        transaction = self._transactions.pop((owner, number), None)
        if transaction is not None:
            transaction.pool.pinned -= 1
        return transaction

    def _error(
        self,
        pool: pool_module.TargetPool,
        ticket: _Ticket,
        reply: connection_module.Reply,
    ) -> work_module.Outcome | Retry:
        """Decide whether work that got an error is tried again."""
        assert reply.error is not None
        code = reply.error.code
        target_id = pool.target.target_id
        if code not in NOTHING_KEPT and (
            code != 'FAILED' or ticket.work.writes or ticket.attempts
        ):
            return _failed(pool, reply)
        match code:
            case 'READONLY':
                self._deny(pool)
            case 'LAGGING':
                pool.note_lacking(ticket.floor)
                ticket.avoided.add(target_id)
            case 'FAILED':
                pool.note_service(0, has_failed=True)
                ticket.avoided.add(target_id)
            case 'BUSY':
                pool.avoid_until_ms = self._clock.now() + FULL_PAUSE_MS
        _log.info(
            'work_retried',
            request=ticket.work.request_id,
            target=target_id,
            reason=code,
            attempt=ticket.attempts,
        )
        return Retry(f'{target_id}: {code} {reply.error.text}')

    def _lost(
        self,
        pool: pool_module.TargetPool,
        ticket: _Ticket,
        error: exceptions.AnswerLost,
        is_sent: bool,
    ) -> work_module.Outcome | Retry:
        """Decide what becomes of work whose connection failed."""
        work = ticket.work
        _log.warning(
            'answer_lost',
            request=work.request_id,
            target=pool.target.target_id,
            reason=str(error),
            sent=is_sent,
            writes=work.writes,
        )
        ticket.avoided.add(pool.target.target_id)
        is_transaction = work.stage is work_module.Stage.OPEN
        can_repeat = not is_sent or not (work.writes or is_transaction)
        if can_repeat and self._left_ms(ticket) > self._service_ms:
            return Retry(str(error))
        if not is_sent:
            return self._refuse(ticket, str(error))
        return work_module.Lost(
            str(error), timed_out=self._left_ms(ticket) <= 0
        )

    def _attempt_ms(self, ticket: _Ticket) -> int:
        """Return how long one attempt may take."""
        left_ms = self._left_ms(ticket)
        work = ticket.work
        if work.writes or work.stage is work_module.Stage.OPEN:
            return left_ms
        patience_ms = max(
            work.objective_ms * READ_ATTEMPT_SHARE,
            self._service_ms * READ_ATTEMPT_SERVICES,
        )
        # The last attempt may use all that is left.
        is_last = ticket.attempts >= MAX_SHORT_ATTEMPTS
        if is_last or left_ms < 2 * patience_ms:
            return left_ms
        return int(patience_ms)

    def _left_ms(self, ticket: _Ticket) -> int:
        return ticket.deadline_ms - self._clock.now()

    async def _continue(
        self, owner: str, work: work_module.Work
    ) -> work_module.Outcome:
        """Run a statement inside an open transaction."""
        transaction = self._transactions.get((owner, work.transaction))
        if transaction is None or transaction.is_running:
            return work_module.Refused('ABORTED', 'the transaction is gone')
        transaction.is_running = True
        pool, used = transaction.pool, transaction.connection
        ends = work.stage is work_module.Stage.END
        ticket = _Ticket(
            work,
            self._clock.now(),
            False,
            asyncio.get_running_loop().create_future(),
            pinned=pool,
        )
        needs_slot = not ends or work.commits
        if needs_slot:
            slot = await self._slot(ticket)
            if isinstance(slot, exceptions.Sentinel):
                self._end(owner, work.transaction)
                pool.discard(used)
                return work_module.Refused('ABORTED', slot.reason)
        sent_ms = self._clock.now()
        is_sent = False
        try:
            code = await self._prepare(pool, used, ticket)
            if code is not None:
                self._end(owner, work.transaction)
                pool.discard(used)
                return work_module.Refused('ABORTED', f'prepare: {code}')
            is_sent = True
            step = connection_module.Step(work.request_id, used.text(work))
            [reply] = await pool.run(used, [step], self._left_ms(ticket))
        except exceptions.AnswerLost as error:
            self._end(owner, work.transaction)
            pool.discard(used)
            _log.warning(
                'answer_lost',
                request=work.request_id,
                target=pool.target.target_id,
                reason=str(error),
                sent=is_sent,
                writes=work.commits,
            )
            if work.commits and work.wrote_before and is_sent:
                return work_module.Lost(str(error))
            return work_module.Refused('ABORTED', str(error))
        finally:
            if needs_slot:
                self._release(pool)
        transaction.is_running = False
        if ends or reply.state == wire.STATE_IDLE:
            self._end(owner, work.transaction)
            _give_back(pool, used, reply)
            self._dispatch()
        if reply.error is not None:
            if reply.error.code == 'READONLY':
                self._deny(pool)
            return _failed(pool, reply)
        if work.commits and work.wrote_before and reply.position is not None:
            self.freshness.record(sent_ms, reply.position)
        return _answered(pool, reply)

    async def abandon(self, owner: str, number: int) -> None:
        """Roll back a transaction whose caller has left."""
        transaction = self._end(owner, number)
        if transaction is None:
            return
        pool, used = transaction.pool, transaction.connection
        if transaction.is_running:
            pool.discard(used)
            return
        step = connection_module.Step(wire.OWN_ID, wire.ROLLBACK)
        try:
            await pool.run(used, [step], pool_module.PROBE_TIMEOUT_MS)
        except exceptions.AnswerLost as error:
            _log.info('rollback_lost', reason=str(error))
            pool.discard(used)
            return
        pool.checkin(used)
        self._dispatch()

    async def abandon_all(self, owner: str) -> None:
        """Roll back all transactions of an entry host that is gone."""
        for each, number in list(self._transactions):
            if each == owner:
                await self.abandon(each, number)

    def close(self) -> None:
        for pool in self.pools_by_id.values():
            pool.close()


def _opening_step(ticket: _Ticket) -> connection_module.Step | None:
    """Return the BEGIN that goes before the ticket's statement.

    Only a plain BEGIN proves that a primary still leads, so an operation of
    one read is wrapped into a transaction there.
    """
    work = ticket.work
    if work.stage is work_module.Stage.OPEN:
        if ticket.leads:
            return connection_module.Step(work.begin_id, wire.BEGIN)
        text = wire.wait_for(ticket.floor, work.begin_text)
        return connection_module.Step(work.begin_id, text)
    if ticket.leads and not work.writes:
        return connection_module.Step(wire.OWN_ID, wire.BEGIN)
    return None


def _give_back(
    pool: pool_module.TargetPool,
    used: connection_module.TargetConnection,
    reply: connection_module.Reply,
) -> None:
    """Return a connection whose transaction has ended.

    One on which the target still has a transaction open is closed.
    """
    if reply.state == wire.STATE_IDLE:
        pool.checkin(used)
        return
    pool.discard(used)


def _answered(
    pool: pool_module.TargetPool,
    reply: connection_module.Reply,
) -> work_module.Answered:
    return work_module.Answered(
        reply.rows,
        reply.signature,
        reply.position,
        pool.target.target_id,
    )


def _failed(
    pool: pool_module.TargetPool, reply: connection_module.Reply
) -> work_module.Failed:
    assert reply.error is not None
    return work_module.Failed(
        reply.error.code,
        reply.error.text,
        reply.position,
        pool.target.target_id,
    )
