"""Keeps track of the homes whose nodes stop, and of their starts afterwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from ...policy.service_router import ServiceRouter


class LeavingHomes:
    """Marks homes as leaving until a new incarnation of their node is linked.

    :param routers: returns the routing state of each service in use.
    :param on_restart: called with a home whose node has started again.
    """

    def __init__(
        self,
        routers: Callable[[], tuple[ServiceRouter, ...]],
        on_restart: Callable[[str], None],
    ) -> None:
        self._routers = routers
        self._on_restart = on_restart
        self._incarnations: dict[str, int] = {}
        self._leaving: set[str] = set()

    def note_linked(self, home: str, incarnation: int) -> None:
        """Record that a node is linked; use it again if it has restarted.

        :param home: VM of the node.
        :param incarnation: identity of its process.
        """
        known = self._incarnations.get(home)
        self._incarnations[home] = incarnation
        if known in {None, incarnation}:
            return
        self._unmark(home)
        self._on_restart(home)

    def note_leaving(self, home: str, incarnation: int) -> None:
        """Record a notice that a node stops; an older process's is ignored.

        :param home: VM of the node.
        :param incarnation: identity of its process.
        """
        known = self._incarnations.setdefault(home, incarnation)
        if known != incarnation or home in self._leaving:
            return
        self._leaving.add(home)
        for router in self._routers():
            router.mark_home_leaving(home, leaving=True)

    def apply_to(self, router: ServiceRouter) -> None:
        """Mark the leaving homes in a new router.

        :param router: routing state of a service.
        """
        for home in self._leaving:
            router.mark_home_leaving(home, leaving=True)

    def retain(self, vms: Container[str]) -> None:
        """Forget the nodes of VMs that are no longer listed.

        :param vms: names of the listed VMs.
        """
        for home in tuple(self._incarnations):
            if home not in vms:
                self._incarnations.pop(home)
                self._unmark(home)

    def _unmark(self, home: str) -> None:
        self._leaving.discard(home)
        for router in self._routers():
            router.mark_home_leaving(home, leaving=False)


__all__ = ('LeavingHomes',)
