"""Builds the head of an HTTP/1.1 request to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ...wire.messages import HeaderPairs, Submit
    from .target import Target

HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    )
)
_UNKNOWN_LENGTH: Final = -1
_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))


def is_chunked(submit: Submit) -> bool:
    """Return whether the body needs chunked coding, its length unknown."""
    return submit.body_bytes == _UNKNOWN_LENGTH and not submit.last


def request_head(
    submit: Submit,
    target: Target,
    deadline_ms: int,
) -> bytes:
    """Return the request line and headers with the final empty line.

    :param submit: the request.
    :param target: upstream that runs the request.
    :param deadline_ms: remaining time to announce to the upstream.
    """
    names = target.names
    lines = [
        f'{submit.method} {submit.target} HTTP/1.1',
        f'Host: {submit.host or target.address}',
        f'{names.deadline_ms}: {deadline_ms}',
    ]
    if names.instance and target.instance:
        lines.append(f'{names.instance}: {target.instance}')
    if names.caller_service and submit.caller_service:
        lines.append(f'{names.caller_service}: {submit.caller_service}')
    lines.extend(f'{name}: {text}' for name, text in submit.headers)
    if is_chunked(submit):
        lines.append('Transfer-Encoding: chunked')
    elif submit.body_bytes > 0 or submit.method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {max(0, submit.body_bytes)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def answer_headers(received: HeaderPairs) -> HeaderPairs:
    """Return an answer's end-to-end headers.

    :param received: all headers of the answer.
    """
    return [
        [name, text]
        for name, text in received
        if name.lower() not in HOP_BY_HOP
    ]


__all__ = ('HOP_BY_HOP', 'answer_headers', 'is_chunked', 'request_head')
