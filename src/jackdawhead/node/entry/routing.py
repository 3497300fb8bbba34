"""Keeps routes and the routing state of all services up to date."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import gevent

from ...audit import AuditKind
from ...clock import monotonic_ms, seconds
from ...policy.detection import Health, HealthChange
from ...policy.service_router import ServiceRouter
from .members import ServiceMembers
from .routes import RouteTable

if TYPE_CHECKING:
    from random import Random

    from ...audit import AuditTrail
    from ...blackboard import Blackboard
    from ...config.model import Service
    from ...policy.loads import UpstreamLoad
    from ...wire.messages import UpstreamStatus

_TICK_MS: Final = 200
_TICK_PER_UPSTREAM_MS: Final = 0.75
_AVOID_HOME_MS: Final = 500
_AVOID_SILENT_MS: Final = 3000
_KIND_OF_HEALTH: Final = {
    Health.EJECTED: AuditKind.UPSTREAM_EJECTED,
    Health.TRIAL: AuditKind.UPSTREAM_TRIAL,
    Health.WELL: AuditKind.UPSTREAM_RETURNED,
}


@dataclass(frozen=True, slots=True)
class ServiceCount:
    """Upstreams of a service.

    :param listed: those that take new work.
    :param router: state of the service, if it is in use.
    """

    service: str
    listed: int
    router: ServiceRouter | None


class RoutingController:
    """Follows configuration, VM list and the news of the homes.

    The state of a service is kept from its first request until it has not
    been used for some time.

    :param vm: VM of this node.
    :param zone: zone of this node.
    :param board: source of configuration and VM list.
    :param audit: trail of changes.
    :param rng: source of randomness.
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
        self._zone = zone
        self._board = board
        self._audit = audit
        self._routers: dict[str, ServiceRouter] = {}
        self._members = ServiceMembers(vm, zone)
        self._silent_homes: set[str] = set()
        board.config.on_change(lambda _: self._follow_config())
        board.vm_list.on_change(lambda _: self._follow_list())

    def router(self, service: str) -> ServiceRouter:
        """Return the state of a configured service.

        :param service: its name.
        """
        router = self._routers.get(service)
        if router is None:
            router = self._begin(self._services()[service])
        router.used_at_ms = monotonic_ms()
        return router

    def has_service(self, service: str) -> bool:
        """Return whether a service is configured.

        :param service: its name.
        """
        return service in self._services()

    def routers(self) -> tuple[ServiceRouter, ...]:
        """Return the state of all services in use."""
        return tuple(self._routers.values())

    def counts(self) -> tuple[ServiceCount, ...]:
        """Return how many upstreams each service has, and has in use."""
        return tuple(
            ServiceCount(
                service.name,
                len(self._members.listed(service)),
                self._routers.get(service.name),
            )
            for service in self._services().values()
        )

    def run(self) -> None:
        """Judge the upstreams at regular times, for ever.

        The times are further apart the more upstreams are known, so that
        judging takes a bounded share of a core.
        """
        while True:
            known = sum(router.member_count for router in self.routers())
            tick_ms = max(_TICK_MS, known * _TICK_PER_UPSTREAM_MS)
            gevent.sleep(seconds(tick_ms))
            self.tick(monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """Judge the upstreams once.

        :param now_ms: monotonic time.
        """
        if self._members.expire(now_ms):
            self._choose_members()
        for router in self.routers():
            if router.is_forgettable(now_ms):
                self._routers.pop(router.service.name)
            for change in router.tick(now_ms):
                self._record(change)
            for fingerprint in router.poison.release_due(now_ms):
                self._audit.record(
                    AuditKind.REQUEST_RELEASED,
                    f'{router.service.name}/{fingerprint:016x}',
                    'the time of the quarantine is over',
                )

    def note_status(self, status: UpstreamStatus) -> None:
        """Take in what a home says of an upstream.

        :param status: load and evidence.
        """
        router = self._routers.get(status.upstream.rpartition('/')[2])
        if router is not None:
            router.note_status(status, monotonic_ms())

    def note_drain(self, upstream: str, draining: bool) -> None:
        """Take in that an upstream begins or ends to drain.

        :param draining: whether it takes no new work.
        """
        router = self._routers.get(upstream.rpartition('/')[2])
        if router is not None:
            router.mark_draining(upstream, draining)

    def avoid(self, home: str, duration_ms: int = _AVOID_HOME_MS) -> None:
        """Avoid a home that cannot be reached from here for a moment.

        :param home: VM of the home.
        :param duration_ms: length of the moment.
        """
        until_ms = monotonic_ms() + duration_ms
        for router in self.routers():
            router.avoid_home(home, until_ms)

    def note_silent_path(self, home: str) -> None:
        """Avoid a home that has not answered a ping, until it does.

        :param home: VM of the home.
        """
        if home not in self._silent_homes:
            self._silent_homes.add(home)
            self._audit.record(
                AuditKind.PATH_SILENT, home, 'it did not answer a ping in time'
            )
        self.avoid(home, _AVOID_SILENT_MS)

    def note_open_path(self, home: str) -> None:
        """Use a home again that has answered a ping late.

        :param home: VM of the home.
        """
        if home in self._silent_homes:
            self._silent_homes.discard(home)
            self._audit.record(AuditKind.PATH_OPEN, home, 'it answers pings')
            self.avoid(home, 0)

    def note_overdue(
        self,
        load: UpstreamLoad,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Take in that a request has taken longer than few runs do.

        :param load: of the upstream it was sent to.
        :param sent_ms: monotonic time at which it was sent.
        :param now_ms: monotonic time.
        """
        if load.note_overdue(sent_ms, now_ms):
            self._audit.record(
                AuditKind.UPSTREAM_STALLED,
                load.upstream,
                f'no answer to {load.in_flight} requests, one of them overdue',
            )

    def note_unreachable(self, home: str, duration_ms: int) -> None:
        """Use other homes than one that could not be dialled.

        :param home: VM of the home.
        :param duration_ms: time after which it is dialled again.
        """
        self.avoid(home, duration_ms)
        if self._members.note_unreachable(home, monotonic_ms()):
            self._choose_members()

    def note_reachable(self, home: str) -> None:
        """Use a home again that was heard of.

        :param home: VM of the home.
        """
        self.avoid(home, 0)
        if self._members.note_reachable(home):
            self._choose_members()

    def _record(self, change: HealthChange) -> None:
        self._audit.record(
            _KIND_OF_HEALTH[change.health],
            f'{change.upstream}:{change.operation}',
            change.cause,
        )

    def _services(self) -> dict[str, Service]:
        loaded = self._board.config.read().loaded
        return loaded.config.services if loaded else {}

    def _follow_config(self) -> None:
        loaded = self._board.config.read().loaded
        if loaded is None:
            return
        self.table = RouteTable(loaded.config.routes.values())
        services = loaded.config.services
        for gone in self._routers.keys() - services.keys():
            self._routers.pop(gone)
        for name, router in self._routers.items():
            service = services[name]
            if router.service != service:
                router.replace_service(service, self._members.used(service))

    def _follow_list(self) -> None:
        self._members.replace(self._board.vm_list.read())
        self._choose_members()

    def _choose_members(self) -> None:
        for router in self._routers.values():
            router.replace_members(self._members.used(router.service))

    def _begin(self, service: Service) -> ServiceRouter:
        router = ServiceRouter(service, self._zone, self.rng)
        router.replace_members(self._members.used(service))
        self._routers[service.name] = router
        return router


__all__ = ('RoutingController', 'ServiceCount')
