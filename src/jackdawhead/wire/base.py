"""Base class and registry of the messages between nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import Field, dataclass, field
from typing import Any, Final, TypeVar

_OPTIONAL: Final = 'is_optional'

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


def optional_field(default: Any) -> Any:
    """Return a last field that is sent only if it differs from its default.

    Nodes of earlier builds don't know it, and don't have to until it is used.

    :param default: value of the field if the message lacks it.
    """
    return field(default=default, metadata={_OPTIONAL: True})


def is_optional(declared: Field[Any]) -> bool:
    """Return whether a field was declared by ``optional_field``.

    :param declared: field of a message class.
    """
    return _OPTIONAL in declared.metadata


__all__ = (
    'MESSAGE_CODES',
    'MESSAGE_TYPES',
    'HeaderPairs',
    'Message',
    'is_optional',
    'message',
    'optional_field',
)
