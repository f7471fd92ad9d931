"""How many statements a target is given at once.

For targets that slow down long before their slots are full. The limit is the
number of statements beyond which the target serves hardly more in the same
time, by the times that statements took with few and with many running there.
docs/design/concurrency-limits.md weighs other ways.
"""

import collections
import dataclasses
import functools
import math

from samphirestand import clock as clock_module
from samphirestand import work as work_module

__all__ = ['ConcurrencyLimit', 'KindTimes', 'StatementKind', 'statement_kind']

# A target that declares more slots is treated as if it declared this many:
# the number of statements in flight must stay bounded.
MAX_SLOTS = 64

# Kinds of statements whose times are kept; the one that was used least
# recently is dropped first. A service has a few routes.
MAX_KINDS = 64

# The weight of a new sample in the usual time of a kind. It only has to put
# kinds on one scale, so it may follow slowly.
KIND_SMOOTHING = 0.02
MIN_KIND_SAMPLES = 10

# Samples are compared within blocks of this length only: a target that gets
# slower for a while has more statements in flight then, which looks as if its
# times grew with concurrency.
BLOCK_MS = 500
BLOCKS = 16

# The weight of a block halves with this age.
HALF_LIFE_MS = 4_000

# While a target is watched, each block compares one more than the limit with
# about half of that, and each block of this number while it is limited: a
# target that always has the same number of statements doesn't show how its
# times depend on it.
LIMITED_TRIAL_BLOCKS = 3

# A target is watched while its statements with more than half of its slots in
# use take this much longer than with fewer; also until there are this many
# samples with fewer.
WATCH_FACTOR = 1.6
MIN_USUAL_SAMPLES = 20
MIN_BUSY_SAMPLES = 30
USUAL_SMOOTHING = 0.03

# A target that is watched for this long without a limit is slow with few
# statements as well, which then is usual: trials cost a part of its capacity.
MAX_WATCH_MS = 8_000

# Watching ends when the samples say that there is no slowdown: a target that
# is slow at any concurrency would lose capacity.
MIN_WATCHED_EVIDENCE = -1.0

# How much better a slowdown must explain the samples than its absence, in
# squares as a multiple of the variance (twice the logarithm of a likelihood
# ratio), and how much of that one block may contribute: one odd moment proves
# nothing.
MIN_EVIDENCE = 8.0
MAX_BLOCK_EVIDENCE = 4.0

# More evidence isn't counted, so that the end of a slowdown is noticed soon.
MAX_EVIDENCE = 12.0

# A limit is kept while this much evidence is left.
MIN_KEPT_EVIDENCE = 3.0

# Curves that explain the samples nearly as well as the best one; of these the
# one that limits least is chosen.
EVIDENCE_TIE = 4.0

# The variance of the logarithm of statement times is at least this.
MIN_VARIANCE = 0.05

# A slowdown is a reason for a limit if the target serves at most this many
# times as much with all slots as with the limit.
MIN_GAIN = 1.08

# How strongly times grow with what runs beyond the knee.
POWERS = (1.0, 2.0)

# The samples are evaluated at most this often.
REVIEW_INTERVAL_MS = 250

# How long a limit stays before it is raised by one.
RAISE_MS = 500

# How long a limit that another gateway has found is kept without evidence.
ADOPTED_MS = 3_000


StatementKind = tuple[str, int, int, bool, str]


def statement_kind(work: work_module.Work) -> StatementKind:
    """Return what tells statements of different lengths apart.

    That is the route and the step within its operation. The texts of
    statements aren't used, because there may be any number of them.
    """
    return (
        work.consistency.value,
        work.objective_ms,
        work.priority,
        work.writes,
        'commit' if work.commits else work.stage.value,
    )


