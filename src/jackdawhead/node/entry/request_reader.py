"""Reads a caller's request and buffers the start of its body."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...wire.header_numbers import deadline_ms
from ..home.request_head import HOP_BY_HOP
from ..http_keys import CONNECTED_KEY, HEADERS_KEY
from .requests import CallerRequest

if TYPE_CHECKING:
    from ...config.model import HeaderNames
    from ...wire.messages import HeaderPairs
    from ..caller_body import CallerBody

_MAX_BUFFERED_BODY_BYTES: Final = 65_536
_MAX_ORGANISATION_CHARS: Final = 64
_UNKNOWN_LENGTH: Final = -1
_HEADER_PREFIX: Final = 'HTTP_'


def read_request(
    environ: dict[str, Any],
    names: HeaderNames,
    length: int | None,
    idle_ms: float,
) -> CallerRequest:
    """Read a request and buffer up to 64 KiB of its body.

    :param environ: WSGI environment.
    :param names: names of the headers that the fleet interprets.
    :param length: length of the body, if the caller announced it.
    :param idle_ms: longest time for reading, unless the caller sent a
        deadline.
    :raises OSError: if the body is truncated, malformed or too slow.
    :raises TimeoutError: if the deadline has passed.
    """
    allowed_ms = _deadline_ms(environ, names)
    if allowed_ms == 0:
        raise TimeoutError('the caller sent a deadline of 0 ms')
    timeout_ms = allowed_ms or idle_ms
    began_ms = monotonic_ms()
    with gevent.Timeout(seconds(timeout_ms), TimeoutError):
        request = _caller_request(environ, names, length)
    if allowed_ms is None:
        return request
    left_ms = allowed_ms - int(monotonic_ms() - began_ms)
    return replace(request, deadline_ms=max(1, left_ms))


def header_of(environ: dict[str, Any], name: str) -> str:
    """Return a header of a request, or an empty text if it is missing.

    :param environ: WSGI environment.
    :param name: name of the header in any case; no header has an empty name.
    """
    return str(environ.get(_environ_key(name), ''))


def _caller_request(
    environ: dict[str, Any],
    names: HeaderNames,
    length: int | None,
) -> CallerRequest:
    body: CallerBody = environ['wsgi.input']
    chunked = environ.get('HTTP_TRANSFER_ENCODING', '').lower() == 'chunked'
    chunk = b''
    last = True
    if length or chunked:
        chunk = body.read(_MAX_BUFFERED_BODY_BYTES)
        last = length == len(chunk) or len(chunk) < _MAX_BUFFERED_BODY_BYTES
    if last and length and len(chunk) < length:
        raise OSError(f'request body truncated: {len(chunk)} of {length} bytes')
    body_bytes = _UNKNOWN_LENGTH if length is None else length
    if last:
        body_bytes = len(chunk)
    target = environ['RAW_URI']
    return CallerRequest(
        method=environ['REQUEST_METHOD'],
        path=target.partition('?')[0],
        target=target,
        headers=_end_to_end_headers(environ, names),
        organisation=_organisation(environ, names),
        deadline_ms=_deadline_ms(environ, names) or 0,
        body_bytes=body_bytes,
        chunk=chunk,
        last=last,
        read_body=body.read,
        host=environ.get('HTTP_HOST', '').partition(':')[0].lower(),
        request_id=header_of(environ, names.request_id),
        connected_at_ms=environ[CONNECTED_KEY],
    )


def _end_to_end_headers(
    environ: dict[str, Any], names: HeaderNames
) -> HeaderPairs:
    fleet_headers = {
        names.deadline_ms.lower(),
        names.caller_service.lower(),
        names.instance.lower(),
    }
    # Headers that the Connection header lists are hop-by-hop, too (RFC 9110).
    hop_by_hop = environ.get('HTTP_CONNECTION', '').lower().split(',')
    dropped = HOP_BY_HOP | fleet_headers | {each.strip() for each in hop_by_hop}
    pairs: HeaderPairs = environ[HEADERS_KEY]
    return [each for each in pairs if each[0].lower() not in dropped]


def _organisation(environ: dict[str, Any], names: HeaderNames) -> str:
    if not names.organisation:
        return ''
    organisation = environ.get(_environ_key(names.organisation))
    fallback = environ.get('REMOTE_ADDR', '')
    return str(organisation or fallback)[:_MAX_ORGANISATION_CHARS]


def _deadline_ms(environ: dict[str, Any], names: HeaderNames) -> int | None:
    return deadline_ms(environ.get(_environ_key(names.deadline_ms), ''))


def _environ_key(header: str) -> str:
    """Return the environment key of a header; an empty name never matches."""
    return _HEADER_PREFIX + header.upper().replace('-', '_')


__all__ = ('header_of', 'read_request')
