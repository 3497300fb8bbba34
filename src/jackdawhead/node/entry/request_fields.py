"""Reads the fields of a request's head from its WSGI environment."""

from __future__ import annotations

from typing import Any, Final

_HEADER_PREFIX: Final = 'HTTP_'


def header_of(environ: dict[str, Any], name: str) -> str:
    """Return a header of a request, or an empty text if it is missing.

    :param environ: WSGI environment.
    :param name: name of the header in any case; no header has an empty name.
    """
    return str(environ.get(environ_key(name), ''))


def environ_key(header: str) -> str:
    """Return the environment key of a header; an empty name never matches.

    :param header: name of the header in any case.
    """
    return _HEADER_PREFIX + header.upper().replace('-', '_')


def path_of(environ: dict[str, Any]) -> str:
    """Return the path of a request without its query.

    :param environ: WSGI environment.
    """
    target: str = environ['RAW_URI']
    return target.partition('?')[0]


def host_of(environ: dict[str, Any]) -> str:
    """Return the host that a caller named, without the port.

    :param environ: WSGI environment.
    """
    host: str = environ.get('HTTP_HOST', '')
    return host.partition(':')[0].lower()


__all__ = ('environ_key', 'header_of', 'host_of', 'path_of')
