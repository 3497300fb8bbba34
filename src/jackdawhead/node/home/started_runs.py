"""Runs in progress at a home."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from ..decision_log import log_cut

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .job import Job


class StartedRuns:
    """Runs in progress at all upstreams of a home."""

    def __init__(self) -> None:
        self._upstreams: dict[Job, str] = {}

    @contextmanager
    def track(self, job: Job, upstream: str) -> Iterator[None]:
        """Count a run as in progress until the context ends.

        :param job: the request.
        :param upstream: identity of the upstream.
        """
        self._upstreams[job] = upstream
        try:
            yield
        finally:
            self._upstreams.pop(job)

    @property
    def latest_deadline_ms(self) -> float:
        """Monotonic time of the last deadline, 0 if nothing runs."""
        deadlines = (job.work.deadline_at_ms for job in self._upstreams)
        return max(deadlines, default=0)

    def log_cut(self) -> None:
        """Log all runs in progress as cut off."""
        for job, upstream in self._upstreams.items():
            log_cut(job, upstream)


__all__ = ('StartedRuns',)
