"""Limits the framing overhead of a chunked request body."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .time_slice import TimeSlice

if TYPE_CHECKING:
    from typing import BinaryIO, Protocol

    class _Chunk(Protocol):
        """Position in a chunk whose length is known."""

        chunk_length: int
        position: int


# Chunk sizes, extensions and trailers, which are read byte by byte.
_MAX_FRAMING_BYTES: Final = 262_144
# Framing that each chunk may need, besides twice the bytes that it carries.
_ALLOWED_PER_CHUNK: Final = 16
_ALLOWED_PER_BYTE: Final = 2
_READS_PER_CHECK: Final = 256


class ChunkGuard:
    """Reader that fails when a caller sends framing bytes without end.

    Framing that goes with the data, as in a body of many small chunks, is not
    limited.

    :param rfile: buffered reader of the connection.
    :param chunk: where the parser is; it reads data while the position has
        not reached the length.
    """

    def __init__(self, rfile: BinaryIO, chunk: _Chunk) -> None:
        self._rfile = rfile
        self._chunk = chunk
        self._excess_bytes = 0
        self._reads = 0
        self._yield_if_due = TimeSlice()

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body or of its framing.

        :param size: maximum number of bytes; 1 for a read of framing.
        :raises OSError: if the framing is too large.
        """
        is_data = self._chunk.position < self._chunk.chunk_length
        self._count_read(size, is_data=is_data)
        if not self._reads % _READS_PER_CHECK:
            # A fast sender must not block other requests.
            self._yield_if_due()
        return self._rfile.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, unbounded by this guard."""
        return self._rfile.readline(size)

    def _count_read(self, size: int, *, is_data: bool) -> None:
        self._reads += 1
        if is_data:
            allowed_bytes = _ALLOWED_PER_CHUNK + _ALLOWED_PER_BYTE * size
            self._excess_bytes = max(0, self._excess_bytes - allowed_bytes)
            return
        self._excess_bytes += 1
        if self._excess_bytes > _MAX_FRAMING_BYTES:
            raise OSError(f'chunk framing exceeds {_MAX_FRAMING_BYTES} bytes')


__all__ = ('ChunkGuard',)
