"""Writes log lines without ever making the process wait for a reader."""

from __future__ import annotations

from collections import deque
from typing import Final

import gevent
from gevent.os import make_nonblocking, nb_write

# Lines kept while the reader of the output is slow; some 200 bytes each.
_MAX_LINES: Final = 4000
_BATCH_LINES: Final = 64


class BoundedOutput:
    """A bounded buffer that is drained when the output can take it.

    :param descriptor: file descriptor to write to, made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._writer: gevent.Greenlet | None = None
        self.dropped = 0

    def write(self, line: str) -> None:
        """Queue a line, or count it as dropped when the buffer is full.

        :param line: without its end.
        """
        if len(self._lines) >= _MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._writer is None:
            self._writer = gevent.spawn(self._drain)

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, but not for long.

        :param timeout_s: longest wait, in seconds.
        """
        if self._writer is not None:
            self._writer.join(timeout_s)

    def close(self) -> None:
        """Write nothing more, before the descriptor is another file's."""
        if self._writer is not None:
            self._writer.kill()

    def _drain(self) -> None:
        try:
            while self._lines:
                self._write_all(self._next_batch())
        except OSError:
            # There is no other place to tell it: the log itself has failed.
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
