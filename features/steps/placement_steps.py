"""Steps about zones and regions: the choice of an upstream, and replays."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, replace
from math import pi, sin
from random import Random
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.floor_steps import desk_service
from features.steps.platform_steps import config_document
from jackdawhead.config.model import Config, Zone
from jackdawhead.config.sources import SourceFile
from jackdawhead.platform.document_loader import (
    DocumentLoader,
    decode_document,
)
from jackdawhead.policy.loads import LoadReport, RoutingQuery
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.placement import routing_query
from jackdawhead.policy.run_result import RunResult
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.policy.ways import Way, Ways
from jackdawhead.replay.engine import Replay
from jackdawhead.trace.reader import Trace
from jackdawhead.trace.records import (
    TRACE_VERSION,
    ArrivalRecord,
    RunRecord,
    TraceStart,
    UpstreamRecord,
)

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.replay.result import SentCopy

_SEED: Final = 5
_NOW_MS: Final = 1_000_000.0
_MS_PER_S: Final = 1000
_RUN_MS: Final = 300.0
_SLOTS: Final = 4
_RECORD_INTERVAL_MS: Final = 200
_REGIONS: Final = {
    'north-1': 'north',
    'north-2': 'north',
    'east-1': 'east',
    'east-2': 'east',
    'south-1': 'south',
    'south-2': 'south',
}
_HOPS_MS: Final = {Way.ZONE: 0.1, Way.REGION: 1.4, Way.OTHER_REGION: 8.0}
_CHOICES: Final = 400
_WINDOW_MS: Final = 500.0
_TROUGH: Final = 0.6


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of the zones, as shares of the capacity in each of them.

    :param mean: mean over time.
    :param swing: amplitude of the wave, as a share of the mean.
    :param period_s: length of the wave.
    """

    mean: float
    swing: float
    period_s: float

    def share(self, zone: int, at_ms: float) -> float:
        """Return the demand of a zone; the zones are evenly out of phase."""
        phase = at_ms / _MS_PER_S / self.period_s + zone / len(_REGIONS)
        return self.mean * (1 + self.swing * sin(2 * pi * phase))


# Choices of one entry in zone north-1.


@given('an entry before {count:d} upstreams in each of six zones')
def make_entry(context: Context, count: int) -> None:
    """Create the router of an entry in the first zone."""
    context.regions = dict(_REGIONS)
    start_entry(context, count)


@given('an entry before {count:d} upstreams in each of six zones of one region')
def make_entry_in_one_region(context: Context, count: int) -> None:
    """Create the router of an entry in the first zone."""
    context.regions = dict.fromkeys(_REGIONS, 'north')
    start_entry(context, count)


def start_entry(context: Context, count: int) -> None:
    """Create the router and report free slots for all upstreams."""
    context.router = new_router(context, 'nearest')
    context.members = tuple(
        Member(f'{zone}-{number}/desk', zone, f'{zone}-{number}')
        for zone in _REGIONS
        for number in range(count)
    )
    context.now_ms = _NOW_MS
    set_members(context)


def new_router(context: Context, balancer: str) -> ServiceRouter:
    """Return a router with a balancer."""
    ways = Ways('north-1')
    ways.replace_regions(context.regions)
    service = replace(desk_service(), balancer=balancer)
    return ServiceRouter(service, 'north-1', Random(_SEED), ways)


def set_members(context: Context) -> None:
    """Give the router its upstreams, all of them idle by a fresh report."""
    context.router.replace_members(context.members)
    for load in context.router.loads:
        report(context, load.upstream, _RUN_MS, _SLOTS)


def report(
    context: Context,
    upstream: str,
    run_ms: float,
    free: int,
    wait_ms: float = 0,
) -> None:
    """Report the load of an upstream."""
    load = context.router.find(upstream)
    load.note_report(LoadReport(wait_ms, run_ms, _SLOTS, free), context.now_ms)


def loads_in(context: Context, place: str) -> list[str]:
    """Return the upstreams of a zone or a region."""
    return [
        each.upstream
        for each in context.router.loads
        if place in {each.zone, context.regions[each.zone]}
    ]


@given('answers of {size:d} bytes')
def learn_size(context: Context, size: int) -> None:
    """Let the entry learn the size of the answers."""
    for operation in context.router.service.operations:
        context.router.transfer_sizes.note(operation, size)


@given('all upstreams of "{place}" are full with a wait of {wait:d} ms')
@when('all upstreams of "{place}" are full with a wait of {wait:d} ms')
def fill(context: Context, place: str, wait: int) -> None:
    """Report that no slots are free in a zone or a region."""
    for name in loads_in(context, place):
        report(context, name, _RUN_MS, 0, wait)


