"""Steps about two regions, each with its own copy of the platform.

Nodes at odd positions are in region 1, nodes at even positions in region 2.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from behave import given, then, when

from features.steps.fleet_steps import new_fleet, site_of, start_relay
from features.steps.spread_steps import site_files, statuses
from standins.fleet import NodeProcess, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_REGIONS = (0, 1)


@given('two regions of {count:d} nodes in front of "{service_name}"')
def start_regions(context: Context, count: int, service_name: str) -> None:
    """Start two regions that reach each other only via relays."""
    fleet = new_fleet(context)
    site, service = site_of(service_name)
    placements = site.placements(service)[: count * len(_REGIONS)]
    fleet.start_upstreams(
        service.name, placements, service.slots, service.behaviour()
    )
    context.platforms = [fleet.start_platform() for _ in _REGIONS]
    start_nodes(context, placements)
    for region, port in enumerate(context.platforms):
        listed = fleet.vm_list(partial(reachable_port, context, region))
        fleet.publish('vms', listed, port)
        fleet.publish_config(site.folder, port)
    fleet.await_ready()


def start_nodes(context: Context, placements: list[tuple[str, str]]) -> None:
    """Start the nodes of both regions alternately, each with a relay."""
    context.relays = {}
    for position, (vm, zone) in enumerate(placements):
        port = context.platforms[position % len(_REGIONS)]
        context.fleet.start_node(vm, zone, platform_address=f'127.0.0.1:{port}')
        stream_port = context.fleet.nodes[vm].stream_port
        context.relays[vm] = start_relay(context, stream_port)


def region_of(context: Context, vm: str) -> int:
    """Return the region of a node, 0 or 1."""
    return list(context.fleet.nodes).index(vm) % len(_REGIONS)


def reachable_port(context: Context, region: int, node: NodeProcess) -> int:
    """Return the port on which a region reaches a node."""
    if region_of(context, node.vm) == region:
        return node.stream_port
    return int(context.relays[node.vm].port)


@when('all links between the regions are closed')
def await_no_links(context: Context) -> None:
    """Wait until no node has a link to the other region."""
    wait_until(
        lambda: all(
            region_of(context, peer) == region_of(context, status['vm'])
            for status in statuses(context)
            for peer in status['links']
        ),
        'no links between the regions',
    )


@when(
    'the operators publish version {version:d} with a new route '
    'in region {region:d}'
)
def publish_in_region(context: Context, version: int, region: int) -> None:
    """Publish a configuration in one copy of the platform."""
    port = context.platforms[region - 1]
    reply = context.fleet.publish('config', site_files(version), port)
    assert str(version) in reply.body.decode(), reply


@when(
    'the operators publish version {version:d} with a different route '
    'in region {region:d}'
)
def publish_other_in_region(
    context: Context,
    version: int,
    region: int,
) -> None:
    """Publish a different configuration with the same version."""
    port = context.platforms[region - 1]
    reply = context.fleet.publish('config', site_files(version + 1), port)
    assert str(version) in reply.body.decode(), reply


@then('all nodes have the same digest within {seconds:d} s')
def check_digest_within(context: Context, seconds: int) -> None:
    """Wait until the same configuration is active on all nodes."""
    wait_until(
        lambda: len({each['config_digest'] for each in statuses(context)}) == 1,
        'one digest',
        seconds,
    )


@then(
    'the nodes of region {region:d} follow configuration {version:d} '
    'within {seconds:d} s'
)
def check_region_follows(
    context: Context,
    region: int,
    version: int,
    seconds: int,
) -> None:
    """Wait until a version is active on all nodes of a region."""
    wait_until(
        lambda: all(
            status['config_version'] == version
            for status in statuses(context)
            if region_of(context, status['vm']) == region - 1
        ),
        f'version {version} in region {region}',
        seconds,
    )


@then('each node has a link to the other region within {seconds:d} s')
def check_all_linked(context: Context, seconds: int) -> None:
    """Wait until each node has a gossip link to the other region."""
    wait_until(
        lambda: all(
            any(
                region_of(context, peer) != region_of(context, status['vm'])
                for peer in status['links']
            )
            for status in statuses(context)
        ),
        'links between the regions',
        seconds,
    )
