"""Steps for a fleet whose store comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from behave import given, when

from features.steps.odd_fleet_steps import entry_beside
from features.steps.reader_loss_steps import leave, publish_moved_route

if TYPE_CHECKING:
    from behave.runner import Context

# The readers learn of what the copy lacks.
_LEARNED_S: Final = 1


@given('the store names its generation')
def name_generation(context: Context) -> None:
    """Name a generation in all answers."""
    context.store.generation = 1


@when('the store comes back from a copy that lacks {count:d} changes')
def lose_changes(context: Context, count: int) -> None:
    """Change an entry some times, and go back."""
    copy = context.store.copy()
    for number in range(count):
        entry = {**entry_beside(context, 1), 'slots': number + 4}
        context.store.put('servers/i-1', entry)
    gevent.sleep(_LEARNED_S)
    context.store.restore(copy)


@when(
    'the store comes back from a copy that lacks {count:d} changes, and a'
    ' version moves "/d/" away from "desk" at once'
)
def lose_changes_at_once(context: Context, count: int) -> None:
    """Publish a version before any call is answered after the return."""
    lose_changes(context, count)
    publish_moved_route(context)


@when('the store is copied, and the upstream of another node leaves the store')
def leave_after_copy(context: Context) -> None:
    """Remove an entry that the copy has."""
    context.copy = context.store.copy()
    leave(context, 0)
    gevent.sleep(_LEARNED_S)


@when('the store no longer answers both of them')
def silence_readers(context: Context) -> None:
    """Hold the answers to both readers back."""
    by_node = dict(zip(context.platform_nodes, context.relays, strict=True))
    for reader in context.readers:
        by_node[reader].cut_backward()


@when('the store comes back from that copy')
def restore(context: Context) -> None:
    """Go back to the copy."""
    context.store.restore(context.copy)
