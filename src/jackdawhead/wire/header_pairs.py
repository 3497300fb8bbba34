"""Lookup of headers in the list format used by messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .base import HeaderPairs


def first_header(headers: HeaderPairs, name: str) -> str | None:
    """Return the value of the first header with a name, if any.

    :param headers: names and values.
    :param name: name of the header, in any case.
    """
    wanted = name.lower()
    for each, text in headers:
        if each.lower() == wanted:
            return text
    return None


__all__ = ('first_header',)
