"""Steps about upstreams on trial after an ejection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.floor_steps import desk_service
from jackdawhead.policy.detection import Health
from jackdawhead.policy.loads import LoadReport, RoutingQuery, UpstreamLoad
from jackdawhead.policy.pools import Pools

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S: Final = 1000
_START_MS: Final = 1_000_000.0


class AllOnTrial:
    """A detector that holds each upstream to be on trial."""

    def health(self, upstream: str, operation: str) -> Health:
        """Return the same for all."""
        return Health.TRIAL


@given('an upstream on trial of a service with repeatable and other work')
def make_trial(context: Context) -> None:
    """Make the pools of a service with one upstream."""
    context.now_ms = _START_MS
    context.service = desk_service()
    context.pools = Pools('a')
    load = UpstreamLoad('vm/desk', 'a', 'vm', LoadReport(0, 300, 4, 4))
    context.pools.rebuild(context.service, [load], AllOnTrial())


@when('a repeatable request comes')
def send_repeatable(context: Context) -> None:
    """Choose for a request that may be sent again."""
    query = RoutingQuery(context.now_ms)
    context.pools.due_trial(context.service, 'again', query)


@when(
    '{number:d} requests that cannot be repeated come in {length:d} s,'
    ' and no other'
)
def send_others(context: Context, number: int, length: int) -> None:
    """Choose for each of them."""
    context.choices = []
    for _ in range(number):
        context.now_ms += length * _MS_PER_S / number
        query = RoutingQuery(context.now_ms)
        context.choices.append(
            context.pools.due_trial(context.service, 'once', query)
        )


@then('one of them tries the upstream')
def check_tried(context: Context) -> None:
    """Look at the choices."""
    assert any(context.choices), context.choices


@then('none of them tries the upstream')
def check_not_tried(context: Context) -> None:
    """Look at the choices."""
    assert not any(context.choices), context.choices
