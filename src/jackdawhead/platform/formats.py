"""Parses the platform's text formats of durations and versions."""

from __future__ import annotations

import re
from typing import Final

_DURATION_PATTERN: Final = re.compile(
    r'(\d{1,15}(?:\.\d{1,15})?)(ms|s)', re.ASCII
)
_MS_PER_UNIT: Final = {'ms': 1, 's': 1000}
_VERSION_PATTERN: Final = re.compile('[0-9a-f]{8}')
_HEX_BASE: Final = 16


def parse_duration_ms(text: str) -> int:
    """Parse a duration into milliseconds.

    :param text: a number with its unit, for example ``2.5s``.
    :raises ValueError: if the format is wrong.
    """
    found = _DURATION_PATTERN.fullmatch(text)
    if found is None:
        raise ValueError(f'{text!r} is not a duration such as 1500ms or 2.5s')
    return round(float(found.group(1)) * _MS_PER_UNIT[found.group(2)])


def parse_version(text: str) -> int:
    """Parse the version of a configuration into a number.

    :param text: eight lower-case hexadecimal digits.
    :raises ValueError: if the format is wrong.
    """
    if _VERSION_PATTERN.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not a version of 8 hexadecimal digits')
    return int(text, _HEX_BASE)


__all__ = ('parse_duration_ms', 'parse_version')
