"""Upstreams that only an older copy of the platform's data names as ready.

Load pattern: the platform comes back from a copy some seconds old. Upstreams
that have left or started to drain since are ready in that copy, and stay so
until they report again or their entries expire. Work that is sent to them is
lost, or reaches an upstream that should finish.

An upstream that was not ready before the return is therefore not used until its
entry has outlived the time in which it expires without a report. An entry that
is no longer ready, or is gone, proves the opposite.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..blackboard import Vm, VmList


class UnprovenUpstreams:
    """Upstreams that are held out of use after the platform's return."""

    def __init__(self) -> None:
        # Monotonic time in milliseconds until which each is held.
        self._held_until_ms: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of upstreams held."""
        return len(self._held_until_ms)

    def begin(self, used: VmList, listed: VmList, until_ms: float) -> int:
        """Hold the upstreams that were not ready before the return.

        :param used: list before the return, without those held then.
        :param listed: first list after it.
        :param until_ms: monotonic time from which on an entry that is still
            listed was written by a live upstream.
        :returns: number of upstreams held.
        """
        unproven = _ready_upstreams(listed) - _ready_upstreams(used)
        self._held_until_ms = dict.fromkeys(unproven, until_ms)
        return len(unproven)

    def apply_to(self, listed: VmList, now_ms: float) -> VmList:
        """Return a list in which the held upstreams are leaving.

        :param listed: list as the platform gives it.
        :param now_ms: monotonic time.
        """
        if not self._held_until_ms:
            return listed
        ready = _ready_upstreams(listed)
        self._held_until_ms = {
            upstream: until_ms
            for upstream, until_ms in self._held_until_ms.items()
            if upstream in ready and now_ms < until_ms
        }
        names = {each.partition('/')[0] for each in self._held_until_ms}
        held = {name: self._without_held(listed.vms[name]) for name in names}
        return replace(listed, vms={**listed.vms, **held})

    def _without_held(self, vm: Vm) -> Vm:
        leaving = {
            service: replace(vm.upstream_details(service), leaving=True)
            for service in vm.upstream_ports
            if vm.upstream_id(service) in self._held_until_ms
        }
        return replace(vm, details={**vm.details, **leaving})


def _ready_upstreams(vm_list: VmList) -> set[str]:
    return {
        vm.upstream_id(service)
        for vm in vm_list.vms.values()
        if not vm.leaving
        for service in vm.upstream_ports
        if not vm.upstream_details(service).leaving
    }


__all__ = ('UnprovenUpstreams',)
