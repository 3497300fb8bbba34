"""Steps about decisions: waiting, risk, retries and routes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from behave import given, then, when

from jackdawhead.config.model import (
    DetectionPolicy,
    Operation,
    PoisonPolicy,
    QueuePolicy,
    RetryPolicy,
    Route,
    Service,
    WorkClass,
)
from jackdawhead.node.entry.routes import RouteTable
from jackdawhead.outcome import Outcome
from jackdawhead.policy.admissions import ADMISSIONS
from jackdawhead.policy.balancers import BALANCERS
from jackdawhead.policy.caution import (
    TrialRule,
    failure_cost_ms,
    risk_limit,
)
from jackdawhead.policy.hedging import may_hedge_at
from jackdawhead.policy.loads import (
    LoadReport,
    Pool,
    RoutingQuery,
    UpstreamLoad,
)
from jackdawhead.policy.resend import AttemptEnd
from jackdawhead.policy.retries import HomeResends, RetryBudget
from jackdawhead.policy.spells import SpellEstimate
from jackdawhead.policy.split import draw_service
from jackdawhead.policy.tries import Tries
from jackdawhead.policy.work import Verdict, Work
from jackdawhead.reasons import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from jackdawhead.policy.admission import AdmissionRule

_SEED = 7
_AT_ONCE_MS = 0.001
_START_MS = 1_000_000
_QUARTER = 0.25
_DEADLINE_MS = 1500.0
_OPERATIONS = {'urgent': 1, 'other': 2}
_ONCE = Operation('once', False, WorkClass.SHORT, 1500, 200, 800, 1)
_REPEATABLE = Operation('again', True, WorkClass.SHORT, 1500, 200, 800, 2)


@dataclass(slots=True)
class SimulatedRequest:
    """What came of one request.

    :param took_ms: time to its answer, or nothing if it was refused.
    :param refused_after_ms: time to its refusal, or nothing.
    """

    operation: str
    took_ms: float | None = None
    refused_after_ms: float | None = None
    retry_after_ms: int = 0


def service_of(rule: str, run_ms: int, target_ms: int, slots: int) -> Service:
    """Return a service with two kinds of work."""
    operations = {
        name: Operation(
            name,
            False,
            WorkClass.SHORT,
            int(_DEADLINE_MS),
            run_ms,
            target_ms,
            priority,
        )
        for name, priority in _OPERATIONS.items()
    }
    return Service(
        'desk',
        ('a',),
        slots,
        100,
        70,
        30,
        'least-risk',
        operations,
        QueuePolicy(rule, 500, 67, 1500),
        RetryPolicy(10, 50, 3, 20),
        DetectionPolicy('none', 4000, 8, 30, 3, 5000, 60_000, 5000),
        PoisonPolicy(3, 60_000),
    )


@given(
    '{slots:d} slots with the rule "{rule}" and work of {run:d} ms'
    ' wanted within {target:d} ms'
)
def make_rule(
    context: Context, slots: int, rule: str, run: int, target: int
) -> None:
    """Make an admission rule."""
    service = service_of(rule, run, target, slots)
    context.rng = Random(_SEED)
    context.rule = ADMISSIONS.find(rule).unwrap()(service, context.rng)
    context.run_ms = run
    context.target_ms = target


@when('{rate:d} requests a second arrive for {length:d} s')
def overload(context: Context, rate: int, length: int) -> None:
    """Let one kind of work arrive."""
    simulate(context, stream_of('urgent', rate, length))


@when(
    '{urgent:d} urgent and {other:d} other requests a second'
    ' arrive for {length:d} s'
)
def overload_mixed(
    context: Context, urgent: int, other: int, length: int
) -> None:
    """Let two kinds of work arrive."""
    arrivals = stream_of('urgent', urgent, length)
    simulate(context, arrivals + stream_of('other', other, length))


@when('{number:d} requests arrive at once')
def send_burst(context: Context, number: int) -> None:
    """Let work arrive at one moment."""
    simulate(
        context, [('urgent', _AT_ONCE_MS * each) for each in range(number)]
    )


def stream_of(name: str, rate: int, length: int) -> list[tuple[str, float]]:
    """Return arrivals at equal distances."""
    return [(name, 1000 * each / rate) for each in range(rate * length)]


def simulate(context: Context, arrivals: list[tuple[str, float]]) -> None:
    """Play arrivals and the ends of runs in the order of their times."""
    simulation = Simulation(context.rule, context.rng, context.run_ms)
    for name, at_ms in arrivals:
        simulation.schedule(at_ms, partial(simulation.arrive, name))
    simulation.run()
    context.requests = list(simulation.requests.values())


class Simulation:
    """One upstream under an admission rule, in virtual time."""

    def __init__(self, rule: AdmissionRule, rng: Random, run_ms: float) -> None:
        self.requests: dict[int, SimulatedRequest] = {}
        self._rule = rule
        self._rng = rng
        self._run_ms = run_ms
        self._serials = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now_ms: float = 0

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Plan an event."""
        at_ms = self._now_ms + delay_ms
        heappush(self._events, (at_ms, next(self._serials), action))

    def run(self) -> None:
        """Play all events."""
        while self._events:
            at_ms, _, action = heappop(self._events)
            self._now_ms = at_ms
            action()

    def arrive(self, name: str) -> None:
        """Offer a request."""
        now_ms = self._now_ms
        work = Work(
            next(self._serials),
            name,
            WorkClass.SHORT,
            '',
            now_ms,
            now_ms + _DEADLINE_MS,
            True,
        )
        self.requests[work.work_id] = SimulatedRequest(name)
        admission = self._rule.offer(work, now_ms)
        if admission.verdict is Verdict.START:
            self._begin(work)
        elif admission.verdict is not Verdict.WAIT:
            self._refuse(work, admission.retry_after_ms)

    def _begin(self, work: Work) -> None:
        run_ms = self._run_ms * (0.7 + 0.6 * self._rng.random())
        self.schedule(run_ms, partial(self._end, work, run_ms))

    def _end(self, work: Work, run_ms: float) -> None:
        self._rule.finish(work, run_ms)
        self.requests[work.work_id].took_ms = self._now_ms - work.arrived_at_ms
        following = self._rule.start_next(self._now_ms)
        if following is not None:
            self._begin(following)
        for dropped in self._rule.expire(self._now_ms):
            self._refuse(dropped, 0)

    def _refuse(self, work: Work, retry_after_ms: int) -> None:
        request = self.requests[work.work_id]
        request.refused_after_ms = self._now_ms - work.arrived_at_ms
        request.retry_after_ms = retry_after_ms


