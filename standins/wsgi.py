"""Answers of the stand-ins."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any


def send_json(
    start: Any,
    status: str,
    plain: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Start a WSGI answer and return its body.

    :param start: the server's ``start_response``.
    :param plain: what to send as JSON.
    :param headers: added to the necessary ones.
    """
    body = json.dumps(plain).encode()
    start(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]


__all__ = ('send_json',)
