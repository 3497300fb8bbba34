"""Garbage collection settings of long-running processes."""

from __future__ import annotations

import gc
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

_YOUNG_GENERATION_THRESHOLD: Final = 20_000
_MIDDLE_GENERATION_THRESHOLD: Final = 20
_OLD_GENERATION_THRESHOLD: Final = 20


@contextmanager
def without_collection() -> Iterator[None]:
    """Import modules without garbage collections.

    Imports create many objects that live as long as the process. They are
    exempt from all later collections.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


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


__all__ = ('freeze_startup_objects', 'without_collection')
