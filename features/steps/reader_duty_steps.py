"""Steps about which nodes of a zone read the platform, without any process."""

from __future__ import annotations

from itertools import combinations
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when
from returns.result import Failure, Success

from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard, Vm, VmList
from jackdawhead.node.identity import new_identity
from jackdawhead.node.platform_watch import VMS_KEY, PlatformWatch
from jackdawhead.node.reader_controller import ReaderController
from jackdawhead.policy.platform_readers import nodes_before
from jackdawhead.policy.reader_duty import (
    REPORT_INTERVAL_MS,
    ReaderDuty,
    ReaderReport,
)

if TYPE_CHECKING:
    from behave.runner import Context

_ZONE: Final = 'a'
_STEP_MS: Final = 50
_SETTLE_MS: Final = 3000
_STREAM_KEY: Final = 'a-shared-key-for-tests'
_STAND_IN_NODES: Final = 3
_SEED: Final = 1
_REPORTS: Final = 200
_PERCENT: Final = 100
# Readers that are silent for longer are taken for lost.
_SILENCE_S: Final = 1.1
# Less than the time after which the readers are taken for lost again.
_SETTLED_S: Final = 0.5


class SimulatedZone:
    """Nodes whose reports reach all others after one step.

    :param count: number of nodes.
    """

    def __init__(self, count: int) -> None:
        names = [f'vm-{number}' for number in range(count)]
        self.vms = {
            name: Vm(name, _ZONE, '127.0.0.1', False, 7000, {})
            for name in names
        }
        self.ranked = sorted(
            names, key=lambda name: len(nodes_before(name, names))
        )
        self.lost: set[str] = set()
        self.unanswered: set[str] = set()
        self._now_ms = 0
        self._serial = 0
        self._delayed: list[tuple[int, ReaderReport]] = []
        self._duties = {name: ReaderDuty(name, _ZONE, 0) for name in names}
        self._check_at_ms: dict[str, float] = dict.fromkeys(names, 0)
        self._reading: set[str] = set()
        for duty in self._duties.values():
            duty.replace_list(VmList(1, self.vms))

    def readers(self) -> list[int]:
        """Return the ranks of the nodes that read."""
        return [
            rank
            for rank, name in enumerate(self.ranked)
            if name not in self.lost and self._must_read(name)
        ]

    def duty_of(self, name: str) -> ReaderDuty:
        """Return the duty of a node."""
        return self._duties[name]

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self._now_ms + duration_ms
        while self._now_ms < end_ms:
            self._now_ms += _STEP_MS
            reading = self.readers()
            if not self._now_ms % REPORT_INTERVAL_MS:
                for rank in reading:
                    self._deliver(self.report_of(rank))
            for at_ms, report in self._delayed:
                if at_ms == self._now_ms:
                    self._deliver(report)

    def report_of(self, rank: int) -> ReaderReport:
        """Return the next report of a node."""
        self._serial += 1
        name = self.ranked[rank]
        return ReaderReport(name, 1, self._serial, name not in self.unanswered)

    def delay(self, rank: int, delay_ms: int) -> None:
        """Deliver a report once more, late."""
        report = self.report_of(rank)
        self._deliver(report)
        self._delayed.append((self._now_ms + delay_ms, report))

    def _must_read(self, name: str) -> bool:
        """Return what the node has found at its last check."""
        duty = self._duties[name]
        if self._check_at_ms[name] <= self._now_ms:
            self._reading.discard(name)
            if duty.must_read(self._now_ms):
                self._reading.add(name)
            interval_ms = duty.check_interval_ms(self._now_ms)
            self._check_at_ms[name] = self._now_ms + interval_ms
        return name in self._reading

    def _deliver(self, report: ReaderReport) -> None:
        for duty in self._duties.values():
            duty.note(report, self._now_ms)


@given('a zone of {count:d} nodes, of which those of rank 0 and 1 read')
def start_zone(context: Context, count: int) -> None:
    """Let the nodes hear of their readers."""
    context.zone = SimulatedZone(count)
    context.zone.run(_SETTLE_MS)
    assert context.zone.readers() == [0, 1], context.zone.readers()


@when('{duration:d} ms pass')
def pass_time(context: Context, duration: int) -> None:
    """Let time pass."""
    context.zone.run(duration)


@when('the nodes of ranks "{ranks}" are lost')
def lose(context: Context, ranks: str) -> None:
    """Stop the reports of nodes."""
    context.zone.lost.update(names_of(context, ranks))


@when('the nodes of ranks "{ranks}" are back')
def bring_back(context: Context, ranks: str) -> None:
    """Let nodes report again."""
    context.zone.lost.difference_update(names_of(context, ranks))


@when('the platform does not answer the nodes of ranks "{ranks}"')
def refuse(context: Context, ranks: str) -> None:
    """Let nodes report that they fail."""
    context.zone.unanswered.update(names_of(context, ranks))


@when('a report of the node of rank {rank:d} is delayed by {delay:d} ms')
def delay_report(context: Context, rank: int, delay: int) -> None:
    """Deliver one report a second time."""
    context.zone.delay(rank, delay)


@then('the nodes of ranks "{ranks}" read')
def check_readers(context: Context, ranks: str) -> None:
    """Compare the readers."""
    found = ', '.join(map(str, context.zone.readers()))
    assert found == ranks, found


