"""A TCP relay that can cut, delay and reset connections."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from .resets import reset_connection

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

_BLOCK_BYTES: Final = 65_536
_IP: Final = '127.0.0.1'


class Relay:
    """Forwards connections to a target port on loopback.

    While a direction is cut, its bytes are held back and connections stay
    open, as on a network that drops packets.

    :param target_port: port that connections are forwarded to.
    """

    def __init__(self, target_port: int) -> None:
        self.delay_s: float = 0
        self._target_port = target_port
        self._forward_open = Event()
        self._backward_open = Event()
        self._sockets: set[Socket] = set()
        self._server = StreamServer((_IP, 0), self._serve)
        self.heal()

    @property
    def port(self) -> int:
        """Port of the relay."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Start listening on a free port."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(0)

    def cut_forward(self) -> None:
        """Hold back the bytes sent to the target."""
        self._forward_open.clear()

    def cut_backward(self) -> None:
        """Hold back the bytes sent by the target."""
        self._backward_open.clear()

    def heal(self) -> None:
        """Forward all bytes again, without delay."""
        self.delay_s = 0
        self._forward_open.set()
        self._backward_open.set()

    def reset(self) -> None:
        """Reset all connections on both sides."""
        for sock in tuple(self._sockets):
            reset_connection(sock)
        self._sockets.clear()

    def _serve(self, caller: Socket, _: tuple[str, int]) -> None:
        try:
            target = socket.create_connection((_IP, self._target_port))
        except OSError:
            return
        pair = {caller, target}
        self._sockets |= pair
        pumps = (
            gevent.spawn(self._pump, caller, target, self._forward_open),
            gevent.spawn(self._pump, target, caller, self._backward_open),
        )
        gevent.joinall(pumps)
        self._sockets -= pair
        target.close()

    def _pump(self, source: Socket, sink: Socket, is_open: Event) -> None:
        try:
            for block in iter(partial(source.recv, _BLOCK_BYTES), b''):
                gevent.sleep(self.delay_s)
                is_open.wait()
                sink.sendall(block)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


__all__ = ('Relay',)
