"""Steps about the subset of a service that an entry uses."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from behave import given, then, when

from features.steps.fleet_steps import new_fleet, start_fleet
from features.steps.spread_steps import statuses
from jackdawhead.blackboard import Vm, VmList
from jackdawhead.policy.homes import HomeMap
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.subset import RendezvousSubset
from standins.fleet import wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_LINK_IDLE_MS = 1500
_SERVICE = 'registry-desk'
_NO_HOMES: frozenset[str] = frozenset()

Subsets = dict[str, set[str]]


@given(
    'a fleet of {count:d} nodes in front of "{service}" that closes idle links'
)
def start_with_short_idle(context: Context, count: int, service: str) -> None:
    """Start a fleet with a short idle timeout for links."""
    fleet = new_fleet(context, link_idle_ms=_LINK_IDLE_MS)
    start_fleet(fleet, service, count)


def used_counts(context: Context) -> list[int]:
    """Return how many upstreams of the main service each node uses."""
    return [
        each['used']
        for status in statuses(context)
        for each in status['services']
        if each['service'] == _SERVICE
    ]


@then('some node uses {count:d} upstreams')
def check_some_use(context: Context, count: int) -> None:
    """Compare the size of the largest subset."""
    assert max(used_counts(context)) == count, used_counts(context)


@then('no node uses more than {count:d} upstreams')
def check_no_more_used(context: Context, count: int) -> None:
    """Compare the size of the largest subset with a limit."""
    assert max(used_counts(context)) <= count, used_counts(context)


@then('no node keeps more than {count:d} dialled links')
def check_links(context: Context, count: int) -> None:
    """Wait until idle links are closed."""
    wait_until(
        lambda: all(
            each['dialled_links'] <= count for each in statuses(context)
        ),
        f'at most {count} links',
    )


@then('no node leaves a home out any more within {seconds:d} s')
def check_none_excluded(context: Context, seconds: int) -> None:
    """Wait until each home that a node left out is used again."""
    wait_until(
        lambda: not _excluded_homes(context),
        'homes used again',
        seconds,
    )


def _excluded_homes(context: Context) -> set[tuple[str, str]]:
    """Return the homes that nodes leave out, each with the node."""
    excluded = set()
    for node in context.fleet.nodes:
        for record in context.fleet.audit(node):
            pair = (node, record['subject'])
            if record['kind'] == 'home-excluded':
                excluded.add(pair)
            elif record['kind'] == 'home-included':
                excluded.discard(pair)
    return excluded


@given(
    '{entries:d} entries in {zones:d} zones before {upstreams:d} upstreams, '
    'each using {size:d}'
)
def place_entries(
    context: Context,
    entries: int,
    zones: int,
    upstreams: int,
    size: int,
) -> None:
    """Distribute entries and upstreams over the zones."""
    context.size = size
    context.zones = {
        f'entry-{number}': f'zone-{number % zones}' for number in range(entries)
    }
    context.members = tuple(
        Member(f'vm-{number}/s', f'zone-{number % zones}', f'vm-{number}')
        for number in range(upstreams)
    )
    context.subsets = subsets(context, _NO_HOMES)


def subsets(context: Context, lost: frozenset[str]) -> Subsets:
    """Return the upstreams that each entry uses.

    :param lost: homes that cannot be dialled.
    """
    return {
        entry: {
            member.name
            for member in RendezvousSubset(entry, zone).choose(
                context.members, context.size, lost
            )
        }
        for entry, zone in context.zones.items()
    }


def zone_counts(context: Context, entry: str) -> Counter[str]:
    """Return how many upstreams of each zone an entry uses."""
    used = context.subsets[entry]
    return Counter(each.zone for each in context.members if each.name in used)


@then('each entry uses {size:d} upstreams, {local:d} of them in its zone')
def check_zones(context: Context, size: int, local: int) -> None:
    """Compare the size of each subset and its share in the own zone."""
    for entry, zone in context.zones.items():
        counts = zone_counts(context, entry)
        assert counts.total() == size, counts
        assert counts[zone] == local, counts


@then('each entry uses {size:d} upstreams, none of them in zone {number:d}')
def check_not_in_zone(context: Context, size: int, number: int) -> None:
    """Compare the size of each subset; check that a zone is absent."""
    for entry in context.zones:
        counts = zone_counts(context, entry)
        assert counts.total() == size, counts
        assert not counts[f'zone-{number}'], counts


@then('each upstream is used by {least:d} to {most:d} entries')
def check_entry_counts(context: Context, least: int, most: int) -> None:
    """Compare the number of entries of each upstream with limits."""
    users = Counter(name for used in context.subsets.values() for name in used)
    assert len(users) == len(context.members)
    assert least <= min(users.values()), min(users.values())
    assert max(users.values()) <= most, max(users.values())


@when('an upstream leaves')
def remove_upstream(context: Context) -> None:
    """Remove the first upstream from the list."""
    context.gone = context.members[0].name
    context.members = context.members[1:]


@then('only the entries that used it change, by one upstream each')
def check_changed_subsets(context: Context) -> None:
    """Compare the subsets before and after."""
    after = subsets(context, _NO_HOMES)
    for entry, before in context.subsets.items():
        if context.gone in before:
            assert before - after[entry] == {context.gone}
            assert len(after[entry]) == len(before)
        else:
            assert after[entry] == before


@when('the homes of zone {number:d} cannot be dialled')
def lose_zone(context: Context, number: int) -> None:
    """Recompute the subsets with the homes of a zone unreachable."""
    zone = f'zone-{number}'
    lost = frozenset(each.home for each in context.members if each.zone == zone)
    context.subsets = subsets(context, lost)


@when('the homes of all zones cannot be dialled')
def lose_all(context: Context) -> None:
    """Recompute the subsets with all homes unreachable."""
    lost = frozenset(each.home for each in context.members)
    context.subsets = subsets(context, lost)


@given('{nodes:d} nodes and {vms:d} VMs without a node in one zone')
def place_vms(context: Context, nodes: int, vms: int) -> None:
    """Create a list of nodes and of VMs that run only upstreams."""
    listed = [listed_vm(f'node-{number}', 1) for number in range(nodes)]
    listed += [listed_vm(f'vm-{number}', 0) for number in range(vms)]
    context.listed = {vm.name: vm for vm in listed}
    context.homes = homes(context)


def listed_vm(name: str, stream_port: int) -> Vm:
    """Return a VM in the only zone."""
    return Vm(name, 'zone', '127.0.0.1', False, stream_port, {'s': 1})


def homes(context: Context) -> dict[str, str]:
    """Return the home of each VM."""
    home_map = HomeMap(VmList(1, context.listed))
    return {name: home_map.home_of(vm) for name, vm in context.listed.items()}


@then('each node owns {least:d} to {most:d} upstreams')
def check_owned(context: Context, least: int, most: int) -> None:
    """Compare the number of upstreams of each home with limits."""
    owned = Counter(context.homes.values())
    assert least <= min(owned.values()), owned
    assert max(owned.values()) <= most, owned


@when('a node leaves')
def remove_node(context: Context) -> None:
    """Remove the first node from the list."""
    context.gone = next(iter(context.listed))
    context.listed.pop(context.gone)


@then('only the upstreams of that node have another home')
def check_changed_homes(context: Context) -> None:
    """Compare the homes before and after."""
    for name, home in homes(context).items():
        if context.homes[name] == context.gone:
            assert home != context.gone
        else:
            assert home == context.homes[name]
