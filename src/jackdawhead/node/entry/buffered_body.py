"""Body of an answer that is held in memory."""

from __future__ import annotations

from collections.abc import Iterator


class BufferedBody:
    """A body that can be sent any number of times.

    :param content: the complete body.
    """

    def __init__(self, content: bytes) -> None:
        self.buffered: bytes | None = content

    def __iter__(self) -> Iterator[bytes]:
        """Yield the content once."""
        yield self.buffered or b''

    def close(self) -> None:
        """Do nothing: no request is in flight."""


__all__ = ('BufferedBody',)
