"""Steps about work that gives way when there is too little room."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.policy_steps import service_of
from features.steps.shortage_loads import (
    KINDS,
    Burst,
    ShortageLoad,
    in_time_share,
    requests_of,
    served_share,
)
from jackdawhead.config.model import WorkClass
from jackdawhead.policy.admissions import ADMISSIONS
from jackdawhead.policy.work import Verdict, Work

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from jackdawhead.policy.admission import AdmissionRule
    from jackdawhead.policy.work import Admission
    from jackdawhead.replay.result import FinishedRequest, ReplayResult

_START_MS: Final = 10_000.0
_SEED: Final = 3
_TARGET_MS: Final = 1200
_DEADLINE_MS: Final = 1500
_LEARNED_RUNS: Final = 40
_MAX_OFFERS: Final = 60
_NAMES: Final = {1: 'urgent', 2: 'other'}
_MS_PER_S: Final = 1000
_QUARTER: Final = 0.25
_STRIKING: Final = 0.05
_NEARLY_ALL: Final = 0.98
_BURST_BEGIN_MS: Final = 2000
_BURST_END_MS: Final = 7000
_AFTER_MS: Final = 1000
_WINDOW_MS: Final = 500


def home_of(rule: str, slots: int, runs_ms: list[int]) -> AdmissionRule:
    """Return an admission rule that has learned run times."""
    service = service_of(rule, runs_ms[0], _TARGET_MS, slots)
    short = replace(service.operations['urgent'], name='short')
    operations = {**service.operations, 'short': short}
    found: AdmissionRule = ADMISSIONS.find(rule).unwrap()(
        replace(service, operations=operations), Random(_SEED)
    )
    for number in range(_LEARNED_RUNS):
        for name in _NAMES.values():
            found.run_times.observe(name, runs_ms[number % len(runs_ms)])
    return found


@given(
    'a home with {slots:d} slots and the rule "{rule}" whose runs take'
    ' {run:d} ms'
)
def make_home(context: Context, slots: int, rule: str, run: int) -> None:
    """Create the queue of an upstream."""
    context.slots = slots
    context.run_ms = run
    context.rule_name = rule
    context.rule = home_of(rule, slots, [run])
    context.now_ms = _START_MS
    context.work_ids = count(1)
    context.queued = []


@given('another one whose runs take {low:d} ms or {high:d} ms')
def make_other(context: Context, low: int, high: int) -> None:
    """Create one more queue with the same mean."""
    context.other = home_of(context.rule_name, context.slots, [low, high])


def work_of(
    context: Context,
    priority: int,
    organisation: str = 'o',
    left_ms: int = _DEADLINE_MS,
    operation: str = '',
) -> Work:
    """Return work that arrives now."""
    return Work(
        next(context.work_ids),
        operation or _NAMES[priority],
        WorkClass.SHORT,
        organisation,
        context.now_ms,
        context.now_ms + left_ms,
        priority=priority,
    )


def offer(context: Context, work: Work) -> Admission:
    """Offer work, and note it if it is queued."""
    context.work = work
    context.admission = context.rule.offer(work, context.now_ms)
    if context.admission.verdict is Verdict.WAIT:
        context.queued.append(work)
    return context.admission


def fill(context: Context, priority: int, organisation: str = 'o') -> None:
    """Offer work until one is refused."""
    for _ in range(_MAX_OFFERS):
        work = work_of(context, priority, organisation)
        if offer(context, work).verdict is Verdict.REFUSE:
            return
    raise AssertionError('the queue has no bound')


@given('work of priority {priority:d} fills its slots and its queue')
def fill_queue(context: Context, priority: int) -> None:
    """Queue as much work as there is room for."""
    fill(context, priority)


@given('work of priority {priority:d} of "" fills its slots and its queue')
def fill_queue_nameless(context: Context, priority: int) -> None:
    """Queue work that carries no organisation."""
    fill(context, priority, '')


@given(
    'work of priority {priority:d} of "{organisation}" fills its slots and its'
    ' queue'
)
def fill_queue_of(context: Context, priority: int, organisation: str) -> None:
    """Queue as much work of one organisation as there is room for."""
    fill(context, priority, organisation)


@given('work of priority {priority:d} fills its slots')
def fill_slots(context: Context, priority: int) -> None:
    """Start as much work as there are slots."""
    for _ in range(context.slots):
        admission = offer(context, work_of(context, priority))
        assert admission.verdict is Verdict.START


@given('urgent work asks for 2 of its 3 slots')
def ask_for_slots(context: Context) -> None:
    """Let urgent work come and go for some seconds."""
    for number in range(_MAX_OFFERS):
        work = work_of(context, 1)
        offer(context, work)
        context.now_ms += context.run_ms
        context.rule.finish(work, context.run_ms)
        if number % 2:
            offer(context, work_of(context, 1))
            context.rule.finish(context.work, context.run_ms)
        if not number % 2:
            offer(context, work_of(context, 1))
            context.rule.finish(context.work, context.run_ms)


@when('work of priority {priority:d} is offered')
def offer_work(context: Context, priority: int) -> None:
    """Offer new work."""
    offer(context, work_of(context, priority))


@when(
    'work of priority {priority:d} with {left:d} ms to its deadline is offered'
)
def offer_late(context: Context, priority: int, left: int) -> None:
    """Offer work with little time left."""
    offer(context, work_of(context, priority, left_ms=left))


@when(
    'work of priority {priority:d} that takes {run:d} ms is offered'
    ' {number:d} times'
)
def offer_short(context: Context, priority: int, run: int, number: int) -> None:
    """Offer work of an operation with short runs."""
    for _ in range(_LEARNED_RUNS):
        context.rule.run_times.observe('short', run)
    for _ in range(number):
        offer(context, work_of(context, priority, operation='short'))


@when('work of priority {priority:d} of "{organisation}" is offered')
def offer_of(context: Context, priority: int, organisation: str) -> None:
    """Offer new work of an organisation."""
    offer(context, work_of(context, priority, organisation))


@when('work of priority {priority:d} is offered until it is refused')
def offer_all(context: Context, priority: int) -> None:
    """Fill this queue, and that of a home without urgent work."""
    fill(context, priority)
    context.found = len(context.queued)
    make_home(context, context.slots, context.rule_name, context.run_ms)
    fill(context, priority)


@when('work of priority {priority:d} is offered to both until they refuse it')
def offer_both(context: Context, priority: int) -> None:
    """Fill both queues."""
    fill(context, priority)
    context.first = context.rule.waiting
    context.rule = context.other
    fill(context, priority)


@then('it is queued')
def check_queued(context: Context) -> None:
    """Check the verdict."""
    assert context.admission.verdict is Verdict.WAIT, context.admission


@then('it is refused, with a time to come back')
def check_refused(context: Context) -> None:
    """Check the verdict and the retry time."""
    assert context.admission.verdict is Verdict.REFUSE, context.admission
    assert context.admission.retry_after_ms >= 50, context.admission


@then('nothing is displaced')
def check_none_displaced(context: Context) -> None:
    """Check that the queue is left as it was."""
    assert not context.rule.take_displaced()


@then(
    'work of priority {priority:d} is displaced once, with a time to come back'
)
def check_displaced(context: Context, priority: int) -> None:
    """Check which work gave way."""
    context.displaced = context.rule.take_displaced()
    found = [each.work.priority for each in context.displaced]
    assert found == [priority], context.displaced
    assert context.displaced[0].work in context.queued
    assert context.displaced[0].retry_after_ms >= 50, context.displaced
    assert not context.rule.take_displaced()


@then('work of "{organisation}" is displaced once, with a time to come back')
def check_displaced_of(context: Context, organisation: str) -> None:
    """Check whose work gave way."""
    check_displaced(context, 1)
    assert context.displaced[0].work.organisation == organisation


@then('work that takes longer is displaced')
def check_longer_displaced(context: Context) -> None:
    """Check that long work gave way, and only that."""
    found = {each.work.operation for each in context.rule.take_displaced()}
    assert found == {'urgent'}, found


@then('the displaced work never starts')
def check_never_starts(context: Context) -> None:
    """Run all that is queued."""
    gone = context.displaced[0].work
    assert not context.rule.withdraw(gone)
    context.started = []
    running = list(context.rule._running.values())
    while running:
        context.rule.finish(running.pop(0), context.run_ms)
        following = context.rule.start_next(context.now_ms)
        if following is not None:
            context.started.append(following)
            running.append(following)
    assert gone not in context.started
    assert len(context.started) == len(context.queued) - 1


@then('the work of priority {priority:d} starts first')
def check_first(context: Context, priority: int) -> None:
    """Check the order of the starts."""
    assert context.started[0].priority == priority, context.started


@then('the other one has queued less')
def check_spread(context: Context) -> None:
    """Compare the lengths of the queues."""
    assert context.rule.waiting < context.first, context.first


@then('fewer are queued than without urgent work')
def check_fewer(context: Context) -> None:
    """Compare the lengths of the queues."""
    assert context.found < len(context.queued), context.found


class HomeLoop:
    """Runs arrivals at one home, in order of time.

    :param rule: slots and queue of the upstream.
    :param run_ms: mean run time.
    """

    def __init__(self, rule: AdmissionRule, run_ms: float) -> None:
        self.served: set[int] = set()
        self.refused: set[int] = set()
        self._rule = rule
        self._run_ms = run_ms
        self._rng = Random(_SEED)
        self._serials = count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def schedule(self, at_ms: float, action: Callable[[float], None]) -> None:
        """Schedule an event."""
        heappush(self._events, (at_ms, next(self._serials), action))

    def run(self) -> None:
        """Process all events."""
        while self._events:
            at_ms, _, action = heappop(self._events)
            action(at_ms)

    def arrive(self, work: Work, now_ms: float) -> None:
        """Offer work."""
        admission = self._rule.offer(work, now_ms)
        for each in self._rule.take_displaced():
            assert each.work.work_id not in self.served
            self.note_refused(each.work, each.retry_after_ms, now_ms)
        if admission.verdict is Verdict.START:
            self._begin(work, now_ms)
        elif admission.verdict is Verdict.REFUSE:
            self.note_refused(work, admission.retry_after_ms, now_ms)

    def note_refused(self, work: Work, retry_ms: float, now_ms: float) -> None:
        """Record a refusal."""
        self.refused.add(work.work_id)

    def _begin(self, work: Work, now_ms: float) -> None:
        assert work.work_id not in self.refused
        run_ms = self._run_ms * (0.7 + 0.6 * self._rng.random())
        self.schedule(now_ms + run_ms, partial(self._end, work, run_ms))

    def _end(self, work: Work, run_ms: float, now_ms: float) -> None:
        self._rule.finish(work, run_ms)
        self.served.add(work.work_id)
        following = self._rule.start_next(now_ms)
        if following is not None:
            self._begin(following, now_ms)
        for dropped in self._rule.expire(now_ms):
            self.note_refused(dropped, 0, now_ms)


def play(
    context: Context, streams: list[tuple[int, str, int]], length: int
) -> None:
    """Play streams of a priority, an organisation and a rate per second."""
    loop = HomeLoop(context.rule, context.run_ms)
    rng = Random(_SEED)
    context.works = []
    for priority, organisation, per_s in streams:
        context.now_ms = _START_MS
        while context.now_ms < _START_MS + length * _MS_PER_S:
            context.now_ms += rng.expovariate(per_s / _MS_PER_S)
            work = work_of(context, priority, organisation)
            context.works.append(work)
            loop.schedule(context.now_ms, partial(loop.arrive, work))
    loop.run()
    ended = loop.served | loop.refused
    assert ended == {each.work_id for each in context.works}
    context.served = loop.served


def share_of(context: Context, condition: Callable[[Work], bool]) -> float:
    """Return the share of some work that was served."""
    found = [each for each in context.works if condition(each)]
    served = sum(each.work_id in context.served for each in found)
    return served / max(1, len(found))


@when(
    '{urgent:d} urgent and {other:d} other requests a second come for'
    ' {length:d} s'
)
def play_priorities(
    context: Context, urgent: int, other: int, length: int
) -> None:
    """Play two priorities."""
    play(context, [(1, 'o', urgent), (2, 'o', other)], length)


@when(
    '{number:d} organisations send {usual:d} request a second for {length:d} s,'
    ' one of them {flood:d}'
)
def play_organisations(
    context: Context, number: int, usual: int, length: int, flood: int
) -> None:
    """Play organisations of which one floods."""
    streams = [(1, f'o-{each}', usual) for each in range(number - 1)]
    play(context, [(1, 'flood', flood), *streams], length)


@then('of the urgent ones a larger share is served')
def check_urgent_share(context: Context) -> None:
    """Compare the shares."""
    urgent = share_of(context, lambda work: work.priority == 1)
    other = share_of(context, lambda work: work.priority == 2)
    assert urgent > other, (urgent, other)


@then('of the others a quarter of the share of all is served')
def check_other_share(context: Context) -> None:
    """Compare the share with that of all."""
    other = share_of(context, lambda work: work.priority == 2)
    total = share_of(context, lambda work: True)
    assert other >= _QUARTER * total, (other, total)


def shares_of_others(context: Context) -> dict[str, float]:
    """Return the served shares of the organisations that don't flood."""
    names = {each.organisation for each in context.works} - {'flood'}
    return {name: share_of(context, partial(_is_of, name)) for name in names}


