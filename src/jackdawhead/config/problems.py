"""Problems found in configuration, each with its place and its remedy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """A place in a configuration file.

    :param file: name of the file, relative to its folder.
    :param line: line number, counted from 1; 0 stands for the whole file.
    """

    file: str
    line: int = 0

    def __str__(self) -> str:
        """Return ``file:line``, or only the file when no line is known."""
        if self.line:
            return f'{self.file}:{self.line}'
        return self.file


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that an operator has to mend.

    :param place: where it was found.
    :param field: dotted path of the field, empty for a whole file.
    :param message: what is wrong.
    :param remedy: what to do about it.
    """

    place: Place
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line for a person."""
        field = f' {self.field}:' if self.field else ''
        return f'{self.place}:{field} {self.message}; {self.remedy}'


__all__ = ('Place', 'Problem')
