"""Exit codes, documented in docs/reference/exit-codes.md."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of the process."""

    OK = 0
    FAILED = 1
    BAD_CONFIG = 2
    BAD_USAGE = 64
    UNREACHABLE = 69


__all__ = ('ExitCode',)
