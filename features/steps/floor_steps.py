"""Steps that replay drawn worlds whose upstreams fail in spells."""

from __future__ import annotations

from dataclasses import dataclass
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
from jackdawhead.policy.ending import Ending
from jackdawhead.replay.engine import Replay
from jackdawhead.trace.reader import Trace
from jackdawhead.trace.records import (
    TRACE_VERSION,
    ArrivalRecord,
    MemberRecord,
    RunRecord,
    TraceStart,
)

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.replay.result import ReplayResult

_ZONES: Final = ('a', 'b', 'c')
_RUN_MS: Final = 300.0
_FAIL_MS: Final = 5.0
_SLOTS: Final = 4
_RECORD_EVERY_MS: Final = 100
_WINDOW_MS: Final = 2000
_STEP_MS: Final = 500
_MS_PER_S: Final = 1000
_SEED: Final = 1
_FLOOR: Final = 0.7
_LITTLE_UNSERVED: Final = 0.1
_MUCH_UNSERVED: Final = 0.5


@dataclass(frozen=True, slots=True)
class World:
    """Upstreams and when they fail.

    :param spells: begin and end of each spell, by upstream.
    :param failures: share of the work that fails in a spell.
    """

    spells: dict[str, list[tuple[float, float]]]
    failures: float
    length_ms: float

    def fails(self, upstream: str, at_ms: float, rng: Random) -> bool:
        """Return whether a run that ends now fails."""
        is_in_spell = any(
            begin <= at_ms < end for begin, end in self.spells[upstream]
        )
        return is_in_spell and rng.random() < self.failures


def _spells_of(
    rng: Random, spell_ms: float, well_ms: float, length_ms: float
) -> list[tuple[float, float]]:
    spells = []
    share = spell_ms / (spell_ms + well_ms)
    is_in_spell = rng.random() < share
    at_ms = float(0)
    while at_ms < length_ms:
        usual_ms = spell_ms if is_in_spell else well_ms
        end_ms = at_ms + rng.expovariate(1 / usual_ms)
        if is_in_spell:
            spells.append((at_ms, end_ms))
        at_ms = end_ms
        is_in_spell = not is_in_spell
    return spells


def desk_service() -> Service:
    """Return a service with work of both kinds."""
    operations = {
        name: Operation(name, again, WorkClass.SHORT, 3000, 300, 1500, rank)
        for name, again, rank in (('once', False, 1), ('again', True, 2))
    }
    return Service(
        'desk',
        _ZONES,
        _SLOTS,
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
    '{count:d} upstreams that fail {failures:d} % in spells of'
    ' {spell:d} s, well for {well:d} s between them, drawn from {seed:d}'
)
def draw_world(
    context: Context,
    count: int,
    failures: int,
    spell: int,
    well: int,
    seed: int,
) -> None:
    """Draw the spells of twenty seconds."""
    rng = Random(seed)
    length_ms = 20.0 * _MS_PER_S
    spells = {
        f'vm-{number}/desk': _spells_of(
            rng, spell * _MS_PER_S, well * _MS_PER_S, length_ms
        )
        for number in range(count)
    }
    context.world = World(spells, failures / 100, length_ms)
    context.rng = rng


@when(
    '{percent:d} % of what all their slots can do arrives, {again:d} % of it'
    ' repeatable'
)
def replay_world(context: Context, percent: int, again: int) -> None:
    """Replay such a load through the decisions of live nodes."""
    world: World = context.world
    names = list(world.spells)
    rate_per_ms = percent / 100 * len(names) * _SLOTS / _RUN_MS
    records = [
        *_starts(names),
        *_arrivals(context.rng, names, rate_per_ms, again, world.length_ms),
        *_runs(context.rng, world),
    ]
    records.sort(key=lambda record: record.at_ms)
    nodes = tuple(each for each in records if isinstance(each, TraceStart))
    config = Config('', {}, {'desk': desk_service()}, {})
    trace = Trace(nodes, tuple(records))
    context.result = Replay(config, trace, _SEED).run()


def _starts(names: list[str]) -> list[TraceStart | MemberRecord]:
    found: list[TraceStart | MemberRecord] = []
    for number, name in enumerate(names):
        vm = name.partition('/')[0]
        zone = _ZONES[number % len(_ZONES)]
        found.extend(
            (
                TraceStart(0, TRACE_VERSION, vm, zone),
                MemberRecord(0, name, zone, vm, 'live'),
            )
        )
    return found


def _arrivals(
    rng: Random,
    names: list[str],
    rate_per_ms: float,
    again_percent: int,
    length_ms: float,
) -> list[ArrivalRecord]:
    found = []
    at_ms = float(0)
    while at_ms < length_ms:
        at_ms += rng.expovariate(rate_per_ms)
        vm = rng.choice(names).partition('/')[0]
        is_again = rng.random() * 100 < again_percent
        operation = 'again' if is_again else 'once'
        mark = rng.getrandbits(60)
        found.append(ArrivalRecord(at_ms, vm, 'desk', operation, 'o', mark))
    return found


def _runs(rng: Random, world: World) -> list[RunRecord]:
    found = []
    for name in world.spells:
        for at_ms in range(0, int(world.length_ms), _RECORD_EVERY_MS):
            for operation in ('once', 'again'):
                is_bad = world.fails(name, at_ms, rng)
                ending = Ending.FAILED if is_bad else Ending.SUCCEEDED
                run_ms = _FAIL_MS if is_bad else _RUN_MS
                found.append(
                    RunRecord(
                        at_ms + run_ms, name, operation, 1, ending.value, run_ms
                    )
                )
    return found


@then('while work is turned away, no 2 s leave too many sound upstreams idle')
def check_floor(context: Context) -> None:
    """Look at all spans of two seconds."""
    broken = []
    end_ms = int(context.world.length_ms) - _WINDOW_MS
    for from_ms in range(_WINDOW_MS, end_ms, _STEP_MS):
        unserved, used = _window(context.world, context.result, from_ms)
        if _LITTLE_UNSERVED < unserved < _MUCH_UNSERVED and used < _FLOOR:
            broken.append((from_ms, round(unserved, 2), round(used, 2)))
    assert not broken, broken


def _window(
    world: World, result: ReplayResult, from_ms: float
) -> tuple[float, float]:
    """Return the shares of unserved work and of sound upstreams with work."""
    to_ms = from_ms + _WINDOW_MS
    ended = [
        each.is_good
        for each in result.finished
        if from_ms <= each.arrived_ms < to_ms
    ]
    unserved = 1 - sum(ended) / max(1, len(ended))
    failed = {
        each.upstream
        for each in result.started
        if from_ms - _WINDOW_MS <= each.at_ms < to_ms and each.has_failed
    }
    sound = set(world.spells) - failed
    used = {
        each.upstream
        for each in result.started
        if from_ms <= each.at_ms < to_ms
    }
    return unserved, len(sound & used) / max(1, len(sound))


@then('at least {percent:d} % of the work is done')
def check_served(context: Context, percent: int) -> None:
    """Compare the share of good answers."""
    good = [each.is_good for each in context.result.finished]
    share = sum(good) / len(good)
    assert share * 100 >= percent, share