def _is_of(organisation: str, work: Work) -> bool:
    return work.organisation == organisation


@then('of the requests of each other one at least {percent:d} % are served')
def check_others(context: Context, percent: int) -> None:
    """Check the shares of the organisations that don't flood."""
    shares = shares_of_others(context)
    assert min(shares.values()) >= percent / 100, shares


@then('of the requests of each other one less than {percent:d} % are served')
def check_others_lose(context: Context, percent: int) -> None:
    """Check that organisations lose their share."""
    shares = shares_of_others(context)
    assert max(shares.values()) < percent / 100, shares


@given(
    'a fleet of {entries:d} VMs at {percent:d} % of its slots with a burst of'
    ' {factor:f} times the load for {length:d} s'
)
def make_fleet(
    context: Context, entries: int, percent: int, factor: float, length: int
) -> None:
    """Create the fleet of a large and a small service."""
    small = 24
    upstreams = {'memory': entries - small, 'glossary': small}
    burst = Burst(
        _BURST_BEGIN_MS,
        _BURST_BEGIN_MS + length * _MS_PER_S,
        {each.name: factor for each in KINDS},
    )
    load = ShortageLoad(upstreams, entries, burst)
    needed = sum(
        each.per_s * each.run_ms / _MS_PER_S
        for each in KINDS
        if each.service == 'memory'
    )
    slots = upstreams['memory'] * load.slots
    load.scale = percent / 100 * slots / needed
    context.load = load


