"""Base of the checkers, and their registry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from jackdawhead.registry import Registry

if TYPE_CHECKING:
    from ..evidence import Evidence


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise.

    :param at_s: time since the start of the soak.
    """

    check: str
    at_s: float
    detail: str


class Check(ABC):
    """Finds the breaches of one promise."""

    name = ''

    @abstractmethod
    def find(self, evidence: Evidence) -> list[Breach]:
        """Return all breaches.

        :param evidence: what was seen.
        """

    def _breach(self, at_s: float, detail: str) -> Breach:
        return Breach(self.name, at_s, detail)


CHECKS: Final[Registry[Check]] = Registry('check')


def find_breaches(evidence: Evidence) -> list[Breach]:
    """Return what all checkers find, by time.

    :param evidence: what was seen.
    """
    found = [
        breach
        for name in CHECKS.names()
        for breach in CHECKS.find(name).unwrap()().find(evidence)
    ]
    return sorted(found, key=lambda each: each.at_s)


__all__ = ('CHECKS', 'Breach', 'Check', 'find_breaches')
