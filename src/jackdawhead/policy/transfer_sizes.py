"""Average size of a request plus its answer, by operation."""

from __future__ import annotations

from typing import Final

# Weight of the latest size in the moving average.
_NEW_SIZE_WEIGHT: Final = 0.1
# An upstream may announce any length, and send nothing.
_MAX_BYTES: Final = 1_073_741_824


class TransferSizes:
    """Moving averages of the bytes sent both ways for a request."""

    def __init__(self) -> None:
        self._average_bytes: dict[str, float] = {}

    def note(self, operation: str, byte_count: int) -> None:
        """Add the size of a request plus its answer to the average.

        :param operation: name of the operation.
        :param byte_count: bytes of both together.
        """
        bounded = min(_MAX_BYTES, byte_count)
        known = self._average_bytes.get(operation, bounded)
        self._average_bytes[operation] = known + _NEW_SIZE_WEIGHT * (
            bounded - known
        )

    def usual(self, operation: str) -> float:
        """Return the average size in bytes, 0 if unknown.

        :param operation: name of the operation.
        """
        return self._average_bytes.get(operation, 0)


__all__ = ('TransferSizes',)
