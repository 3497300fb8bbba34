"""Logs refused entries once, although they are read again and again."""

from __future__ import annotations

from typing import Final

import xxhash

from ..logs import log_event

# The oldest are forgotten, and logged again when they are read again.
_MAX_KNOWN: Final = 1000
_MAX_TEXT_CHARS: Final = 200


class RefusalLog:
    """Logs each refused entry once for each content."""

    def __init__(self) -> None:
        self._known: dict[int, None] = {}

    def note(self, subject: str, content: bytes, cause: str) -> None:
        """Log a refused entry unless it was logged with the same content.

        :param subject: name or key of the entry, empty if unknown.
        :param content: the entry as read.
        :param cause: why it is refused.
        """
        digest = xxhash.xxh3_64_intdigest(
            content, xxhash.xxh3_64_intdigest(subject.encode(errors='replace'))
        )
        if digest in self._known:
            return
        self._known[digest] = None
        if len(self._known) > _MAX_KNOWN:
            self._known.pop(next(iter(self._known)))
        log_event(
            'entry-refused',
            subject=subject[:_MAX_TEXT_CHARS],
            cause=cause[:_MAX_TEXT_CHARS],
        )


__all__ = ('RefusalLog',)
