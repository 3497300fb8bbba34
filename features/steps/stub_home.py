"""A home that refuses all requests, to see which ones it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.server import StreamServer

from jackdawhead.node.identity import new_identity
from jackdawhead.node.links import AcceptedLink, Link
from jackdawhead.outcome import Outcome
from jackdawhead.reasons import Reason
from jackdawhead.wire.messages import Heartbeat, Message, Refusal, Submit

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

_IP = '127.0.0.1'


class StubHome:
    """Accepts links in the place of a node.

    :param vm: VM of the node.
    :param port: port on which it accepts links.
    :param key: shared key of the fleet.
    """

    def __init__(self, vm: str, port: int, key: str) -> None:
        self.submitted = 0
        self.version = 0
        self.links: set[Link] = set()
        self._vm = vm
        self._keys = (key,)
        self.identity = new_identity(vm, self._keys)
        self._server = StreamServer((_IP, port), self._accept)

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return int(self._server.server_port)

    def replace_process(self) -> None:
        """Accept links as another process; the present ones stay open."""
        self.identity = new_identity(self._vm, self._keys)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all links."""
        self._server.stop(0)

    def know_upstreams(self) -> None:
        """Announce a configuration and a VM list."""
        self.version = 1
        for link in self.links:
            link.send(self._heartbeat())

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(self.version, 0, False, self.version)

    def _accept(self, sock: Socket, _: object) -> None:
        link = AcceptedLink(self.identity, sock, self._receive, self._drop)
        link.challenge()
        if link.ready.get():
            self.links.add(link)
            link.send(self._heartbeat())
        link.ended.wait()

    def _receive(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat):
            link.send(self._heartbeat())
        elif isinstance(message, Submit):
            self.submitted += 1
            link.send(
                Refusal(
                    message.request_id,
                    Outcome.NOT_RUN.value,
                    Reason.NO_UPSTREAM.value,
                    0,
                )
            )

    def _drop(self, link: Link, _: str) -> None:
        self.links.discard(link)
