"""Interface of the detectors, which eject failing upstreams.

Detectors judge upstreams by the outcomes of real work.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from ..registry import Registry

if TYPE_CHECKING:
    from ..config.model import Service
    from .evidence import Sample, Summary

ALL_OPERATIONS: Final = '*'


class Health(StrEnum):
    """Health of an upstream, or of one operation on it."""

    HEALTHY = 'well'
    EJECTED = 'ejected'
    TRIAL = 'trial'


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of health, with its cause for the audit trail.

    :param operation: name of the operation, ``*`` for all of them.
    :param health: new health.
    :param cause: figures that led to the change.
    """

    upstream: str
    operation: str
    health: Health
    cause: str


class Detector(ABC):
    """Base class of the detectors, which judge the upstreams of one service.

    :param service: detection policy and floor of healthy capacity.
    """

    def __init__(self, service: Service) -> None:
        self._service = service

    def replace_service(self, service: Service) -> None:
        """Apply a new policy; the state of the upstreams is kept.

        :param service: new policy and floor of the same service.
        """
        self._service = service

    @abstractmethod
    def replace_members(self, upstreams: frozenset[str]) -> None:
        """Replace the set of upstreams that take new work.

        :param upstreams: names of all listed upstreams that are not leaving.
        """

    @abstractmethod
    def report(
        self,
        upstream: str,
        operation: str,
        summary: Summary,
        now_ms: float,
    ) -> None:
        """Record the outcomes that an upstream's home reports.

        :param summary: recent outcomes; replaces the previous summary.
        :param now_ms: monotonic time of its arrival.
        """

    @abstractmethod
    def observe_trial(
        self,
        upstream: str,
        operation: str,
        sample: Sample,
    ) -> None:
        """Record the outcome of a request that was sent as a trial.

        :param sample: end, success and run time of the request.
        """

    @abstractmethod
    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        """Re-evaluate all upstreams.

        :param now_ms: monotonic time.
        :returns: changes of health since the last call.
        """

    @abstractmethod
    def health(self, upstream: str, operation: str) -> Health:
        """Return the health of an operation on an upstream."""


DETECTORS: Final[Registry[Detector]] = Registry('detector')


@DETECTORS.register('none')
class NoDetector(Detector):
    """Baseline: every upstream is always healthy."""

    def replace_members(self, upstreams: frozenset[str]) -> None:
        """Ignore the members."""

    def report(
        self,
        upstream: str,
        operation: str,
        summary: Summary,
        now_ms: float,
    ) -> None:
        """Ignore the evidence."""

    def observe_trial(
        self,
        upstream: str,
        operation: str,
        sample: Sample,
    ) -> None:
        """Ignore the outcome."""

    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        return ()

    def health(self, upstream: str, operation: str) -> Health:
        return Health.HEALTHY


__all__ = (
    'ALL_OPERATIONS',
    'DETECTORS',
    'Detector',
    'Health',
    'HealthChange',
    'NoDetector',
)
