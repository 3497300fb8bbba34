"""Steps about homes of stopping nodes."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when

from features.steps.failure_steps import Registration, register
from features.steps.fleet_steps import new_fleet, node_at, start_fleet
from standins.fleet import read_json, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

    from standins.fleet import NodeProcess

# As the platform's settings give them.
_ACCEPT_MS: Final = 2600
_DRAIN_MS: Final = 5100
_WARM_UP: Final = 30
_EXIT_TIMEOUT_S: Final = 30.0


@dataclass
class _Callers:
    """Registrations sent by a number of callers, each one after the other."""

    port: int
    run_ms: int
    sent_at: dict[str, float] = field(default_factory=dict)
    sent: list[Registration] = field(default_factory=list)
    is_over: bool = False

    def run(self, caller: int) -> None:
        number = 0
        while not self.is_over:
            registration = Registration(f'stop-{caller}-{number}')
            self.sent_at[registration.key] = time.time()
            self.sent.append(registration)
            register(self.port, registration, f'?ms={self.run_ms}')
            number += 1


@given(
    'a fleet with platform stop times of {count:d} nodes and {entries:d} entry'
    ' in front of "{service}"'
)
def start_stopping_fleet(
    context: Context, count: int, entries: int, service: str
) -> None:
    """Start a fleet whose nodes stop as the platform has them stop."""
    fleet = new_fleet(
        context, accept_while_leaving_ms=_ACCEPT_MS, drain_ms=_DRAIN_MS
    )
    start_fleet(fleet, service, count, entries)


@when(
    'node {position:d} is stopped while {count:d} callers keep sending'
    ' registrations of {run_ms:d} ms to node {entry:d}'
)
def stop_under_load(
    context: Context, position: int, count: int, run_ms: int, entry: int
) -> None:
    """Stop a node beside more load than the others can serve."""
    port = context.fleet.nodes[node_at(context, entry)].caller_port
    callers = _Callers(port, run_ms)
    senders = [gevent.spawn(callers.run, number) for number in range(count)]
    wait_until(lambda: len(callers.sent) >= _WARM_UP, 'callers sending')
    node: NodeProcess = context.fleet.nodes[node_at(context, position)]
    node.process.terminate()
    wait_until(
        lambda: read_json(node.admin_port, '/status')['leaving'], 'leaving'
    )
    context.stopping_at = time.time()
    wait_until(lambda: node.process.poll() is not None, 'exit', _EXIT_TIMEOUT_S)
    context.exit_code = node.process.returncode
    callers.is_over = True
    gevent.joinall(senders)
    context.registrations = callers.sent
    context.sent_at = callers.sent_at


@then(
    'upstream {position:d} ran registrations sent after node {node:d} had begun'
    ' to stop'
)
def check_used(context: Context, position: int, node: int) -> None:
    """Count the registrations sent after the stop signal was handled."""
    upstream = list(context.fleet.upstreams)[position - 1]
    keys = {
        each['key']
        for each in context.fleet.executed_work()
        if each['upstream'] == upstream
    }
    late = [
        key for key in keys if context.sent_at.get(key, 0) > context.stopping_at
    ]
    assert late, (len(keys), len(context.registrations))


@then('every registration was run once or truly refused')
def check_true_outcomes(context: Context) -> None:
    """Compare each outcome with the upstreams' records."""
    for each in context.registrations:
        runs = runs_of_all(context).get(each.key, 0)
        assert each.outcome in {'ran', 'not-run'}, each
        assert runs == (each.outcome == 'ran'), (runs, each)


def runs_of_all(context: Context) -> dict[str, int]:
    """Return how often each work key was started, read once."""
    counts: dict[str, int] | None = getattr(context, 'run_counts', None)
    if counts is None:
        counts = {}
        for each in context.fleet.executed_work():
            counts[each['key']] = counts.get(each['key'], 0) + 1
        context.run_counts = counts
    return counts
