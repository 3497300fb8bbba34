"""Counts the requests of organisations."""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from .requests import Refused

if TYPE_CHECKING:
    from .requests import Answer

# More organisations are counted together, as those beyond the largest are.
_MAX_COUNTED: Final = 10_000
_MAX_SHOWN: Final = 20
_REST: Final = ''


@dataclass(slots=True)
class OrganisationCount:
    """Requests of one organisation, or of all that are not shown.

    :param name: name of the organisation, empty for the rest.
    :param answered: requests with an answer of an upstream.
    :param refused: requests that the fleet refused.
    """

    name: str
    answered: int = 0
    refused: int = 0

    @property
    def requests(self) -> int:
        """Number of all requests."""
        return self.answered + self.refused

    def add(self, other: OrganisationCount) -> None:
        """Add the requests of another organisation.

        :param other: counts to add.
        """
        self.answered += other.answered
        self.refused += other.refused


class OrganisationCounts:
    """Requests by organisation since the start of this node."""

    def __init__(self) -> None:
        self._by_name: dict[str, OrganisationCount] = {}

    def note(self, organisation: str, answer: Answer) -> None:
        """Count a request.

        :param organisation: name of the organisation that its key belongs to.
        :param answer: the answer to the caller.
        """
        count = self._by_name.get(organisation)
        if count is None:
            is_full = len(self._by_name) >= _MAX_COUNTED
            name = _REST if is_full else organisation
            count = self._by_name.setdefault(name, OrganisationCount(name))
        if isinstance(answer, Refused):
            count.refused += 1
        else:
            count.answered += 1

    def shown(self) -> list[OrganisationCount]:
        """Return those with the most requests, then the rest as one."""
        named = [each for each in self._by_name.values() if each.name]
        named.sort(key=attrgetter('requests'), reverse=True)
        rest = OrganisationCount(_REST)
        for other in (*named[_MAX_SHOWN:], self._by_name.get(_REST)):
            if other is not None:
                rest.add(other)
        shown = named[:_MAX_SHOWN]
        return [*shown, rest] if rest.requests else shown


__all__ = ('OrganisationCount', 'OrganisationCounts')
