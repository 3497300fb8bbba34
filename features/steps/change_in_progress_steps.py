"""Steps that change what a fleet follows while requests are in progress."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import gevent
from behave import when

from features.steps.elsewhere_steps import states, upstream_of
from standins.fleet import (
    config_files,
    read_json,
    send_poison_request,
    wait_until,
)
from standins.sites import HELVETIA

if TYPE_CHECKING:
    from behave.runner import Context

# Time in which a home notices that its upstream drains.
_DRAIN_S: Final = 0.2


@when('the settings of {vm} are changed')
def change_settings(context: Context, vm: str) -> None:
    """Add a file to the settings, with other times of a stop."""
    folder = context.fleet.folder / f'{vm}-settings'
    text = json.dumps({'drain_ms': 1, 'service': 'registry-desk'})
    (folder / '20-changed.yaml').write_text(text)


@when('process {vm} and its upstream are no longer listed')
def remove_vm(context: Context, vm: str) -> None:
    """Publish a VM list without a VM, and wait until all nodes know."""
    fleet = context.fleet
    vms = fleet.vm_list(fleet.published_stream_port)
    fleet.publish('vms', [each for each in vms if each['name'] != vm])
    wait_until(
        lambda: (
            not any(
                read_json(node.admin_port, '/status')['upstreams']
                for node in fleet.nodes.values()
            )
        ),
        'no home with an upstream',
    )


@when('the upstream that runs "{key}" drains and exits')
def leave_unfinished(context: Context, key: str) -> None:
    """Let an upstream refuse new work, then end with work in progress."""
    upstream = upstream_of(context, key)
    context.fleet.set_behaviour(upstream, draining=True, restart_ms=1500)
    gevent.sleep(_DRAIN_S)
    context.fleet.set_behaviour(upstream, draining=False)
    send_poison_request(context.fleet.upstreams[upstream].port)


@when('the upstreams lose the answers of "{key}"')
def lose_answers(context: Context, key: str) -> None:
    """Lose the answer to the first run of a request, not to the next."""
    for upstream in context.fleet.upstreams:
        context.fleet.set_behaviour(upstream, lose_share=1)
    wait_until(lambda: len(states(context, key)) > 1, 'a second run')
    for upstream in context.fleet.upstreams:
        context.fleet.set_behaviour(upstream, lose_share=0)


@when('the operators publish the site with "{old}" changed to "{new}"')
def publish_changed(context: Context, old: str, new: str) -> None:
    """Publish the site's files with one text replaced in all of them."""
    files = config_files(HELVETIA.folder)
    changed = {name: text.replace(old, new) for name, text in files.items()}
    assert changed != files
    reply = context.fleet.publish('config', changed)
    context.version = json.loads(reply.body)['version']


@when('the new configuration is in force everywhere')
def await_configuration(context: Context) -> None:
    """Wait until all nodes follow the latest configuration."""
    wait_until(
        lambda: all(
            read_json(node.admin_port, '/status')['config_version']
            == context.version
            for node in context.fleet.nodes.values()
        ),
        f'configuration {context.version}',
    )
