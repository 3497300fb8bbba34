"""Steps about the distribution of configurations."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import gevent
from behave import then, when

from features.steps.fleet_steps import node_at
from standins.fleet import config_files, read_json, wait_until
from standins.sites import HELVETIA

if TYPE_CHECKING:
    from behave.runner import Context

_ROUTE = """
routes:
  route-{number}:
    service: registry-desk
    operation: lookup
    method: GET
    path_prefix: /new-{number}
"""


def own_files() -> dict[str, str]:
    """Return the configuration files of the site."""
    return config_files(HELVETIA.folder)


def site_files(number: int) -> dict[str, str]:
    """Return the configuration files of the site and a new route."""
    files = own_files()
    files['80-new.yaml'] = _ROUTE.format(number=number)
    return files


def statuses(context: Context) -> list[dict[str, Any]]:
    """Return the status of all nodes."""
    return [
        read_json(node.admin_port, '/status')
        for node in context.fleet.nodes.values()
    ]


@when('the operators publish version {version:d} with a new route')
def publish_route(context: Context, version: int) -> None:
    """Publish a configuration with an additional route."""
    reply = context.fleet.publish('config', site_files(version))
    assert str(version) in reply.body.decode(), reply


@when('the operators publish version {version:d} with "{text}" added')
def publish_added(context: Context, version: int, text: str) -> None:
    """Publish a configuration with an additional file."""
    files = {**own_files(), '90-added.yaml': text}
    reply = context.fleet.publish('config', files)
    assert str(version) in reply.body.decode(), reply


@when(
    'the operators publish version {version:d} with a longer deadline for '
    'lookups'
)
def publish_deadline(context: Context, version: int) -> None:
    """Publish a configuration with one setting changed."""
    files = own_files()
    name = next(each for each in files if 'registry-desk' in each)
    changed = files[name].replace('deadline_ms: 2000', 'deadline_ms: 2500')
    assert changed != files[name]
    files[name] = changed
    reply = context.fleet.publish('config', files)
    assert str(version) in reply.body.decode(), reply


@then('the nodes report {count:d} running requests')
def check_running(context: Context, count: int) -> None:
    """Compare the sum of the slots in use at all homes."""
    running = [
        upstream['running']
        for status in statuses(context)
        for upstream in status['upstreams']
    ]
    assert sum(running) == count, running


@then('node {position:d} reports an upstream as ejected or on trial')
def check_still_ejected(context: Context, position: int) -> None:
    """Check the health states of the main service at a node."""
    status = statuses(context)[position - 1]
    service = next(
        each
        for each in status['services']
        if each['service'] == 'registry-desk'
    )
    assert service['ejected'] + service['trial'], status


@when('two operators publish at the same time')
def publish_race(context: Context) -> None:
    """Publish two configurations based on the same version."""
    race = [
        gevent.spawn(
            context.fleet.publish,
            'config',
            site_files(number),
            expected_version=1,
        )
        for number in (1, 2)
    ]
    gevent.joinall(race)
    both = sorted(each.value.status for each in race)
    assert both == [200, 409], both


@then('all nodes follow configuration {version:d} within {seconds:d} s')
def check_all_follow(context: Context, version: int, seconds: int) -> None:
    """Wait until a version is active on all nodes."""
    wait_until(
        lambda: all(
            each['config_version'] == version for each in statuses(context)
        ),
        f'version {version}',
        seconds,
    )


@when('the platform publishes the list {text}')
def publish_list(context: Context, text: str) -> None:
    """Publish any value as the VM list."""
    context.fleet.publish('vms', json.loads(text))


@then('all nodes still know {count:d} upstreams')
def check_members(context: Context, count: int) -> None:
    """Compare the number of members of the main service."""
    for status in statuses(context):
        members = {
            each['service']: each['members'] for each in status['services']
        }
        assert members['registry-desk'] == count, status


@then('all nodes have the same digest')
def check_digest(context: Context) -> None:
    """Check that all nodes report the same configuration digest."""
    digests = {each['config_digest'] for each in statuses(context)}
    assert len(digests) == 1, digests


@then('the platform was read at most {count:d} times')
def check_reads(context: Context, count: int) -> None:
    """Compare the number of platform reads with a limit."""
    reads = read_json(context.fleet.platform_port, '/_control/reads')
    assert sum(reads.values()) <= count, reads


@when('the platform serves only version 1')
def serve_stale(context: Context) -> None:
    """Publish version 1 again, as a platform restored from a backup would."""
    files = own_files()
    context.fleet.publish('config', files, version=1)
    context.fleet.set_platform_mode('stale')


@when('the platform goes down')
def stop_platform(context: Context) -> None:
    """Make the platform answer with errors."""
    context.fleet.set_platform_mode('down')


def restart(context: Context, vm: str, **extra: Any) -> None:
    """Stop a node and start it again with the same addresses."""
    if context.fleet.nodes[vm].process.poll() is None:
        context.fleet.stop_node(vm)
    context.fleet.restart_node(vm, **extra)


@when('node {position:d} is restarted')
def restart_node(context: Context, position: int) -> None:
    """Restart a node and wait until it is ready."""
    vm = node_at(context, position)
    restart(context, vm)
    context.fleet.await_ready([vm])


@when('node {position:d} is restarted with a seed')
def restart_with_seed(context: Context, position: int) -> None:
    """Restart a node with the address of another node as seed."""
    vm = node_at(context, position)
    seed = next(node for node in context.fleet.nodes.values() if node.vm != vm)
    restart(context, vm, seed_addresses=[f'127.0.0.1:{seed.stream_port}'])


@then('node {position:d} is ready within {seconds:d} s')
def check_ready_within(context: Context, position: int, seconds: int) -> None:
    """Wait until a node is ready."""
    node = context.fleet.nodes[node_at(context, position)]
    wait_until(lambda: is_ready(node.admin_port), 'ready', seconds)


def is_ready(admin_port: int) -> bool:
    """Return whether a node reports that it is ready."""
    try:
        return bool(read_json(admin_port, '/readyz')['ready'])
    except OSError:
        return False


@then('all nodes record "{kind}" in their audit trail')
def check_all_audit(context: Context, kind: str) -> None:
    """Wait until all audit trails have a record of a kind."""
    wait_until(
        lambda: all(
            any(each['kind'] == kind for each in context.fleet.audit(vm))
            for vm in context.fleet.nodes
        ),
        f'{kind} everywhere',
    )
