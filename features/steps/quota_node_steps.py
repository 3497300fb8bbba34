"""Steps about the controllers of quotas, whose links are stand-ins."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when

from features.steps.quota_fleet import WINDOW_MS, rule_bound
from jackdawhead.blackboard import ActiveConfig, Blackboard, Vm, VmList
from jackdawhead.clock import monotonic_ms
from jackdawhead.config.organisation import Organisation
from jackdawhead.node.entry.requests import Refused
from jackdawhead.node.quota_controller import QuotaController
from jackdawhead.outcome import Outcome

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.policy.quota_gate import QuotaMessage

_NAME: Final = 'acme'
# Longer than any wait for credit.
_LEFT_MS: Final = 10_000.0
_DELAY_S: Final = 0.005
# A node that has started grants credit only after the time of a handover.
_START_S: Final = 4.0


class LocalFleet:
    """Controllers that reach each other by delayed calls.

    :param count: number of nodes.
    :param quota: quota and burst of the organisation.
    """

    def __init__(self, count: int, quota: float) -> None:
        self.quota = quota
        self.names = [f'vm-{number}' for number in range(count)]
        self.lost: set[str] = set()
        self.side_of: dict[str, int] = {}
        self.sent = 0
        self.admitted: list[tuple[float, str]] = []
        self.rng = Random(4)
        self.controllers: dict[str, QuotaController] = {}
        self._loops: dict[str, gevent.Greenlet] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node, which forgets what it knew."""
        board = Blackboard()
        controller = QuotaController(name, board)
        controller.send = lambda vm, message: self._send(name, vm, message)
        vms = {
            each: Vm(each, 'a', '127.0.0.1', False, 7000, {})
            for each in self.names
        }
        board.vm_list.write(VmList(1, vms))
        organisation = Organisation(
            _NAME, frozenset(), None, self.quota, self.quota
        )
        config = SimpleNamespace(organisations={_NAME: organisation})
        board.config.write(ActiveConfig(1, SimpleNamespace(config=config)))
        self.controllers[name] = controller
        self._loops[name] = gevent.spawn(controller.run)

    def stop(self, name: str) -> None:
        """End a node."""
        self.lost.add(name)
        self._loops[name].kill()

    def stop_all(self) -> None:
        """End all nodes."""
        gevent.killall(list(self._loops.values()))

    def owners(self) -> list[str]:
        """Return the live nodes that grant the quota."""
        return [
            name
            for name in self.names
            if name not in self.lost
            and any(not use.age_ms for use in self.controllers[name].uses())
        ]

    def send_requests(self, rate_per_s: int, duration_s: int) -> None:
        """Send requests at random nodes and wait for all answers."""
        requests = [
            gevent.spawn_later(
                self.rng.uniform(0, duration_s), self._request, number
            )
            for number in range(rate_per_s * duration_s)
        ]
        gevent.joinall(requests, raise_error=True)

    def _request(self, number: int) -> None:
        name = self.rng.choice(self.names)
        if name in self.lost:
            return
        verdict = self.controllers[name].admit(
            _NAME, f'request-{number}', _LEFT_MS
        )
        if not isinstance(verdict, Refused):
            self.admitted.append((monotonic_ms(), name))

    def _send(self, source: str, target: str, message: QuotaMessage) -> None:
        self.sent += 1
        gevent.spawn_later(_DELAY_S, self._deliver, source, target, message)

    def _deliver(self, source: str, target: str, message: QuotaMessage) -> None:
        if self.side_of.get(source, 0) != self.side_of.get(target, 0):
            return
        if target in self.lost:
            self.controllers[source].note_unreachable(target)
        elif source not in self.lost:
            self.controllers[target].receive(source, message)


@given(
    '{count:d} nodes that know a quota of {quota:d} per second and a burst of '
    '{burst:d}'
)
def local_fleet(context: Context, count: int, quota: int, burst: int) -> None:
    """Start controllers in this process."""
    context.local = LocalFleet(count, quota)
    context.stack.callback(context.local.stop_all)


def _lose_owner(context: Context) -> None:
    context.owner = context.local.owners()[0]
    context.local.stop(context.owner)


def _cut_in_two(context: Context) -> None:
    names = context.local.names
    half = context.local.rng.sample(names, len(names) // 2)
    context.local.side_of = dict.fromkeys(half, 1)


def _start_node(context: Context) -> None:
    context.restarted_at_ms = monotonic_ms()
    context.restarted = context.local.names[0]
    context.local.stop(context.restarted)
    context.local.lost.discard(context.restarted)
    context.local.start(context.restarted)


_EVENTS: Final = {
    'the owner dies': _lose_owner,
    'the fleet is cut in two': _cut_in_two,
    'a node starts anew': _start_node,
}


@when(
    'callers send {rate:d} requests per second for {duration_s:d} s, and after '
    '{after_s:d} s {event}'
)
def flood_with_event(
    context: Context, rate: int, duration_s: int, after_s: int, event: str
) -> None:
    """Send far more than the quota while something happens."""
    gevent.sleep(_START_S)
    failure = gevent.spawn_later(after_s, _EVENTS[event], context)
    context.flood_s = duration_s
    context.local.send_requests(rate, duration_s)
    failure.get()


@when('an entry that reaches nobody gets a request')
def lone_request(context: Context) -> None:
    """Send a request to a node that was cut off."""
    local = context.local
    local.side_of = {local.names[0]: 1}
    began_ms = monotonic_ms()
    context.answer = local.controllers[local.names[0]].admit(
        _NAME, 'lone', _LEFT_MS
    )
    context.took_ms = monotonic_ms() - began_ms


@when('{count:d} requests without organisation, and of an unknown one, come')
def requests_without_quota(context: Context, count: int) -> None:
    """Ask for requests that no quota limits."""
    controller = context.local.controllers[context.local.names[0]]
    context.verdicts = {
        controller.admit(name, 'free', _LEFT_MS)
        for name in ('', 'unknown')
        for _ in range(count)
    }


@then('the quota held, and at least half of it was used')
def check_quota(context: Context) -> None:
    """Compare the fullest window with the rule, and the use with the quota."""
    local = context.local
    times = sorted(at_ms for at_ms, _ in local.admitted)
    most = max(
        sum(start <= each < start + WINDOW_MS for each in times)
        for start in times
    )
    assert most <= rule_bound(local.quota, local.quota), most
    assert len(times) >= local.quota * context.flood_s / 2, len(times)


@then('another of these nodes is the owner now')
def check_owner(context: Context) -> None:
    """Check that one node has taken over."""
    owners = context.local.owners()
    assert len(owners) == 1, owners
    assert owners != [context.owner]


@then('the new node has admitted requests')
def check_new_node(context: Context) -> None:
    """Check that a node is served soon after its start."""
    assert any(
        name == context.restarted and at_ms > context.restarted_at_ms
        for at_ms, name in context.local.admitted
    )


@then(
    'it is refused as not run within {most_ms:d} ms, with a time to come back'
)
def check_lone(context: Context, most_ms: int) -> None:
    """Check the refusal of a node that is cut off."""
    assert isinstance(context.answer, Refused), context.answer
    assert context.answer.outcome is Outcome.NOT_RUN
    assert context.answer.retry_after_ms > 0
    assert context.took_ms <= most_ms, context.took_ms


@then('all of them pass and no message was sent')
def check_free(context: Context) -> None:
    """Check that nothing was limited or said."""
    assert context.verdicts == {None}
    assert not context.local.sent
