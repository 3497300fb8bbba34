"""Steps about levels at entries, and callers that come back."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final
from unittest.mock import patch

from behave import given, then, when

from features.steps.floor_steps import desk_service
from features.steps.giving_way_steps import HomeLoop, work_of
from jackdawhead.policy.levels import by_level, retry_after_ms
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.placement import routing_query
from jackdawhead.policy.return_times import ReturnTimes
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.wire.messages import ALL_PRIORITIES, UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from jackdawhead.policy.work import Work

_START_MS: Final = 10_000.0
_SEED: Final = 5
_SLOTS: Final = 3
_RUN_MS: Final = 300
_WAIT_MS: Final = 600
_DRAWS: Final = 400
_MS_PER_S: Final = 1000
_LENGTH_MS: Final = 10_000.0
_CROWD: Final = 20
_CROWD_AT_MS: Final = 2000.0


@given(
    'an entry with {number:d} upstreams that take the priorities below'
    ' {level:d}'
)
def make_entry(context: Context, number: int, level: int) -> None:
    """Create an entry's routing state with full upstreams."""
    context.now_ms = _START_MS
    context.rng = Random(_SEED)
    context.router = ServiceRouter(desk_service(_SLOTS), 'a', context.rng)
    context.names = [f'vm-{each}/desk' for each in range(number)]
    replace_members(context)
    for name in context.names:
        report(context, name, level)


@given('{number:d} upstream that takes all')
def add_open(context: Context, number: int) -> None:
    """Add upstreams whose queue has room."""
    before = len(context.names)
    context.open = [f'vm-{before + each}/desk' for each in range(number)]
    context.names.extend(context.open)
    replace_members(context)
    for name in context.open:
        report(context, name, ALL_PRIORITIES)


@given('an entry with {number:d} upstreams that report no level')
def make_plain_entry(context: Context, number: int) -> None:
    """Create an entry whose homes have an earlier build."""
    make_entry(context, number, ALL_PRIORITIES)


@given('the one that takes all is likely failing')
def fail_open(context: Context) -> None:
    """Raise its risk."""
    load = context.router.find(context.open[0])
    load.note_risk(0.95, context.now_ms)


@then('requests of priority {priority:d} that were refused by one go to none')
def check_none_failing(context: Context, priority: int) -> None:
    """Check the next attempt of refused requests."""
    tried = frozenset(context.names[:1])
    for _ in range(_DRAWS):
        query = routing_query(
            context.router,
            context.router.service.operations['once'],
            tried,
            context.now_ms,
            may_repeat=False,
        )
        placed = by_level(query, context.router, priority, context.rng)
        assert placed is None, placed


def replace_members(context: Context) -> None:
    """List all upstreams."""
    context.router.replace_members(
        tuple(
            Member(name, 'a', name.partition('/')[0]) for name in context.names
        )
    )


def report(context: Context, name: str, level: int) -> None:
    """Deliver a status."""
    status = UpstreamStatus(
        upstream=name,
        operation='again',
        wait_ms=_WAIT_MS,
        free=0,
        run_ms=_RUN_MS,
        count=0,
        failures=0,
        median_ms=_RUN_MS,
        least_ms=_RUN_MS,
        cusum=0,
        avoid_ms=0,
        draining=False,
        refused_from=level,
    )
    context.router.note_status(status, context.now_ms)


@when('{age:d} ms pass without a status')
def pass_time(context: Context, age: int) -> None:
    """Move the time on."""
    context.now_ms += age


def choices(context: Context, priority: int) -> list[str]:
    """Return the upstreams of many requests, empty for refused ones."""
    found = []
    for _ in range(_DRAWS):
        query = routing_query(
            context.router,
            context.router.service.operations['again'],
            frozenset(),
            context.now_ms,
            may_repeat=False,
        )
        placed = by_level(query, context.router, priority, context.rng)
        load = placed and context.router.choose('again', placed)
        found.append(load.upstream if load else '')
    return found


@then('requests of priority {priority:d} go to the one that takes all')
def check_placed(context: Context, priority: int) -> None:
    """Check where requests go."""
    assert set(choices(context, priority)) == set(context.open)


