"""Runs in progress at a home."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from ..decision_log import log_cut

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .job import Job

# A deadline is sent in whole milliseconds, and counts anew from its arrival at
# the upstream, and again from that of the call.
_EARLY_MS: Final = 10
_TRANSIT_MS: Final = 60


class StartedRuns:
    """Runs in progress at all upstreams of a home."""

    def __init__(self) -> None:
        self._jobs: set[Job] = set()

    @contextmanager
    def track(self, job: Job) -> Iterator[None]:
        """Count a run as in progress until the context ends.

        :param job: the request.
        """
        self._jobs.add(job)
        try:
            yield
        finally:
            self._jobs.remove(job)

    def may_have_called(self, deadline_at_ms: float) -> bool:
        """Return whether a request may be a call of one of the runs.

        :param deadline_at_ms: monotonic time at which the request expires; a
            call expires with the run that makes it.
        """
        return any(
            -_EARLY_MS
            <= deadline_at_ms - job.work.deadline_at_ms
            <= _TRANSIT_MS
            for job in self._jobs
        )

    def log_cut(self) -> None:
        """Log all runs in progress as cut off."""
        for job in self._jobs:
            log_cut(job)


__all__ = ('StartedRuns',)
