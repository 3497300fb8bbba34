"""Loads of the upstreams that are listed for a service."""

from __future__ import annotations

from dataclasses import dataclass

from .loads import LoadReport, UpstreamLoad


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream of a service, as listed.

    :param name: identity, ``vm/service`` or ``vm/start/service``.
    :param home: VM of the node that owns its slots.
    :param slots: requests that it runs at once, 0 to follow the service.
    """

    name: str
    zone: str
    home: str
    slots: int = 0


class MemberLoads:
    """The listed upstreams, with what is known of each."""

    def __init__(self) -> None:
        self._loads: dict[str, UpstreamLoad] = {}
        self._draining: set[str] = set()

    def __len__(self) -> int:
        """Return the number of members, without walking them."""
        return len(self._loads) - len(self._draining)

    @property
    def names(self) -> frozenset[str]:
        """Listed upstreams that take new work."""
        return frozenset(self._loads.keys() - self._draining)

    @property
    def listed(self) -> tuple[UpstreamLoad, ...]:
        """Loads of all that are listed, draining ones included."""
        return tuple(self._loads.values())

    def find(self, upstream: str) -> UpstreamLoad | None:
        """Return the load of an upstream.

        :param upstream: its identity.
        """
        return self._loads.get(upstream)

    def taking_work(self) -> list[UpstreamLoad]:
        """Return the loads of those that take new work, by name."""
        return [self._loads[name] for name in sorted(self.names)]

    def follow(
        self,
        members: tuple[Member, ...],
        expected_ms: float,
    ) -> bool:
        """Take over a list.

        :param members: all that are listed.
        :param expected_ms: run time to begin with when none is known.
        :returns: whether any came, left or moved.
        """
        named = {each.name: each for each in members}
        gone = self._loads.keys() - named.keys()
        for name in gone:
            self._loads.pop(name)
        self._draining -= gone
        new = [each for each in named.values() if not self._has(each)]
        for member in new:
            self._loads[member.name] = self._new_load(member, expected_ms)
        return bool(gone or new)

    def mark_draining(self, upstream: str, draining: bool) -> bool:
        """Take in that an upstream drains, before the list says so.

        :param draining: whether it takes no new work.
        :returns: whether that is a change.
        """
        if upstream not in self._loads:
            return False
        if draining == (upstream in self._draining):
            return False
        if draining:
            self._draining.add(upstream)
        else:
            self._draining.discard(upstream)
        return True

    def avoid_home(self, home: str, until_ms: float) -> None:
        """Avoid the upstreams of a home that cannot be reached from here.

        :param home: VM of the home.
        :param until_ms: monotonic time.
        """
        for load in self._loads.values():
            if load.home == home:
                load.avoid_until_ms = until_ms

    def _has(self, member: Member) -> bool:
        present = self._loads.get(member.name)
        return present is not None and present.home == member.home

    def _new_load(self, member: Member, expected_ms: float) -> UpstreamLoad:
        """Return the load of an upstream of which nothing is known.

        It counts as one slot that is no faster than the slowest upstream
        known, so that its share grows with its own reports.
        """
        run_ms = max(
            (load.report.run_ms for load in self._loads.values()),
            default=expected_ms,
        )
        report = LoadReport(0, run_ms, 1, 1)
        return UpstreamLoad(
            member.name, member.zone, member.home, report, slots=member.slots
        )


__all__ = ('Member', 'MemberLoads')
