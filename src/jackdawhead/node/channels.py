"""Links between this node and all others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..blackboard import ConfigId
from ..clock import monotonic_ms, seconds
from .acceptor import Acceptor
from .dialler import Dialler
from .gossip_controller import GossipController
from .home_readiness import HomeReadiness
from .links import HEARTBEAT_INTERVAL_MS
from .local_channel import LocalChannel

if TYPE_CHECKING:
    from contextlib import ExitStack

    from ..wire.messages import Message
    from .entry.attempts import Channel
    from .links import Link
    from .parts import NodeParts
    from .tickets.session import TicketServer

_FLUSH_TIMEOUT_MS: Final = 500
_CATCH_UP_DIAL_TIMEOUT_MS: Final = 1000
_CATCH_UP_POLL_MS: Final = 10


class Channels:
    """Manages outgoing links to homes and incoming links from entries.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self.gossip = GossipController(parts, self.links)
        self._config = parts.board.config
        self._local = LocalChannel(parts)
        self._dialler = Dialler(parts, self.gossip)
        self._acceptor = Acceptor(
            parts, self.gossip, self._dialler.note_peer_linked
        )
        self._quotas = parts.quotas
        self._quotas.send = self.send_to
        self.readiness = HomeReadiness(
            parts.board, parts.home, self.send_heartbeats
        )

    def start(self, stack: ExitStack) -> None:
        """Listen for links from other nodes.

        :param stack: closes the listener and the links on exit.
        :raises OSError: if the address cannot be bound.
        """
        self._acceptor.start()
        stack.callback(self._close_links)
        stack.callback(self._acceptor.stop)

    def channel_to(self, vm: str) -> Channel | None:
        """Return the channel to a node.

        :param vm: VM of the node.
        :returns: the channel, or ``None`` if the node is unreachable.
        """
        if vm == self._local.vm:
            return self._local
        return self._dialler.link_to(vm)

    def send_to(self, vm: str, message: Message) -> None:
        """Send a message to a node by any link, or dial the node.

        The message is dropped if the node can't be reached.

        :param vm: VM of the node.
        :param message: any registered message.
        """
        link = self._dialler.usable_link(vm) or self._acceptor.link_from(vm)
        if link is None:
            gevent.spawn(self._dial_and_send, vm, message)
            return
        link.last_request_at_ms = monotonic_ms()
        link.send(message)

    def is_linked(self, vm: str) -> bool:
        """Return whether requests can be sent to a node without dialling it.

        :param vm: VM of the node.
        """
        return vm == self._local.vm or self._dialler.usable_link(vm) is not None

    def accept_tickets(self, server: TicketServer) -> None:
        """Start accepting ticket requests forwarded by other nodes.

        :param server: runs these requests.
        """
        self._acceptor.tickets = server

    def links(self) -> tuple[Link, ...]:
        """Return all links with a completed handshake."""
        return (*self._dialler.links, *self._acceptor.links)

    @property
    def dialled(self) -> tuple[Link, ...]:
        """Links dialled by this node, with a completed handshake."""
        return self._dialler.links

    def dial_seeds(self) -> None:
        """Dial the seed nodes named in the settings."""
        self._dialler.dial_seeds()

    def sync_with_peers(self, timeout_ms: float) -> None:
        """Dial the gossip peers and catch up with them.

        :param timeout_ms: maximum wait in milliseconds.
        """
        with gevent.Timeout(seconds(timeout_ms), False):
            self.catch_up(timeout_ms)

    def close_all_links(self, reason: str) -> None:
        """Close all links.

        :param reason: reason for the log.
        """
        for link in self.links():
            link.close(reason)

    def catch_up(self, dial_ms: float = _CATCH_UP_DIAL_TIMEOUT_MS) -> None:
        """Dial peers and wait until their latest configuration is active.

        This never returns if this node refuses that configuration, so the
        calling code must set a timeout.

        :param dial_ms: maximum wait for the dials, in milliseconds.
        """
        self._dialler.dial_peers(dial_ms)
        config_ids = [link.config_id for link in self.links()]
        latest = max(config_ids, default=ConfigId())
        while self._config.read().config_id < latest:
            gevent.sleep(seconds(_CATCH_UP_POLL_MS))

    def run(self) -> None:
        """Send heartbeats and close silent or idle links, forever."""
        while True:
            gevent.sleep(seconds(HEARTBEAT_INTERVAL_MS))
            self._keep_alive(monotonic_ms())
            self._dialler.close_idle()
            self._dialler.redial()

    def run_redials(self) -> None:
        """Dial nodes that could not be reached, forever."""
        self._dialler.run()

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link immediately."""
        heartbeat = self.gossip.heartbeat()
        for link in self.links():
            link.send(heartbeat)

    def _dial_and_send(self, vm: str, message: Message) -> None:
        link = self._dialler.link_to(vm)
        if link is None:
            self._quotas.note_unreachable(vm)
        else:
            link.send(message)

    def _keep_alive(self, now_ms: float) -> None:
        """Close links whose peer is silent; send heartbeats on the others.

        Recent messages replace a heartbeat, except on links to gossip
        peers, which need the versions in each heartbeat.
        """
        heartbeat = self.gossip.heartbeat()
        for link in self.links():
            if link.is_silent(now_ms):
                link.close('no heartbeat')
            elif link.needs_heartbeat(now_ms) or self._dialler.is_peer(link):
                link.send(heartbeat)

    def _close_links(self) -> None:
        links = self.links()
        flushes = [
            gevent.spawn(link.flush, _FLUSH_TIMEOUT_MS) for link in links
        ]
        # Flush in parallel so that one stalled link cannot use up the
        # shutdown time of the others.
        gevent.joinall(flushes, timeout=seconds(_FLUSH_TIMEOUT_MS))
        for link in links:
            link.close('node shut down')


__all__ = ('Channels',)
