"""Steps that compare the outcomes callers received with the upstreams' runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then, when
from gevent.pool import Pool

from features.steps.fleet_steps import node_at
from standins.fleet import call

if TYPE_CHECKING:
    from behave.runner import Context

_CONCURRENCY = 6
_DEADLINE_HEADERS = {'X-Deadline-Ms': '2000'}


@when('all upstreams but the first refuse work')
def shed_others(context: Context) -> None:
    """Make all other upstreams refuse work."""
    for upstream in list(context.fleet.upstreams)[1:]:
        context.fleet.set_behaviour(upstream, shed=True)


@when('callers send {count:d} distinct lookups to node {position:d}')
def send_distinct(context: Context, count: int, position: int) -> None:
    """Send lookups with distinct paths, to match them with the records."""
    node = context.fleet.nodes[node_at(context, position)]

    def send(path: str) -> tuple[str, int, str]:
        reply = call(node.caller_port, 'GET', path, headers=_DEADLINE_HEADERS)
        return path, reply.status, reply.headers['x-outcome']

    paths = [f'/cultivars/distinct-{number}' for number in range(count)]
    context.reported = Pool(_CONCURRENCY).map(send, paths)


@then('no lookup that ran was reported as not run')
def check_reported(context: Context) -> None:
    """Compare the answers with the upstreams' records."""
    ran = {each['path'] for each in context.fleet.executed_work()}
    wrong = [
        each
        for each in context.reported
        if each[0] in ran and each[2] == 'not-run'
    ]
    assert not wrong, wrong


@then('some lookups ran and failed')
def check_failed(context: Context) -> None:
    """Check that a lookup ran whose answer was not a success."""
    ran = {each['path'] for each in context.fleet.executed_work()}
    assert any(
        path in ran and status != 200 for path, status, _ in context.reported
    ), context.reported


@then('the first run of "{path}" is recorded as "{state}"')
def check_first_run(context: Context, path: str, state: str) -> None:
    """Check the earliest record of a path."""
    runs = [
        each for each in context.fleet.executed_work() if each['path'] == path
    ]
    first = min(runs, key=lambda each: each['started_at'])
    assert first['state'] == state, runs
