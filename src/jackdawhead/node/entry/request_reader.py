"""Reads a caller's request, its body as far as it is kept in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import gevent

from ...clock import seconds
from ..home.request_head import HOP_BY_HOP
from ..http_server import HEADERS_KEY
from .requests import CallerRequest

if TYPE_CHECKING:
    from gevent.pywsgi import Input

    from ...config.model import HeaderNames
    from ...wire.messages import HeaderPairs

_BUFFERED_BODY_BYTES: Final = 65_536
_MAX_ORGANISATION_CHARS: Final = 64
_LENGTH_UNKNOWN: Final = -1
_HEADER_PREFIX: Final = 'HTTP_'


def read_request(
    environ: dict[str, Any],
    names: HeaderNames,
    length: int | None,
    idle_ms: float,
) -> CallerRequest:
    """Read a request, its body as far as it is kept in memory.

    :param environ: of the WSGI server.
    :param names: names of the headers that concern the fleet.
    :param length: of the body, if it was announced.
    :param idle_ms: longest time for that, unless the caller gives less.
    :raises OSError: if the body is cut, malformed or too slow.
    """
    limit_ms = _deadline_ms(environ, names) or idle_ms
    with gevent.Timeout(seconds(limit_ms), TimeoutError):
        return _caller_request(environ, names, length)


def header_of(environ: dict[str, Any], name: str) -> str:
    """Return a header of a request, empty if there is none or no name.

    :param environ: of the WSGI server.
    :param name: in any case.
    """
    return str(environ.get(_key(name), ''))


def _caller_request(
    environ: dict[str, Any],
    names: HeaderNames,
    length: int | None,
) -> CallerRequest:
    body: Input = environ['wsgi.input']
    chunked = environ.get('HTTP_TRANSFER_ENCODING', '').lower() == 'chunked'
    chunk = b''
    last = True
    if length or chunked:
        chunk = body.read(_BUFFERED_BODY_BYTES)
        last = length == len(chunk) or len(chunk) < _BUFFERED_BODY_BYTES
    if last and length and len(chunk) < length:
        raise OSError('the body is shorter than its length')
    body_bytes = _LENGTH_UNKNOWN if length is None else length
    if last:
        body_bytes = len(chunk)
    target = environ['RAW_URI']
    return CallerRequest(
        method=environ['REQUEST_METHOD'],
        path=target.partition('?')[0],
        target=target,
        headers=_end_to_end(environ, names),
        organisation=_organisation(environ, names),
        deadline_ms=_deadline_ms(environ, names),
        body_bytes=body_bytes,
        chunk=chunk,
        last=last,
        read_body=body.read,
        host=environ.get('HTTP_HOST', '').partition(':')[0].lower(),
        request_id=header_of(environ, names.request_id),
    )


def _end_to_end(environ: dict[str, Any], names: HeaderNames) -> HeaderPairs:
    own = {
        names.deadline_ms.lower(),
        names.caller_service.lower(),
        names.instance.lower(),
    }
    # Fields that the caller's Connection field names concern one hop only.
    named = environ.get('HTTP_CONNECTION', '').lower().split(',')
    dropped = HOP_BY_HOP | own | {each.strip() for each in named}
    pairs: HeaderPairs = environ[HEADERS_KEY]
    return [each for each in pairs if each[0].lower() not in dropped]


def _organisation(environ: dict[str, Any], names: HeaderNames) -> str:
    if not names.organisation:
        return ''
    named = environ.get(_key(names.organisation))
    fallback = environ.get('REMOTE_ADDR', '')
    return str(named or fallback)[:_MAX_ORGANISATION_CHARS]


def _deadline_ms(environ: dict[str, Any], names: HeaderNames) -> int:
    text = environ.get(_key(names.deadline_ms), '')
    return int(text) if text.isdecimal() else 0


def _key(header: str) -> str:
    """Return the key of a header, one that no request has for no name."""
    return _HEADER_PREFIX + header.upper().replace('-', '_')


__all__ = ('header_of', 'read_request')
