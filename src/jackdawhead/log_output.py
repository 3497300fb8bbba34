"""Non-blocking log output: a slow reader never blocks the process."""

from __future__ import annotations

from collections import deque
from typing import Final

import gevent
from gevent.os import make_nonblocking, nb_write

# Lines buffered while the reader is slow; a line has about 200 bytes.
_MAX_BUFFERED_LINES: Final = 4000
_BATCH_LINES: Final = 64


class BoundedOutput:
    """Buffers lines and writes them whenever the file descriptor is writable.

    :param descriptor: file descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._writer: gevent.Greenlet | None = None
        self.dropped = 0

    def write(self, line: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full.

        :param line: text without the newline.
        """
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._writer is None:
            self._writer = gevent.spawn(self._drain)

    def flush(self, timeout_s: float) -> None:
        """Wait until the buffer is empty or the timeout expires.

        :param timeout_s: timeout in seconds.
        """
        if self._writer is not None:
            self._writer.join(timeout_s)

    def close(self) -> None:
        """Stop writing.

        Call it before the file descriptor is closed, since the number may
        then be reused for another file.
        """
        if self._writer is not None:
            self._writer.kill()

    def _drain(self) -> None:
        try:
            while self._lines:
                self._write_all(self._next_batch())
        except OSError:
            # Cannot be logged: the log output itself has failed.
            self.dropped += len(self._lines)
            self._lines.clear()
        finally:
            self._writer = None

    def _next_batch(self) -> bytes:
        count = min(_BATCH_LINES, len(self._lines))
        batch = [self._lines.popleft() for _ in range(count)]
        return ''.join(f'{line}\n' for line in batch).encode()

    def _write_all(self, batch: bytes) -> None:
        while batch:
            written = nb_write(self._descriptor, batch)
            batch = batch[written:]


__all__ = ('BoundedOutput',)