@given('all upstreams of "{place}" have {free:d} free slots')
@when('all upstreams of "{place}" have {free:d} free slots')
def free_slots(context: Context, place: str, free: int) -> None:
    """Report the free slots in a zone or a region."""
    for name in loads_in(context, place):
        report(context, name, _RUN_MS, free)


@given('the upstreams of "{place}" cannot be reached')
def cut_off(context: Context, place: str) -> None:
    """Avoid the homes of a zone or a region."""
    for name in loads_in(context, place):
        home = name.partition('/')[0]
        context.router.avoid_home_until(home, context.now_ms + _MS_PER_S)


@given('the upstreams of "{place}" likely fail')
def fail(context: Context, place: str) -> None:
    """Report a high risk of failure in a zone or a region."""
    for name in loads_in(context, place):
        load = context.router.find(name)
        load.note_risk(0.95, context.now_ms)
        load.trial_at_ms = 0


@given('all upstreams but one of "{place}" have a risk of {risk:g}')
def endanger(context: Context, place: str, risk: float) -> None:
    """Report a risk of failure of all upstreams but the last one."""
    for name in sorted(loads_in(context, place))[:-1]:
        context.router.find(name).note_risk(risk, context.now_ms)


@given('the upstreams "{name}" in "{zone}" take {factor:d} times as long')
def slow_down(context: Context, name: str, zone: str, factor: int) -> None:
    """Report a longer run time of some upstreams."""
    report(context, f'{zone}-{name}/desk', factor * _RUN_MS, _SLOTS)


@given('an upstream joins "{zone}"')
def join(context: Context, zone: str) -> None:
    """Add an upstream without a report."""
    context.joined = f'{zone}-new/desk'
    member = Member(context.joined, zone, f'{zone}-new')
    context.members = (*context.members, member)
    context.router.replace_members(context.members)


@given('a round trip to "{zone}" takes {round_trip:d} ms')
def measure(context: Context, zone: str, round_trip: int) -> None:
    """Measure the way to a zone."""
    trips = context.router.ways.round_trips
    trips.note(zone, round_trip, context.now_ms)


@given('the last reports are {age:d} s old')
def age_reports(context: Context, age: int) -> None:
    """Let time pass without reports."""
    context.now_ms += age * _MS_PER_S


@when('requests that {can} be repeated are placed')
def place(context: Context, can: str) -> None:
    """Choose an upstream for each of many requests, none of which is sent."""
    operation = 'again' if can == 'can' else 'once'
    context.chosen = choices(context, context.router, operation)


def choices(
    context: Context, router: ServiceRouter, operation: str
) -> list[str]:
    """Return the upstreams that are chosen for equal requests."""
    query = routing_query(
        router,
        router.service.operations[operation],
        frozenset(),
        context.now_ms,
        may_repeat=True,
    )
    found = []
    for _ in range(_CHOICES):
        load = router.choose(operation, query)
        assert load is not None
        found.append(load.upstream)
    return found


def percent_in(context: Context, place_name: str) -> float:
    """Return the percentage of the requests that went to a zone or region."""
    inside = set(loads_in(context, place_name))
    return 100 * sum(each in inside for each in context.chosen) / _CHOICES


@then('all are placed in "{place_name}"')
def check_all(context: Context, place_name: str) -> None:
    """Check that all choices are in a zone or a region."""
    check_most(context, 100, place_name)


@then('none are placed in "{place_name}"')
def check_none(context: Context, place_name: str) -> None:
    """Check that no choice is in a zone or a region."""
    check_least(context, 0, place_name)


@then('at least {percent:d} % are placed in "{place_name}"')
def check_most(context: Context, percent: int, place_name: str) -> None:
    """Compare the share of choices in a zone or a region with a limit."""
    found = percent_in(context, place_name)
    assert found >= percent, (found, Counter(context.chosen))


@then('at most {percent:d} % are placed in "{place_name}"')
def check_least(context: Context, percent: int, place_name: str) -> None:
    """Compare the share of choices in a zone or a region with a limit."""
    found = percent_in(context, place_name)
    assert found <= percent, (found, Counter(context.chosen))


@then('"{name}" in "{zone}" gets {least:d} to {most:d} % of those in its zone')
def check_one(
    context: Context, name: str, zone: str, least: int, most: int
) -> None:
    """Compare the share of one upstream with limits."""
    inside = set(loads_in(context, zone))
    local = [each for each in context.chosen if each in inside]
    found = 100 * local.count(f'{zone}-{name}/desk') / len(local)
    assert least <= found <= most, (found, Counter(context.chosen))


