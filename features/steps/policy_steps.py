"""Steps about admission, the risk of failures, retries and routes."""

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
from jackdawhead.policy.hedging import may_hedge_at
from jackdawhead.policy.loads import (
    LoadReport,
    Pool,
    RoutingQuery,
    UpstreamLoad,
)
from jackdawhead.policy.resend import AttemptEnd
from jackdawhead.policy.retries import HomeResendBudget, RetryBudget
from jackdawhead.policy.risk_policy import (
    TrialRule,
    failure_cost_ms,
    risk_limit,
)
from jackdawhead.policy.spell_estimate import SpellEstimate
from jackdawhead.policy.split import pick_service
from jackdawhead.policy.tried_upstreams import TriedUpstreams
from jackdawhead.policy.work import Verdict, Work
from jackdawhead.reasons import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from jackdawhead.policy.admission import AdmissionRule

_SEED = 7
_BURST_INTERVAL_MS = 0.001
_START_MS = 1_000_000
_QUARTER = 0.25
_DEADLINE_MS = 1500.0
_OPERATIONS = {'urgent': 1, 'other': 2}
_NON_IDEMPOTENT = Operation('once', False, WorkClass.SHORT, 1500, 200, 800, 1)
_IDEMPOTENT = Operation('again', True, WorkClass.SHORT, 1500, 200, 800, 2)


@dataclass(slots=True)
class SimulatedRequest:
    """A request in the simulation, with its result.

    :param operation: name of the operation.
    :param took_ms: time to the answer, None if the request was refused.
    :param refused_after_ms: time to the refusal, None if there is none.
    :param retry_after_ms: time after which a refusal allows a retry.
    """

    operation: str
    took_ms: float | None = None
    refused_after_ms: float | None = None
    retry_after_ms: int = 0


def service_of(rule: str, run_ms: int, target_ms: int, slots: int) -> Service:
    """Return a service with an urgent operation and a less urgent one."""
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
    '{slots:d} slots with the rule "{rule}", work of {run:d} ms'
    ' and a target latency of {target:d} ms'
)
def make_rule(
    context: Context, slots: int, rule: str, run: int, target: int
) -> None:
    """Create the admission rule of an upstream."""
    service = service_of(rule, run, target, slots)
    context.rng = Random(_SEED)
    context.rule = ADMISSIONS.find(rule).unwrap()(service, context.rng)
    context.run_ms = run
    context.target_ms = target


@when('{rate:d} requests a second arrive for {length:d} s')
def overload(context: Context, rate: int, length: int) -> None:
    """Simulate an overload with urgent work only."""
    simulate(context, stream_of('urgent', rate, length))


@when(
    '{urgent:d} urgent and {other:d} other requests a second'
    ' arrive for {length:d} s'
)
def overload_mixed(
    context: Context, urgent: int, other: int, length: int
) -> None:
    """Simulate an overload with urgent and other work."""
    arrivals = stream_of('urgent', urgent, length)
    simulate(context, arrivals + stream_of('other', other, length))


@when('{number:d} requests arrive at once')
def send_burst(context: Context, number: int) -> None:
    """Simulate requests that arrive almost at the same time."""
    simulate(
        context,
        [('urgent', _BURST_INTERVAL_MS * each) for each in range(number)],
    )


def stream_of(name: str, rate: int, length: int) -> list[tuple[str, float]]:
    """Return arrivals at a constant rate, as operations and times in ms."""
    return [(name, 1000 * each / rate) for each in range(rate * length)]


def simulate(context: Context, arrivals: list[tuple[str, float]]) -> None:
    """Simulate arrivals and ends of runs in the order of their times."""
    simulation = Simulation(context.rule, context.rng, context.run_ms)
    for name, at_ms in arrivals:
        simulation.schedule(at_ms, partial(simulation.arrive, name))
    simulation.run()
    context.requests = list(simulation.requests.values())


