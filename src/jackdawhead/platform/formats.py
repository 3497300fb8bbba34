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
_GENERATION_PATTERN: Final = re.compile(r'\d{1,15}', re.ASCII)


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


def parse_generation(header: object) -> int:
    """Parse the generation of the store's data, as its answers name it.

    :param header: value of the header, a list if it was repeated.
    :returns: the generation, 0 if the answer names none.
    """
    if not isinstance(header, str):
        return 0
    return int(header) if _GENERATION_PATTERN.fullmatch(header) else 0


__all__ = ('parse_duration_ms', 'parse_generation', 'parse_version')
