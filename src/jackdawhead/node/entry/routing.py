"""Keeps routes and the routing state of all services up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...audit import AuditKind
from ...clock import monotonic_ms, seconds
from ...policy.detection import Health, HealthChange
from ...policy.homes import HomeMap
from ...policy.service_router import Member, ServiceRouter
from .routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ...audit import AuditTrail
    from ...blackboard import Blackboard, VmList
    from ...config.model import Service
    from ...wire.messages import PoisonNews, UpstreamStatus

_TICK_MS: Final = 200
_TICK_PER_UPSTREAM_MS: Final = 0.75
_AVOID_HOME_MS: Final = 500
_AVOID_SILENT_MS: Final = 3000
_KIND_OF_HEALTH: Final = {
    Health.EJECTED: AuditKind.UPSTREAM_EJECTED,
    Health.TRIAL: AuditKind.UPSTREAM_TRIAL,
    Health.WELL: AuditKind.UPSTREAM_RETURNED,
}


class RoutingController:
    """Follows configuration, VM list and the news of the homes.

    :param zone: zone of this node.
    :param board: source of configuration and VM list.
    :param audit: trail of changes.
    :param rng: source of randomness.
    :param on_crash: called with service, fingerprint and upstream when an
        upstream crashed with a request of this node in flight.
    """

    def __init__(
        self,
        zone: str,
        board: Blackboard,
        audit: AuditTrail,
        rng: Random,
        on_crash: Callable[[str, int, str], None],
    ) -> None:
        self.rng = rng
        self.table: RouteTable | None = None
        self._zone = zone
        self._board = board
        self._audit = audit
        self._on_crash = on_crash
        self._routers: dict[str, ServiceRouter] = {}
        self._silent_homes: set[str] = set()
        board.config.on_change(lambda _: self._update())
        board.vm_list.on_change(lambda _: self._update())

    def router(self, service: str) -> ServiceRouter:
        """Return the state of a configured service.

        :param service: its name.
        """
        return self._routers[service]

    def routers(self) -> tuple[ServiceRouter, ...]:
        """Return the state of all services."""
        return tuple(self._routers.values())

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
        for router in self.routers():
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

    def note_crash(
        self,
        router: ServiceRouter,
        fingerprint: int,
        upstream: str,
    ) -> None:
        """Take in that a request was in flight when its upstream crashed.

        :param router: state of the service.
        """
        self._count_crash(router, fingerprint, upstream)
        self._on_crash(router.service.name, fingerprint, upstream)

    def note_poison(self, news: PoisonNews) -> bool:
        """Take in a crash that another node has seen.

        :param news: fingerprint and upstream.
        :returns: whether it was not known here.
        """
        router = self._routers.get(news.service)
        if router is None:
            return False
        if router.poison.knows(news.fingerprint, news.upstream):
            return False
        self._count_crash(router, news.fingerprint, news.upstream)
        return True

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
        self._silent_homes.add(home)
        self.avoid(home, _AVOID_SILENT_MS)

    def note_open_path(self, home: str) -> None:
        """Use a home again that has answered a ping late.

        :param home: VM of the home.
        """
        if home in self._silent_homes:
            self._silent_homes.discard(home)
            self.avoid(home, 0)

    def _count_crash(
        self,
        router: ServiceRouter,
        fingerprint: int,
        upstream: str,
    ) -> None:
        poison = router.poison
        if poison.note_crash(fingerprint, upstream, monotonic_ms()):
            self._audit.record(
                AuditKind.REQUEST_QUARANTINED,
                f'{router.service.name}/{fingerprint:016x}',
                f'upstreams crashed with it in flight, last {upstream}',
            )

    def _record(self, change: HealthChange) -> None:
        self._audit.record(
            _KIND_OF_HEALTH[change.health],
            f'{change.upstream}:{change.operation}',
            change.cause,
        )

    def _update(self) -> None:
        loaded = self._board.config.read().loaded
        if loaded is None:
            return
        config = loaded.config
        self.table = RouteTable(config.routes.values())
        for gone in self._routers.keys() - config.services.keys():
            self._routers.pop(gone)
        vm_list = self._board.vm_list.read()
        homes = HomeMap(vm_list)
        for service in config.services.values():
            self._router_for(service).replace_members(
                _members(service, vm_list, homes),
            )

    def _router_for(self, service: Service) -> ServiceRouter:
        present = self._routers.get(service.name)
        if present is None or present.service != service:
            present = ServiceRouter(service, self._zone, self.rng)
            self._routers[service.name] = present
        return present


def _members(
    service: Service,
    vm_list: VmList,
    homes: HomeMap,
) -> tuple[Member, ...]:
    return tuple(
        Member(f'{vm.name}/{service.name}', vm.zone, homes.home_of(vm))
        for vm in vm_list.vms.values()
        if service.name in vm.upstream_ports
        and vm.zone in service.zones
        and not vm.leaving
    )


__all__ = ('RoutingController',)
