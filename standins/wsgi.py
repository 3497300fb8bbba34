"""WSGI responses of the stand-ins."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any


def send_json(
    start_response: Any,
    status: str,
    payload: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Start a JSON response and return its body.

    :param start_response: callable of the WSGI server.
    :param payload: data to send as JSON.
    :param headers: additional headers.
    """
    body = json.dumps(payload).encode()
    start_response(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]


__all__ = ('send_json',)
