"""Detection of failing upstreams from real work, and their ejection."""

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
    """State of an upstream, or of one of its operations."""

    WELL = 'well'
    EJECTED = 'ejected'
    TRIAL = 'trial'


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of state, with its cause for the audit trail.

    :param operation: operation concerned, or ``*`` for all of them.
    :param cause: figures that led to the change.
    """

    upstream: str
    operation: str
    health: Health
    cause: str


class Detector(ABC):
    """Judges the upstreams of one service.

    :param service: policy and floor.
    """

    def __init__(self, service: Service) -> None:
        self._service = service

    def replace_service(self, service: Service) -> None:
        """Follow another policy; what is known of the upstreams stays.

        :param service: policy and floor, of the same service.
        """
        self._service = service

    @abstractmethod
    def replace_members(self, upstreams: frozenset[str]) -> None:
        """Replace the set of upstreams that take new work.

        :param upstreams: all listed upstreams that are not leaving.
        """

    @abstractmethod
    def report(
        self,
        upstream: str,
        operation: str,
        summary: Summary,
        now_ms: float,
    ) -> None:
        """Take in what the home of an upstream says about real work.

        :param summary: recent outcomes; replaces the one before.
        :param now_ms: monotonic time of its arrival.
        """

    @abstractmethod
    def observe_trial(
        self,
        upstream: str,
        operation: str,
        sample: Sample,
    ) -> None:
        """Take in the outcome of work that was sent as a trial.

        :param sample: when, whether it succeeded and how long it ran.
        """

    @abstractmethod
    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        """Judge all upstreams anew.

        :param now_ms: monotonic time.
        :returns: the changes since the last call.
        """

    @abstractmethod
    def health(self, upstream: str, operation: str) -> Health:
        """Return the state of an operation on an upstream."""


DETECTORS: Final[Registry[Detector]] = Registry('detector')


@DETECTORS.register('none')
class NoDetector(Detector):
    """Baseline: every upstream is well."""

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
        return Health.WELL


__all__ = (
    'ALL_OPERATIONS',
    'DETECTORS',
    'Detector',
    'Health',
    'HealthChange',
    'NoDetector',
)
