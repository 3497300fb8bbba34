"""Forms of times, versions and values on the wire."""

from __future__ import annotations

import re
from typing import Final

_DURATION: Final = re.compile(r'(\d{1,15}(?:\.\d{1,15})?)(ms|s)', re.ASCII)
_MS_PER_UNIT: Final = {'ms': 1, 's': 1000}
_VERSION: Final = re.compile('[0-9a-f]{8}')
_HEXADECIMAL: Final = 16


def parse_duration_ms(text: str) -> int:
    """Return a duration in milliseconds.

    :param text: a number with its unit, for example ``2.5s``.
    :raises ValueError: if it has another form.
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f'{text!r} is no duration such as 1500ms or 2.5s')
    return round(float(found.group(1)) * _MS_PER_UNIT[found.group(2)])


def parse_version(text: str) -> int:
    """Return the number of a configuration's version.

    :param text: eight hexadecimal digits.
    :raises ValueError: if it has another form.
    """
    if _VERSION.fullmatch(text) is None:
        raise ValueError(f'{text!r} is no version of eight hexadecimal digits')
    return int(text, _HEXADECIMAL)


__all__ = ('parse_duration_ms', 'parse_version')