class Simulation:
    """Discrete-event simulation of one upstream with an admission rule."""

    def __init__(self, rule: AdmissionRule, rng: Random, run_ms: float) -> None:
        self.requests: dict[int, SimulatedRequest] = {}
        self._rule = rule
        self._rng = rng
        self._run_ms = run_ms
        self._serials = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now_ms: float = 0

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an event."""
        at_ms = self._now_ms + delay_ms
        heappush(self._events, (at_ms, next(self._serials), action))

    def run(self) -> None:
        """Process all events."""
        while self._events:
            at_ms, _, action = heappop(self._events)
            self._now_ms = at_ms
            action()

    def arrive(self, name: str) -> None:
        """Offer a new request to the admission rule."""
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
    """Return the share of the answers that meet the target latency."""
    answer_times = [
        each.took_ms for each in context.requests if each.took_ms is not None
    ]
    return sum(1 for ms in answer_times if ms <= context.target_ms) / len(
        answer_times
    )


@then('at least {percent:d} of 100 answers are in time')
def check_in_time(context: Context, percent: int) -> None:
    """Check the share of answers that are in time."""
    assert in_time(context) >= percent / 100, in_time(context)


@then('fewer than {percent:d} of 100 answers are in time')
def check_late(context: Context, percent: int) -> None:
    """Check that too many answers are late."""
    assert in_time(context) < percent / 100, in_time(context)


@then('at least {number:d} answers are given')
def check_answered(context: Context, number: int) -> None:
    """Check the number of answers."""
    found = sum(1 for each in context.requests if each.took_ms is not None)
    assert found >= number, found


@then('no request is refused after it was queued')
def check_prompt(context: Context) -> None:
    """Check that no refusal came later than the arrival."""
    delayed = [each for each in context.requests if each.refused_after_ms]
    assert not delayed, delayed


@then('the urgent ones are answered more often')
def check_urgent(context: Context) -> None:
    """Compare the shares of answered requests of both operations."""
    assert share(context, 'urgent') > share(context, 'other')


@then('a quarter or more of the others are answered')
def check_not_starved(context: Context) -> None:
    """Check the share of answered requests of the less urgent operation."""
    assert share(context, 'other') >= _QUARTER, share(context, 'other')


def share(context: Context, operation: str) -> float:
    """Return the share of an operation's requests that are answered."""
    same_kind = [
        each for each in context.requests if each.operation == operation
    ]
    return sum(1 for each in same_kind if each.took_ms is not None) / len(
        same_kind
    )


@then('each refusal asks for a retry after {least:d} ms or more')
def check_times(context: Context, least: int) -> None:
    """Check the retry times of all refusals."""
    times = [
        each.retry_after_ms
        for each in context.requests
        if each.refused_after_ms is not None
    ]
    assert times and min(times) >= least, times
    context.times = times


@then('the retry times are spread')
def check_spread(context: Context) -> None:
    """Check that the retry times differ."""
    assert max(context.times) > 1.3 * min(context.times)
    assert len(set(context.times)) > len(context.times) / 2


@then('none is refused')
def check_none_refused(context: Context) -> None:
    """Check that all requests were answered."""
    assert all(each.took_ms is not None for each in context.requests)


@given('an upstream that has answered {number:d} requests, one every {ms:d} ms')
def make_spell(context: Context, number: int, ms: int) -> None:
    """Create the estimate of an upstream that has only succeeded so far."""
    context.spell = SpellEstimate()
    context.now_ms = _START_MS
    context.step_ms = ms
    context.announcements = []
    observe(context, number, ok=True)


@given('an upstream without any outcome')
def make_new_upstream(context: Context) -> None:
    """Create the estimate of an upstream without outcomes."""
    make_spell(context, 0, 1)


def observe(context: Context, number: int, *, ok: bool) -> None:
    """Add outcomes at equal intervals, and keep what the estimate returns."""
    for _ in range(number):
        context.now_ms += context.step_ms
        context.announcements.append(
            context.spell.observe(context.now_ms, ok=ok)
        )


@when('{number:d} {noun} to it {end}')
def add_outcomes(context: Context, number: int, noun: str, end: str) -> None:
    """Add successes or failures."""
    context.announcements = []
    observe(context, number, ok=end.startswith('succeed'))


@when('{length:d} s pass')
def pass_time(context: Context, length: int) -> None:
    """Advance the time."""
    context.now_ms += 1000 * length


@then('its risk is {side} {bound:g}')
def check_risk(context: Context, side: str, bound: float) -> None:
    """Compare the risk with a bound."""
    risk = context.spell.risk(context.now_ms)
    assert (risk < bound) is (side == 'below'), risk


@then('all entries are notified that a spell may have begun')
@then('all entries are notified that the spell is over')
def check_notified(context: Context) -> None:
    """Check that one of the outcomes asked for a notification."""
    assert any(context.announcements)


@given('a service with upstreams "{one}" and "{other}"')
def make_pool(context: Context, one: str, other: str) -> None:
    """Create a pool of two upstreams, a ``far`` one in another zone."""
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
        second.note_risk(0.95, context.now_ms)
    local, remote = tuple(context.loads.values()), ()
    if other == 'far':
        local, remote = (context.loads[one],), (second,)
    context.pool = Pool(local, remote)


