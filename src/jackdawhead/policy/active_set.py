"""Set of recently seen names, with a time to live and a bounded size."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

_CAPACITY: Final = 4096


class RecentNames:
    """Counts the distinct names seen recently.

    When more than 4096 names are kept, the oldest is dropped.

    :param life_ms: time after which a name that was not seen again is dropped.
    """

    def __init__(self, life_ms: float) -> None:
        self._life_ms = life_ms
        self._seen_at_ms: OrderedDict[str, float] = OrderedDict()

    def add(self, name: str, now_ms: float) -> None:
        """Add a name, or renew its time to live.

        :param now_ms: monotonic time.
        """
        self._seen_at_ms[name] = now_ms
        self._seen_at_ms.move_to_end(name)
        if len(self._seen_at_ms) > _CAPACITY:
            self._seen_at_ms.popitem(last=False)

    def count(self, now_ms: float) -> int:
        """Return the number of names seen within the time to live.

        :param now_ms: monotonic time.
        """
        oldest_ms = now_ms - self._life_ms
        while self._seen_at_ms:
            name = next(iter(self._seen_at_ms))
            if self._seen_at_ms[name] >= oldest_ms:
                break
            self._seen_at_ms.pop(name)
        return len(self._seen_at_ms)


__all__ = ('RecentNames',)