class KindTimes:
    """The usual times of each kind of statement on the targets of a service.

    For mixes of short and long statements: a target that happens to run the
    long ones isn't slow.
    """

    def __init__(self) -> None:
        # The usual logarithm of the time, and the number of its samples.
        self._usual_by_kind: collections.OrderedDict[
            StatementKind, tuple[float, int]
        ] = collections.OrderedDict()

    def compare(
        self, kind: StatementKind, took_ms: float, *, is_calm: bool
    ) -> float | None:
        """Return the logarithm of a time as a multiple of the usual one.

        None for the first samples of a kind. With ``is_calm`` few statements
        ran at the target; only such samples change the usual time, since many
        targets may slow down at once.
        """
        log_ms = math.log(max(took_ms, 1.0))
        usual_log, count = self._usual_by_kind.pop(kind, (log_ms, 0))
        log_ratio = log_ms - usual_log
        if is_calm or count < MIN_KIND_SAMPLES:
            count += 1
            usual_log += log_ratio * max(KIND_SMOOTHING, 1 / count)
        self._usual_by_kind[kind] = usual_log, count
        if len(self._usual_by_kind) > MAX_KINDS:
            self._usual_by_kind.popitem(last=False)
        return log_ratio if count >= MIN_KIND_SAMPLES else None


@dataclasses.dataclass(frozen=True)
class _Curve:
    """How a target's times may grow with what runs there.

    ``logs`` is the logarithm of the factor at each level of concurrency, from
    one on, and ``limit`` the level beyond which it serves hardly more.
    """

    limit: int
    logs: tuple[float, ...]


@functools.cache
def _curves(slots: int) -> tuple[_Curve, ...]:
    """Return the candidates, the first of which doesn't limit."""
    levels = range(1, _max_level(slots) + 1)
    knees = sorted(
        {slots / 2**step for step in range(6) if slots / 2**step > 1}
        | {float(each) for each in range(1, min(slots, 9))}
    )
    curves = [
        _Curve(slots, tuple(math.log(max(1.0, n / slots)) for n in levels))
    ]
    for knee in knees:
        if knee >= slots:
            continue
        for power in POWERS:
            logs = tuple(
                max(power * math.log(max(1.0, n / knee)), null)
                for n, null in zip(levels, curves[0].logs, strict=True)
            )
            limit = _useful_limit(slots, logs)
            if limit < slots:
                curves.append(_Curve(limit, logs))
    return tuple(curves)


def _useful_limit(slots: int, logs: tuple[float, ...]) -> int:
    """Return the least concurrency that serves about as much as any.

    By Little's law the target serves concurrency / time.
    """
    served = [n / math.exp(logs[n - 1]) for n in range(1, slots + 1)]
    best = max(served)
    return next(
        n for n, each in enumerate(served, start=1) if each * MIN_GAIN >= best
    )


def _max_level(slots: int) -> int:
    return 2 * slots + 2


class _Block:
    """Sums of the samples of one interval by level of concurrency."""

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.count_by_level: collections.Counter[int] = collections.Counter()
        self.sum_by_level: dict[int, float] = {}
        self.squares = 0.0

    def add(self, level: int, log_ratio: float) -> None:
        self.count_by_level[level] += 1
        self.sum_by_level[level] = (
            self.sum_by_level.get(level, 0.0) + log_ratio
        )
        self.squares += log_ratio * log_ratio

    @property
    def spread(self) -> tuple[float, int]:
        """Return the squares within levels, and their degrees of freedom."""
        squares = self.squares - sum(
            total * total / self.count_by_level[level]
            for level, total in self.sum_by_level.items()
        )
        freedom = self.count_by_level.total() - len(self.count_by_level)
        return max(0.0, squares), freedom

    def misfit(self, curve: _Curve) -> float:
        """Return the squares that the curve leaves between levels.

        How slow the target was altogether is left out, since it is no reason
        for a limit.
        """
        weight = 0
        total = 0.0
        squares = 0.0
        for level, count in self.count_by_level.items():
            error = self.sum_by_level[level] / count - curve.logs[level - 1]
            weight += count
            total += count * error
            squares += count * error * error
        return squares - total * total / weight