@when('"{name}" has a wait of {number:d} {unit}')
def set_wait(context: Context, name: str, number: int, unit: str) -> None:
    """Report an expected wait."""
    wait_ms = number * {'s': 1000, 'ms': 1}[unit]
    context.loads[name].note_report(
        LoadReport(wait_ms, 200, 3, 0), context.now_ms
    )


@when('"{name}" was well {age:d} s ago, and "{other}" is well now')
def set_reports(context: Context, name: str, age: int, other: str) -> None:
    """Set the time of each upstream's last report of a low risk."""
    for each, at_ms in ((name, context.now_ms - 1000 * age), (other, None)):
        context.loads[each].risk = 0.01
        context.loads[each].risk_reported_at_ms = at_ms or context.now_ms


@when('{number:d} requests that {can} be repeated are routed')
def route_requests(context: Context, number: int, can: str) -> None:
    """Choose an upstream for each request."""
    operation = _IDEMPOTENT if can == 'can' else _NON_IDEMPOTENT
    query = RoutingQuery(
        context.now_ms,
        failure_cost_ms=failure_cost_ms(operation),
        trial=TrialRule(operation, may_repeat=can == 'can'),
    )
    route_all(context, number, query)


@when('{number:d} requests of {size:d} bytes are routed')
def route_sized_requests(context: Context, number: int, size: int) -> None:
    """Choose an upstream for each request with an answer of a size."""
    route_all(
        context, number, RoutingQuery(context.now_ms, transfer_bytes=size)
    )


def route_all(context: Context, number: int, query: RoutingQuery) -> None:
    """Count the upstreams chosen for a number of equal requests."""
    context.chosen = Counter(
        context.balancer.choose(context.pool, query, context.rng).upstream
        for _ in range(number)
    )


@when('the home of "{name}" refuses a request as {reason}')
def refuse_request(context: Context, name: str, reason: str) -> None:
    """Record that the home of an upstream refuses a request."""
    context.tried = TriedUpstreams(set())
    context.tried.note_sent(name)
    context.tried.note_refused(name, Reason(reason), may_return=True)


@then('it goes to "{name}" next, and may wait there')
def check_waits(context: Context, name: str) -> None:
    """Check the next choice, where the request may be queued."""
    assert next_choice(context) == name
    assert context.tried.was_busy(name)


@then('it goes to "{name}" next, and is redirected if that is busy')
def check_sent_on(context: Context, name: str) -> None:
    """Check the next choice, where the request may not be queued."""
    assert next_choice(context) == name
    assert not context.tried.was_busy(name)


def next_choice(context: Context) -> str:
    """Return the name of the upstream chosen for the next attempt."""
    query = RoutingQuery(
        context.now_ms, context.tried.excluded, failure_cost_ms(_NON_IDEMPOTENT)
    )
    load = context.balancer.choose(context.pool, query, context.rng)
    return str(load.upstream)


@then('a second copy may be sent to "{name}"')
def check_copy(context: Context, name: str) -> None:
    """Check that a hedge is allowed."""
    assert may_hedge_at(context.loads[name], context.now_ms)


@then('no second copy may be sent to "{name}"')
def check_no_copy(context: Context, name: str) -> None:
    """Check that a hedge is not allowed."""
    assert not may_hedge_at(context.loads[name], context.now_ms)


@then('none goes to "{name}"')
def check_none(context: Context, name: str) -> None:
    """Check that an upstream was never chosen."""
    assert not context.chosen[name], context.chosen


@then('all go to "{name}"')
def check_all(context: Context, name: str) -> None:
    """Check that an upstream was always chosen."""
    assert set(context.chosen) == {name}, context.chosen


@then('between {least:d} and {most:d} go to "{name}"')
def check_between(context: Context, least: int, most: int, name: str) -> None:
    """Check how often an upstream was chosen."""
    assert least <= context.chosen[name] <= most, context.chosen


@then(
    'attempt {attempt:d} of work that {can} be repeated is refused'
    ' above a risk of {bound:g}'
)
def check_limit(context: Context, attempt: int, can: str, bound: float) -> None:
    """Check the risk limit that is sent to homes."""
    operation = _IDEMPOTENT if can == 'can' else _NON_IDEMPOTENT
    limit = risk_limit(operation, attempt, has_others=True)
    assert limit == int(1000 * bound), limit


@given('a retry budget of {percent:d} of 100 requests')
def make_budget(context: Context, percent: int) -> None:
    """Create a retry budget."""
    context.policy = RetryPolicy(percent, 100, 3, 0, 1, 20)
    context.budget = RetryBudget(context.policy)