def in_time(context: Context) -> float:
    """Return which share of the answers is in time."""
    answer_times = [
        each.took_ms for each in context.requests if each.took_ms is not None
    ]
    return sum(1 for ms in answer_times if ms <= context.target_ms) / len(
        answer_times
    )


@then('at least {percent:d} of 100 answers are in time')
def check_in_time(context: Context, percent: int) -> None:
    """Look at the answers."""
    assert in_time(context) >= percent / 100, in_time(context)


@then('less than {percent:d} of 100 answers are in time')
def check_late(context: Context, percent: int) -> None:
    """Look at the answers."""
    assert in_time(context) < percent / 100, in_time(context)


@then('at least {number:d} answers are given')
def check_answered(context: Context, number: int) -> None:
    """Count the answers."""
    found = sum(1 for each in context.requests if each.took_ms is not None)
    assert found >= number, found


@then('no refusal came after its request had waited')
def check_prompt(context: Context) -> None:
    """Look for refusals that were held back."""
    delayed = [each for each in context.requests if each.refused_after_ms]
    assert not delayed, delayed


@then('the urgent ones are answered more often')
def check_urgent(context: Context) -> None:
    """Compare the two kinds."""
    assert share(context, 'urgent') > share(context, 'other')


@then('a quarter or more of the others are answered')
def check_starved(context: Context) -> None:
    """Look at the less urgent kind."""
    assert share(context, 'other') >= _QUARTER, share(context, 'other')


