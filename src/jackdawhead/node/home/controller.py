"""Manages the upstreams whose slots this node owns."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ...clock import monotonic_ms
from ...config.settings import Address
from ...policy.home_stop import HomeStop
from ...policy.homes import HomeMap
from ...policy.run_result import RunResult
from ..loop_clock import follow_event_loop
from .started_runs import StartedRuns
from .upstream import HomeUpstream
from .upstream_spec import HomeEvents, UpstreamSpec

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import ExitStack
    from random import Random

    from ...audit import AuditTrail
    from ...blackboard import Blackboard, Vm, VmList
    from ...policy.stopping import StopPlan
    from ...policy.upstream_state import FinishedRun
    from ...wire.messages import UpstreamStatus
    from ..trace_recorder import TraceRecorder

_EXPIRE_INTERVAL_S: Final = 0.02


class HomeController:
    """Adds and removes upstreams as the VM list and configuration change.

    :param vm: name of the VM that this node runs on.
    :param board: source of the VM list, the configuration and the planned stop.
    :param audit: audit trail that records changes.
    :param rng: random number generator.
    :param recorder: records finished runs for replay.
    :param on_drain: called when an upstream starts or stops draining.
    :param on_status: called with a report that all entries need at once.

    The attribute ``on_crash`` is called with service, fingerprint and upstream
    when an upstream has crashed with a request in flight.
    """

    def __init__(
        self,
        vm: str,
        board: Blackboard,
        audit: AuditTrail,
        rng: Random,
        recorder: TraceRecorder,
        on_drain: Callable[[str, bool], None],
        on_status: Callable[[UpstreamStatus], None],
    ) -> None:
        self._vm = vm
        self._board = board
        self._audit = audit
        self._rng = rng
        self._recorder = recorder
        self._on_drain = on_drain
        self._on_status = on_status
        self.on_crash: Callable[[str, int, str], None] | None = None
        self._upstreams: dict[str, HomeUpstream] = {}
        self._work_queued = Event()
        self._removed: tuple[HomeUpstream, ...] = ()
        self._stop = HomeStop()
        self._runs = StartedRuns()
        self._has_started = False
        self._owned: tuple[tuple[Vm, str, int], ...] = ()
        board.config.subscribe(lambda _: self._update())
        board.vm_list.subscribe(self._apply_vm_list)
        board.stop.subscribe(self._apply_stop)

    def find(self, upstream: str) -> HomeUpstream | None:
        """Return an upstream of this home, or nothing if there is none.

        :param upstream: identity of the upstream, ``vm/service``.
        """
        return self._upstreams.get(upstream)

    def all(self) -> tuple[HomeUpstream, ...]:
        """Return all upstreams of this home."""
        return tuple(self._upstreams.values())

    @property
    def active_requests(self) -> int:
        """Number of running and queued requests.

        Runs at upstreams that are no longer listed count, too.
        """
        return sum(
            upstream.running + upstream.waiting
            for upstream in (*self.all(), *self._removed)
        )

    def may_have_called(self, deadline_at_ms: float) -> bool:
        """Return whether a request may be a call of work that runs here.

        :param deadline_at_ms: monotonic time at which the request expires.
        """
        return self._runs.may_have_called(deadline_at_ms)

    def run(self) -> None:
        """Refuse queued requests that can't be finished in time, forever."""
        while True:
            self._work_queued.wait()
            gevent.sleep(_EXPIRE_INTERVAL_S)
            for upstream in self.all():
                upstream.expire()
            if not self._has_queued_work():
                self._work_queued.clear()

    def start(self, stack: ExitStack) -> None:
        """Follow the event loop, for the age of running work.

        :param stack: closes all upstreams on exit.
        """
        stack.callback(self._close)
        follow_event_loop(self._board, stack)

    def finish_running(self) -> None:
        """Refuse all work but that which runs, from now on."""
        if not self._stop.finish():
            return
        for upstream in self.all():
            upstream.expire()
        for status in self.refusals():
            self._on_status(status)

    def refusals(self) -> tuple[UpstreamStatus, ...]:
        """Return a report on each upstream if this home refuses all work."""
        if not self._stop.refusing_ms(monotonic_ms()):
            return ()
        return tuple(
            upstream.status(next(iter(upstream.spec.service.operations)))
            for upstream in self.all()
        )

    def _apply_stop(self, plan: StopPlan | None) -> None:
        self._stop.begin(plan)
        if plan is not None and not plan.remaining_ms(monotonic_ms()):
            self._runs.log_cut()

    def _close(self) -> None:
        for upstream in self.all():
            upstream.close()

    def _has_queued_work(self) -> bool:
        return any(upstream.waiting for upstream in self.all())

    def _apply_vm_list(self, vm_list: VmList) -> None:
        self._owned = tuple(HomeMap(vm_list).upstreams_of(self._vm))
        self._update()

    def _update(self) -> None:
        specs = self._specs()
        for name in self._upstreams.keys() - specs.keys():
            self._remove(self._upstreams.pop(name))
        is_new = self._has_started
        for name, spec in specs.items():
            self._apply_spec(name, spec, is_new=is_new)
        self._has_started = self._has_started or bool(specs)

    def _apply_spec(
        self, name: str, spec: UpstreamSpec, *, is_new: bool
    ) -> None:
        upstream = self._upstreams.get(name)
        if upstream is None:
            upstream = self._add_upstream(spec, is_new=is_new)
        elif not upstream.can_apply(spec):
            self._remove(upstream)
            upstream = self._add_upstream(spec, is_new=is_new)
        elif upstream.spec != spec:
            upstream.apply(spec)
        vm = self._board.vm_list.read().vms[name.partition('/')[0]]
        details = vm.upstream_details(spec.service.name)
        upstream.mark_leaving_in_vm_list(vm.leaving or details.leaving)

    def _remove(self, upstream: HomeUpstream) -> None:
        upstream.close()
        unfinished = (each for each in self._removed if each.running)
        self._removed = (*unfinished, upstream)

    def _add_upstream(
        self, spec: UpstreamSpec, *, is_new: bool
    ) -> HomeUpstream:
        upstream = HomeUpstream(
            spec,
            self._audit,
            self._rng,
            HomeEvents(
                self._on_drain,
                self._work_queued.set,
                self._note_end,
                self._on_status,
                self._board.handled_until_ms.read,
                self._runs,
            ),
            self._stop,
            is_new=is_new,
        )
        self._upstreams[spec.name] = upstream
        return upstream

    def _note_end(
        self, upstream: str, fingerprint: int, run: FinishedRun
    ) -> None:
        self._recorder.note_end(upstream, fingerprint, run)
        if run.ending is RunResult.CRASHED and self.on_crash is not None:
            # The entry may no longer wait for this run.
            service = upstream.rpartition('/')[2]
            self.on_crash(service, fingerprint, upstream)

    def _specs(self) -> dict[str, UpstreamSpec]:
        loaded = self._board.config.read().loaded
        if loaded is None:
            return {}
        config = loaded.config
        specs = {}
        for vm, service_name, port in self._owned:
            service = config.services.get(service_name)
            if service is None or vm.zone not in service.zones:
                continue
            details = vm.upstream_details(service_name)
            service = replace(
                service, slots_per_upstream=service.slots_for(details.slots)
            )
            name = vm.upstream_id(service_name)
            specs[name] = UpstreamSpec(
                name,
                Address(vm.ip, port),
                service,
                config.headers,
                details.instance,
            )
        return specs


__all__ = ('HomeController',)
