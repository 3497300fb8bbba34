"""HTTP client that never retries a request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from gevent import socket
from geventhttpclient.response import HTTPSocketResponse

from ..sockets import has_hung_up
from ..wire.stream import set_no_delay

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ..config.settings import Address

_BLOCK_BYTES: Final = 65_536


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request to send.

    :param target: path and query.
    :param headers: sent in addition to Host and Content-Length.
    """

    method: str
    target: str
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response.

    :param headers: values by header name in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Sends requests to one address over a pool of connections.

    Unlike the client of geventhttpclient, it does not resend a request when
    a pooled connection turns out to be closed.

    :param address: address of the server.
    :param timeout_s: timeout of connecting and of each socket operation, in
        seconds.
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._idle: deque[Socket] = deque()

    def send(self, request: HttpRequest) -> HttpResponse:
        """Send a request and wait for the complete response.

        :param request: the request.
        :raises OSError: if the connection fails or times out.
        :raises geventhttpclient.response.HTTPParseError: if the response is
            truncated or malformed.
        """
        sock = self._reuse_idle() or self._connect()
        try:
            sock.sendall(self._head(request) + request.body)
            response = HTTPSocketResponse(
                sock,
                block_size=_BLOCK_BYTES,
                method=request.method,
            )
            body = bytes(response.read())
        except BaseException:
            sock.close()
            raise
        if response.should_close():
            sock.close()
        else:
            self._idle.append(sock)
        headers = {name.lower(): text for name, text in response.items()}
        return HttpResponse(response.status_code, headers, body)

    def keep_open(self, count: int) -> None:
        """Open connections until a number of them are idle.

        :param count: number of idle connections.
        :raises OSError: if a connection cannot be established.
        """
        while len(self._idle) < count:
            self._idle.append(self._connect())

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _reuse_idle(self) -> Socket | None:
        """Return a pooled connection that the server has not closed."""
        while self._idle:
            sock = self._idle.pop()
            if not has_hung_up(sock):
                return sock
            sock.close()
        return None

    def _connect(self) -> Socket:
        target = (self._address.ip, self._address.port)
        sock = socket.create_connection(target, self._timeout_s)
        set_no_delay(sock)
        return sock

    def _head(self, request: HttpRequest) -> bytes:
        lines = [
            f'{request.method} {request.target} HTTP/1.1',
            f'Content-Length: {len(request.body)}',
        ]
        if 'Host' not in request.headers:
            lines.append(f'Host: {self._address}')
        lines.extend(
            f'{name}: {text}' for name, text in request.headers.items()
        )
        return '\r\n'.join((*lines, '', '')).encode('latin-1')


__all__ = ('HttpClient', 'HttpRequest', 'HttpResponse')