@when('the load is replayed with the rules "{rule}" and "{other}"')
def replay_rules(context: Context, rule: str, other: str) -> None:
    """Replay the load twice."""
    context.results = {
        each: context.load.replay(each) for each in (rule, other)
    }


def in_burst(context: Context, rule: str, kind: str) -> list[FinishedRequest]:
    """Return the requests of a kind that arrived in the burst."""
    burst = context.load.burst
    result: ReplayResult = context.results[rule]
    return requests_of(result, kind, burst.begin_ms, burst.end_ms)


def inversions(context: Context, rule: str) -> dict[tuple[str, str], float]:
    """Return by how much urgent kinds are served less often than others."""
    return {
        (urgent.name, other.name): served_share(
            in_burst(context, rule, other.name)
        )
        - served_share(in_burst(context, rule, urgent.name))
        for urgent in KINDS
        for other in KINDS
        if urgent.service == other.service and urgent.priority < other.priority
    }


@then(
    'with "{rule}" each urgent kind is served as often as a less urgent one of'
    ' its service'
)
def check_no_inversion(context: Context, rule: str) -> None:
    """Compare the kinds of each service."""
    found = inversions(context, rule)
    assert max(found.values()) <= 0, found


@then('with "{rule}" one is served less often by 5 in 100')
def check_inversion(context: Context, rule: str) -> None:
    """Check that an urgent kind is served less often."""
    found = inversions(context, rule)
    assert max(found.values()) > _STRIKING, found


