"""Steps about homes that an entry cannot reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from features.steps.fleet_steps import new_fleet, site_of, start_relay
from jackdawhead.policy.tried_upstreams import TriedUpstreams
from jackdawhead.reasons import Reason

if TYPE_CHECKING:
    from behave.runner import Context


@given(
    'a fleet of {count:d} nodes in front of "{service_name}", of which nodes '
    '{first:d} to {last:d} are cut off'
)
def start_cut_off(
    context: Context, count: int, service_name: str, first: int, last: int
) -> None:
    """Start a fleet; connections to some nodes open but carry nothing."""
    fleet = new_fleet(context)
    site, service = site_of(service_name)
    placements = site.placements(service)[:count]
    fleet.start_platform()
    fleet.start_service(service, placements)
    for vm in list(fleet.nodes)[first - 1 : last]:
        relay = start_relay(context, fleet.nodes[vm].stream_port)
        relay.cut_forward()
        fleet.published_stream_ports[vm] = relay.port
    fleet.publish_vms()
    fleet.publish_config(site.folder)
    fleet.await_ready()


@given('a request that may go to "{first}", "{second}" and "{third}"')
def make_request(context: Context, first: str, second: str, third: str) -> None:
    """Create a request that was sent nowhere."""
    context.names = {first, second, third}
    context.tried = TriedUpstreams(set())


@when(
    'the home of "{name}" cannot be reached, and only that of "{linked}" has a'
    ' link'
)
def note_unreachable(context: Context, name: str, linked: str) -> None:
    """Record an attempt at a home that could not be dialled."""
    context.tried.note_sent(name)
    context.tried.note_unreachable(
        {each: each == linked for each in context.names}
    )


@when('it was sent to "{name}"')
def note_sent(context: Context, name: str) -> None:
    """Record another attempt."""
    context.tried.note_sent(name)


@then('it may go to "{name}" next')
def check_next(context: Context, name: str) -> None:
    """Compare the upstreams that are not excluded."""
    assert context.names - context.tried.excluded == {name}


@when('the home of "{name}" refuses it as busy')
def note_busy(context: Context, name: str) -> None:
    """Record a refusal of a service whose requests do not return by default."""
    context.tried.note_refused(name, Reason.BUSY, may_return=False)
