"""News that travels between nodes: versions, lists, crashes, leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..audit import AuditKind
from ..blackboard import ConfigMark
from ..wire.messages import (
    ConfigNews,
    Heartbeat,
    Message,
    PoisonNews,
    VmAsk,
    VmChange,
    VmNews,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .links import Link
    from .parts import NodeParts

_PUBLISHED: Final = (ConfigNews, VmNews, VmChange)
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

    def broadcast(self, message: Message, source: Link | None = None) -> None:
        """Send news to all linked nodes.

        What the platform publishes is read in each availability zone, so it
        is passed on within the zone only; a node of another zone that stays
        behind shows it by its heartbeats.

        :param message: the news.
        :param source: link that it came from, which is left out.
        """
        is_published = isinstance(message, _PUBLISHED)
        for link in self._links():
            if link is source:
                continue
            if not is_published or self._is_near(link):
                link.send(message)

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
            case VmAsk():
                self._parts.membership.greet(link)
            case _:
                return False
        return True

    def _is_near(self, link: Link) -> bool:
        vm = self._parts.board.vm_list.read().vms.get(link.vm)
        return vm is None or vm.zone == self._parts.settings.zone

    def _take_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        link.config_mark = ConfigMark(beat.config_version, beat.config_digest)
        link.heard_heartbeat.set()
        if beat.leaving:
            self._parts.routing.avoid(link.vm, _LEAVING_AVOID_MS)
        self._parts.config.bring_up_to_date(link)
        self._parts.membership.bring_up_to_date(link, beat.vm_list_version)


__all__ = ('GossipController',)
