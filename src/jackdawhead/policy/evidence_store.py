"""Evidence that a home keeps on one upstream."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from .evidence import EvidenceRing, Sample, Summary

if TYPE_CHECKING:
    from ..config.model import Service

_WARM_UP_SAMPLES: Final = 24


class EvidenceStore:
    """Recent outcomes of each operation.

    Run times count for nothing until the upstream has been seen for a time
    and has done some work, so that a cold start does not look like a slow
    upstream. Failures always count.

    :param service: its operations and bounds.
    :param is_new: whether the upstream has just started, as far as is known.
    """

    def __init__(self, service: Service, *, is_new: bool) -> None:
        self._rings = {name: EvidenceRing() for name in service.operations}
        self._policy = service.detection
        self._warm_up_left = _WARM_UP_SAMPLES if is_new else 0
        self._warm_at_ms: float = 0 if is_new else -1

    def replace_service(self, service: Service) -> None:
        """Follow other operations and bounds; what is known of those stays.

        :param service: its operations and bounds.
        """
        self._policy = service.detection
        self._rings = {
            name: self._rings.get(name) or EvidenceRing()
            for name in service.operations
        }

    def add(self, operation: str, sample: Sample) -> None:
        """Take in an outcome.

        :param operation: name of the operation; one that is configured no
            longer is ignored.
        :param sample: its outcome.
        """
        if self._is_warming(sample):
            sample = replace(sample, run_ms=0)
        ring = self._rings.get(operation)
        if ring is not None:
            ring.add(sample)

    def restart(self) -> None:
        """Forget everything, since the upstream has started anew."""
        self._warm_up_left = _WARM_UP_SAMPLES
        self._warm_at_ms = 0
        for ring in self._rings.values():
            ring.clear()

    def summary(self, operation: str, now_ms: float) -> Summary:
        """Return what is known of an operation.

        :param now_ms: monotonic time.
        """
        oldest_ms = now_ms - self._policy.window_ms
        ring = self._rings.get(operation) or EvidenceRing()
        return ring.summary(oldest_ms)

    def _is_warming(self, sample: Sample) -> bool:
        if not self._warm_at_ms:
            self._warm_at_ms = sample.at_ms + self._policy.warm_up_ms
        self._warm_up_left = max(0, self._warm_up_left - sample.ok)
        return self._warm_up_left > 0 or sample.at_ms < self._warm_at_ms


__all__ = ('EvidenceStore',)
