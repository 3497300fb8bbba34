"""Clocks and conversions of time units."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

Clock = Callable[[], float]

_MS_PER_S: Final = 1000


def monotonic_ms() -> float:
    """Return monotonic time in milliseconds, which excludes VM suspension."""
    return time.monotonic() * _MS_PER_S


def boot_ms() -> float:
    """Return the time since boot in milliseconds, including VM suspension.

    The monotonic clock stops while the VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S


def wall_ms() -> int:
    """Return the time of day in milliseconds since 1970.

    Only for display, and to bound what other clocks say: it may be wrong.
    """
    return int(time.time() * _MS_PER_S)


def seconds(duration_ms: float) -> float:
    """Convert a duration from milliseconds to seconds.

    :param duration_ms: duration in milliseconds.
    """
    return duration_ms / _MS_PER_S


__all__ = ('Clock', 'boot_ms', 'monotonic_ms', 'seconds', 'wall_ms')