@then('requests of priority {priority:d} go to all of them')
def check_all(context: Context, priority: int) -> None:
    """Check that no upstream is left out and no request refused."""
    assert set(choices(context, priority)) == set(context.names)


def refused_share(context: Context, priority: int) -> float:
    """Return the share of requests that are refused at once."""
    return choices(context, priority).count('') / _DRAWS


@then(
    'at least {percent:d} % of the requests of priority {priority:d} are'
    ' refused at once'
)
def check_refused(context: Context, percent: int, priority: int) -> None:
    """Check the share of refused requests."""
    share = refused_share(context, priority)
    assert share >= percent / 100, share


@then(
    'at most {percent:d} % of the requests of priority {priority:d} are'
    ' refused at once'
)
def check_not_refused(context: Context, percent: int, priority: int) -> None:
    """Check the share of refused requests."""
    share = refused_share(context, priority)
    assert share <= percent / 100, share


@then('none of the requests of priority {priority:d} is refused at once')
def check_none_refused(context: Context, priority: int) -> None:
    """Check that all requests go to an upstream."""
    assert not refused_share(context, priority)


@then('some requests of priority {priority:d} ask an upstream')
def check_some_ask(context: Context, priority: int) -> None:
    """Check that the entry goes on learning."""
    assert refused_share(context, priority) < 1


@then(
    'those of priority {first:d} come back before those of priority {second:d}'
)
def check_return_order(context: Context, first: int, second: int) -> None:
    """Compare the mean times to come back."""
    times_ms = {
        priority: [
            retry_after_ms(
                context.router, priority, context.now_ms, context.rng
            )
            for _ in range(_DRAWS)
        ]
        for priority in (first, second)
    }
    assert sum(times_ms[first]) < sum(times_ms[second]), times_ms
    assert min(times_ms[first]) >= _WAIT_MS, times_ms
    assert len(set(times_ms[first])) > _DRAWS // 4, times_ms


@given('half of the statuses are lost, and the others {delay:d} ms late')
def lose_statuses(context: Context, delay: int) -> None:
    """Disturb the statuses that reach the routers."""
    rng = Random(_SEED)
    note_status = ServiceRouter.note_status
    pending: dict[ServiceRouter, list[tuple[float, UpstreamStatus]]] = {}

    def note_some(
        router: ServiceRouter, status: UpstreamStatus, now_ms: float
    ) -> None:
        waiting = pending.setdefault(router, [])
        if rng.getrandbits(1):
            waiting.append((now_ms + delay, status))
        while waiting and waiting[0][0] <= now_ms:
            note_status(router, waiting.pop(0)[1], now_ms)

    context.stack.enter_context(
        patch.object(ServiceRouter, 'note_status', note_some)
    )


