"""News that travels between nodes: versions, lists, crashes, leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..audit import AuditKind
from ..wire.messages import (
    ConfigAsk,
    ConfigNews,
    Heartbeat,
    Message,
    PoisonNews,
    VmAsk,
    VmChange,
    VmNews,
)
from .follower import NewsFollower

if TYPE_CHECKING:
    from collections.abc import Callable

    from .links import Link
    from .parts import NodeParts

_LEAVING_AVOID_MS: Final = 3000


class GossipController:
    """Takes news in and passes on what was not known.

    Each kind is merged so that order and repetition do not matter.

    :param parts: controllers of this node.
    :param links: gives all links whose handshake has ended.
    """

    def __init__(
        self,
        parts: NodeParts,
        links: Callable[[], tuple[Link, ...]],
    ) -> None:
        self._parts = parts
        self._links = links
        self._follower = NewsFollower(parts, self._is_near)

    def broadcast(self, message: Message, source: Link | None = None) -> None:
        """Send news to all linked nodes.

        :param message: the news.
        :param source: link that it came from, which is left out.
        """
        for link in self._links():
            if link is not source:
                link.send(message)

    def announce(self, source: Link | None = None) -> None:
        """Tell the nodes of the own zone which versions are known here.

        What the platform publishes is read in each availability zone, so it
        is announced within the zone only; a node of another zone that stays
        behind learns of it by the next heartbeat.

        :param source: link on which the latest came, which is left out.
        """
        heartbeat = self.heartbeat()
        for link in self._links():
            if link is not source and self._is_near(link):
                link.send(heartbeat)

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat of this node."""
        board = self._parts.board
        mark = board.config.read().mark
        return Heartbeat(
            mark.version,
            mark.digest,
            board.leaving.read(),
            board.vm_list.read().version,
        )

    def greet(self, link: Link) -> None:
        """Tell a node that has just been linked what is known here.

        :param link: way to the node.
        """
        self._parts.audit.record(
            AuditKind.PEER_JOINED, link.vm, f'incarnation {link.incarnation}'
        )
        link.send(self.heartbeat())
        for news in self._parts.crashes.known():
            link.send(news)

    def take(self, link: Link, message: Message) -> bool:
        """Take in a message.

        :param link: where it came from.
        :param message: any message.
        :returns: whether it was news.
        """
        match message:
            case Heartbeat():
                self._take_heartbeat(link, message)
            case PoisonNews():
                if self._parts.crashes.take(message):
                    self.broadcast(message, link)
            case ConfigNews():
                self._parts.config.take_news(message, link)
            case VmNews():
                self._parts.membership.take_news(message, link)
            case VmChange():
                self._parts.membership.take_change(message, link)
            case VmAsk() | ConfigAsk():
                self._answer(message, link)
            case _:
                return False
        return True

    def _is_near(self, link: Link) -> bool:
        vm = self._parts.board.vm_list.read().vms.get(link.vm)
        return vm is None or vm.zone == self._parts.settings.zone

    def _take_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        self._follower.hear(link, beat)
        link.heard_heartbeat.set()
        if beat.leaving:
            self._parts.routing.avoid(link.vm, _LEAVING_AVOID_MS)

    def _answer(self, ask: VmAsk | ConfigAsk, link: Link) -> None:
        if isinstance(ask, VmAsk):
            self._parts.membership.answer(ask, link)
        else:
            self._parts.config.answer(ask, link)


__all__ = ('GossipController',)
