"""Detects requests with ambiguous framing, to prevent request smuggling.

RFC 9112 allows servers to repair some of these requests. A proxy that repairs
and forwards one would let a caller hide a second request in the first.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final
from urllib.parse import urlsplit

if TYPE_CHECKING:
    from ..wire.messages import HeaderPairs

_BAD_REQUEST: Final = 400
_NOT_IMPLEMENTED: Final = 501
_HOST: Final = 'host'
_CONTENT_LENGTH: Final = 'content-length'
_TRANSFER_ENCODING: Final = 'transfer-encoding'
_HTTP10_VERSION: Final = 'HTTP/1.0'


@dataclass(frozen=True, slots=True)
class FramingProblem:
    """Why a request is refused before its body is read.

    :param status: HTTP status of the refusal.
    :param cause: explanation for the log.
    """

    status: int
    cause: str


def framing_problem(version: str, pairs: HeaderPairs) -> FramingProblem | None:
    """Check the headers that determine host and length of a request.

    :param version: HTTP version, for example ``HTTP/1.1``.
    :param pairs: names and values of the headers, in order of arrival.
    :returns: the first problem found, or ``None``.
    """
    named: dict[str, list[str]] = {}
    for name, text in pairs:
        named.setdefault(name.lower(), []).append(text)
    hosts = named.get(_HOST, [])
    if len(hosts) > 1 or (not hosts and version != _HTTP10_VERSION):
        return FramingProblem(
            _BAD_REQUEST, f'{len(hosts)} Host headers instead of one'
        )
    lengths = named.get(_CONTENT_LENGTH, [])
    codings = named.get(_TRANSFER_ENCODING, [])
    if len(lengths) + bool(codings) > 1:
        return FramingProblem(_BAD_REQUEST, 'body length given more than once')
    if any(not each.isascii() or not each.isdigit() for each in lengths):
        return FramingProblem(_BAD_REQUEST, 'Content-Length is not a number')
    return _coding_problem(version, codings) if codings else None


def _coding_problem(version: str, codings: list[str]) -> FramingProblem | None:
    if version == _HTTP10_VERSION:
        return FramingProblem(_BAD_REQUEST, 'Transfer-Encoding in HTTP/1.0')
    if [each.lower() for each in codings] == ['chunked']:
        return None
    return FramingProblem(_NOT_IMPLEMENTED, 'unsupported Transfer-Encoding')


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into host and path.

    :param target: path and query, or an absolute URL.
    :returns: the host, empty unless the target is a URL, and the path with
        the query.
    """
    if target.startswith('/') or '://' not in target:
        return '', target
    parts = urlsplit(target)
    path = parts.path or '/'
    return parts.netloc, f'{path}?{parts.query}' if parts.query else path


__all__ = ('FramingProblem', 'framing_problem', 'split_target')
