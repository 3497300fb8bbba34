"""Outcomes that a home keeps as evidence on one upstream."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from .evidence import EvidenceRing, Sample, Summary

if TYPE_CHECKING:
    from ..config.model import Service

# Successes that a new upstream needs before its run times count.
_WARM_UP_SAMPLES: Final = 24


class EvidenceStore:
    """Recent outcomes of each operation on one upstream.

    Run times are ignored while the upstream warms up, until it has been known
    for some time and has completed some work. A cold start is thus not mistaken
    for a slow upstream. Failures always count.

    :param service: operations and detection policy.
    :param is_new: whether the upstream seems to have just started.
    """

    def __init__(self, service: Service, *, is_new: bool) -> None:
        self._rings: dict[str, EvidenceRing] = {}
        self._operations = service.operations
        self._policy = service.detection
        self._warm_up_left = _WARM_UP_SAMPLES if is_new else 0
        self._warm_at_ms: float = 0 if is_new else -1

    def replace_service(self, service: Service) -> None:
        """Apply new operations and policy; outcomes of kept operations stay.

        :param service: operations and detection policy.
        """
        self._policy = service.detection
        self._operations = service.operations
        for gone in self._rings.keys() - service.operations.keys():
            self._rings.pop(gone)

    def add(self, operation: str, sample: Sample) -> None:
        """Add an outcome.

        :param operation: name of the operation; ignored if it is no longer
            configured.
        :param sample: outcome of a request.
        """
        if self._is_warming(sample):
            sample = replace(sample, run_ms=0)
        if operation in self._operations:
            self._rings.setdefault(operation, EvidenceRing()).add(sample)

    def restart(self) -> None:
        """Discard all outcomes and start a new warm-up, after a restart."""
        self._warm_up_left = _WARM_UP_SAMPLES
        self._warm_at_ms = 0
        for ring in self._rings.values():
            ring.clear()

    def summary(self, operation: str, now_ms: float) -> Summary:
        """Return the statistics of an operation within the policy's window.

        :param operation: name of the operation.
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
