"""A multiplexed stream of messages over one TCP connection."""

from __future__ import annotations

import socket as plain_socket
from collections import deque
from typing import TYPE_CHECKING, Final

import gevent
from returns.result import Success

from ..logs import log_event
from .codec import FrameReader, decode, encode
from .messages import Body

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket as Socket

    from .messages import Message

_RECEIVE_BUFFER_BYTES: Final = 65_536
_MAX_BODY_BATCH_BYTES: Final = 65_536
_FLUSH_POLL_S: Final = 0.005


class Stream:
    """Sends and receives messages; body chunks have the lowest priority.

    :param sock: connected gevent socket.
    :param on_message: called with each received message.
    :param on_close: called once, with the reason, when the stream closes.
    """

    def __init__(
        self,
        sock: Socket,
        on_message: Callable[[Message], None],
        on_close: Callable[[str], None],
    ) -> None:
        self._sock = sock
        self._on_message = on_message
        self._on_close = on_close
        self._control_queue: deque[bytes] = deque()
        self._body_queue: deque[bytes] = deque()
        self._writer: gevent.Greenlet | None = None
        self.closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        set_no_delay(sock)
        self._reader = gevent.spawn(self._read)

    def send(self, message: Message) -> None:
        """Queue a message; a closed stream drops it.

        :param message: any registered message.
        """
        if self.closed:
            return
        queue = (
            self._body_queue
            if isinstance(message, Body)
            else self._control_queue
        )
        queue.append(encode(message))
        # The writer exists only while the queues are not empty: most links
        # are idle, and each greenlet uses about 10 KB.
        if self._writer is None:
            self._writer = gevent.spawn(self._write)

    def close(self, reason: str) -> None:
        """Close the stream and report the reason once.

        :param reason: reason for the log.
        """
        if self.closed:
            return
        self.closed = True
        self._sock.close()
        self._on_close(reason)
        current = gevent.getcurrent()
        for greenlet in (self._reader, self._writer):
            if greenlet is not None and greenlet is not current:
                greenlet.kill(block=False)

    def flush(self, timeout_s: float) -> None:
        """Wait until the queues are empty.

        :param timeout_s: maximum wait in seconds.
        """
        with gevent.Timeout(timeout_s, False):
            while (self._control_queue or self._body_queue) and not self.closed:
                gevent.sleep(_FLUSH_POLL_S)

    def _read(self) -> None:
        reader = FrameReader()
        reason = 'closed by peer'
        while not self.closed:
            try:
                received = self._sock.recv(_RECEIVE_BUFFER_BYTES)
            except OSError as error:
                reason = f'receive failed: {error}'
                break
            if not received:
                break
            self.received_bytes += len(received)
            close_reason = self._deliver_safely(reader, received)
            if close_reason:
                reason = close_reason
                break
        self.close(reason)

    def _deliver_safely(self, reader: FrameReader, received: bytes) -> str:
        """Deliver messages; an error of a handler closes only this stream."""
        try:
            return self._deliver(reader, received)
        except Exception as error:
            cause = f'{type(error).__name__}: {error}'
            log_event('message-failed', cause=cause)
            return f'unexpected error: {cause}'

    def _deliver(self, reader: FrameReader, received: bytes) -> str:
        for payload in reader.feed(received):
            match decode(payload):
                case Success(message):
                    self._on_message(message)
                case failed:
                    return f'malformed message: {failed.failure()}'
            if self.closed:
                return 'closed here'
        return 'oversized frame' if reader.oversized else ''

    def _write(self) -> None:
        batch = self._next_batch()
        while batch and not self.closed:
            try:
                self._send_whole(batch)
            except OSError as error:
                self.close(f'send failed: {error}')
                return
            self.sent_bytes += len(batch)
            batch = self._next_batch()
        self._writer = None

    def _send_whole(self, batch: bytes) -> None:
        """Send a batch; gevent's ``sendall`` asks for the buffer size first."""
        unsent = memoryview(batch)
        while unsent:
            unsent = unsent[self._sock.send(unsent) :]

    def _next_batch(self) -> bytes:
        frames = list(self._control_queue)
        self._control_queue.clear()
        body_bytes = 0
        while self._body_queue and body_bytes < _MAX_BODY_BATCH_BYTES:
            frame = self._body_queue.popleft()
            body_bytes += len(frame)
            frames.append(frame)
        return b''.join(frames)


def set_no_delay(sock: Socket) -> None:
    """Disable Nagle's algorithm, which delays small messages.

    :param sock: connected TCP socket.
    """
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)


__all__ = ('Stream', 'set_no_delay')
