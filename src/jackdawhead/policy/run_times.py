"""Expected run time of each operation, learned from completed work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .completion_times import CompletionTimes

if TYPE_CHECKING:
    from ..config.model import Operation

# Weight of a new run time in the moving average.
_NEW_RUN_WEIGHT: Final = 0.1
# Assumed for operations that are neither configured nor seen.
_DEFAULT_RUN_MS: Final = 1.0


class RunTimes:
    """Moving averages of run times, by operation.

    The first run time replaces the configured estimate; the next ones are
    averaged with equal weights until the moving average takes over.

    :param operations: the service's operations; their configured run times
        are used until work has completed.
    """

    def __init__(self, operations: dict[str, Operation]) -> None:
        self._operations = operations
        self._average_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._completions = CompletionTimes()

    def replace_operations(self, operations: dict[str, Operation]) -> None:
        """Replace the operations; averages of those that remain are kept.

        :param operations: the service's operations.
        """
        self._operations = operations
        for gone in self._average_ms.keys() - operations.keys():
            self._average_ms.pop(gone)
            self._counts.pop(gone)

    def expected_ms(self, operation: str) -> float:
        """Return the expected run time of an operation in milliseconds.

        :param operation: name; it may be missing from the configuration, since
            work of a removed operation can still be in progress.
        """
        learned = self._average_ms.get(operation)
        if learned is not None:
            return learned
        configured = self._operations.get(operation)
        return float(configured.expected_ms) if configured else _DEFAULT_RUN_MS

    def likely_ms(self, operation: str) -> float:
        """Return a run time that most work of an operation doesn't exceed.

        :param operation: name; an unknown one gets the expected run time.
        """
        configured = self._operations.get(operation)
        if configured is None:
            return self.expected_ms(operation)
        deviation_ms = self._completions.deviation_ms(configured)
        return self.expected_ms(operation) + deviation_ms

    def high_ms(self, operation: str) -> float:
        """Return a run time that nearly no work of an operation exceeds.

        :param operation: name; an unknown one gets the expected run time.
        """
        configured = self._operations.get(operation)
        if configured is None:
            return self.expected_ms(operation)
        return self._completions.high_ms(configured)

    @property
    def learned_ms(self) -> float:
        """Mean of the learned averages, 0 if nothing has been learned."""
        if not self._average_ms:
            return 0
        return sum(self._average_ms.values()) / len(self._average_ms)

    def observe(self, operation: str, run_ms: float) -> None:
        """Add a run time to the average of its operation.

        :param run_ms: time from the start of the run to its end.
        """
        if operation not in self._operations:
            return
        count = self._counts.get(operation, 0) + 1
        self._counts[operation] = count
        before = self.expected_ms(operation)
        weight = max(_NEW_RUN_WEIGHT, 1 / count)
        self._average_ms[operation] = before + weight * (run_ms - before)
        self._completions.note(operation, run_ms)


__all__ = ('RunTimes',)
