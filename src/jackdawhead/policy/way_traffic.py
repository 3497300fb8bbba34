"""Requests and bytes of answers by the kind of way that they took."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ways import Way


@dataclass(frozen=True, slots=True)
class WayLabel:
    """What attempts are counted by."""

    service: str
    operation: str
    way: Way


class WayTraffic:
    """Counts the attempts of an entry and the bytes of their answers."""

    def __init__(self) -> None:
        self.attempts: Counter[WayLabel] = Counter()
        self.answer_bytes: Counter[WayLabel] = Counter()

    def note_sent(self, label: WayLabel) -> None:
        """Count an attempt.

        :param label: service, operation and way.
        """
        self.attempts[label] += 1

    def note_answer(self, label: WayLabel, byte_count: int) -> None:
        """Count the bytes of an answer.

        :param label: service, operation and way.
        :param byte_count: length of the body, as announced.
        """
        self.answer_bytes[label] += byte_count


__all__ = ('WayLabel', 'WayTraffic')
