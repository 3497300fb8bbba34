"""Refuses requests whose end or meaning two readers may see differently.

RFC 9112 lets a server repair some of them. A proxy that repairs one, and
passes it on, lets a caller hide a second request in the first.
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
_LENGTH: Final = 'content-length'
_CODING: Final = 'transfer-encoding'
_OLD_VERSION: Final = 'HTTP/1.0'


@dataclass(frozen=True, slots=True)
class FramingProblem:
    """Why a request is refused before its body is read.

    :param status: of the answer.
    """

    status: int
    cause: str


def framing_problem(version: str, pairs: HeaderPairs) -> FramingProblem | None:
    """Return what is ambiguous about a request, or nothing.

    :param version: for example ``HTTP/1.1``.
    :param pairs: names and values of its headers, in their order.
    """
    named: dict[str, list[str]] = {}
    for name, text in pairs:
        named.setdefault(name.lower(), []).append(text)
    hosts = named.get(_HOST, [])
    if len(hosts) > 1 or (not hosts and version != _OLD_VERSION):
        return FramingProblem(_BAD_REQUEST, f'{len(hosts)} Host fields')
    lengths = named.get(_LENGTH, [])
    codings = named.get(_CODING, [])
    if len(lengths) + bool(codings) > 1:
        return FramingProblem(_BAD_REQUEST, 'more than one length')
    if any(not each.isascii() or not each.isdigit() for each in lengths):
        return FramingProblem(_BAD_REQUEST, 'Content-Length is no number')
    return _coding_problem(version, codings) if codings else None


def _coding_problem(version: str, codings: list[str]) -> FramingProblem | None:
    if version == _OLD_VERSION:
        return FramingProblem(_BAD_REQUEST, 'chunks in HTTP/1.0')
    if [each.lower() for each in codings] == ['chunked']:
        return None
    return FramingProblem(_NOT_IMPLEMENTED, 'an unknown transfer coding')


def split_target(target: str) -> tuple[str, str]:
    """Return host and path of a request's target.

    :param target: path and query, or a whole URL.
    :returns: an empty host if the target is no URL.
    """
    if target.startswith('/') or '://' not in target:
        return '', target
    parts = urlsplit(target)
    path = parts.path or '/'
    return parts.netloc, f'{path}?{parts.query}' if parts.query else path


__all__ = ('FramingProblem', 'framing_problem', 'split_target')
