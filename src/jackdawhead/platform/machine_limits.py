"""Bounds on callers that follow from the memory and descriptors of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

_MB_BYTES: Final = 1_048_576
_DEFAULT_MEMORY_MB: Final = 200
_DEFAULT_DESCRIPTORS: Final = 4100
# Callers may use a quarter of the memory: the process itself and its work for
# other nodes need the rest.
_MEMORY_DIVISOR: Final = 4
# Descriptors that no socket can use; of the others callers may use half, beside
# streams and upstreams.
_FILE_DESCRIPTORS: Final = 200
_DESCRIPTORS_DIVISOR: Final = 2
_MAX_DIGITS: Final = 9


def caller_connections(fields: Mapping[str, str]) -> int:
    """Return the connections that callers may use.

    :param fields: settings as the platform writes them.
    """
    descriptors = _number(fields, 'limits.maxFds', _DEFAULT_DESCRIPTORS)
    sockets = max(0, descriptors - _FILE_DESCRIPTORS)
    return max(1, sockets // _DESCRIPTORS_DIVISOR)


def caller_memory_bytes(fields: Mapping[str, str]) -> int:
    """Return the memory that callers may use.

    :param fields: settings as the platform writes them.
    """
    memory_mb = _number(fields, 'limits.memoryMb', _DEFAULT_MEMORY_MB)
    return memory_mb * _MB_BYTES // _MEMORY_DIVISOR


def _number(fields: Mapping[str, str], name: str, default: int) -> int:
    """Return a whole number above 0, or a default if there is none."""
    text = fields.get(name, '')
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_DIGITS:
        return default
    return int(text) or default


__all__ = ('caller_connections', 'caller_memory_bytes')
