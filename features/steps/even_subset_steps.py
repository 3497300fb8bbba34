"""Steps about subsets that are dealt evenly over zones and regions."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from jackdawhead.policy.even_subset import EvenSubset
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.subset_rule import EntryPlaces

if TYPE_CHECKING:
    from behave.runner import Context

_ZONES: Final = 6
_REGIONS: Final = {f'zone-{each}': f'region-{each % 3}' for each in range(6)}
_SIZE: Final = 30
_NO_HOMES: Final[frozenset[str]] = frozenset()

Subsets = dict[str, frozenset[str]]


@given('{count:d} VMs in six zones of three regions, with even subsets')
def place_vms(context: Context, count: int) -> None:
    """Distribute the VMs, each with an entry and an upstream."""
    context.vms = {
        f'10-{each % _ZONES}-0-{each}': f'zone-{each % _ZONES}'
        for each in range(count)
    }
    context.even = subsets(context.vms, _NO_HOMES)


def members_of(vms: dict[str, str]) -> tuple[Member, ...]:
    """Return the upstreams on some VMs."""
    return tuple(Member(f'{vm}/s', zone, vm) for vm, zone in vms.items())


def subsets(
    vms: dict[str, str],
    unreachable: frozenset[str],
    entries: dict[str, str] | None = None,
) -> Subsets:
    """Return the upstreams that each entry uses.

    :param unreachable: homes that cannot be dialled.
    :param entries: entries with their zones, by default those on all VMs.
    """
    entries = entries or vms
    members = members_of(vms)
    found = {}
    for entry, zone in entries.items():
        rule = EvenSubset(entry, zone)
        rule.replace_entries(EntryPlaces(entries, _REGIONS))
        chosen = rule.choose(members, _SIZE, unreachable)
        found[entry] = frozenset(each.name for each in chosen)
    return found


def lost_vms(context: Context, place: str) -> frozenset[str]:
    """Return the VMs of a zone or a region."""
    return frozenset(
        vm
        for vm, zone in context.vms.items()
        if place in {zone, _REGIONS[zone]}
    )


@when('the VMs of "{place}" leave the list')
def remove_vms(context: Context, place: str) -> None:
    """Remove the VMs of a zone or a region."""
    lost = lost_vms(context, place)
    context.vms = {
        vm: zone for vm, zone in context.vms.items() if vm not in lost
    }
    context.even = subsets(context.vms, _NO_HOMES)


@when('the VMs of "{place}" cannot be dialled')
def cut_vms(context: Context, place: str) -> None:
    """Compute the subsets of all others while they list the lost ones."""
    lost = lost_vms(context, place)
    entries = {vm: zone for vm, zone in context.vms.items() if vm not in lost}
    context.even = subsets(context.vms, lost, entries)
    context.vms = entries


@then('the busiest upstream is in at most {factor:g} times the mean number')
def check_even(context: Context, factor: float) -> None:
    """Compare the number of subsets of the busiest upstream with a limit."""
    counts = Counter(name for used in context.even.values() for name in used)
    assert counts.keys() == {f'{vm}/s' for vm in context.vms}
    mean = counts.total() / len(context.vms)
    assert max(counts.values()) <= factor * mean, (max(counts.values()), mean)


@then('each entry uses {near:d} upstreams of its region and {far:d} others')
def check_regions(context: Context, near: int, far: int) -> None:
    """Count the upstreams of each subset by region."""
    for entry, zone in context.vms.items():
        counts = Counter(
            _REGIONS[context.vms[name.partition('/')[0]]] == _REGIONS[zone]
            for name in context.even[entry]
        )
        assert (counts[True], counts[False]) == (near, far), (entry, counts)


@then('each entry uses the upstream on its own VM')
def check_own(context: Context) -> None:
    """Check that no entry leaves out the nearest upstream."""
    for entry, used in context.even.items():
        assert f'{entry}/s' in used, entry


@then(
    'a VM that leaves or joins changes {mean:g} upstreams a subset on average,'
    ' and {most:d} at most'
)
def check_moves(context: Context, mean: float, most: int) -> None:
    """Compare the subsets with and without each of some VMs."""
    moves = []
    for gone in tuple(context.vms)[:: len(context.vms) // 10]:
        left = {vm: zone for vm, zone in context.vms.items() if vm != gone}
        after = subsets(left, _NO_HOMES)
        moves.extend(len(after[each] - context.even[each]) for each in left)
    assert sum(moves) / len(moves) <= mean, sum(moves) / len(moves)
    assert max(moves) <= most, max(moves)
