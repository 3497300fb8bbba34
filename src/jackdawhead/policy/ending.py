"""How a run on an upstream ended."""

from __future__ import annotations

from enum import StrEnum


class Ending(StrEnum):
    """End of a run, as evidence about the upstream."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CRASHED = 'crashed'
    SHED = 'shed'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


__all__ = ('Ending',)
