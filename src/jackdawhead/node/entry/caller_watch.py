"""Notices that a caller has hung up while its answer is awaited."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

import gevent

from ...sockets import has_hung_up

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gevent.socket import socket as Socket

_READABLE: Final = 1


class CallerGoneError(BaseException):  # noqa: WPS418
    """The caller has closed its connection.

    Not an ``Exception``, so that no handler for failures swallows it.
    """


@contextmanager
def watch_caller(sock: Socket) -> Iterator[None]:
    """Interrupt the current greenlet when the caller hangs up.

    :param sock: the caller's connection; its whole request has been read.
    :raises CallerGoneError: inside the block, if the caller hangs up.
    """
    greenlet = gevent.getcurrent()
    watcher = gevent.get_hub().loop.io(sock.fileno(), _READABLE)

    def check() -> None:
        watcher.stop()
        if has_hung_up(sock):
            greenlet.kill(CallerGoneError(), block=False)

    watcher.start(check)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


__all__ = ('CallerGoneError', 'watch_caller')
