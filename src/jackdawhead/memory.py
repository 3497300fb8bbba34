"""Garbage collection of long-running processes."""

from __future__ import annotations

import gc
from typing import Final

_YOUNG_THRESHOLD: Final = 20_000
_MIDDLE_THRESHOLD: Final = 20
_OLD_THRESHOLD: Final = 20


def settle_memory() -> None:
    """Take what lives as long as the process out of garbage collection.

    A full collection walks all objects, imported modules included, and
    stops the process for tens of milliseconds. Call it after the start.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_THRESHOLD, _MIDDLE_THRESHOLD, _OLD_THRESHOLD)


__all__ = ('settle_memory',)
