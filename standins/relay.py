"""A relay between two processes that can be cut, delayed and reset."""

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
    """Passes bytes between callers and a target port on loopback.

    While a direction is cut, its bytes wait and nothing is closed, as with
    a network that drops packets.

    :param target_port: where connections go on to.
    """

    def __init__(self, target_port: int) -> None:
        self.delay_s: float = 0
        self._target_port = target_port
        self._forward = Event()
        self._backward = Event()
        self._sockets: set[Socket] = set()
        self._server = StreamServer((_IP, 0), self._serve)
        self.heal()

    @property
    def port(self) -> int:
        """Port of the relay."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(0)

    def cut_forward(self) -> None:
        """Hold back what goes to the target."""
        self._forward.clear()

    def cut_backward(self) -> None:
        """Hold back what comes from the target."""
        self._backward.clear()

    def heal(self) -> None:
        """Let all bytes pass again, without delay."""
        self.delay_s = 0
        self._forward.set()
        self._backward.set()

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
            gevent.spawn(self._pump, caller, target, self._forward),
            gevent.spawn(self._pump, target, caller, self._backward),
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
