"""Notices that a caller has hung up before its answer is complete."""

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

_READABLE: Final = 1
_LOOK_EVERY_S: Final = 0.05


class CallerGoneError(BaseException):  # noqa: WPS418
    """The caller has closed its connection.

    Not an ``Exception``, so that no handler for failures swallows it.
    """


class _CallerWatch:
    """Interrupts a greenlet once a connection has ended.

    Bytes that nobody reads may stand before the end, and keep the connection
    readable. From then on it is looked at from time to time.
    """

    def __init__(
        self,
        sock: Socket,
        greenlet: gevent.Greenlet,
        on_left: Callable[[], None],
    ) -> None:
        self._sock = sock
        self._greenlet = greenlet
        self._on_left = on_left
        self._loop = gevent.get_hub().loop
        self._watcher: Any = self._loop.io(sock.fileno(), _READABLE)
        self._watcher.start(self._look_first)

    def close(self) -> None:
        """Watch no longer."""
        self._watcher.stop()
        self._watcher.close()

    def _look_first(self) -> None:
        self.close()
        self._watcher = self._loop.timer(_LOOK_EVERY_S, _LOOK_EVERY_S)
        self._watcher.start(self._look)
        self._look()

    def _look(self) -> None:
        if has_hung_up(self._sock):
            self._watcher.stop()
            self._on_left()
            self._greenlet.kill(CallerGoneError(), block=False)


@contextmanager
def watch_caller(sock: Socket, on_left: Callable[[], None]) -> Iterator[None]:
    """Interrupt the current greenlet when the caller hangs up.

    :param sock: the caller's connection; others may read it meanwhile.
    :param on_left: called when the caller has hung up.
    :raises CallerGoneError: inside the block, if the caller hangs up, or
        before it, if the caller left while its request was not read yet.
    """
    if has_hung_up(sock):
        on_left()
        raise CallerGoneError
    watch = _CallerWatch(sock, gevent.getcurrent(), on_left)
    try:
        yield
    finally:
        watch.close()


class WatchedBody:
    """Yields an answer's body as long as the caller is there.

    :param body: withdraws the request when it is closed early.
    :param sock: the caller's connection.
    :param on_left: called when the caller has hung up.
    """

    def __init__(
        self,
        body: AnswerBody | BufferedBody,
        sock: Socket,
        on_left: Callable[[], None],
    ) -> None:
        self._body = body
        self._sock = sock
        self._on_left = on_left
        self._chunks = self._watched()

    def __iter__(self) -> Iterator[bytes]:
        """Yield all chunks, once.

        :raises CallerGoneError: if the caller hangs up, also while a chunk
            is being sent to it.
        """
        return self._chunks

    def close(self) -> None:
        """Watch no longer, and withdraw a request that is not answered."""
        self._chunks.close()
        self._body.close()

    def _watched(self) -> Generator[bytes, None, None]:
        with watch_caller(self._sock, self._on_left):
            yield from self._body


__all__ = ('CallerGoneError', 'WatchedBody', 'watch_caller')
