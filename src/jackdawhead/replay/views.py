"""What one entry of a replay believes of the services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..policy.service_router import ServiceRouter
from .outcomes import healthy_share
from .result import SeenChange

if TYPE_CHECKING:
    from ..config.model import Service
    from ..policy.member_loads import Member
    from ..wire.messages import UpstreamStatus
    from .homes import Shared

_OWN_ZONE_MS: Final = 0.5
_OTHER_ZONE_MS: Final = 2.5


class EntryView:
    """Routing state that a live entry would keep.

    :param node: VM of the entry.
    :param zone: its zone.
    :param shared: time and result.
    """

    def __init__(self, node: str, zone: str, shared: Shared) -> None:
        self.node = node
        self.routers: dict[str, ServiceRouter] = {}
        self.cut_homes: set[str] = set()
        self._zone = zone
        self._shared = shared
        self._zones: dict[str, str] = {}

    def add_service(self, service: Service) -> None:
        """Route to a service from now on.

        :param service: policy.
        """
        router = ServiceRouter(service, self._zone, self._shared.rng)
        self.routers[service.name] = router

    def replace_members(
        self,
        service: str,
        members: tuple[Member, ...],
    ) -> None:
        """Take over a new list.

        :param members: those that take new work.
        """
        self._zones.update({each.name: each.zone for each in members})
        self.routers[service].replace_members(members)

    def mark_path(self, home: str, *, is_up: bool) -> None:
        """Take in that the way to a home is cut or whole.

        :param home: VM of the home.
        """
        if is_up:
            self.cut_homes.discard(home)
        else:
            self.cut_homes.add(home)

    def note_crash(self, service: str, fingerprint: int, upstream: str) -> None:
        """Take in a crash that another entry has seen."""
        poison = self.routers[service].poison
        now_ms = self._shared.timeline.now_ms
        poison.note_crash(fingerprint, upstream, now_ms)

    def tick(self) -> None:
        """Judge the upstreams, as the live node does at regular times."""
        now_ms = self._shared.timeline.now_ms
        for router in self.routers.values():
            changes = router.tick(now_ms)
            for change in changes:
                self._shared.result.changes.append(
                    SeenChange(now_ms, self.node, change)
                )
            if changes:
                self._shared.result.shares.append(
                    healthy_share(router, self.node, now_ms)
                )

    def hear_status(self, service: str, status: UpstreamStatus) -> None:
        """Take in what a home tells all entries at once.

        :param status: of an upstream of the service.
        """
        timeline = self._shared.timeline
        router = self.routers[service]
        timeline.after(
            self.hop_ms(status.upstream),
            lambda: router.note_status(status, timeline.now_ms),
        )

    def hop_ms(self, upstream: str) -> float:
        """Return the time of the way to an upstream's home, one way.

        :param upstream: its identity.
        """
        is_own = self._zones.get(upstream) == self._zone
        return _OWN_ZONE_MS if is_own else _OTHER_ZONE_MS


__all__ = ('EntryView',)