class ReturningLoop(HomeLoop):
    """A home whose refused callers come back."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.returned: dict[int, Work] = {}
        self.retry_ms: dict[int, float] = {}
        self.repeats: dict[int, int] = {}
        self.ids = count(1_000_000)

    def note_refused(self, work: Work, retry_ms: float, now_ms: float) -> None:
        """Let the caller come back, those that repeat at once."""
        super().note_refused(work, retry_ms, now_ms)
        self.retry_ms[work.work_id] = retry_ms
        left = self.repeats.get(work.work_id, 0)
        if left and retry_ms:
            is_abuse = work.organisation == 'abuse'
            delay_ms = 1 if is_abuse else retry_ms
            again_ms = now_ms + delay_ms
            again = replace(
                work, work_id=next(self.ids), arrived_at_ms=again_ms
            )
            self.repeats[again.work_id] = left - 1
            self.returned[again.work_id] = again
            self.schedule(again_ms, partial(self.arrive, again))


def stream(
    context: Context, per_s: float, make: Callable[[], Work]
) -> list[Work]:
    """Return work that arrives at random."""
    rng = Random(next(context.work_ids))
    context.now_ms = _START_MS
    found = []
    while context.now_ms < _START_MS + _LENGTH_MS:
        context.now_ms += rng.expovariate(per_s / _MS_PER_S)
        found.append(make())
    return found


def play(context: Context, works: list[Work], repeats: int) -> ReturningLoop:
    """Play work whose callers come back; those of "abuse" at once."""
    loop = ReturningLoop(context.rule, context.run_ms)
    for work in works:
        is_abuse = work.organisation == 'abuse'
        loop.repeats[work.work_id] = 10 if is_abuse else repeats
        loop.schedule(work.arrived_at_ms, partial(loop.arrive, work))
    loop.run()
    return loop


@when(
    '{urgent:d} urgent and {other:d} other requests a second come for 10 s,'
    ' with 20 of each more at 2 s, and refused callers come back once'
)
def play_returns(context: Context, urgent: int, other: int) -> None:
    """Play a crowd that arrives at once."""
    works = stream(context, urgent, partial(work_of, context, 1, ''))
    works += stream(context, other, partial(work_of, context, 2, ''))
    context.now_ms = _START_MS + _CROWD_AT_MS
    for _ in range(_CROWD):
        works.append(work_of(context, 1, '', 6000))
        works.append(work_of(context, 2, '', 6000))
    context.loop = play(context, works, 1)


@then('of the urgent ones that came back at least {percent:d} % are served')
def check_returned(context: Context, percent: int) -> None:
    """Check the share of served returns."""
    share = returned_share(context)
    assert share >= percent / 100, share


@then('of the urgent ones that came back less than {percent:d} % are served')
def check_returned_less(context: Context, percent: int) -> None:
    """Check the share of served returns."""
    share = returned_share(context)
    assert share < percent / 100, share


def returned_share(context: Context) -> float:
    """Return the share of urgent work that was served when it came back."""
    found = [
        each for each in context.loop.returned.values() if each.priority == 1
    ]
    served = sum(each.work_id in context.loop.served for each in found)
    assert found
    return served / len(found)


@when(
    'an organisation repeats at once 10 times while 5 others send 1 request'
    ' a second for 10 s'
)
def play_abuse(context: Context) -> None:
    """Play the others alone, and with the organisation."""
    others: list[Work] = []
    for number in range(5):
        make = partial(work_of, context, 1, f'o-{number}')
        others += stream(context, 1, make)
    abuse = stream(context, 4, partial(work_of, context, 1, 'abuse'))
    home = context.rule
    context.alone = play(context, others, 0)
    context.rule = type(home)(home._service, Random(_SEED))
    context.loop = play(context, [*others, *abuse], 0)
    context.others = others


def others_share(context: Context, loop: ReturningLoop) -> float:
    """Return the share of the others' requests that was served."""
    served = sum(each.work_id in loop.served for each in context.others)
    return served / len(context.others)


@then('the others are served as without it, to 5 in 100')
def check_unharmed(context: Context) -> None:
    """Compare the shares."""
    alone = others_share(context, context.alone)
    beside = others_share(context, context.loop)
    assert beside >= alone - 0.05, (alone, beside)


@then('their times to come back are not longer by half')
def check_return_times(context: Context) -> None:
    """Compare the mean times of those that were refused."""
    means_ms = []
    for loop in (context.alone, context.loop):
        found = [
            loop.retry_ms[each.work_id]
            for each in context.others
            if each.work_id in loop.retry_ms
        ]
        means_ms.append(sum(found) / max(1, len(found)))
    assert means_ms[1] <= max(1.5 * means_ms[0], 300), means_ms


@when(
    '{number:d} requests of "{abuse}" and then 1 of "{other}" are given times'
    ' to come back'
)
def give_times(context: Context, number: int, abuse: str, other: str) -> None:
    """Give times to come back in a queue that has room in 50 ms."""
    returns = ReturnTimes(Random(_SEED))
    gap_ms = context.run_ms / _SLOTS
    for position in range(number + 1):
        organisation = abuse if position < number else other
        work = work_of(context, 1, organisation)
        context.retry_ms = returns.retry_after_ms(
            work, 50, gap_ms, context.now_ms
        )


@then('the one of "{other}" comes back within {limit:d} s')
def check_soon(context: Context, other: str, limit: int) -> None:
    """Check the last of these times."""
    assert context.retry_ms <= limit * _MS_PER_S, context.retry_ms