@then(
    'with "{rule}" at least {percent:d} % of "{one}" and "{other}" are served'
    ' in time'
)
def check_in_time(
    context: Context, rule: str, percent: int, one: str, other: str
) -> None:
    """Check the shares that are served within the target."""
    shares = {
        kind: in_time_share(in_burst(context, rule, kind))
        for kind in (one, other)
    }
    assert min(shares.values()) >= percent / 100, shares


@then('with "{rule}" no kind is served less than a quarter as often as all')
def check_none_starves(context: Context, rule: str) -> None:
    """Compare each kind with all."""
    found = {each.name: in_burst(context, rule, each.name) for each in KINDS}
    total = served_share([each for kind in found.values() for each in kind])
    shares = {name: served_share(each) for name, each in found.items()}
    assert min(shares.values()) >= _QUARTER * total, shares


@then('with "{rule}" as many requests are served in all')
def check_total(context: Context, rule: str) -> None:
    """Compare the numbers with those of the other rule."""
    served = {
        name: sum(each.is_good for each in result.finished)
        for name, result in context.results.items()
    }
    assert served[rule] >= _NEARLY_ALL * max(served.values()), served


@then('with "{rule}" all kinds are served again one second after the burst')
def check_recovery(context: Context, rule: str) -> None:
    """Check the requests that arrive from then on."""
    load = context.load
    from_ms = load.burst.end_ms + _AFTER_MS
    shares = {
        each.name: served_share(
            requests_of(
                context.results[rule], each.name, from_ms, load.length_ms
            )
        )
        for each in KINDS
    }
    assert min(shares.values()) >= _NEARLY_ALL, shares


@then('with "{rule}" the number of runs does not swing in the burst')
def check_no_swing(context: Context, rule: str) -> None:
    """Compare the runs that start in each half second."""
    burst = context.load.burst
    started = Counter(
        int(each.at_ms // _WINDOW_MS)
        for each in context.results[rule].started
        if burst.begin_ms + _AFTER_MS <= each.at_ms < burst.end_ms
    )
    mean = sum(started.values()) / len(started)
    assert max(started.values()) <= 1.2 * mean, started
    assert min(started.values()) >= 0.8 * mean, started


@then(
    'with "{rule}" refused requests of "{one}" and "{other}" took at most'
    ' {most:f} attempts'
)
def check_attempts(
    context: Context, rule: str, one: str, other: str, most: float
) -> None:
    """Check the mean number of attempts."""
    attempts = [
        each.attempts
        for kind in (one, other)
        for each in in_burst(context, rule, kind)
        if not each.is_good
    ]
    assert sum(attempts) / len(attempts) <= most, sum(attempts) / len(attempts)