class ConcurrencyLimit:
    """The limit of concurrent statements of one target.

    For targets that slow down long before their slots are full, and for those
    that declare more slots than they have. Without evidence for that the
    limit is the declared number of slots, whatever the times are: a target
    that is slow at any concurrency gets less by its placement cost.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        slots: int,
        kind_times: KindTimes,
        *,
        starts_carefully: bool = False,
    ) -> None:
        self._clock = clock
        self._kind_times = kind_times
        self._blocks: collections.deque[_Block] = collections.deque(
            maxlen=BLOCKS
        )
        self._reviewed_ms = clock.now()
        self._kept_until_ms = clock.now() + RAISE_MS
        self._has_samples = False
        self._watched_since_ms: int | None = None
        self._evidence = 0.0  # for a slowdown, negative against it
        self._usual_log = 0.0  # with few statements running
        self._usual_count = 0
        self.slots = slots
        # A target that has just started is given half of its slots first.
        self._limit = (
            max(1, (self.slots + 1) // 2) if starts_carefully else self.slots
        )

    @property
    def slots(self) -> int:
        """Return the declared slots, from one to ``MAX_SLOTS``."""
        return self._slots

    @slots.setter
    def slots(self, declared: int) -> None:
        slots = min(max(1, declared), MAX_SLOTS)
        if slots == getattr(self, '_slots', None):
            return
        is_unlimited = not hasattr(self, '_limit') or self._limit == self.slots
        self._slots = slots
        self._limit = slots if is_unlimited else min(self._limit, slots)
        # Levels of the samples and curves are those of the earlier number.
        self._blocks.clear()

    @property
    def limit(self) -> int:
        """Return how many statements may run now, at least one."""
        if self._watched_since_ms is None and not self.is_limited:
            return self._limit
        more = min(self._limit + 1, self._slots)
        block, moment_ms = divmod(self._clock.now(), BLOCK_MS)
        if self.is_limited and block % LIMITED_TRIAL_BLOCKS:
            return self._limit
        return more if moment_ms < BLOCK_MS // 2 else (more + 1) // 2

    @property
    def settled_limit(self) -> int:
        """Return the limit without the deviations of trials."""
        return self._limit

    @property
    def is_limited(self) -> bool:
        return self._limit < self._slots

    def adopt(self, limit: int) -> None:
        """Start from the limit that another gateway has found."""
        self._limit = min(max(1, limit), self._slots)
        self._kept_until_ms = self._clock.now() + ADOPTED_MS

    def record(
        self, kind: StatementKind, concurrency: float, took_ms: float
    ) -> None:
        """Record a statement that the target answered.

        ``concurrency`` is how many ran at the target when it was sent, itself
        included, and ``took_ms`` the time without the network.
        """
        level = min(max(1, round(concurrency)), _max_level(self._slots))
        is_calm = level <= (self._slots + 1) // 2
        log_ratio = self._kind_times.compare(kind, took_ms, is_calm=is_calm)
        if log_ratio is None or self._slots == 1:
            return
        if is_calm:
            self._usual_count += 1
            self._usual_log += (log_ratio - self._usual_log) * max(
                USUAL_SMOOTHING, 1 / self._usual_count
            )
        block = self._block_at(self._clock.now() - max(0, int(took_ms)))
        if block is not None:
            block.add(level, log_ratio)
            self._has_samples = True

    def _block_at(self, moment_ms: int) -> _Block | None:
        """Return the block of a moment; None if it is no longer kept."""
        started_ms = moment_ms - moment_ms % BLOCK_MS
        if not self._blocks or started_ms > self._blocks[-1].started_ms:
            self._blocks.append(_Block(started_ms))
        for block in reversed(self._blocks):
            if block.started_ms <= started_ms:
                return block if block.started_ms == started_ms else None
        return None

    def review(self) -> None:
        """Adjust the limit to the samples; call it several times a second."""
        now = self._clock.now()
        if now - self._reviewed_ms < REVIEW_INTERVAL_MS:
            return
        self._reviewed_ms = now
        if not (self._has_samples or self.is_limited):
            return
        oldest_ms = now - BLOCKS * BLOCK_MS
        while self._blocks and self._blocks[0].started_ms < oldest_ms:
            self._blocks.popleft()
        self._has_samples = bool(self._blocks)
        self._update_watch(now)
        goal = self._evaluate(now)
        if goal < self._limit:
            # At most halved at once, since later samples may say less.
            self._limit = max(goal, self._limit // 2, 1)
            self._kept_until_ms = now + RAISE_MS
        elif goal > self._limit and now >= self._kept_until_ms:
            self._limit += 1
            self._kept_until_ms = now + RAISE_MS

    def _update_watch(self, now: int) -> None:
        """Watch the target while many statements make it slower than few."""
        busy_log = self._busy_log()
        if busy_log is None:
            self._watched_since_ms = None
            return
        is_slower = (
            self._usual_count < MIN_USUAL_SAMPLES
            or busy_log - self._usual_log > math.log(WATCH_FACTOR)
        )
        if not is_slower or (
            not self.is_limited and self._evidence < MIN_WATCHED_EVIDENCE
        ):
            self._watched_since_ms = None
        elif self._watched_since_ms is None or self.is_limited:
            self._watched_since_ms = now
        elif now - self._watched_since_ms > MAX_WATCH_MS:
            self._watched_since_ms = None
            self._usual_log = busy_log
            self._usual_count = MIN_USUAL_SAMPLES

    def _busy_log(self) -> float | None:
        """Return how much longer than usual statements take beside many.

        By the newest samples; None if there are few. Waiting at the target
        beyond its slots doesn't count.
        """
        null = _curves(self._slots)[0]
        count = 0
        total = 0.0
        for block in reversed(self._blocks):
            for level, number in block.count_by_level.items():
                if level > (self._slots + 1) // 2:
                    count += number
                    total += block.sum_by_level[level]
                    total -= number * null.logs[level - 1]
            if count >= MIN_BUSY_SAMPLES:
                return total / count
        return None

    def _evaluate(self, now: int) -> int:
        """Return the limit that the samples of the last seconds call for."""
        blocks = [each for each in self._blocks if len(each.sum_by_level) > 1]
        self._evidence = 0.0
        if not blocks:
            return self._slots
        spreads = [each.spread for each in self._blocks]
        freedom = sum(each for _, each in spreads)
        if freedom < 1:
            return self._slots
        squares = sum(each for each, _ in spreads)
        variance = max(MIN_VARIANCE, squares / freedom)
        null, *others = _curves(self._slots)
        null_misfits = [each.misfit(null) for each in blocks]
        weights = [
            0.5 ** ((now - each.started_ms) / HALF_LIFE_MS) for each in blocks
        ]
        self._evidence = -math.inf
        score_by_curve = {}
        for curve in others:
            gains = [
                weight * (null_misfit - block.misfit(curve)) / variance
                for block, null_misfit, weight in zip(
                    blocks, null_misfits, weights, strict=True
                )
            ]
            evidence, score_by_curve[curve] = _accumulate(gains)
            self._evidence = max(self._evidence, evidence)
        if not self.is_limited and self._watched_since_ms is None:
            return self._slots
        if self._evidence < (
            MIN_KEPT_EVIDENCE if self.is_limited else MIN_EVIDENCE
        ):
            return self._slots
        best = max(score_by_curve.values())
        return max(
            curve.limit
            for curve, score in score_by_curve.items()
            if score >= best - EVIDENCE_TIE
        )


def _accumulate(gains: list[float]) -> tuple[float, float]:
    """Return the evidence of blocks, the oldest first, and its full sum.

    The evidence is bounded both ways, as in a cumulative sum test, so that a
    change is followed whatever was true before. What came before the evidence
    was at its lowest isn't in the sum either.
    """
    evidence = 0.0
    score = 0.0
    for gain in gains:
        evidence += max(-MAX_BLOCK_EVIDENCE, min(MAX_BLOCK_EVIDENCE, gain))
        score += gain
        if evidence <= -MAX_BLOCK_EVIDENCE:
            evidence = -MAX_BLOCK_EVIDENCE
            score = 0.0
        evidence = min(evidence, MAX_EVIDENCE)
    return evidence, score
