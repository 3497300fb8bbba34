"""Routing state of one entry in a replay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..policy.service_router import ServiceRouter
from ..policy.subset_rules import SUBSET_RULES
from ..policy.ways import Way, Ways
from .outcomes import healthy_share
from .result import ObservedHealthChange, SentCopy

if TYPE_CHECKING:
    from ..config.model import Service
    from ..policy.member_loads import Member
    from ..policy.subset_rules import EntryPlaces, SubsetRule
    from ..wire.messages import UpstreamStatus
    from .context import ReplayContext

# How long a home is avoided after it was found to be unreachable.
_AVOID_UNREACHABLE_MS: Final = 500
_ALL_REACHABLE: Final[frozenset[str]] = frozenset()


class EntryView:
    """The same routing state as a live entry keeps.

    :param node: VM of the entry.
    :param context: state shared by the whole replay.
    :param places: zones of all entries, and the regions of the zones.
    """

    def __init__(
        self, node: str, context: ReplayContext, places: EntryPlaces
    ) -> None:
        self.node = node
        self.routers: dict[str, ServiceRouter] = {}
        self.unreachable_homes: set[str] = set()
        self._restarted_homes: set[str] = set()
        self._zone = places.zones[node]
        self._context = context
        self._zones: dict[str, str] = {}
        self._ways = Ways(self._zone)
        self._ways.replace_regions(places.regions)
        self._subsets = {
            name: self._subset_rule(name, places)
            for name in SUBSET_RULES.names()
        }

    def add_service(self, service: Service) -> None:
        """Add a router for a service.

        :param service: configuration of the service.
        """
        router = ServiceRouter(
            service, self._zone, self._context.rng, self._ways
        )
        self.routers[service.name] = router

    def replace_members(
        self,
        service: str,
        members: tuple[Member, ...],
    ) -> None:
        """Replace the upstreams of a service; the entry uses a subset of them.

        :param service: name of the service.
        :param members: upstreams that accept new work.
        """
        self._zones.update({each.name: each.zone for each in members})
        router = self.routers[service]
        router.replace_members(
            self._subsets[router.service.subset].choose(
                members, router.service.subset_size, _ALL_REACHABLE
            )
        )

    def linked_upstreams(self, router: ServiceRouter) -> dict[str, bool]:
        """Return for each upstream of a service whether its home has a link.

        :param router: router of the service.
        """
        return {
            each.upstream: each.home not in self.unreachable_homes
            for each in router.loads
        }

    def mark_path(self, home: str, *, is_up: bool) -> None:
        """Mark a home as reachable or unreachable.

        :param home: VM of the home.
        :param is_up: whether the home is reachable.
        """
        if is_up:
            self.unreachable_homes.discard(home)
        else:
            self.unreachable_homes.add(home)

    def avoid(self, home: str) -> None:
        """Avoid a home that could not be reached, or whose link was closed.

        :param home: VM of the home.
        """
        until_ms = self._context.timeline.now_ms + _AVOID_UNREACHABLE_MS
        for router in self.routers.values():
            router.avoid_home_until(home, until_ms)

    def note_leaving(self, home: str) -> None:
        """Record that the node of a home is stopping.

        :param home: VM of the home.
        """
        for router in self.routers.values():
            router.mark_home_leaving(home, leaving=True)

    def note_linked(self, home: str) -> None:
        """Record that a link to a home is open, so that it has not stopped.

        :param home: VM of the home.
        """
        if home not in self._restarted_homes:
            return
        self._restarted_homes.discard(home)
        for router in self.routers.values():
            router.mark_home_leaving(home, leaving=False)

    def note_restarted(self, home: str) -> None:
        """Expect a new incarnation when the home is next linked.

        :param home: VM of the home.
        """
        self._restarted_homes.add(home)
        self.unreachable_homes.discard(home)

    def note_crash(self, service: str, fingerprint: int, upstream: str) -> None:
        """Record that a request crashed an upstream, seen by any entry."""
        poison = self.routers[service].poison
        now_ms = self._context.timeline.now_ms
        poison.note_crash(fingerprint, upstream, now_ms)

    def tick(self) -> None:
        """Update the health of the upstreams, as live nodes do periodically."""
        now_ms = self._context.timeline.now_ms
        for router in self.routers.values():
            changes = router.tick(now_ms)
            for change in changes:
                self._context.result.changes.append(
                    ObservedHealthChange(now_ms, self.node, change)
                )
            if changes:
                self._context.result.shares.append(
                    healthy_share(router, self.node, now_ms)
                )

    def on_status(self, service: str, status: UpstreamStatus) -> None:
        """Apply a status that a home broadcasts, after the network delay.

        :param service: name of the service.
        :param status: status of an upstream of the service.
        """
        timeline = self._context.timeline
        router = self.routers[service]
        timeline.schedule_after(
            self.hop_ms(status.upstream),
            lambda: router.note_status(status, timeline.now_ms),
        )

    def hop_ms(self, upstream: str) -> float:
        """Return the one-way network delay to an upstream's home.

        :param upstream: identity of the upstream.
        """
        return self._context.hops_ms[self.way_to(upstream)]

    def note_sent(self, upstream: str) -> None:
        """Record that a copy of a request is sent to an upstream.

        :param upstream: identity of the upstream.
        """
        now_ms = self._context.timeline.now_ms
        way = self.way_to(upstream)
        self._context.result.sent.append(
            SentCopy(now_ms, self._zone, upstream, way)
        )

    def way_to(self, upstream: str) -> Way:
        """Return the kind of way to an upstream's home.

        :param upstream: identity of the upstream.
        """
        zone = self._zones.get(upstream, '')
        if zone != self._zone and not self._ways.has_regions:
            return Way.REGION
        return self._ways.way_to(zone)

    def _subset_rule(self, name: str, places: EntryPlaces) -> SubsetRule:
        rule = SUBSET_RULES.find(name).unwrap()(self.node, self._zone)
        rule.replace_entries(places)
        return rule


__all__ = ('EntryView',)
