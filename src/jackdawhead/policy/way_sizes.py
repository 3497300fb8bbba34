"""Usual sizes of requests with their answers, by operation."""

from __future__ import annotations

from typing import Final

# Weight of the latest size in the moving average.
_NEW_SIZE_WEIGHT: Final = 0.1


class TransferSizes:
    """Moving averages of the bytes that work sends to and fro."""

    def __init__(self) -> None:
        self._average_bytes: dict[str, float] = {}

    def note(self, operation: str, byte_count: int) -> None:
        """Take in the size of a request and its answer.

        :param operation: its name.
        :param byte_count: of both together.
        """
        known = self._average_bytes.get(operation, byte_count)
        self._average_bytes[operation] = known + _NEW_SIZE_WEIGHT * (
            byte_count - known
        )

    def usual(self, operation: str) -> float:
        """Return the usual size in bytes, 0 if unknown.

        :param operation: its name.
        """
        return self._average_bytes.get(operation, 0)


__all__ = ('TransferSizes',)
