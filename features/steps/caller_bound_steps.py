"""Steps about the choice of connections to close."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from jackdawhead.policy.caller_bounds import (
    CallerBounds,
    CallerPhase,
    CallerUse,
    CallerView,
)

if TYPE_CHECKING:
    from behave.runner import Context


@given('callers that may have {connections:d} connections and {size:d} bytes')
def set_bounds(context: Context, connections: int, size: int) -> None:
    """Set bounds for all callers together."""
    context.bounds = CallerBounds(CallerUse(connections, size), 100)


@given(
    'callers that may have {connections:d} connections and {size:d} bytes,'
    ' half for each address'
)
def set_shared_bounds(context: Context, connections: int, size: int) -> None:
    """Set bounds for all callers and for each address."""
    context.bounds = CallerBounds(CallerUse(connections, size), 50)


@when('these connections are open')
def open_connections(context: Context) -> None:
    """Read the connections."""
    context.views = [
        CallerView(
            row['address'],
            CallerPhase(row['phase']),
            float(row['waited']),
            int(row['given']),
            int(row['held']),
        )
        for row in context.table
    ]


@then('these are closed: {positions}')
def check_closed(context: Context, positions: str) -> None:
    """Compare the positions."""
    closed = context.bounds.to_close(context.views)
    found = ', '.join(map(str, closed)) or 'none'
    assert found == positions, found
