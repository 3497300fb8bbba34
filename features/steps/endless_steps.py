"""Steps about upstreams that send endless bytes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from behave import given, then, when

from standins.endless import endless_response

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.runner import Context

_KINDS = {
    'header lines': 'header-lines',
    'the value of one header': 'header-value',
    'the words beside the status': 'status-words',
    'interim answers': 'interim-answers',
    'an answer to another request': 'foreign-answer',
    'answers to other requests': 'foreign-answers',
    'the extension of a chunk': 'chunk-extension',
    'trailers': 'trailers',
}
_BLOCK = b'x' * 16_384


class EndlessSocket:
    """Connection on which bytes arrive as fast as they are read."""

    def __init__(self, blocks: Iterator[bytes]) -> None:
        self._blocks = blocks
        self._buffer = bytearray()
        self.received_bytes = 0

    def recv(self, most: int) -> bytes:
        """Return the next bytes."""
        while len(self._buffer) < most:
            block = next(self._blocks, b'')
            if not block:
                break
            self._buffer += block
        received = bytes(self._buffer[:most])
        self._buffer = self._buffer[most:]
        self.received_bytes += len(received)
        return received

    def drain(self, reader: object) -> None:
        """Do nothing: bytes after the answer do not matter here."""


def body_blocks(size: int) -> Iterator[bytes]:
    """Yield an answer with a body of the given size."""
    head = f'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: {size}\r\n'
    yield f'{head}\r\n'.encode()
    left = size
    while left:
        block = _BLOCK[:left]
        left -= len(block)
        yield block


@given('an upstream that sends {what} until it is closed')
def make_endless(context: Context, what: str) -> None:
    """Create a connection that sends endlessly."""
    context.sock = EndlessSocket(endless_response(_KINDS[what]))


@given('an upstream that sends {size:d} bytes of body')
def make_large(context: Context, size: int) -> None:
    """Create a connection with a large answer."""
    context.sock = EndlessSocket(body_blocks(size))


@then('at most {most:d} bytes were received')
def check_received(context: Context, most: int) -> None:
    """Compare the number of bytes read from the connection."""
    assert context.sock.received_bytes <= most, context.sock.received_bytes


@then('its body has {size:d} bytes')
def check_size(context: Context, size: int) -> None:
    """Compare the length of the body."""
    assert len(context.body) == size


@when('upstreams {first:d} to {last:d} change to "{name}" of "{text}"')
def change_some(
    context: Context, first: int, last: int, name: str, text: str
) -> None:
    """Change the behaviour of some upstreams."""
    for upstream in list(context.fleet.upstreams)[first - 1 : last]:
        context.fleet.set_behaviour(upstream, **{name: text})


@then('most lookups succeeded')
def check_most(context: Context) -> None:
    """Check that more than nine in ten lookups succeeded."""
    good = sum(status == 200 for _, status, _ in context.reported)
    assert good > 0.9 * len(context.reported), json.dumps(context.reported)
