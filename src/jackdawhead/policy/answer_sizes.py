"""High estimates of the size of an answer, by operation.

Load pattern: callers read large answers slowly, some of them until their
deadline. The time until an answer is complete is then that of the caller, and
says nothing about other callers. An answer that fits into the buffers of a
connection is delivered whatever its caller does.
"""

from __future__ import annotations

from math import inf
from typing import Final

# Size of the buffers of a caller's connection. The kernel doubles it, and what
# it holds counts toward the memory of the VM.
SOCKET_BUFFER_BYTES: Final = 32_768
UNKNOWN_LENGTH: Final = inf
# Share of the estimate that is left after a smaller answer, so that one large
# answer among many small ones is remembered for some time.
_KEPT_SHARE: Final = 0.98
# An upstream may announce any length, and send nothing.
_MAX_BYTES: Final = 1_073_741_824


class AnswerSizes:
    """Largest recent answers, each of which counts less over time."""

    def __init__(self) -> None:
        self._high_bytes: dict[str, float] = {}

    def note(self, operation: str, byte_count: float) -> None:
        """Add an answer.

        :param operation: name of the operation.
        :param byte_count: length of its body, infinite if it is unknown.
        """
        kept = _KEPT_SHARE * self._high_bytes.get(operation, 0)
        self._high_bytes[operation] = max(kept, min(_MAX_BYTES, byte_count))

    def may_exceed_buffers(self, operation: str) -> bool:
        """Return whether an answer may wait for its caller to read.

        :param operation: name of the operation.
        """
        return self._high_bytes.get(operation, 0) > SOCKET_BUFFER_BYTES


__all__ = ('SOCKET_BUFFER_BYTES', 'UNKNOWN_LENGTH', 'AnswerSizes')
