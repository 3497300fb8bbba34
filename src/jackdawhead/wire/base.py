"""Base class and registry of the messages between nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

HeaderPairs = list[list[str]]
_MessageT = TypeVar('_MessageT')


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages."""


MESSAGE_TYPES: Final[dict[int, type[Message]]] = {}
MESSAGE_CODES: Final[dict[type[Message], int]] = {}


def message(code: int) -> Callable[[type[_MessageT]], type[_MessageT]]:
    """Return a decorator that registers a message class.

    :param code: code on the wire; never reuse the code of a removed class.
    """

    def register(cls: type[_MessageT]) -> type[_MessageT]:
        MESSAGE_TYPES[code] = cls  # type: ignore[assignment]
        MESSAGE_CODES[cls] = code  # type: ignore[index]
        return cls

    return register


__all__ = (
    'MESSAGE_CODES',
    'MESSAGE_TYPES',
    'HeaderPairs',
    'Message',
    'message',
)
