"""Beliefs that end by time."""

from __future__ import annotations

from typing import TypeVar

_KeyT = TypeVar('_KeyT')


def pop_expired(
    until_ms: dict[_KeyT, float], now_ms: float
) -> tuple[_KeyT, ...]:
    """Remove the keys whose time is over, and return them.

    :param until_ms: monotonic time of the end by key.
    :param now_ms: monotonic time.
    """
    expired = tuple(key for key, end_ms in until_ms.items() if end_ms <= now_ms)
    for key in expired:
        until_ms.pop(key)
    return expired


__all__ = ('pop_expired',)
