"""Evidence that a home keeps on one upstream."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ...policy.evidence import EvidenceRing, Sample, Summary

if TYPE_CHECKING:
    from collections.abc import Iterable

_WARM_UP_SAMPLES: Final = 24


class EvidenceBook:
    """Recent outcomes of each operation.

    Run times of the first successes after a start count for nothing, so
    that a cold start does not look like a slow upstream.

    :param operations: names of the service's operations.
    :param window_ms: age beyond which outcomes are dropped.
    """

    def __init__(self, operations: Iterable[str], window_ms: int) -> None:
        self._rings = {name: EvidenceRing() for name in operations}
        self._window_ms = window_ms
        self._warm_up_left = _WARM_UP_SAMPLES

    @property
    def warming(self) -> bool:
        """Whether the upstream has started a moment ago."""
        return self._warm_up_left > 0

    def add(self, operation: str, sample: Sample) -> None:
        """Take in an outcome.

        :param operation: name of the operation.
        :param sample: its outcome.
        """
        if self._warm_up_left and sample.ok:
            self._warm_up_left -= 1
        self._rings[operation].add(sample)

    def restart(self) -> None:
        """Forget everything, since the upstream has started anew."""
        self._warm_up_left = _WARM_UP_SAMPLES
        for ring in self._rings.values():
            ring.clear()

    def summary(self, operation: str, now_ms: float) -> Summary:
        """Return what is known of an operation.

        :param now_ms: monotonic time.
        """
        found = self._rings[operation].summary(now_ms - self._window_ms)
        return replace(found, run_ms=0) if self.warming else found


__all__ = ('EvidenceBook',)
