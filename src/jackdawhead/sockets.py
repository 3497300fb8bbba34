"""Checks on connections that leave received bytes in the socket buffer."""

from __future__ import annotations

from contextlib import suppress
from select import POLLERR, POLLHUP, POLLIN, POLLOUT, POLLRDHUP, poll
from typing import TYPE_CHECKING, Final

from gevent import Timeout, sleep, socket
from gevent.select import poll as cooperative_poll

from .clock import seconds

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gevent.socket import socket as Socket

_DROPPED_BYTES: Final = 65_536
_DROP_PAUSE_S: Final = 0.0005
_CLOSED_EVENTS: Final = POLLRDHUP | POLLHUP | POLLERR


def has_hung_up(sock: Socket) -> bool:
    """Return whether the peer has closed or reset the connection.

    Bytes that the peer sent before may still be unread.

    :param sock: connected socket.
    """
    if sock.fileno() < 0:
        return True
    poller = poll()
    poller.register(sock, _CLOSED_EVENTS)
    return bool(poller.poll(0))


def is_at_eof(sock: Socket) -> bool:
    """Return whether the connection is closed or broken and no byte is unread.

    :param sock: connected socket.
    """
    return _peek(sock) == b''


def is_idle(sock: Socket) -> bool:
    """Return whether the connection is open and no byte is unread.

    :param sock: connected socket.
    """
    return _peek(sock) is None


def wait_readable(
    socks: Sequence[Socket],
    timeout_ms: float | None = None,
) -> Socket | None:
    """Wait until a connection has unread bytes or is closed by its peer.

    :param socks: connected sockets.
    :param timeout_ms: timeout in milliseconds, none to wait without limit.
    :returns: the first such socket, or none if the timeout expires.
    """
    ready = _await_events(socks, POLLIN, timeout_ms)
    return next((sock for sock in socks if sock.fileno() in ready), None)


def wait_writable(sock: Socket) -> bool:
    """Wait until a connection is writable, unless the peer responds first.

    :param sock: connection on which a request is being sent.
    :returns: true if it is writable, false if there are bytes to read or the
        peer has closed the connection.
    """
    ready = _await_events((sock,), POLLIN | POLLOUT, None)
    return ready.get(sock.fileno()) == POLLOUT


def await_close(sock: Socket, timeout_ms: float) -> None:
    """Send the end of the stream and drop what arrives until the peer closes.

    Closing a connection with unread bytes would reset it, and the peer might
    lose the last answer.

    :param sock: connected socket.
    :param timeout_ms: longest wait for the peer in milliseconds.
    """
    with suppress(OSError), Timeout(seconds(timeout_ms), TimeoutError):
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(_DROPPED_BYTES):
            # A fast sender would let no timer fire, not even the timeout.
            sleep(_DROP_PAUSE_S)


def _await_events(
    socks: Iterable[Socket], events: int, timeout_ms: float | None
) -> dict[int, int]:
    """Wait for events of connections.

    Polls, since select() takes no descriptor from 1024 on.

    :param socks: connected sockets; a closed one is ready at once.
    :param events: the events, as for ``poll``.
    :param timeout_ms: timeout in milliseconds, none to wait without limit.
    :returns: the events that have occurred, by file descriptor.
    """
    descriptors = [sock.fileno() for sock in socks]
    if min(descriptors) < 0:
        return {fd: POLLHUP for fd in descriptors if fd < 0}
    at_once = poll()
    later = cooperative_poll()
    for fd in descriptors:
        at_once.register(fd, events)
        later.register(fd, events)
    ready = at_once.poll(0)
    if not ready and timeout_ms != 0:
        ready = later.poll(timeout_ms)
    return dict(ready)


def _peek(sock: Socket) -> bytes | None:
    """Read the next byte without removing it from the socket buffer.

    :returns: empty bytes if the connection is closed or broken, none if no
        byte is available yet.
    """
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return bytes(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return b''
    finally:
        sock.settimeout(timeout)


__all__ = (
    'await_close',
    'has_hung_up',
    'is_at_eof',
    'is_idle',
    'wait_readable',
    'wait_writable',
)
