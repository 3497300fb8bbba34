"""Decoders of the numbers in HTTP headers.

A text that is not a plain decimal number counts as missing. A number above its
bound counts as the bound, however many digits it has.
"""

from __future__ import annotations

import re
from typing import Final

_MS_PER_S: Final = 1000
_MAX_RETRY_AFTER_S: Final = 3600
_MAX_DEADLINE_MS: Final = 3_600_000
_MAX_KEEP_ALIVE_S: Final = 3600
_KEEP_ALIVE: Final = re.compile(
    r'(?:^|[,;\s])timeout=(\d+)(?=$|[,;\s])', re.ASCII | re.IGNORECASE
)
# More digits than any bound has; int() refuses numbers of some thousands.
_MAX_DIGITS: Final = 18
_SECONDS: Final = re.compile(r'\d+(?:\.\d+)?', re.ASCII)


def retry_after_ms(text: str) -> int | None:
    """Return the delay of a ``Retry-After`` header, at most an hour.

    :param text: seconds, which may have a fraction.
    """
    if _SECONDS.fullmatch(text.strip()) is None:
        return None
    return round(_MS_PER_S * min(_MAX_RETRY_AFTER_S, float(text)))


def deadline_ms(text: str) -> int | None:
    """Return the deadline that a caller sets, at most an hour.

    :param text: whole milliseconds.
    """
    return _whole(text.strip(), _MAX_DEADLINE_MS)


def keep_alive_ms(text: str) -> int | None:
    """Return the timeout of a ``Keep-Alive`` header, at most an hour.

    :param text: parameters, of which ``timeout`` has whole seconds.
    """
    found = _KEEP_ALIVE.search(text)
    timeout_s = _whole(found.group(1), _MAX_KEEP_ALIVE_S) if found else None
    return None if timeout_s is None else _MS_PER_S * timeout_s


def _whole(text: str, most: int) -> int | None:
    if not text.isascii() or not text.isdecimal():
        return None
    digits = text.lstrip('0') or '0'
    return most if len(digits) > _MAX_DIGITS else min(most, int(digits))


__all__ = (
    'deadline_ms',
    'retry_after_ms',
)
