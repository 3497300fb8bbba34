"""Expected run time of each operation, learned from real work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..config.model import Operation

_WEIGHT: Final = 0.1
_UNKNOWN_MS: Final = 1.0


class RunTimes:
    """Moving averages of run times, by operation.

    The first run times count fully, so that the configured ones are left
    behind at once.

    :param operations: the service's operations, whose expected times are
        used until real work has been seen.
    """

    def __init__(self, operations: dict[str, Operation]) -> None:
        self._operations = operations
        self._average_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def replace_operations(self, operations: dict[str, Operation]) -> None:
        """Follow other operations; what was learned of those kept stays.

        :param operations: the service's operations.
        """
        self._operations = operations
        for gone in self._average_ms.keys() - operations.keys():
            self._average_ms.pop(gone)
            self._counts.pop(gone)

    def expected_ms(self, operation: str) -> float:
        """Return the expected run time of an operation.

        :param operation: its name; work of an operation that is configured
            no longer may still be in progress.
        """
        learned = self._average_ms.get(operation)
        if learned is not None:
            return learned
        configured = self._operations.get(operation)
        return float(configured.expected_ms) if configured else _UNKNOWN_MS

    @property
    def learned_ms(self) -> float:
        """Average of the operations that have been seen, 0 if none has."""
        if not self._average_ms:
            return 0
        return sum(self._average_ms.values()) / len(self._average_ms)

    def observe(self, operation: str, run_ms: float) -> None:
        """Take in a run time.

        :param run_ms: from the start of the run to its end.
        """
        if operation not in self._operations:
            return
        count = self._counts.get(operation, 0) + 1
        self._counts[operation] = count
        before = self.expected_ms(operation)
        weight = max(_WEIGHT, 1 / count)
        self._average_ms[operation] = before + weight * (run_ms - before)


__all__ = ('RunTimes',)