@then('each upstream of "{zone}" gets {least:d} to {most:d} % of them')
def check_spread(context: Context, zone: str, least: int, most: int) -> None:
    """Compare the share of each upstream of a zone with limits."""
    counts = Counter(context.chosen)
    shares = [100 * counts[each] / _CHOICES for each in loads_in(context, zone)]
    assert least <= min(shares), shares
    assert max(shares) <= most, shares


@then('the choices are those of "{balancer}" from the same random numbers')
def check_same(context: Context, balancer: str) -> None:
    """Compare many choices, with different loads, of two balancers."""
    routers = []
    for name in ('nearest', balancer):
        context.router = new_router(context, name)
        set_members(context)
        rng = Random(_SEED)
        for load in context.router.loads:
            load.note_report(
                LoadReport(
                    rng.random() * _RUN_MS,
                    (1 + rng.random()) * _RUN_MS,
                    _SLOTS,
                    rng.randrange(_SLOTS),
                ),
                context.now_ms,
            )
            load.note_risk(rng.random(), context.now_ms)
        learn_size(context, 3000)
        routers.append(context.router)
    for operation in ('once', 'again'):
        found = [choices(context, each, operation) for each in routers]
        assert found[0] == found[1]


@then('a second copy of a request at "{name}" goes to "{place_name}"')
def check_copy(context: Context, name: str, place_name: str) -> None:
    """Check the choice of a hedge, which knows nothing but the upstream."""
    query = RoutingQuery(context.now_ms, frozenset((f'{name}/desk',)))
    load = context.router.choose('again', query)
    assert load is not None
    assert load.upstream in loads_in(context, place_name), load.upstream


# Replays with the decision code of live nodes.


@given(
    '{count:d} VMs in each of six zones, whose demand swings by {swing:d} %'
    ' around {mean:d} % of the capacity of each, out of phase'
)
def make_fleet(context: Context, count: int, swing: int, mean: int) -> None:
    """Create the fleet; each VM has an entry and an upstream."""
    context.count = count
    context.length_ms = 13.0 * _MS_PER_S
    context.demand = Demand(mean / 100, swing / 100, 6.5)
    context.lost = ''
    context.slow = frozenset()


@given('every other upstream takes {factor:d} times as long')
def make_uneven(context: Context, factor: int) -> None:
    """Make half of the upstreams slow."""
    context.slow = frozenset(
        f'{zone}-{number}/desk'
        for zone in _REGIONS
        for number in range(0, context.count, 2)
    )
    context.slow_factor = factor


@given('the upstreams of "{place}" leave after {seconds:d} s')
def lose(context: Context, place: str, seconds: int) -> None:
    """Have the upstreams of a zone or a region leave."""
    context.lost = place
    context.lost_at_ms = float(seconds * _MS_PER_S)


@when('the day is replayed with "{balancer}" and "{subset}" subsets')
def replay_day(context: Context, balancer: str, subset: str) -> None:
    """Replay the day through the decision code of live nodes."""
    rng = Random(_SEED)
    service = replace(
        desk_service(_SLOTS),
        balancer=balancer,
        subset=subset,
        zones=tuple(_REGIONS),
    )
    zones = {name: Zone(name, region) for name, region in _REGIONS.items()}
    config = Config('', zones, {'desk': service}, {})
    records = [
        *fleet_records(context),
        *arrival_records(context, rng),
        *run_records(context, rng),
    ]
    records.sort(key=lambda record: record.at_ms)
    nodes = tuple(each for each in records if isinstance(each, TraceStart))
    trace = Trace(nodes, tuple(records))
    context.result = Replay(config, trace, _SEED, hops_ms=_HOPS_MS).run()


def vms(context: Context) -> list[tuple[str, str]]:
    """Return the name and the zone of each VM."""
    return [
        (f'{zone}-{number}', zone)
        for zone in _REGIONS
        for number in range(context.count)
    ]


def fleet_records(context: Context) -> list[TraceStart | UpstreamRecord]:
    """Return the starts of nodes, and the list of upstreams."""
    found: list[TraceStart | UpstreamRecord] = []
    for name, zone in vms(context):
        upstream = f'{name}/desk'
        found.append(TraceStart(0, TRACE_VERSION, name, zone))
        found.append(UpstreamRecord(0, upstream, zone, name, 'live'))
        if context.lost in {zone, _REGIONS[zone]}:
            at_ms = context.lost_at_ms
            found.append(UpstreamRecord(at_ms, upstream, zone, name, 'leaving'))
    return found


