"""Steps for entries that are valid but absurd."""

from __future__ import annotations

import json
from random import Random
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from features.steps.platform_steps import (
    config_document,
    read_source,
    upstream_entry,
)
from features.steps.tolerant_steps import ConfigNode
from jackdawhead.audit import AuditTrail
from jackdawhead.node.home.controller import HomeController
from jackdawhead.node.membership import MembershipController
from jackdawhead.node.trace_recorder import TraceRecorder
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.wire.messages import UpstreamStatus
from standins.fleet import wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_VM: Final = 'vm-1'


@when('the entry of "{instance}" is written with "{field}" as {text}')
def write_entry(context: Context, instance: str, field: str, text: str) -> None:
    """Write an entry with one field changed."""
    entry = upstream_entry(1, **{field: json.loads(text)})
    context.store.put(f'servers/{instance}', entry)


@when('an entry of "{service}" on 10.1.0.1 with "{field}" as {text} is written')
def write_other(context: Context, service: str, field: str, text: str) -> None:
    """Write a later entry of another service at the address of a VM."""
    changes = {
        'service': service,
        'address': '10.1.0.1:9999',
        'born': upstream_entry(1)['born'] + 1,
    }
    changes[field] = json.loads(text)
    context.store.put('servers/other', upstream_entry(1, **changes))


@when('the source is read until an upstream is leaving')
def read_until_leaving(context: Context) -> None:
    """Read until the list has an upstream that is leaving."""

    def is_leaving() -> bool:
        read_source(context)
        return any(
            each['leaving']
            for vm in context.known['vms'].content
            for each in vm['details'].values()
        )

    wait_until(is_leaving, 'an upstream is leaving')


def vm_at(context: Context, ip: str) -> dict[str, Any]:
    """Return the VM at an address."""
    found: dict[str, Any] = next(
        vm for vm in context.known['vms'].content if vm['ip'] == ip
    )
    return found


@then('the upstream at {ip} is "{instance}"')
def check_instance(context: Context, ip: str, instance: str) -> None:
    """Check which entry the list took for an address."""
    assert vm_at(context, ip)['details']['desk']['instance'] == instance


@then('the VM {ip} is in zone "{zone}" with {count:d} upstream')
def check_vm(context: Context, ip: str, zone: str, count: int) -> None:
    """Check zone and upstreams of a VM."""
    vm = vm_at(context, ip)
    assert (vm['zone'], len(vm['upstream_ports'])) == (zone, count), vm


@given('a home whose upstream accepts 330 connections')
def start_home(context: Context) -> None:
    """Start a home and an entry with the platform's configuration."""
    node = ConfigNode()
    node.publish(7, config_document())
    context.membership = MembershipController(node.board, AuditTrail())
    settings: Any = None
    context.home = HomeController(
        _VM,
        node.board,
        AuditTrail(),
        Random(1),
        TraceRecorder(settings, node.board),
        lambda upstream, draining: None,
        lambda status: None,
    )
    service = node.loaded.config.services['desk']
    context.router = ServiceRouter(service, 'a', Random(1))
    context.version = 0


@when('the list gives its upstream {slots:d} slots')
def list_slots(context: Context, slots: int) -> None:
    """Publish a list with the given slots."""
    context.version += 1
    vm = {
        'name': _VM,
        'zone': 'a',
        'ip': '127.0.0.1',
        'stream_port': 7000,
        'upstream_ports': {'desk': 8145},
        'details': {'desk': {'instance': f'i-{slots}', 'slots': slots}},
    }
    context.membership.offer(context.version, json.dumps([vm]))
    name = f'{_VM}/i-{slots}.0/desk'
    context.router.replace_members((Member(name, 'a', _VM, slots),))
    free = context.home.find(name).spec.service.slots_per_upstream
    status = UpstreamStatus(name, 'unused', 0, free, 1, 0, 0, 0, 0, 0, 0, False)
    context.router.note_status(status, 0)


@then('the home uses {slots:d} slots, and so do the entries')
def check_slots(context: Context, slots: int) -> None:
    """Check the slots at the home and at an entry."""
    specs = [each.spec for each in context.home.all()]
    assert [each.service.slots_per_upstream for each in specs] == [slots]
    reports = [each.report for each in context.router.loads]
    assert [(each.slots, each.free) for each in reports] == [(slots, slots)]
