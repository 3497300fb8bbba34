"""HTTP server based on gevent's WSGI server.

It disables Nagle's algorithm, access logs and tracebacks for expected errors.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from gevent.pywsgi import WSGIHandler, WSGIServer

from ..clock import monotonic_ms
from ..logs import log_event
from ..sockets import await_close
from ..wire.stream import set_no_delay
from .caller_body import CallerBody
from .entry.answer_body import CutAnswerError
from .entry.caller_watch import CallerGoneError
from .request_framing import framing_problem, split_target
from .request_headers import RequestHeaders

if TYPE_CHECKING:
    from types import TracebackType

    from gevent.socket import socket as Socket

    from ..config.settings import Address
from .request_framing import FramingProblem

SOCKET_KEY: Final = 'jackdawhead.socket'
HEADERS_KEY: Final = 'jackdawhead.headers'
# Monotonic time in milliseconds at which the connection was accepted.
CONNECTED_KEY: Final = 'jackdawhead.connected'
# Set by the application once it has read the request: the request's id.
READ_KEY: Final = 'jackdawhead.read'
_REASON_PHRASES: Final = {400: 'Bad Request', 501: 'Not Implemented'}
_CONTINUE: Final = '100-continue'
# Time in which a caller may still send a body that nobody reads.
_LINGER_MS: Final = 2000
_EXPECTED_ERRORS: Final = (CutAnswerError, CallerGoneError, TimeoutError)


@dataclass(frozen=True, slots=True)
class RequestInProgress:
    """A request that has no complete answer yet.

    :param request_id: identity that the caller gave the request, empty until
        it has been read.
    :param progress: ``reading``, ``running`` or ``answering``.
    :param began_at_ms: monotonic time at which its head was read.
    """

    request_id: str
    progress: str
    began_at_ms: float


class _FramingError(ValueError):
    """A request with ambiguous or unsupported framing."""

    def __init__(self, problem: FramingProblem) -> None:
        super().__init__(problem.cause)
        self.problem = problem


class HttpHandler(WSGIHandler):
    """Sends without delay; closes the connection after a cut answer or body."""

    MessageClass = RequestHeaders  # noqa: WPS115
    path: str
    wsgi_input: CallerBody
    close_connection: bool

    def __init__(self, sock: Socket, *args: Any, **kwargs: Any) -> None:
        set_no_delay(sock)
        self._connected_at_ms = monotonic_ms()
        super().__init__(sock, *args, **kwargs)

    def handle(self) -> None:
        """Serve one connection until it closes or its timeout expires."""
        self.socket.settimeout(self.server.idle_timeout_s)
        self.server.connections += 1
        try:
            super().handle()
        except TimeoutError:
            self.socket.close()
        finally:
            self.server.connections -= 1

    def handle_one_response(self) -> None:
        """Serve one request and count it while it is in progress."""
        self.server.begun_ms[self] = monotonic_ms()
        try:
            super().handle_one_response()
            self._end_body()
        finally:
            self.server.begun_ms.pop(self)
        if self.close_connection and not self.wsgi_input.may_be_followed:
            await_close(self.socket, _LINGER_MS)

    @property
    def in_progress(self) -> RequestInProgress:
        """The request that is being served."""
        request_id = self.environ.get(READ_KEY)
        progress = 'reading' if request_id is None else 'running'
        if self.headers_sent:
            progress = 'answering'
        return RequestInProgress(
            request_id or '', progress, self.server.begun_ms[self]
        )

    def read_request(self, raw_requestline: str) -> bool:
        """Read the request line and the headers.

        :param raw_requestline: the request line.
        :raises ValueError: if the request is malformed or ambiguous.
        """
        is_valid: bool = super().read_request(raw_requestline)
        headers = self.headers
        problem = framing_problem(self.request_version, headers.pairs)
        if problem is not None:
            raise _FramingError(problem)
        host, target = split_target(self.path)
        if host:
            self.path = target
            headers.replace_host(host)
        return is_valid

    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        """Return the WSGI environment with socket and raw headers added."""
        environ: dict[str, Any] = super().get_environ()
        is_waiting = environ.get('HTTP_EXPECT', '').lower() == _CONTINUE
        self.wsgi_input = CallerBody(
            self.rfile,
            self.content_length,
            self.socket if is_waiting else None,
            is_chunked=self.wsgi_input.chunked_input,
        )
        # Without this a request to upgrade would be read without its bounds.
        environ['wsgi.input'] = self.wsgi_input
        environ[SOCKET_KEY] = self.socket
        environ[CONNECTED_KEY] = self._connected_at_ms
        environ[HEADERS_KEY] = self.headers.pairs
        environ['RAW_URI'] = self.path
        return environ

    def finalize_headers(self) -> None:
        """Complete the headers of the answer.

        Tell the caller that the connection closes if nothing can follow the
        body of its request.
        """
        if not self.close_connection and not self.wsgi_input.may_be_followed:
            self.close_connection = True
            self.response_headers.append((b'Connection', b'close'))
        super().finalize_headers()

    def log_request(self) -> None:
        """Disable the access log; metrics count the requests instead."""

    def handle_error(
        self,
        kind: type[BaseException],
        error: BaseException,
        traceback: TracebackType | None,
    ) -> None:
        """Handle an error of the application.

        After an expected error, close the connection, so that the caller
        can detect an incomplete answer.
        """
        if not isinstance(error, _EXPECTED_ERRORS):
            super().handle_error(kind, error, traceback)
            return
        self.close_connection = True

    def _end_body(self) -> None:
        """Read to the end of the body, or close the connection."""
        body = self.wsgi_input
        body.end_reader()
        try:
            body.discard_rest()
        except OSError as error:
            log_event('request-body-unreadable', cause=str(error))
        if not body.may_be_followed:
            self.close_connection = True

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        """Refuse a malformed request and close the connection."""
        status = 400
        if isinstance(error, _FramingError):
            status = error.problem.status
        self.server.refused += 1
        log_event('request-malformed', status=status, cause=str(error))
        phrase = _REASON_PHRASES[status]
        head = f'HTTP/1.1 {status} {phrase}\r\nConnection: close\r\n'
        return str(status), f'{head}Content-Length: 0\r\n\r\n'.encode()


class HttpServer(WSGIServer):
    """Listener for :class:`HttpHandler`.

    :param address: address to listen on.
    :param application: WSGI application.
    :param idle_timeout_s: socket timeout in seconds; a connection on which
        the caller stays idle for longer is closed.

    The attribute ``begun_ms`` has the monotonic time at which each request in
    progress began, ``connections`` is the number of open connections, and
    ``refused`` the number of malformed or ambiguous requests so far.
    """

    handler_class = HttpHandler

    def __init__(
        self,
        address: Address,
        application: Any,
        idle_timeout_s: float,
    ) -> None:
        super().__init__(
            (address.ip, address.port),
            application,
            backlog=1024,
            log=None,
        )
        self.idle_timeout_s = idle_timeout_s
        self.begun_ms: dict[HttpHandler, float] = {}
        self.connections = 0
        self.refused = 0

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return len(self.begun_ms)

    @property
    def in_progress(self) -> tuple[RequestInProgress, ...]:
        """Requests in progress."""
        return tuple(handler.in_progress for handler in self.begun_ms)

    def has_request_from_before(self, at_ms: float) -> bool:
        """Return whether a request in progress began before a time.

        :param at_ms: monotonic time.
        """
        return any(begun_ms < at_ms for begun_ms in self.begun_ms.values())


__all__ = (
    'CONNECTED_KEY',
    'HEADERS_KEY',
    'READ_KEY',
    'SOCKET_KEY',
    'HttpServer',
    'RequestInProgress',
)
