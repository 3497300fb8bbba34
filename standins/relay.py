"""A relay between two processes that can be cut in one direction."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

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
        self._target_port = target_port
        self._forward = Event()
        self._backward = Event()
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
        """Let all bytes pass again."""
        self._forward.set()
        self._backward.set()

    def _serve(self, caller: Socket, _: tuple[str, int]) -> None:
        try:
            target = socket.create_connection((_IP, self._target_port))
        except OSError:
            return
        pumps = (
            gevent.spawn(_pump, caller, target, self._forward),
            gevent.spawn(_pump, target, caller, self._backward),
        )
        gevent.joinall(pumps)
        target.close()


def _pump(source: Socket, sink: Socket, is_open: Event) -> None:
    try:
        for block in iter(partial(source.recv, _BLOCK_BYTES), b''):
            is_open.wait()
            sink.sendall(block)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        return


__all__ = ('Relay',)