def share(context: Context, operation: str) -> float:
    """Return which share of a kind is answered."""
    kind = [each for each in context.requests if each.operation == operation]
    return sum(1 for each in kind if each.took_ms is not None) / len(kind)


@then('each refusal tells a time of {least:d} ms or more')
def check_times(context: Context, least: int) -> None:
    """Look at when to come back."""
    times = [
        each.retry_after_ms
        for each in context.requests
        if each.refused_after_ms is not None
    ]
    assert times and min(times) >= least, times
    context.times = times


@then('the times are spread')
def check_spread(context: Context) -> None:
    """Look for times that are alike."""
    assert max(context.times) > 1.3 * min(context.times)
    assert len(set(context.times)) > len(context.times) / 2


@then('none is refused')
def check_none_refused(context: Context) -> None:
    """Look for refusals."""
    assert all(each.took_ms is not None for each in context.requests)


@given(
    'an upstream that has done {number:d} pieces of work, one each {ms:d} ms'
)
def make_spell(context: Context, number: int, ms: int) -> None:
    """Follow an upstream that is well."""
    context.spell = SpellEstimate()
    context.now_ms = _START_MS
    context.step_ms = ms
    context.announcements = []
    observe(context, number, ok=True)


@given('an upstream of which nothing is known')
def make_unknown(context: Context) -> None:
    """Follow an upstream from its start."""
    make_spell(context, 0, 1)


def observe(context: Context, number: int, *, ok: bool) -> None:
    """Take in outcomes."""
    for _ in range(number):
        context.now_ms += context.step_ms
        context.announcements.append(
            context.spell.observe(context.now_ms, ok=ok)
        )


@when('{number:d} {noun} of work {end}')
def add_outcomes(context: Context, number: int, noun: str, end: str) -> None:
    """Take in outcomes of one kind."""
    context.announcements = []
    observe(context, number, ok=end.startswith('succeed'))


@when('{length:d} s pass')
def pass_time(context: Context, length: int) -> None:
    """Let time pass."""
    context.now_ms += 1000 * length


@then('its risk is {side} {bound:g}')
def check_risk(context: Context, side: str, bound: float) -> None:
    """Look at the risk."""
    risk = context.spell.risk(context.now_ms)
    assert (risk < bound) is (side == 'below'), risk


@then('all are told that a spell may have begun')
@then('all are told that the spell is over')
def check_told(context: Context) -> None:
    """Look for news."""
    assert any(context.announcements)


@given('a service with upstreams "{one}" and "{other}"')
def make_pool(context: Context, one: str, other: str) -> None:
    """Make two upstreams, the second in another zone if it is far."""
    context.now_ms = _START_MS
    context.rng = Random(_SEED)
    context.balancer = BALANCERS.find('least-risk').unwrap()()
    context.loads = {
        name: UpstreamLoad(name, 'a', name, LoadReport(0, 200, 3, 3))
        for name in (one, other)
    }
    for load in context.loads.values():
        load.reported_at_ms = context.now_ms
    second = context.loads[other]
    if other == 'failing':
        second.risk = 0.95
        second.risk_reported_at_ms = context.now_ms
    local, remote = tuple(context.loads.values()), ()
    if other == 'far':
        local, remote = (context.loads[one],), (second,)
    context.pool = Pool(local, remote)


@when('"{name}" has a wait of {number:d} {unit}')
def set_wait(context: Context, name: str, number: int, unit: str) -> None:
    """Report a queue."""
    wait_ms = number * {'s': 1000, 'ms': 1}[unit]
    context.loads[name].note_report(
        LoadReport(wait_ms, 200, 3, 0), context.now_ms
    )


