"""Organisations of the callers, whose keys the nodes check."""

from __future__ import annotations

import json
from typing import Any, Final

from jackdawhead.config.credentials import key_digest

KEY_HEADER: Final = 'X-Key'
NAME_HEADER: Final = 'X-Customer'
UNKNOWN_KEY: Final = 'key-of-nobody'
_NAMES: Final = ('acme', 'bolt', 'cord')


def organisation_of(caller: int) -> str:
    """Return the organisation of a caller.

    :param caller: number of the caller.
    """
    return _NAMES[caller % len(_NAMES)]


def key_of(organisation: str) -> str:
    """Return the key of an organisation."""
    return f'key-of-{organisation}'


def config_text() -> str:
    """Return a configuration file with all organisations."""
    config: dict[str, Any] = {
        'headers': {
            'credential': KEY_HEADER,
            'upstream_organisation': NAME_HEADER,
        },
        'organisations': {
            name: {'key_digests': [key_digest(key_of(name).encode())]}
            for name in _NAMES
        },
    }
    return json.dumps(config)


__all__ = (
    'KEY_HEADER',
    'NAME_HEADER',
    'UNKNOWN_KEY',
    'config_text',
    'key_of',
    'organisation_of',
)
