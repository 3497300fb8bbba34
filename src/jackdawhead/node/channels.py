"""All links of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..blackboard import ConfigMark
from ..clock import monotonic_ms, seconds
from .acceptor import Acceptor
from .dialler import Dialler
from .local_channel import LocalChannel
from .gossip_controller import GossipController
from .links import HEARTBEAT_MS

if TYPE_CHECKING:
    from contextlib import ExitStack

    from .entry.attempts import Channel
    from .links import Link
    from .parts import NodeParts
    from .tickets.session import TicketSessions

_FLUSH_MS: Final = 500
_CATCH_UP_MS: Final = 1000
_CATCH_UP_POLL_MS: Final = 10


class Channels:
    """Dials homes, accepts entries, and keeps the links alive.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self.gossip = GossipController(parts, self.links)
        self._config = parts.board.config
        self._local = LocalChannel(parts)
        self._dialler = Dialler(parts, self.gossip)
        self._acceptor = Acceptor(parts, self.gossip, self._dialler.forgive)

    def start(self, stack: ExitStack) -> None:
        """Listen for other nodes.

        :param stack: owns the listener and the links.
        :raises OSError: if the address cannot be bound.
        """
        self._acceptor.start()
        stack.callback(self._close_links)
        stack.callback(self._acceptor.stop)

    def to(self, vm: str) -> Channel | None:
        """Return the way to a node.

        :param vm: VM of the node.
        :returns: the channel, or nothing if the node cannot be reached.
        """
        if vm == self._local.vm:
            return self._local
        return self._dialler.link_to(vm)

    def take_tickets(self, sessions: TicketSessions) -> None:
        """Run forwarded requests with tickets from now on.

        :param sessions: runs them.
        """
        self._acceptor.tickets = sessions

    def links(self) -> tuple[Link, ...]:
        """Return all links whose handshake has ended."""
        return (*self._dialler.links, *self._acceptor.links)

    @property
    def dialled(self) -> tuple[Link, ...]:
        """Links that this node has dialled, whose handshake has ended."""
        return self._dialler.links

    def meet_peers(self, timeout_ms: float) -> None:
        """Link to seeds and gossip peers, and take over what they know.

        :param timeout_ms: longest wait.
        """
        self._dialler.dial_seeds()
        with gevent.Timeout(seconds(timeout_ms), False):
            self.catch_up(timeout_ms)

    def drop_links(self, reason: str) -> None:
        """Close all links.

        :param reason: for the log.
        """
        for link in self.links():
            link.close(reason)

    def catch_up(self, dial_ms: float = _CATCH_UP_MS) -> None:
        """Dial peers and wait until their configuration is in force here.

        A configuration that is refused here is waited for without end, so
        the caller limits the time.

        :param dial_ms: longest wait for the dials.
        """
        self._dialler.dial_peers(dial_ms)
        marks = [link.config_mark for link in self.links()]
        latest = max(marks, default=ConfigMark())
        while self._config.read().mark < latest:
            gevent.sleep(seconds(_CATCH_UP_POLL_MS))

    def run(self) -> None:
        """Send heartbeats and close silent links, for ever."""
        while True:
            gevent.sleep(seconds(HEARTBEAT_MS))
            self._keep_alive(monotonic_ms())
            self._dialler.close_unused()
            self._dialler.keep_peers()

    def beat(self) -> None:
        """Send a heartbeat on each link at once."""
        heartbeat = self.gossip.heartbeat()
        for link in self.links():
            link.send(heartbeat)

    def _keep_alive(self, now_ms: float) -> None:
        """Close silent links, and send heartbeats.

        A link in use shows life without one, but gossip peers are told each
        time what is known here.
        """
        heartbeat = self.gossip.heartbeat()
        for link in self.links():
            if link.is_silent(now_ms):
                link.close('no heartbeat')
            elif link.needs_heartbeat(now_ms) or self._dialler.is_peer(link):
                link.send(heartbeat)

    def _close_links(self) -> None:
        links = self.links()
        flushes = [gevent.spawn(link.flush, _FLUSH_MS) for link in links]
        # All at once: a silent link must not use up the time of a stop.
        gevent.joinall(flushes, timeout=seconds(_FLUSH_MS))
        for link in links:
            link.close('node stops')


__all__ = ('Channels',)
