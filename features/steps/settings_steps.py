"""Steps that change the settings of a running node."""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING

from behave import then, when

from features.steps.fleet_steps import node_at
from standins.fleet import wait_until

if TYPE_CHECKING:
    from behave.runner import Context


@when('node {number:d} gets SIGHUP')
def hang_up(context: Context, number: int) -> None:
    """Send SIGHUP, which ends a process that does not handle it."""
    node = context.fleet.nodes[node_at(context, number)]
    node.process.send_signal(signal.SIGHUP)


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
