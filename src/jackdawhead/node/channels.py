"""All links of a node, and the news that travels on them."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING, Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..config.settings import Address
from ..policy.gossip import gossip_peers
from ..wire.messages import (
    Body,
    ConfigNews,
    Credit,
    DrainNews,
    Head,
    Heartbeat,
    Message,
    PoisonNews,
    Refusal,
    Standing,
    VmNews,
)
from .home.session import HomeSession
from .links import AcceptedLink, DialledLink, Link

if TYPE_CHECKING:
    from .entry.attempts import Channel
    from .parts import NodeParts

_CONNECT_MS: Final = 800
_HEARTBEAT_MS: Final = 1000
_REDIAL_MS: Final = 500
_LEAVING_AVOID_MS: Final = 3000


class LocalChannel:
    """The way to the home in this process, without a socket.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self.vm = parts.identity.vm
        self._parts = parts
        self._session = HomeSession(parts.home, parts.board, self._receive)

    def send(self, message: Message) -> None:
        """Hand a message to the home.

        :param message: message of the entry.
        """
        self._session.on_message(message)

    def _receive(self, message: Message) -> None:
        receive_answer(self._parts, self, message)


class Channels:
    """Dials homes, accepts entries, and passes news on.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self._parts = parts
        self._local = LocalChannel(parts)
        self._dialled: dict[str, DialledLink] = {}
        self._dialling: dict[str, gevent.Greenlet] = {}
        self._redial_at_ms: dict[str, float] = {}
        self._accepted: dict[AcceptedLink, HomeSession] = {}
        self.control_bytes = 0
        self._server: StreamServer | None = None

    def start(self, stack: ExitStack) -> None:
        """Listen for other nodes.

        :param stack: owns the listener and the links.
        :raises OSError: if the address cannot be bound.
        """
        address = self._parts.settings.stream_address
        server = StreamServer((address.ip, address.port), self._accept)
        server.start()
        stack.callback(self._close_all)
        stack.callback(server.stop)
        self._server = server

    def to(self, vm: str) -> Channel | None:
        """Return the way to a node, dialling it if there is none yet.

        :param vm: VM of the node.
        :returns: the channel, or nothing if the node cannot be reached.
        """
        if vm == self._local.vm:
            return self._local
        link = self._dialled.get(vm)
        if link is not None and link.is_ready:
            return link
        return self._dial_once(vm)

    def links(self) -> tuple[Link, ...]:
        """Return all links whose handshake has ended."""
        links: list[Link] = [*self._dialled.values(), *self._accepted]
        return tuple(link for link in links if link.is_ready)

    def broadcast(self, message: Message, source: Link | None = None) -> None:
        """Send news to all linked nodes.

        :param message: the news.
        :param source: link that it came from, which is left out.
        """
        for link in self.links():
            if link is not source:
                link.send(message)

    def run(self) -> None:
        """Send heartbeats, close silent links, keep gossip links, for ever."""
        while True:
            gevent.sleep(seconds(_HEARTBEAT_MS))
            self._beat()

    def say_hello(self, timeout_ms: float) -> None:
        """Link to the gossip peers and wait for what they know.

        :param timeout_ms: longest wait.
        """
        peers = self._missing_peers()
        dials = [gevent.spawn(self._dial_once, vm) for vm in peers]
        gevent.joinall(dials, timeout=seconds(timeout_ms))
        waits = [link.heard_heartbeat for link in self._dialled.values()]
        gevent.wait(waits, timeout=seconds(timeout_ms))

    def say_leaving(self) -> None:
        """Tell all linked nodes that this one takes no new work."""
        self._beat()

    def _beat(self) -> None:
        now_ms = monotonic_ms()
        board = self._parts.board
        beat = Heartbeat(board.config.read().version, board.leaving.read())
        for link in self.links():
            if link.is_silent(now_ms):
                link.close('no heartbeat')
            else:
                link.send(beat)
        self._keep_gossip_links()

    def _keep_gossip_links(self) -> None:
        for vm in self._missing_peers():
            gevent.spawn(self._dial_once, vm)

    def _missing_peers(self) -> tuple[str, ...]:
        vms = self._parts.board.vm_list.read().vms
        nodes = tuple(
            vm.name for vm in vms.values() if vm.stream_port and not vm.leaving
        )
        return tuple(
            vm
            for vm in gossip_peers(self._local.vm, nodes)
            if vm not in self._dialled and vm not in self._dialling
        )

    def _dial_once(self, vm: str) -> DialledLink | None:
        """Dial a node; requests that arrive meanwhile wait for this dial."""
        dialling = self._dialling.get(vm)
        if dialling is None:
            if self._redial_at_ms.get(vm, 0) > monotonic_ms():
                return None
            dialling = gevent.spawn(self._dial, vm)
            self._dialling[vm] = dialling
        dialling.join()
        self._dialling.pop(vm, None)
        link = self._dialled.get(vm)
        return link if link is not None and link.is_ready else None

    def dial_seeds(self) -> None:
        """Link to the nodes named in the settings."""
        for address in self._parts.settings.seed_addresses:
            link = self._connect(address)
            if link is not None and link.ready.get():
                self._dialled[link.vm] = link
                self._greet(link)

    def _dial(self, name: str) -> None:
        vm = self._parts.board.vm_list.read().vms.get(name)
        if vm is None or not vm.stream_port:
            return
        link = self._connect(Address(vm.ip, vm.stream_port))
        if link is None or not link.ready.get():
            self._redial_at_ms[name] = monotonic_ms() + _REDIAL_MS
            return
        self._redial_at_ms.pop(name, None)
        self._dialled[name] = link
        self._greet(link)

    def _connect(self, address: Address) -> DialledLink | None:
        target = (address.ip, address.port)
        try:
            sock = socket.create_connection(target, seconds(_CONNECT_MS))
        except OSError:
            return None
        sock.settimeout(None)
        return DialledLink(
            self._parts.identity,
            sock,
            self._from_home,
            self._lost_home,
        )

    def _greet(self, link: Link) -> None:
        self._parts.audit.record(
            AuditKind.PEER_JOINED,
            link.vm,
            f'incarnation {link.incarnation}',
        )
        board = self._parts.board
        link.send(
            Heartbeat(board.config.read().version, board.leaving.read()),
        )
        self._parts.membership.greet(link)

    def _accept(self, sock: socket.socket, address: tuple[str, int]) -> None:
        link = AcceptedLink(
            self._parts.identity,
            sock,
            self._from_entry,
            self._lost_entry,
        )
        self._accepted[link] = HomeSession(
            self._parts.home,
            self._parts.board,
            link.send,
        )
        link.challenge()
        if link.ready.get():
            self._greet(link)
        else:
            self._parts.audit.record(
                AuditKind.PEER_REFUSED,
                address[0],
                'handshake failed',
            )
        # The server closes the socket when this function returns.
        link.ended.wait()

    def _from_home(self, link: Link, message: Message) -> None:
        if isinstance(message, (Head, Body, Refusal, Credit, Standing)):
            receive_answer(self._parts, link, message)
        else:
            self._take_news(link, message)

    def _from_entry(self, link: Link, message: Message) -> None:
        if isinstance(message, (Heartbeat, ConfigNews, PoisonNews, VmNews)):
            self._take_news(link, message)
            return
        session = self._accepted.get(link)  # type: ignore[call-overload]
        if session is not None:
            session.on_message(message)

    def _take_news(self, link: Link, message: Message) -> None:
        match message:
            case Heartbeat(config_version=version, leaving=leaving):
                self._take_heartbeat(link, version, leaving)
            case DrainNews(upstream=upstream, draining=draining):
                self._parts.routing.note_drain(upstream, draining)
            case PoisonNews():
                if self._parts.routing.note_poison(message):
                    self.broadcast(message, link)
            case ConfigNews():
                self._parts.config.take_news(message, link)
            case VmNews():
                self._parts.membership.take_news(message, link)

    def _take_heartbeat(
        self,
        link: Link,
        config_version: int,
        leaving: bool,
    ) -> None:
        link.config_version = max(link.config_version, config_version)
        link.heard_heartbeat.set()
        if leaving:
            self._parts.routing.avoid(link.vm, _LEAVING_AVOID_MS)
        self._parts.config.bring_up_to_date(link)

    def _lost_home(self, link: Link, reason: str) -> None:
        if not link.vm:
            return
        if self._dialled.get(link.vm) is link:
            del self._dialled[link.vm]
        self._parts.attempts.fail_all(link)
        self._parts.routing.avoid(link.vm)
        self._parts.audit.record(AuditKind.PEER_LOST, link.vm, reason)

    def _lost_entry(self, link: Link, reason: str) -> None:
        session = self._accepted.pop(link, None)  # type: ignore[call-overload]
        if session is not None:
            session.close()
        if link.vm:
            self._parts.audit.record(AuditKind.PEER_LOST, link.vm, reason)

    def _close_all(self) -> None:
        for link in self.links():
            link.flush(_CONNECT_MS)
            link.close('node stops')


def receive_answer(
    parts: NodeParts,
    channel: Channel,
    message: Message,
) -> None:
    """Hand a message of a home to whom it concerns.

    :param parts: controllers of this node.
    :param channel: where it comes from.
    :param message: a standing, or part of an answer.
    """
    if isinstance(message, Standing):
        parts.routing.note_standing(message)
    elif isinstance(message, (Head, Body, Refusal, Credit)):
        parts.attempts.deliver(channel, message)
    elif isinstance(message, DrainNews):
        parts.routing.note_drain(message.upstream, message.draining)


__all__ = ('Channels',)