@when('"{name}" was well {age:d} s ago, and "{other}" is well now')
def set_heard(context: Context, name: str, age: int, other: str) -> None:
    """Tell when the risk of each was heard."""
    for each, at_ms in ((name, context.now_ms - 1000 * age), (other, None)):
        context.loads[each].risk = 0.01
        context.loads[each].risk_reported_at_ms = at_ms or context.now_ms


@when('{number:d} requests that {can} be repeated are placed')
def place(context: Context, number: int, can: str) -> None:
    """Choose upstreams."""
    operation = _REPEATABLE if can == 'can' else _ONCE
    query = RoutingQuery(
        context.now_ms,
        failure_cost_ms=failure_cost_ms(operation),
        trial=TrialRule(operation, may_repeat=can == 'can'),
    )
    place_all(context, number, query)


@when('{number:d} requests of {size:d} bytes are placed')
def place_sized(context: Context, number: int, size: int) -> None:
    """Choose upstreams for answers of a size."""
    place_all(
        context, number, RoutingQuery(context.now_ms, transfer_bytes=size)
    )


def place_all(context: Context, number: int, query: RoutingQuery) -> None:
    """Choose an upstream again and again."""
    context.placed = Counter(
        context.balancer.choose(context.pool, query, context.rng).upstream
        for _ in range(number)
    )


@when('a request finds "{name}" {reason}')
def find_upstream(context: Context, name: str, reason: str) -> None:
    """Send a request that the home of an upstream refuses."""
    context.tries = Tries(set())
    context.tries.note_sent(name)
    context.tries.note_refused(name, Reason(reason))


@then('it goes to "{name}" next, and may wait there')
def check_waits(context: Context, name: str) -> None:
    """Choose again."""
    assert choose_again(context) == name
    assert context.tries.was_busy(name)


@then('it goes to "{name}" next, and is sent on if that is busy')
def check_sent_on(context: Context, name: str) -> None:
    """Choose again."""
    assert choose_again(context) == name
    assert not context.tries.was_busy(name)


def choose_again(context: Context) -> str:
    """Return the upstream of the next attempt."""
    query = RoutingQuery(
        context.now_ms, context.tries.excluded, failure_cost_ms(_ONCE)
    )
    load = context.balancer.choose(context.pool, query, context.rng)
    return str(load.upstream)


@then('a second copy may be sent to "{name}"')
def check_copy(context: Context, name: str) -> None:
    """Ask for a second copy."""
    assert may_hedge_at(context.loads[name], context.now_ms)


@then('no second copy may be sent to "{name}"')
def check_no_copy(context: Context, name: str) -> None:
    """Ask for a second copy."""
    assert not may_hedge_at(context.loads[name], context.now_ms)


@then('none goes to "{name}"')
def check_none(context: Context, name: str) -> None:
    """Look at the choices."""
    assert not context.placed[name], context.placed


@then('all go to "{name}"')
def check_all(context: Context, name: str) -> None:
    """Look at the choices."""
    assert set(context.placed) == {name}, context.placed


@then('between {least:d} and {most:d} go to "{name}"')
def check_between(context: Context, least: int, most: int, name: str) -> None:
    """Count the choices."""
    assert least <= context.placed[name] <= most, context.placed


@then(
    'attempt {attempt:d} of work that {can} be repeated is refused'
    ' above a risk of {bound:g}'
)
def check_limit(context: Context, attempt: int, can: str, bound: float) -> None:
    """Look at the limit that homes are told."""
    operation = _REPEATABLE if can == 'can' else _ONCE
    limit = risk_limit(operation, attempt, has_others=True)
    assert limit == int(1000 * bound), limit


@given('a retry budget of {percent:d} of 100 requests')
def make_budget(context: Context, percent: int) -> None:
    """Make a budget."""
    context.policy = RetryPolicy(percent, 100, 3, 0, 1, 20)
    context.budget = RetryBudget(context.policy)


