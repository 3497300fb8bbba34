"""Steps that change the settings of a running node."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Final

import gevent
from behave import then, when

from features.steps.fleet_steps import node_at
from standins.fleet import wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_LIBRARIES: Final = 'site-packages'
_POLL_INTERVAL_S: Final = 0.005


@when('node {number:d} gets SIGHUP')
def hang_up(context: Context, number: int) -> None:
    """Send SIGHUP, which ends a process that does not handle it."""
    node = context.fleet.nodes[node_at(context, number)]
    node.process.send_signal(signal.SIGHUP)


@when(
    'node {number:d} is started again and gets SIGHUP while it loads its'
    ' libraries'
)
def hang_up_at_start(context: Context, number: int) -> None:
    """Send SIGHUP once the first library of the project is loaded."""
    node = context.fleet.restart_node(node_at(context, number))
    maps = Path(f'/proc/{node.process.pid}/maps')
    while _LIBRARIES not in maps.read_text():
        gevent.sleep(_POLL_INTERVAL_S)
    node.process.send_signal(signal.SIGHUP)


@when('the registrations in progress have ended')
def await_registrations(context: Context) -> None:
    """Wait for the answers of registrations that were sent before."""
    gevent.joinall(context.senders)


@then('node {number:d} becomes ready')
def check_becomes_ready(context: Context, number: int) -> None:
    """Wait until the node is ready; fail at once if it has ended."""
    context.fleet.await_ready([node_at(context, number)])


@when('the settings of node {number:d} name the service "{service}"')
def change_service(context: Context, number: int, service: str) -> None:
    """Add a file to the settings folder without sending a signal."""
    folder = context.fleet.folder / f'{node_at(context, number)}-settings'
    (folder / '20-service.yaml').write_text(json.dumps({'service': service}))


@then('node {number:d} records "{kind}" with "{cause}"')
def check_recorded(
    context: Context, number: int, kind: str, cause: str
) -> None:
    """Wait for a record of a kind whose cause contains a text."""
    vm = node_at(context, number)

    def is_recorded() -> bool:
        assert context.fleet.nodes[vm].process.poll() is None
        return any(
            each['kind'] == kind and cause in each['cause']
            for each in context.fleet.audit(vm)
        )

    wait_until(is_recorded, f'{kind} with {cause}')
