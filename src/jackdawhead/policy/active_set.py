"""Names that were seen a moment ago."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

_MAX_NAMES: Final = 4096


class ActiveSet:
    """Counts the names seen within a time; its size is bounded.

    :param life_ms: time after which a name is forgotten.
    """

    def __init__(self, life_ms: float) -> None:
        self._life_ms = life_ms
        self._seen_at_ms: OrderedDict[str, float] = OrderedDict()

    def note(self, name: str, now_ms: float) -> None:
        """Take in that a name is seen.

        :param now_ms: monotonic time.
        """
        self._seen_at_ms[name] = now_ms
        self._seen_at_ms.move_to_end(name)
        if len(self._seen_at_ms) > _MAX_NAMES:
            self._seen_at_ms.popitem(last=False)

    def count(self, now_ms: float) -> int:
        """Return how many names are remembered.

        :param now_ms: monotonic time.
        """
        oldest_ms = now_ms - self._life_ms
        while self._seen_at_ms:
            name = next(iter(self._seen_at_ms))
            if self._seen_at_ms[name] >= oldest_ms:
                break
            self._seen_at_ms.pop(name)
        return len(self._seen_at_ms)


__all__ = ('ActiveSet',)