@when('100 requests are refused by their upstreams')
def refuse_at_upstreams(context: Context) -> None:
    """Ask for resends."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED)
    ask_resends(context, end)


@when('100 requests are refused as risky by homes')
def refuse_at_homes(context: Context) -> None:
    """Ask for resends."""
    ask_resends(context, AttemptEnd(Outcome.NOT_RUN, Reason.RISKY))


def ask_resends(context: Context, end: AttemptEnd) -> None:
    """Count how many of 100 requests may be sent again."""
    context.resent = 0
    for _ in range(100):
        context.budget.note_first_attempt()
        context.resent += context.budget.may_resend(end, 1, 0, 2)


@then('at most {number:d} of them may be sent again')
def check_at_most(context: Context, number: int) -> None:
    """Count the resends."""
    assert 0 < context.resent <= number, context.resent


@then('{number:d} of them may be sent again')
def check_resent(context: Context, number: int) -> None:
    """Count the resends."""
    assert context.resent == number, context.resent


@then('a request with {runs:d} run of {most:d} {may} run again')
def check_runs(context: Context, runs: int, most: int, may: str) -> None:
    """Ask for one more run."""
    end = AttemptEnd(Outcome.UNKNOWN, Reason.UPSTREAM_RESET)
    allowed = context.budget.may_resend(end, 4, runs, most)
    assert allowed is (may == 'may')


@given('all redirects are spent')
def spend_redirects(context: Context) -> None:
    """Reserve redirects until there is none left."""
    has_left = True
    while has_left:
        has_left = context.budget.reserve_redirect(
            1, WorkClass.SHORT, has_others=True
        )


@then('a request whose upstream drains may go to {number:d} others')
def check_others(context: Context, number: int) -> None:
    """Ask for attempts until there is none left."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason.DRAINING)
    attempt = 1
    while context.budget.may_resend(end, attempt, 0, 2):
        attempt += 1
    assert attempt - 1 == number, attempt


@then('a request that {number:d} homes have refused as overloaded is given up')
def check_given_up(context: Context, number: int) -> None:
    """Ask for one more attempt."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason.OVERLOADED)
    assert context.budget.may_resend(end, number - 1, 0, 2)
    assert not context.budget.may_resend(end, number, 0, 2)


@when('a home runs 100 requests, each on a connection that breaks')
def break_connections(context: Context) -> None:
    """Ask for resends at a home."""
    resends = HomeResends(context.policy)
    context.resent = 0
    for _ in range(100):
        resends.note_run()
        context.resent += resends.may_resend()


@then('it resends at most {number:d} of them')
def check_home_resends(context: Context, number: int) -> None:
    """Count the resends."""
    assert 0 < context.resent <= number, context.resent


@given('routes by host and prefix')
def make_routes(context: Context) -> None:
    """Make a table."""
    context.route_table = RouteTable(
        (
            Route('a', 's', 'o', '/a/', host='one'),
            Route('ab', 's', 'o', '/a/b/', host='one'),
            Route('two', 's', 'o', '/a/', host='two'),
            Route('any', 's', 'o', '/any/', 'GET'),
        )
    )


@then('"{method}" "{host}" "{path}" has the route "{name}"')
def check_route_of(
    context: Context, method: str, host: str, path: str, name: str
) -> None:
    """Look a route up."""
    found = context.route_table.match(method, path, host)
    found_name = 'none' if found is None else found.name
    assert found_name == name, found


@given('a route split {first:d} to {second:d}')
def make_split(context: Context, first: int, second: int) -> None:
    """Make a route with two services."""
    weights = {'first': first, 'second': second}
    context.route = Route('r', 'first', 'o', '/', split=weights)


@when('{number:d} requests are drawn')
def draw(context: Context, number: int) -> None:
    """Draw services."""
    rng = Random(_SEED)
    context.drawn = Counter(
        draw_service(context.route, rng) for _ in range(number)
    )


@then('the second part gets between {least:d} and {most:d}')
def check_part(context: Context, least: int, most: int) -> None:
    """Look at the share."""
    assert least <= context.drawn['second'] <= most, context.drawn
