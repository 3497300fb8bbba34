"""Limits the framing overhead of a chunked request body."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

if TYPE_CHECKING:
    from typing import BinaryIO

# Chunk sizes, extensions and trailers, which are read byte by byte.
_MAX_FRAMING_BYTES: Final = 262_144
_BYTES_PER_YIELD: Final = 16_384


class ChunkGuard:
    """Reader that fails when a caller sends framing bytes without end.

    :param rfile: buffered reader of the connection.
    """

    def __init__(self, rfile: BinaryIO) -> None:
        self._rfile = rfile
        self._framing_bytes = 0

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body or of its framing.

        :param size: maximum number of bytes; 1 for a read of framing.
        :raises OSError: if the framing is too large.
        """
        if size > 1:
            self._framing_bytes = 0
            return self._rfile.read(size)
        self._framing_bytes += 1
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            raise OSError(f'chunk framing exceeds {_MAX_FRAMING_BYTES} bytes')
        if not self._framing_bytes % _BYTES_PER_YIELD:
            # Yield so that a fast sender does not block other requests.
            gevent.sleep(0)
        return self._rfile.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, unbounded by this guard."""
        return self._rfile.readline(size)


__all__ = ('ChunkGuard',)
