"""Keeps the route table and the routing state of each service up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...audit import AuditKind
from ...clock import monotonic_ms, seconds
from ...policy.detection import Health, HealthChange
from ...policy.service_router import ServiceRouter
from ...policy.ways import Ways
from .leaving_homes import LeavingHomes
from .members import ServiceCount, ServiceMembers
from .routes import RouteTable

if TYPE_CHECKING:
    from random import Random

    from ...audit import AuditTrail
    from ...blackboard import Blackboard
    from ...config.model import Service
    from ...policy.loads import UpstreamLoad
    from ...wire.messages import UpstreamStatus

# Shortest time between two evaluations of the upstreams' health.
_MIN_TICK_INTERVAL_MS: Final = 200
_TICK_INTERVAL_PER_UPSTREAM_MS: Final = 0.75
_AVOID_SILENT_MS: Final = 3000
_AUDIT_KIND_OF_HEALTH: Final = {
    Health.EJECTED: AuditKind.UPSTREAM_EJECTED,
    Health.TRIAL: AuditKind.UPSTREAM_TRIAL,
    Health.HEALTHY: AuditKind.UPSTREAM_RETURNED,
}


class RoutingController:
    """Updates routing from the configuration, the VM list and home reports.

    The routing state of a service is created at its first request and
    discarded after the service has been unused for some time.

    :param vm: VM of this node.
    :param zone: availability zone of this node.
    :param board: source of the configuration and the VM list.
    :param audit: audit trail that records health changes.
    :param rng: random number generator.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        board: Blackboard,
        audit: AuditTrail,
        rng: Random,
    ) -> None:
        self.rng = rng
        self.table: RouteTable | None = None
        self.ways = Ways(zone)
        self._zone = zone
        self._board = board
        self._audit = audit
        self._routers: dict[str, ServiceRouter] = {}
        self._members = ServiceMembers(vm, zone)
        self._silent_homes: set[str] = set()
        self.leaving = LeavingHomes(
            self.routers, lambda home: self.avoid(home, 0)
        )
        board.config.subscribe(lambda _: self._apply_config())
        board.vm_list.subscribe(lambda _: self._apply_vm_list())

    def router(self, service: str) -> ServiceRouter:
        """Return the routing state of a configured service.

        The state is created if the service is not in use yet.

        :param service: name of the service.
        """
        router = self._routers.get(service)
        if router is None:
            router = self._add_router(self._services()[service])
        router.used_at_ms = monotonic_ms()
        return router

    @property
    def excluded_homes(self) -> tuple[str, ...]:
        """Homes left out of the subsets, those dialled longest ago first."""
        return self._members.excluded_homes

    def has_service(self, service: str) -> bool:
        """Return whether a service is configured.

        :param service: name of the service.
        """
        return service in self._services()

    def routers(self) -> tuple[ServiceRouter, ...]:
        """Return the routing state of each service in use."""
        return tuple(self._routers.values())

    def upstream_counts(self) -> tuple[ServiceCount, ...]:
        """Return the upstream counts of each configured service."""
        return tuple(
            ServiceCount(
                service.name,
                len(self._members.listed(service)),
                self._routers.get(service.name),
            )
            for service in self._services().values()
        )

    def run(self) -> None:
        """Evaluate the health of the upstreams periodically, forever.

        The interval grows with the number of upstreams, so that evaluation
        uses a bounded share of a CPU core.
        """
        while True:
            upstream_count = sum(
                router.member_count for router in self.routers()
            )
            interval_ms = max(
                _MIN_TICK_INTERVAL_MS,
                upstream_count * _TICK_INTERVAL_PER_UPSTREAM_MS,
            )
            gevent.sleep(seconds(interval_ms))
            self.tick(monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """Evaluate the health of the upstreams once.

        :param now_ms: monotonic time.
        """
        expired = self._members.expire(now_ms)
        for home in expired:
            self._audit.record(AuditKind.HOME_INCLUDED, home, 'exclusion ended')
        if expired:
            self._refresh_members()
        for router in self.routers():
            if router.can_be_evicted(now_ms):
                self._routers.pop(router.service.name)
            for change in router.tick(now_ms):
                self._record(change)
            for fingerprint in router.poison.release_due(now_ms):
                self._audit.record(
                    AuditKind.REQUEST_RELEASED,
                    f'{router.service.name}/{fingerprint:016x}',
                    'quarantine expired',
                )

    def note_status(self, status: UpstreamStatus) -> None:
        """Record a home's report on an upstream.

        :param status: load of the upstream and results of its recent runs.
        """
        router = self._routers.get(status.upstream.rpartition('/')[2])
        if router is not None:
            router.note_status(status, monotonic_ms())

    def note_drain(self, upstream: str, draining: bool) -> None:
        """Record that an upstream has started or stopped draining.

        :param upstream: identity of the upstream, which ends in its service.
        :param draining: whether it accepts no new work.
        """
        router = self._routers.get(upstream.rpartition('/')[2])
        if router is not None:
            router.mark_draining(upstream, draining, monotonic_ms())

    def avoid(self, home: str, duration_ms: int) -> None:
        """Avoid a home that this node cannot reach.

        :param home: VM of the home.
        :param duration_ms: how long to avoid it; 0 ends the avoidance.
        """
        until_ms = monotonic_ms() + duration_ms
        for router in self.routers():
            router.avoid_home_until(home, until_ms)

    def note_silent_path(self, home: str) -> None:
        """Avoid a home that did not answer a ping in time.

        :param home: VM of the home.
        """
        if home not in self._silent_homes:
            self._silent_homes.add(home)
            self._audit.record(
                AuditKind.PATH_SILENT, home, 'no answer to a ping in time'
            )
        self.avoid(home, _AVOID_SILENT_MS)

    def note_path_recovered(self, home: str) -> None:
        """Use a home again after it has answered a ping.

        :param home: VM of the home.
        """
        if home in self._silent_homes:
            self._silent_homes.discard(home)
            self._audit.record(AuditKind.PATH_OPEN, home, 'answers pings again')
            self.avoid(home, 0)

    def note_overdue(
        self,
        load: UpstreamLoad,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record that a request takes longer than almost all runs do.

        If the upstream has answered nothing since the request was sent, it
        may have stalled and is avoided for a moment.

        :param load: load of the upstream that the request was sent to.
        :param sent_ms: monotonic time at which the request was sent.
        :param now_ms: monotonic time.
        """
        if load.note_overdue(sent_ms, now_ms):
            self._audit.record(
                AuditKind.UPSTREAM_STALLED,
                load.upstream,
                f'no answer to {load.in_flight} requests in flight, of which at'
                ' least one is overdue',
            )

    def note_unreachable(self, home: str, duration_ms: int) -> None:
        """Replace the upstreams of a home that could not be dialled.

        :param home: VM of the home.
        :param duration_ms: how long to avoid it, unless it is reached before.
        """
        self.avoid(home, duration_ms)
        if self._members.note_unreachable(home, monotonic_ms()):
            self._audit.record(
                AuditKind.HOME_EXCLUDED, home, 'could not be dialled'
            )
            self._refresh_members()

    def note_reachable(self, home: str) -> None:
        """Use a home again that has just connected to this node.

        :param home: VM of the home.
        """
        self.avoid(home, 0)
        if self._members.note_reachable(home):
            self._audit.record(AuditKind.HOME_INCLUDED, home, 'has connected')
            self._refresh_members()

    def _record(self, change: HealthChange) -> None:
        self._audit.record(
            _AUDIT_KIND_OF_HEALTH[change.health],
            f'{change.upstream}:{change.operation}',
            change.cause,
        )

    def _services(self) -> dict[str, Service]:
        loaded = self._board.config.read().loaded
        return loaded.config.services if loaded else {}

    def _apply_config(self) -> None:
        loaded = self._board.config.read().loaded
        if loaded is None:
            return
        self.table = RouteTable(loaded.config.routes.values())
        regions = loaded.config.regions
        self.ways.replace_regions(regions)
        self._members.replace_regions(regions)
        services = loaded.config.services
        for removed in self._routers.keys() - services.keys():
            self._routers.pop(removed)
        for name, router in self._routers.items():
            service = services[name]
            if router.service != service:
                router.replace_service(service, self._members.used(service))

    def _apply_vm_list(self) -> None:
        vm_list = self._board.vm_list.read()
        self._members.replace(vm_list)
        self.leaving.retain(vm_list.vms)
        self._refresh_members()

    def _refresh_members(self) -> None:
        for router in self._routers.values():
            router.replace_members(self._members.used(router.service))

    def _add_router(self, service: Service) -> ServiceRouter:
        router = ServiceRouter(service, self._zone, self.rng, self.ways)
        router.replace_members(self._members.used(service))
        self.leaving.apply_to(router)
        self._routers[service.name] = router
        return router


__all__ = ('RoutingController',)