@when('100 requests are refused by their upstreams')
def refuse_at_upstreams(context: Context) -> None:
    """Try resends after refusals by upstreams."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED)
    count_resends(context, end)


@when('100 requests are refused as risky by homes')
def refuse_at_homes(context: Context) -> None:
    """Try resends after refusals by homes."""
    count_resends(context, AttemptEnd(Outcome.NOT_RUN, Reason.RISKY))


@when('100 requests that may have run end as "{reason}"')
def end_unknown(context: Context, reason: str) -> None:
    """Try resends of requests whose outcome is unknown."""
    count_resends(context, AttemptEnd(Outcome.UNKNOWN, Reason(reason)))


@then(
    'a request that has used {runs:d} of {most:d} runs and ends as "{reason}"'
    ' may not run again'
)
def check_no_more_runs(
    context: Context, runs: int, most: int, reason: str
) -> None:
    """Check that a route's limit holds whatever the last run ended as."""
    context.budget = RetryBudget(context.policy)
    end = AttemptEnd(Outcome.UNKNOWN, Reason(reason))
    assert not context.budget.may_resend(end, runs, runs, most)


def count_resends(context: Context, end: AttemptEnd) -> None:
    """Count how many of 100 requests may be sent again."""
    context.resent = 0
    for _ in range(100):
        context.budget.note_first_attempt()
        context.resent += context.budget.may_resend(end, 1, 0, 2)


@then('at most {number:d} of them may be sent again')
def check_at_most(context: Context, number: int) -> None:
    """Check an upper bound on the resends."""
    assert 0 < context.resent <= number, context.resent


@then('{number:d} of them may be sent again')
def check_resent(context: Context, number: int) -> None:
    """Check the number of resends."""
    assert context.resent == number, context.resent


@then('a request that has used {runs:d} of {most:d} runs {may} run again')
def check_runs(context: Context, runs: int, most: int, may: str) -> None:
    """Check whether one more run is allowed."""
    end = AttemptEnd(Outcome.UNKNOWN, Reason.UPSTREAM_RESET)
    allowed = context.budget.may_resend(end, 4, runs, most)
    assert allowed is (may == 'may')


@given('all redirect tokens are spent')
def spend_redirects(context: Context) -> None:
    """Reserve redirects until no token is left."""
    has_left = True
    while has_left:
        has_left = context.budget.reserve_redirect(
            1, WorkClass.SHORT, has_others=True
        )


@then('a request whose upstream drains may go to {number:d} others')
def check_others(context: Context, number: int) -> None:
    """Count the attempts that are allowed while upstreams drain."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason.DRAINING)
    attempt = 1
    while context.budget.may_resend(end, attempt, 0, 2):
        attempt += 1
    assert attempt - 1 == number, attempt


@then('a request that {number:d} homes have refused as {reason} is given up')
def check_no_more_attempts(context: Context, number: int, reason: str) -> None:
    """Check that the last of these refusals allows no further attempt."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason(reason))
    assert context.budget.may_resend(end, number - 1, 0, 2)
    assert not context.budget.may_resend(end, number, 0, 2)


@when('a home runs 100 requests, each on a connection that breaks')
def break_connections(context: Context) -> None:
    """Try a resend by the home after each run."""
    resends = HomeResendBudget(context.policy)
    context.resent = 0
    for _ in range(100):
        resends.note_run()
        context.resent += resends.may_resend()


@then('it resends at most {number:d} of them')
def check_home_resends(context: Context, number: int) -> None:
    """Check an upper bound on the home's resends."""
    assert 0 < context.resent <= number, context.resent


@given('routes by host and prefix')
def make_routes(context: Context) -> None:
    """Create a route table."""
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
    """Check the route that matches a request."""
    found = context.route_table.match(method, path, host)
    found_name = 'none' if found is None else found.name
    assert found_name == name, found


@given('a route split {first:d} to {second:d}')
def make_split(context: Context, first: int, second: int) -> None:
    """Create a route that splits its traffic between two services."""
    weights = {'first': first, 'second': second}
    context.route = Route('r', 'first', 'o', '/', split=weights)


@when('{number:d} requests are split')
def split_requests(context: Context, number: int) -> None:
    """Choose a service for each request."""
    rng = Random(_SEED)
    context.counts = Counter(
        pick_service(context.route, rng) for _ in range(number)
    )


@then('the second service gets between {least:d} and {most:d}')
def check_share(context: Context, least: int, most: int) -> None:
    """Check the second service's share."""
    assert least <= context.counts['second'] <= most, context.counts
