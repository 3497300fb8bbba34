"""Garbage collection settings of long-running processes."""

from __future__ import annotations

import gc
from typing import Final

_YOUNG_GENERATION_THRESHOLD: Final = 20_000
_MIDDLE_GENERATION_THRESHOLD: Final = 20
_OLD_GENERATION_THRESHOLD: Final = 20


def freeze_startup_objects() -> None:
    """Exempt all existing objects from garbage collection.

    Call it once start-up is complete. A full collection traverses all
    objects, including imported modules, and pauses the process for tens of
    milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        _YOUNG_GENERATION_THRESHOLD,
        _MIDDLE_GENERATION_THRESHOLD,
        _OLD_GENERATION_THRESHOLD,
    )


__all__ = ('freeze_startup_objects',)
