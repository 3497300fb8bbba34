"""Base class and registry of the checkers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from jackdawhead.registry import Registry

if TYPE_CHECKING:
    from ..evidence import Evidence


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    :param check: name of the checker that found it.
    :param at_s: seconds since the start of the run.
    """

    check: str
    at_s: float
    detail: str


class Check(ABC):
    """Finds the violations of one guarantee."""

    name = ''

    @abstractmethod
    def find(self, evidence: Evidence) -> list[Violation]:
        """Return all violations.

        :param evidence: observations of a run.
        """

    def _violation(self, at_s: float, detail: str) -> Violation:
        return Violation(self.name, at_s, detail)


CHECKS: Final[Registry[Check]] = Registry('check')


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return the violations that all checkers find, sorted by time.

    :param evidence: observations of a run.
    """
    found = [
        violation
        for name in CHECKS.names()
        for violation in CHECKS.find(name).unwrap()().find(evidence)
    ]
    return sorted(found, key=lambda each: each.at_s)


__all__ = ('CHECKS', 'Check', 'Violation', 'find_violations')
