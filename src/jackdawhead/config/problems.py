"""Problems found in configuration files, with their place and remedy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """A place in a configuration file.

    :param file: file name without the folder.
    :param line: line number, counted from 1; 0 means the whole file.
    """

    file: str
    line: int = 0

    def __str__(self) -> str:
        """Return ``file:line``, or only the file if no line is known."""
        if self.line:
            return f'{self.file}:{self.line}'
        return self.file


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in a configuration file that the operator has to fix.

    :param place: where it was found.
    :param field: dotted path of the field, empty if the file as a whole is
        faulty.
    :param message: what is wrong.
    :param remedy: how to fix it.
    """

    place: Place
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        field = f' {self.field}:' if self.field else ''
        return f'{self.place}:{field} {self.message}; {self.remedy}'


__all__ = ('Place', 'Problem')