def arrival_records(context: Context, rng: Random) -> list[ArrivalRecord]:
    """Return the arrivals in all zones."""
    found = []
    demand = context.demand
    peak = demand.mean * (1 + demand.swing)
    rate_per_ms = peak * context.count * _SLOTS / _RUN_MS
    for number, zone in enumerate(_REGIONS):
        at_ms = rng.expovariate(rate_per_ms)
        while at_ms < context.length_ms:
            if rng.random() * peak < demand.share(number, at_ms):
                node = f'{zone}-{rng.randrange(context.count)}'
                found.append(arrival(at_ms, node, rng))
            at_ms += rng.expovariate(rate_per_ms)
    return found


def arrival(at_ms: float, node: str, rng: Random) -> ArrivalRecord:
    """Return the arrival of a request of either operation."""
    operation = rng.choice(('once', 'again'))
    return ArrivalRecord(
        at_ms, node, 'desk', operation, 'o', rng.getrandbits(60)
    )


def run_records(context: Context, rng: Random) -> list[RunRecord]:
    """Return the runs that are drawn from, all of which succeed."""
    found = []
    for name, _ in vms(context):
        upstream = f'{name}/desk'
        mean_ms = _RUN_MS
        if upstream in context.slow:
            mean_ms *= context.slow_factor
        for at_ms in range(0, int(context.length_ms), _RECORD_INTERVAL_MS):
            for operation in ('once', 'again'):
                run_ms = mean_ms * rng.uniform(0.7, 1.3)
                found.append(
                    RunRecord(
                        at_ms + run_ms,
                        upstream,
                        operation,
                        1,
                        RunResult.SUCCEEDED.value,
                        run_ms,
                    )
                )
    return found


def way_percents(sent: list[SentCopy]) -> dict[Way, float]:
    """Return the percentage of the copies on each kind of way."""
    counts = Counter(each.way for each in sent)
    return {way: 100 * counts[way] / max(1, len(sent)) for way in Way}


@then('at least {percent:d} % of the copies stay in the {way}')
def check_stay(context: Context, percent: int, way: str) -> None:
    """Compare the share of the copies in the zone, or region, with a limit."""
    shares = way_percents(context.result.sent)
    found = shares[Way.ZONE]
    if way == 'region':
        found += shares[Way.REGION]
    assert found >= percent, shares


@then('at least {percent:d} % of the requests are answered in time')
def check_in_time(context: Context, percent: int) -> None:
    """Compare the share of requests answered within their target."""
    finished = context.result.finished
    in_time = sum(
        each.is_good
        and each.ended_ms - each.arrived_ms <= each.operation.target_ms
        for each in finished
    )
    found = 100 * in_time / len(finished)
    assert found >= percent, (found, way_percents(context.result.sent))


@then('a request is sent {most:g} times at most on average')
def check_attempts(context: Context, most: float) -> None:
    """Compare the number of copies a request with a limit."""
    found = len(context.result.sent) / len(context.result.finished)
    assert found <= most, found


@then('work leaves zones at their crests, and regions hardly at troughs')
def check_spill(context: Context) -> None:
    """Compare the work that leaves zones at their crests and troughs.

    A window of half a second is a crest if the zone has more work than
    capacity, and a trough if it has less than 60 percent of it.
    """
    crest: list[SentCopy] = []
    trough: list[SentCopy] = []
    numbers = {zone: number for number, zone in enumerate(_REGIONS)}
    for each in context.result.sent:
        window_ms = each.at_ms // _WINDOW_MS * _WINDOW_MS + _WINDOW_MS / 2
        demand = context.demand.share(numbers[each.zone], window_ms)
        if demand > 1:
            crest.append(each)
        elif demand < _TROUGH:
            trough.append(each)
    assert way_percents(crest)[Way.ZONE] < 75, way_percents(crest)
    assert way_percents(trough)[Way.OTHER_REGION] < 5, way_percents(trough)


@when("the platform's configuration is loaded with zones of {number:d} regions")
def load_configuration(context: Context, number: int) -> None:
    """Load a configuration of the platform, as a node does."""
    zones = {f'zone-{each}': f'region-{each % number}' for each in range(6)}
    document = decode_document(json.dumps(config_document()).encode())
    loaded = DocumentLoader(zones).load_valid_entries(
        tuple(
            SourceFile(name, text)
            for name, text in document.unwrap().content.items()
        ),
        lambda: None,
    )
    context.loaded_config = loaded.unwrap().config


@then('all services have the balancer "{balancer}" and "{subset}" subsets')
def check_rules(context: Context, balancer: str, subset: str) -> None:
    """Compare the rules of all services."""
    services = context.loaded_config.services.values()
    rules = {(each.balancer, each.subset) for each in services}
    assert rules == {(balancer, subset)}, rules
