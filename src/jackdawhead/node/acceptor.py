"""Incoming links from other nodes, whose requests run at this home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.server import StreamServer

from ..audit import AuditKind
from ..clock import boot_ms
from ..wire.messages import TicketSubmit
from .home.session import HomeSession
from .links import AcceptedLink, Link

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket as Socket

    from ..wire.messages import Message
    from .gossip_controller import GossipController
    from .parts import NodeParts
    from .tickets.session import TicketServer


class Acceptor:
    """Listens for other nodes.

    :param parts: controllers of this node.
    :param gossip: handles gossip messages and new links.
    :param on_peer_linked: called with each link whose handshake has
        completed.
    """

    def __init__(
        self,
        parts: NodeParts,
        gossip: GossipController,
        on_peer_linked: Callable[[Link], None],
    ) -> None:
        self._parts = parts
        self._gossip = gossip
        self._on_peer_linked = on_peer_linked
        self.tickets: TicketServer | None = None
        self._sessions: dict[Link, HomeSession] = {}
        address = parts.settings.stream_address
        self._server = StreamServer((address.ip, address.port), self._accept)

    @property
    def links(self) -> tuple[Link, ...]:
        """Links with a completed handshake."""
        return tuple(link for link in self._sessions if link.is_ready)

    def link_from(self, vm: str) -> Link | None:
        """Return a link that a node has dialled, if there is one.

        :param vm: VM of the node.
        """
        return next(
            (
                link
                for link in self._sessions
                if link.vm == vm and link.is_ready
            ),
            None,
        )

    def start(self) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Stop accepting links."""
        self._server.close()

    def _accept(self, sock: Socket, address: tuple[str, int]) -> None:
        link = AcceptedLink(
            self._parts.identity, sock, self._receive, self._on_link_closed
        )
        self._sessions[link] = HomeSession(self._parts.home, link.send)
        link.challenge()
        if link.ready.get():
            self._gossip.on_link_ready(link)
            self._on_peer_linked(link)
        else:
            self._parts.audit.record(
                AuditKind.PEER_REFUSED, address[0], 'handshake failed'
            )
        # The server closes the socket when this function returns.
        link.ended.wait()

    def _receive(self, link: Link, message: Message) -> None:
        if self._parts.pauses.notice(boot_ms()):
            return
        if self._gossip.receive(link, message):
            return
        if isinstance(message, TicketSubmit):
            if self.tickets is not None:
                self.tickets.accept(message, link.send)
            return
        session = self._sessions.get(link)
        if session is not None:
            session.on_message(message)

    def _on_link_closed(self, link: Link, reason: str) -> None:
        session = self._sessions.pop(link, None)
        if session is not None:
            session.close()
        if link.vm:
            self._parts.quotas.note_link_lost(link.vm)
            self._parts.audit.record(AuditKind.PEER_LOST, link.vm, reason)


__all__ = ('Acceptor',)