def names_of(context: Context, ranks: str) -> list[str]:
    """Return the nodes of some ranks."""
    return [context.zone.ranked[int(rank)] for rank in ranks.split(', ')]


@given('a node that ranks first and has read the platform at its start')
def start_reader(context: Context) -> None:
    """Create the controller of a node that is alone in its zone."""
    context.reports = []
    context.controller = ReaderController(
        new_identity('vm-0', (_STREAM_KEY,)), _ZONE, Blackboard()
    )
    context.controller.send_report = context.reports.append
    context.controller.note_answer()


@then('it sends no report')
def check_silent(context: Context) -> None:
    """Check the duty once."""
    context.controller.check()
    assert not context.reports, context.reports


@when('it begins to watch')
def begin_watch(context: Context) -> None:
    """Begin the watches."""
    context.controller.begin()


@then('it reports that it reads')
def check_report(context: Context) -> None:
    """Check the duty once more."""
    context.controller.check()
    assert [each.is_reading for each in context.reports] == [True]


@when('{count:d} calls of it fail')
def fail_calls(context: Context, count: int) -> None:
    """Let the watch of the node make calls that the platform refuses."""
    for _ in range(count):
        call_platform(context, Failure('status 503'))


@when('the platform answers it again')
def answer_again(context: Context) -> None:
    """Let the watch of the node make a call that is answered."""
    call_platform(context, Success(None))


def call_platform(context: Context, answer: Any) -> None:
    """Make one call as the watch of the VM list does."""
    parts = SimpleNamespace(
        board=Blackboard(), readers=context.controller, audit=AuditTrail()
    )
    client = SimpleNamespace(read=lambda *_: answer)
    PlatformWatch(VMS_KEY, client, parts, NoDelay()).read_once()


@then('it reports in turn "{reports}"')
def check_reports(context: Context, reports: str) -> None:
    """Check all reports so far; one that is changed is sent at once."""
    context.controller.check()
    found = [str(each.is_reading) for each in context.reports]
    assert found == reports.split(', '), found


class NoDelay:
    """Counts the delays that are drawn, one a round, and draws none.

    Adding a half gives the factor of a delay, see ``PlatformWatch``.
    """

    def __init__(self) -> None:
        self.drawn = 0

    def random(self) -> float:
        """Return what makes the first delay zero and all others whole."""
        self.drawn += 1
        return -0.5 if self.drawn == 1 else 0.5


@given('a node of rank 2 that reads in place of silent readers')
def start_stand_in(context: Context) -> None:
    """Create the controller and the watch of a node that has taken over."""
    zone = SimulatedZone(_STAND_IN_NODES)
    context.zone = zone
    board = Blackboard()
    context.controller = ReaderController(
        new_identity(zone.ranked[2], (_STREAM_KEY,)), _ZONE, board
    )
    board.vm_list.write(VmList(1, zone.vms))
    gevent.sleep(_SILENCE_S)
    context.controller.check()
    assert context.controller.must_read()
    context.rng = NoDelay()
    client = SimpleNamespace(read=lambda *_: Success(None))
    parts = SimpleNamespace(board=board, readers=context.controller)
    context.watch = PlatformWatch(VMS_KEY, client, parts, context.rng)


@when('both readers are heard of again before its next check')
def hear_again(context: Context) -> None:
    """End the duty, start the watch, and let the event loop run."""
    for rank in (0, 1):
        context.controller.note_report(context.zone.report_of(rank))
    context.running = [
        gevent.spawn(context.watch.run),
        gevent.spawn(context.controller.run),
    ]
    gevent.sleep(_SETTLED_S)
    gevent.killall(context.running)


@then('its watch has gone round at most {rounds:d} times')
def check_rounds(context: Context, rounds: int) -> None:
    """Compare the rounds, which do not depend on the speed of the VM."""
    assert context.rng.drawn <= rounds, context.rng.drawn
    assert not context.controller.must_read()


@given('a zone of {count:d} nodes, each linked to {percent:d} % of the others')
def link_zone(context: Context, count: int, percent: int) -> None:
    """Link each node to some others, in both directions."""
    context.rng = Random(_SEED)
    zone = SimulatedZone(count)
    context.zone = zone
    links: dict[str, set[str]] = {name: set() for name in zone.vms}
    for one, other in combinations(zone.vms, 2):
        if context.rng.random() * _PERCENT < percent:
            links[one].add(other)
            links[other].add(one)
    context.links = links


@then(
    'a report reaches at least {percent:d} % of them by {share:g} messages each'
)
def check_reach(context: Context, percent: int, share: float) -> None:
    """Spread reports as nodes do, and average over them."""
    reached = 0
    sent = 0
    for _ in range(_REPORTS):
        known = {context.zone.ranked[0]}
        news = [context.zone.ranked[0]]
        for sender in news:
            links = sorted(context.links[sender])
            if len(news) > 1:
                duty = context.zone.duty_of(sender)
                count = min(len(links), duty.relay_count(len(links)))
                links = context.rng.sample(links, count)
            sent += len(links)
            news.extend(each for each in links if each not in known)
            known.update(links)
        reached += len(known)
    everybody = _REPORTS * len(context.links)
    assert reached * _PERCENT >= percent * everybody, reached / everybody
    assert sent <= share * everybody, sent / everybody
