"""Steps that replay generated traces whose upstreams fail in spells."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import partial
from math import inf
from random import Random
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from jackdawhead.config.model import (
    Config,
    DetectionPolicy,
    Operation,
    PoisonPolicy,
    QueuePolicy,
    RetryPolicy,
    Service,
    WorkClass,
)
from jackdawhead.outcome import Outcome
from jackdawhead.policy.run_result import RunResult
from jackdawhead.replay.engine import Replay
from jackdawhead.replay.stops import PlannedStop
from jackdawhead.trace.reader import Trace
from jackdawhead.trace.records import (
    TRACE_VERSION,
    ArrivalRecord,
    RunRecord,
    TraceStart,
    UpstreamRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from behave.runner import Context

    from jackdawhead.replay.result import ReplayResult

_ZONES: Final = ('a', 'b', 'c')
_RUN_MS: Final = 300.0
_FAILED_RUN_MS: Final = 5.0
_SLOW_FACTOR: Final = 5
_LONG_FACTOR: Final = 10
_DEADLINE_MS: Final = 3000
_SLOTS: Final = 4
_RECORD_INTERVAL_MS: Final = 100
_WINDOW_MS: Final = 2000
_WINDOW_STEP_MS: Final = 500
_MS_PER_S: Final = 1000
_LENGTH_MS: Final = 20.0 * _MS_PER_S
_SEED: Final = 1
# Stop times as the platform's settings give them, and a start within a second.
_ACCEPT_MS: Final = 2600
_DRAIN_MS: Final = 5100
_DOWN_MS: Final = 1000
_FIRST_STOP_MS: Final = 4000
_MIN_USED_SHARE: Final = 0.7
# Windows with a lower or a higher share of unsuccessful requests are not
# checked.
_MIN_UNSERVED_SHARE: Final = 0.1
_MAX_UNSERVED_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class FailurePlan:
    """Generated upstreams with their spells of failing.

    :param spells: start and end of each spell in milliseconds, by upstream.
    :param failures: share of runs that fail during a spell, from 0 to 1.
    :param length_ms: length of the trace.
    :param entries: number of entries; the first ones are on the upstreams' VMs.
    :param slots: requests that an upstream runs at once.
    :param run_ms: run time of a request that succeeds.
    :param joined_at_ms: time at which upstreams join, by upstream.
    :param slow: upstreams whose runs take several times as long.
    :param slow_until_ms: time at which these are as fast as the others again.
    :param stops: planned stops of nodes.
    :param long_share: share of runs that take ten times as long, from 0 to 1.
    :param deadline_ms: deadline of all requests.
    """

    spells: dict[str, list[tuple[float, float]]]
    failures: float
    length_ms: float
    entries: int
    slots: int = _SLOTS
    run_ms: float = _RUN_MS
    joined_at_ms: dict[str, float] = field(default_factory=dict)
    slow: frozenset[str] = frozenset()
    slow_until_ms: float = inf
    stops: tuple[PlannedStop, ...] = ()
    long_share: float = 0
    deadline_ms: int = _DEADLINE_MS

    def run_ms_of(self, upstream: str, at_ms: float, rng: Random) -> float:
        """Return the run time of a request that succeeds."""
        if self.long_share and rng.random() < self.long_share:
            return self.run_ms * _LONG_FACTOR
        is_slow = upstream in self.slow and at_ms < self.slow_until_ms
        return self.run_ms * _SLOW_FACTOR if is_slow else self.run_ms

    def fails(self, upstream: str, at_ms: float, rng: Random) -> bool:
        """Return whether a run at the given time fails."""
        is_in_spell = any(
            begin <= at_ms < end for begin, end in self.spells[upstream]
        )
        return is_in_spell and rng.random() < self.failures


def _spells_of(
    rng: Random, spell_ms: float, pause_ms: float, length_ms: float
) -> list[tuple[float, float]]:
    spells = []
    share = spell_ms / (spell_ms + pause_ms)
    is_in_spell = rng.random() < share
    at_ms = float(0)
    while at_ms < length_ms:
        mean_ms = spell_ms if is_in_spell else pause_ms
        end_ms = at_ms + rng.expovariate(1 / mean_ms)
        if is_in_spell:
            spells.append((at_ms, end_ms))
        at_ms = end_ms
        is_in_spell = not is_in_spell
    return spells


def desk_service(
    slots: int = _SLOTS, deadline_ms: int = _DEADLINE_MS
) -> Service:
    """Return a service with an idempotent and a non-idempotent operation.

    :param slots: requests that an upstream runs at once.
    :param deadline_ms: deadline of both operations.
    """
    operations = {
        name: Operation(
            name, idempotent, WorkClass.SHORT, deadline_ms, 300, 1500, rank
        )
        for name, idempotent, rank in (('once', False, 1), ('again', True, 2))
    }
    return Service(
        'desk',
        _ZONES,
        slots,
        100,
        70,
        30,
        'least-risk',
        operations,
        QueuePolicy('target', 500, 67, 1500),
        RetryPolicy(12, 100, 3, 20, 2, 15),
        DetectionPolicy('none', 4000, 8, 30, 3, 5000, 60_000, 5000),
        PoisonPolicy(3, 60_000),
    )


@given(
    '{count:d} upstreams with spells of {spell:d} s in which {failures:d} % of'
    ' runs fail, {pause:d} s apart, from seed {seed:d}'
)
def generate_spells(
    context: Context,
    count: int,
    failures: int,
    spell: int,
    pause: int,
    seed: int,
) -> None:
    """Generate the spells of twenty seconds.

    The lengths of spells and of the pauses between them are exponentially
    distributed; ``spell`` and ``pause`` are the means.
    """
    rng = Random(seed)
    spells = {
        f'vm-{number}/desk': _spells_of(
            rng, spell * _MS_PER_S, pause * _MS_PER_S, _LENGTH_MS
        )
        for number in range(count)
    }
    context.rng = rng
    context.plan = FailurePlan(spells, failures / 100, _LENGTH_MS, count)


@given(
    '{entries:d} entries before them, and {slots:d} slots and {run_ms:d} ms'
    ' runs at each'
)
def resize_fleet(
    context: Context, entries: int, slots: int, run_ms: int
) -> None:
    """Set the number of entries and the capacity of the upstreams."""
    context.plan = replace(
        context.plan, entries=entries, slots=slots, run_ms=run_ms
    )


@given('{number:d} of the upstreams join after {seconds:d} s')
def delay_upstreams(context: Context, number: int, seconds: int) -> None:
    """Have the last upstreams join the list during the trace."""
    names = list(context.plan.spells)[-number:]
    joined_at_ms = dict.fromkeys(names, float(seconds * _MS_PER_S))
    context.plan = replace(context.plan, joined_at_ms=joined_at_ms)


@given('{number:d} other upstreams that take 5 times as long')
def slow_down(context: Context, number: int) -> None:
    """Make the first upstreams slow."""
    slow = frozenset(list(context.plan.spells)[:number])
    context.plan = replace(context.plan, slow=slow)


@given('{number:d} of the upstreams take 5 times as long until {seconds:d} s')
def slow_down_until(context: Context, number: int, seconds: int) -> None:
    """Make the first upstreams slow for some time."""
    slow_down(context, number)
    until_ms = float(seconds * _MS_PER_S)
    context.plan = replace(context.plan, slow_until_ms=until_ms)


@given('all nodes restart, {number:d} at a time every {interval:d} ms')
def plan_stops(context: Context, number: int, interval: int) -> None:
    """Stop and start the nodes in random order."""
    nodes = [f'vm-{position}' for position in range(context.plan.entries)]
    context.rng.shuffle(nodes)
    stops = tuple(
        PlannedStop(
            node,
            _FIRST_STOP_MS + position // number * interval,
            _ACCEPT_MS,
            _DRAIN_MS,
            _DOWN_MS,
        )
        for position, node in enumerate(nodes)
    )
    context.plan = replace(context.plan, stops=stops)


@when(
    'requests arrive at {percent:d} % of the capacity of all slots,'
    ' {idempotent:d} % of them idempotent'
)
def replay_load(context: Context, percent: int, idempotent: int) -> None:
    """Replay the load through the decision code of live nodes."""
    plan: FailurePlan = context.plan
    names = list(plan.spells)
    vms = [name.partition('/')[0] for name in names]
    vms.extend(f'vm-{number}' for number in range(len(names), plan.entries))
    rate_per_ms = percent / 100 * len(names) * plan.slots / plan.run_ms
    records = [
        *_starts(plan, vms),
        *_arrivals(context.rng, vms, rate_per_ms, idempotent, plan.length_ms),
        *_runs(context.rng, plan),
    ]
    records.sort(key=lambda record: record.at_ms)
    nodes = tuple(each for each in records if isinstance(each, TraceStart))
    config = Config(
        '', {}, {'desk': desk_service(plan.slots, plan.deadline_ms)}, {}
    )
    trace = Trace(nodes, tuple(records))
    context.result = Replay(config, trace, _SEED, plan.stops).run()


def _starts(
    plan: FailurePlan, vms: list[str]
) -> list[TraceStart | UpstreamRecord]:
    zones = [_ZONES[number % len(_ZONES)] for number in range(len(vms))]
    nodes = [
        TraceStart(0, TRACE_VERSION, vm, zone)
        for vm, zone in zip(vms, zones, strict=True)
    ]
    upstreams = [
        UpstreamRecord(plan.joined_at_ms.get(name, 0), name, zone, vm, 'live')
        for name, vm, zone in zip(plan.spells, vms, zones, strict=False)
    ]
    return [*nodes, *upstreams]


def _arrivals(
    rng: Random,
    vms: list[str],
    rate_per_ms: float,
    idempotent_percent: int,
    length_ms: float,
) -> list[ArrivalRecord]:
    found = []
    at_ms = float(0)
    while at_ms < length_ms:
        at_ms += rng.expovariate(rate_per_ms)
        vm = rng.choice(vms)
        is_idempotent = rng.random() * 100 < idempotent_percent
        operation = 'again' if is_idempotent else 'once'
        fingerprint = rng.getrandbits(60)
        found.append(
            ArrivalRecord(at_ms, vm, 'desk', operation, 'o', fingerprint)
        )
    return found


def _runs(rng: Random, plan: FailurePlan) -> list[RunRecord]:
    found = []
    for name in plan.spells:
        for at_ms in range(0, int(plan.length_ms), _RECORD_INTERVAL_MS):
            for operation in ('once', 'again'):
                is_bad = plan.fails(name, at_ms, rng)
                ending = RunResult.FAILED if is_bad else RunResult.SUCCEEDED
                run_ms = (
                    _FAILED_RUN_MS
                    if is_bad
                    else plan.run_ms_of(name, at_ms, rng)
                )
                found.append(
                    RunRecord(
                        at_ms + run_ms, name, operation, 1, ending.value, run_ms
                    )
                )
    return found


@then('no 2 s window with refused requests has too many idle healthy upstreams')
def check_floor(context: Context) -> None:
    """Check windows of two seconds, in steps of half a second.

    In a window in which between 10 and 50 percent of the requests do not
    succeed, at least 70 percent of the healthy upstreams must have work.
    """
    _check_windows(
        context, _WINDOW_MS, partial(_healthy_used_share, context.plan)
    )


def _check_windows(
    context: Context,
    first_ms: float,
    used_share: Callable[[ReplayResult, float], float],
) -> None:
    """Check the share of upstreams that work, where some requests are unserved.

    :param first_ms: start of the first window.
    :param used_share: returns the share in the window that starts at a time.
    """
    broken = []
    end_ms = int(context.plan.length_ms) - _WINDOW_MS
    for from_ms in range(int(first_ms), end_ms, _WINDOW_STEP_MS):
        unserved = _unserved_share(context.result, from_ms)
        used = used_share(context.result, from_ms)
        if (
            _MIN_UNSERVED_SHARE < unserved < _MAX_UNSERVED_SHARE
            and used < _MIN_USED_SHARE
        ):
            broken.append((from_ms, round(unserved, 2), round(used, 2)))
    assert not broken, broken


def _unserved_share(result: ReplayResult, from_ms: float) -> float:
    """Return the share of unsuccessful requests that arrive in a window."""
    ended = [
        each.is_good
        for each in result.finished
        if from_ms <= each.arrived_ms < from_ms + _WINDOW_MS
    ]
    return 1 - sum(ended) / max(1, len(ended))


def _healthy_used_share(
    plan: FailurePlan, result: ReplayResult, from_ms: float
) -> float:
    """Return the share of the healthy upstreams that run work in a window.

    Those without a failed run in the window or in the one before it count as
    healthy.
    """
    to_ms = from_ms + _WINDOW_MS
    failed = {
        each.upstream
        for each in result.started
        if from_ms - _WINDOW_MS <= each.at_ms < to_ms and each.has_failed
    }
    return _used_share(set(plan.spells) - failed, result, from_ms)


def _used_share(
    upstreams: Set[str], result: ReplayResult, from_ms: float
) -> float:
    """Return the share of some upstreams that run work in a window."""
    used = {
        each.upstream
        for each in result.started
        if from_ms <= each.at_ms < from_ms + _WINDOW_MS
    }
    return len(used & upstreams) / max(1, len(upstreams))


@then('at least {percent:d} % of the requests succeed')
def check_served(context: Context, percent: int) -> None:
    """Check the share of successful requests."""
    good = [each.is_good for each in context.result.finished]
    share = sum(good) / len(good)
    assert share * 100 >= percent, share


@then(
    'in no 2 s window with refused requests are too many avoided upstreams left'
    ' untried'
)
def check_trials(context: Context) -> None:
    """Check windows of two seconds, in steps of half a second.

    An upstream is avoided if its last run before the window failed. In a window
    in which between 10 and 50 percent of the requests do not succeed, at least
    70 percent of the avoided upstreams must get work.
    """
    _check_windows(context, _WINDOW_MS, _tried_share)


def _tried_share(result: ReplayResult, from_ms: float) -> float:
    """Return the share of the avoided upstreams that run work in a window."""
    last_failed = {
        each.upstream: each.has_failed
        for each in sorted(result.started, key=lambda run: run.at_ms)
        if each.at_ms < from_ms
    }
    avoided = {name for name, failed in last_failed.items() if failed}
    return _used_share(avoided, result, from_ms)


@then(
    'in no 2 s window after it with refused requests are too many of them left'
    ' without work'
)
def check_changed(context: Context) -> None:
    """Check windows of two seconds after upstreams have joined or recovered.

    In a window in which between 10 and 50 percent of the requests do not
    succeed, at least 70 percent of these upstreams must get work.
    """
    plan = context.plan
    changed = plan.joined_at_ms.keys() or plan.slow
    first_ms = max(plan.joined_at_ms.values(), default=plan.slow_until_ms)
    _check_windows(context, first_ms, partial(_used_share, changed))


@then(
    'in no 2 s window with refused requests are too many upstreams left without'
    ' work'
)
def check_all_used(context: Context) -> None:
    """Check windows of two seconds, in steps of half a second.

    In a window in which between 10 and 50 percent of the requests do not
    succeed, at least 70 percent of all upstreams must get work.
    """
    everything = context.plan.spells.keys()
    _check_windows(context, _WINDOW_MS, partial(_used_share, everything))


@then('no request is cut off by a stop')
def check_uncut(context: Context) -> None:
    """Check that no request ended with an unknown outcome."""
    cut = [
        each
        for each in context.result.finished
        if each.outcome is Outcome.UNKNOWN
    ]
    assert not cut, cut
