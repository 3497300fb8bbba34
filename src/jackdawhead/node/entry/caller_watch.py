"""Detects callers that disconnect before their answer is complete."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final

import gevent

from ...sockets import has_hung_up

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

    from gevent.socket import socket as Socket

    from .answer_body import AnswerBody
    from .buffered_body import BufferedBody

_READ_EVENT: Final = 1
_POLL_INTERVAL_S: Final = 0.05


class CallerGoneError(BaseException):  # noqa: WPS418
    """The caller has closed its connection.

    Not an ``Exception``, so that no handler of ``Exception`` swallows it.
    """


class _CallerWatch:
    """Interrupts a greenlet when the peer closes a connection.

    Unread bytes ahead of the close keep the socket readable, so that no
    further event announces the close. Once the socket is readable it is
    therefore polled.
    """

    def __init__(
        self,
        sock: Socket,
        greenlet: gevent.Greenlet,
        on_disconnect: Callable[[], None],
    ) -> None:
        self._sock = sock
        self._greenlet = greenlet
        self._on_disconnect = on_disconnect
        self._loop = gevent.get_hub().loop
        self._watcher: Any = self._loop.io(sock.fileno(), _READ_EVENT)
        self._watcher.start(self._start_polling)

    def close(self) -> None:
        """Stop watching."""
        self._watcher.stop()
        self._watcher.close()

    def _start_polling(self) -> None:
        self.close()
        self._watcher = self._loop.timer(_POLL_INTERVAL_S, _POLL_INTERVAL_S)
        self._watcher.start(self._poll)
        self._poll()

    def _poll(self) -> None:
        if has_hung_up(self._sock):
            self._watcher.stop()
            self._on_disconnect()
            self._greenlet.kill(CallerGoneError(), block=False)


@contextmanager
def watch_caller(
    sock: Socket, on_disconnect: Callable[[], None]
) -> Iterator[None]:
    """Interrupt the current greenlet when the caller disconnects.

    :param sock: the caller's connection; other code may read from it
        meanwhile.
    :param on_disconnect: called when the caller has disconnected.
    :raises CallerGoneError: inside the block if the caller disconnects, or
        on entry if it disconnected before its request was read.
    """
    if has_hung_up(sock):
        on_disconnect()
        raise CallerGoneError
    watch = _CallerWatch(sock, gevent.getcurrent(), on_disconnect)
    try:
        yield
    finally:
        watch.close()


class WatchedBody:
    """Yields an answer's body while the caller stays connected.

    :param body: body of the answer; closing it early cancels the request.
    :param sock: the caller's connection.
    :param on_disconnect: called when the caller has disconnected.
    """

    def __init__(
        self,
        body: AnswerBody | BufferedBody,
        sock: Socket,
        on_disconnect: Callable[[], None],
    ) -> None:
        self._body = body
        self._sock = sock
        self._on_disconnect = on_disconnect
        self._chunks = self._watched()

    def __iter__(self) -> Iterator[bytes]:
        """Yield all chunks, once.

        :raises CallerGoneError: if the caller disconnects, also while a
            chunk is being sent to it.
        """
        return self._chunks

    def close(self) -> None:
        """Stop watching, and cancel the request if its answer is incomplete."""
        self._chunks.close()
        self._body.close()

    def _watched(self) -> Generator[bytes, None, None]:
        with watch_caller(self._sock, self._on_disconnect):
            yield from self._body


__all__ = ('CallerGoneError', 'WatchedBody', 'watch_caller')
