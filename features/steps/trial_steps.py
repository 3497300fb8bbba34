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
    """Detector stub by which each upstream is on trial."""

    def health(self, upstream: str, operation: str) -> Health:
        """Return ``TRIAL`` for all upstreams."""
        return Health.TRIAL


@given('an upstream on trial, of a service with idempotent and other work')
def make_trial(context: Context) -> None:
    """Create the pools of a service with one upstream."""
    context.now_ms = _START_MS
    context.service = desk_service()
    context.pools = Pools('a')
    load = UpstreamLoad('vm/desk', 'a', 'vm', LoadReport(0, 300, 4, 4))
    context.pools.rebuild(context.service, [load], AllOnTrial())


@when('an idempotent request arrives')
def send_idempotent(context: Context) -> None:
    """Offer an idempotent request for a trial."""
    query = RoutingQuery(context.now_ms)
    context.pools.due_trial(context.service, 'again', query)


@when(
    '{number:d} non-idempotent requests, and no others, arrive'
    ' within {length:d} s'
)
def send_non_idempotent(context: Context, number: int, length: int) -> None:
    """Offer non-idempotent requests for a trial, at equal intervals."""
    context.choices = []
    for _ in range(number):
        context.now_ms += length * _MS_PER_S / number
        query = RoutingQuery(context.now_ms)
        context.choices.append(
            context.pools.due_trial(context.service, 'once', query)
        )


@then('at least one of them is sent to the upstream')
def check_any_trial(context: Context) -> None:
    """Check that some request was used for a trial."""
    assert any(context.choices), context.choices


@then('none of them is sent to the upstream')
def check_no_trial(context: Context) -> None:
    """Check that no request was used for a trial."""
    assert not any(context.choices), context.choices
