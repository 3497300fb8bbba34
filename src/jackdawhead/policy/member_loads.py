"""Loads of the upstreams that the VM list gives for a service."""

from __future__ import annotations

from dataclasses import dataclass, replace
from statistics import median
from typing import TYPE_CHECKING, Final

from .expiry import pop_expired
from .loads import LoadReport, UpstreamLoad

if TYPE_CHECKING:
    from .loads import RoutingQuery

# An upstream counts as draining for this long after its last notice, as no
# notice says that it has stopped.
DRAIN_NOTICE_LIFE_MS: Final = 5000.0
# A home that stops and has refused an operation isn't offered it for this long.
_REFUSAL_LIFE_MS: Final = 500.0


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream of a service, as given by the VM list.

    :param name: identity, ``vm/service`` or ``vm/start/service``.
    :param home: VM of the node that owns its slots.
    :param slots: requests that it runs at once, 0 to use the service's value.
    """

    name: str
    zone: str
    home: str
    slots: int = 0


class MemberLoads:
    """Listed upstreams of a service with their loads and draining states.

    Upstreams that the list gives as leaving aren't members.
    """

    def __init__(self) -> None:
        self._loads: dict[str, UpstreamLoad] = {}
        self._draining_until_ms: dict[str, float] = {}
        self._leaving_homes: set[str] = set()
        self._refusing_until_ms: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        """Return the number of upstreams that take new work, in O(1)."""
        return len(self._loads) - len(self._draining_until_ms)

    @property
    def names(self) -> frozenset[str]:
        """Names of the listed upstreams that take new work."""
        return frozenset(self._loads.keys() - self._draining_until_ms.keys())

    @property
    def listed(self) -> tuple[UpstreamLoad, ...]:
        """Loads of all listed upstreams, including those that drain."""
        return tuple(self._loads.values())

    def find(self, upstream: str) -> UpstreamLoad | None:
        """Return the load of an upstream, None if it isn't listed.

        :param upstream: identity of the upstream.
        """
        return self._loads.get(upstream)

    def available(self) -> list[UpstreamLoad]:
        """Return the loads of upstreams that take new work, sorted by name."""
        return [self._loads[name] for name in sorted(self.names)]

    def update(
        self,
        members: tuple[Member, ...],
        expected_ms: float,
    ) -> bool:
        """Replace the listed upstreams; known loads of those that stay remain.

        :param members: all listed upstreams.
        :param expected_ms: initial run time when none is known.
        :returns: whether an upstream was added, removed or got another home.
        """
        named = {each.name: each for each in members}
        gone = self._loads.keys() - named.keys()
        for name in gone:
            self._loads.pop(name)
            self._draining_until_ms.pop(name, None)
        new = [each for each in named.values() if not self._is_unchanged(each)]
        for member in new:
            self._loads[member.name] = self._new_load(member, expected_ms)
        return bool(gone or new)

    def mark_draining(
        self, upstream: str, draining: bool, now_ms: float
    ) -> bool:
        """Mark an upstream as draining, ahead of the VM list, or unmark it.

        :param upstream: identity of the upstream.
        :param draining: whether it drains, that is, takes no new work.
        :param now_ms: monotonic time of the notice.
        :returns: whether the mark has changed.
        """
        if upstream not in self._loads:
            return False
        was_draining = upstream in self._draining_until_ms
        if draining:
            until_ms = now_ms + DRAIN_NOTICE_LIFE_MS
            self._draining_until_ms[upstream] = until_ms
        else:
            self._draining_until_ms.pop(upstream, None)
        return draining is not was_draining

    def expire_drains(self, now_ms: float) -> bool:
        """Unmark the upstreams whose last notice is too old.

        :param now_ms: monotonic time.
        :returns: whether any upstream was unmarked.
        """
        return bool(pop_expired(self._draining_until_ms, now_ms))

    def avoid_home_until(self, home: str, until_ms: float) -> None:
        """Avoid all upstreams of a home that this node can't reach.

        :param home: VM of the home.
        :param until_ms: monotonic time at which they are used again.
        """
        for load in self._loads.values():
            if load.home == home:
                load.avoid_until_ms = until_ms

    def mark_home_leaving(self, home: str, leaving: bool) -> None:
        """Mark a home as leaving, or unmark it once its node has started again.

        :param home: VM of the home.
        :param leaving: whether its node is stopping.
        """
        if leaving:
            self._leaving_homes.add(home)
        else:
            self._leaving_homes.discard(home)
        for load in self._loads.values():
            if load.home == home:
                load.is_home_leaving = leaving
                if not leaving:
                    self._forget_refusals(load.upstream)

    def note_leaving_refusal(
        self, upstream: str, operation: str, now_ms: float
    ) -> None:
        """Record that a home that stops has no time left for some work.

        :param upstream: identity of the upstream.
        :param operation: name of the work's operation.
        :param now_ms: monotonic time.
        """
        until_ms = now_ms + _REFUSAL_LIFE_MS
        self._refusing_until_ms[upstream, operation] = until_ms

    def without_refusing(
        self, query: RoutingQuery, operation: str
    ) -> RoutingQuery:
        """Return a query that excludes homes that have just refused such work.

        :param query: properties of an attempt.
        :param operation: name of the work's operation.
        """
        if not self._refusing_until_ms:
            return query
        pop_expired(self._refusing_until_ms, query.now_ms)
        refusing = frozenset(
            upstream
            for upstream, refused in self._refusing_until_ms
            if refused == operation
        )
        return replace(query, refusing=query.refusing | refusing)

    def _forget_refusals(self, upstream: str) -> None:
        for refused in tuple(self._refusing_until_ms):
            if refused[0] == upstream:
                self._refusing_until_ms.pop(refused)

    def _is_unchanged(self, member: Member) -> bool:
        present = self._loads.get(member.name)
        return present is not None and present.home == member.home

    def _new_load(self, member: Member, expected_ms: float) -> UpstreamLoad:
        """Return the initial load of an upstream without a report.

        It is assumed to have one slot, so that its share of work grows only
        with its own reports, and the median run time of the known upstreams.
        With a longer one, entries would prefer full queues to it.
        """
        known_ms = [load.report.run_ms for load in self._loads.values()]
        run_ms = median(known_ms) if known_ms else expected_ms
        report = LoadReport(0, run_ms, 1, 1)
        return UpstreamLoad(
            member.name,
            member.zone,
            member.home,
            report,
            slots=member.slots,
            is_home_leaving=member.home in self._leaving_homes,
        )


__all__ = ('DRAIN_NOTICE_LIFE_MS', 'Member', 'MemberLoads')
