"""Reads a caller's request and buffers the start of its body."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...wire.header_numbers import deadline_ms
from ..http_keys import CONNECTED_KEY
from .passed_headers import passed_headers
from .request_fields import environ_key, header_of, host_of, path_of
from .requests import CallerRequest

if TYPE_CHECKING:
    from ...config.model import HeaderNames
    from ..caller_body import CallerBody
    from .key_check import Caller

_MAX_BUFFERED_BODY_BYTES: Final = 65_536
_MAX_ORGANISATION_CHARS: Final = 64
_UNKNOWN_LENGTH: Final = -1


def read_request(
    environ: dict[str, Any],
    caller: Caller,
    length: int | None,
    idle_ms: float,
) -> CallerRequest:
    """Read a request and buffer up to 64 KiB of its body.

    :param environ: WSGI environment.
    :param caller: who sent the request.
    :param length: length of the body, if the caller announced it.
    :param idle_ms: longest time for reading, unless the caller sent a
        deadline.
    :raises OSError: if the body is truncated, malformed or too slow.
    :raises TimeoutError: if the deadline has passed.
    """
    allowed_ms = _deadline_ms(environ, caller.names)
    if allowed_ms == 0:
        raise TimeoutError('the caller sent a deadline of 0 ms')
    timeout_ms = allowed_ms or idle_ms
    began_ms = monotonic_ms()
    with gevent.Timeout(seconds(timeout_ms), TimeoutError):
        request = _caller_request(environ, caller, length)
    if allowed_ms is None:
        return request
    left_ms = allowed_ms - int(monotonic_ms() - began_ms)
    return replace(request, deadline_ms=max(1, left_ms))


def with_caller(
    request: CallerRequest, environ: dict[str, Any], caller: Caller
) -> CallerRequest:
    """Return a request with another caller.

    :param request: the request as it was read.
    :param environ: WSGI environment.
    :param caller: who sent the request.
    """
    return replace(
        request,
        headers=passed_headers(environ, caller),
        organisation=_organisation(environ, caller),
        key_digest=caller.key_digest,
    )


def _caller_request(
    environ: dict[str, Any],
    caller: Caller,
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
    names = caller.names
    return CallerRequest(
        method=environ['REQUEST_METHOD'],
        path=path_of(environ),
        target=environ['RAW_URI'],
        headers=passed_headers(environ, caller),
        organisation=_organisation(environ, caller),
        deadline_ms=_deadline_ms(environ, names) or 0,
        body_bytes=body_bytes,
        chunk=chunk,
        last=last,
        read_body=body.read,
        host=host_of(environ),
        request_id=header_of(environ, names.request_id),
        connected_at_ms=environ[CONNECTED_KEY],
        key_digest=caller.key_digest,
    )


def _organisation(environ: dict[str, Any], caller: Caller) -> str:
    if caller.is_identified_by_key:
        return caller.organisation
    names = caller.names
    if not names.organisation:
        return ''
    organisation = environ.get(environ_key(names.organisation))
    fallback = environ.get('REMOTE_ADDR', '')
    return str(organisation or fallback)[:_MAX_ORGANISATION_CHARS]


def _deadline_ms(environ: dict[str, Any], names: HeaderNames) -> int | None:
    return deadline_ms(header_of(environ, names.deadline_ms))


__all__ = ('read_request', 'with_caller')
