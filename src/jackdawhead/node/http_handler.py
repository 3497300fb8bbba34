"""Serves the requests of one connection, based on gevent's WSGI handler."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final


from ..clock import monotonic_ms
from ..logs import log_event
from ..policy.caller_bounds import CallerPhase
from .caller_body import CallerBody
from .entry.answer_body import CutAnswerError
from .entry.caller_watch import CallerGoneError
from .gated_handler import GatedHandler
from .http_keys import (
    CONNECTED_KEY,
    FULL_KEY,
    HEADERS_KEY,
    READ_KEY,
    SOCKET_KEY,
)
from .pipeline_turn import PipelineTurn
from .request_framing import framing_problem, split_target
from .request_headers import HeadTooLargeError, RequestHeaders

if TYPE_CHECKING:
    from types import TracebackType
    from typing import BinaryIO

    from .request_framing import FramingProblem

_BAD_REQUEST: Final = 400
_TIMEOUT: Final = 408
_LINE_TOO_LONG: Final = 414
_REASON_PHRASES: Final = {
    _BAD_REQUEST: 'Bad Request',
    _TIMEOUT: 'Request Timeout',
    _LINE_TOO_LONG: 'URI Too Long',
    431: 'Request Header Fields Too Large',
    501: 'Not Implemented',
}
# Empty lines that may precede a request, as some callers end a body with one.
_MAX_EMPTY_LINES: Final = 8
_EMPTY_LINES: Final = frozenset((b'\r\n', b'\n'))
_CONTINUE: Final = '100-continue'
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


class HttpHandler(GatedHandler):
    """Sends without delay; closes the connection after a cut answer or body."""

    path: str
    wsgi_input: CallerBody
    close_connection: bool

    def __init__(self, *args: Any) -> None:
        self._turn = PipelineTurn()
        super().__init__(*args)

    def handle_one_request(self) -> bool | None:
        """Serve the next request.

        :returns: true if another request can follow.
        """
        self._turn.take()
        self._refused_status = 0
        if self._has_head():
            self._serve_request()
            return None if self.close_connection else True
        if self._refused_status:
            # Not while an exception is handled, which would keep the head.
            self._refuse(self._refused_status)
        return None

    def handle_one_response(self) -> None:
        """Serve one request and count it while it is in progress."""
        self.server.begun_ms[self] = monotonic_ms()
        try:
            super().handle_one_response()
            self._end_body()
        finally:
            self.server.begun_ms.pop(self)
        if self.close_connection and not self.wsgi_input.may_be_followed:
            self.linger()

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

    def read_requestline(self) -> str:
        """Return the request line, after a few empty lines at most.

        :raises HeadTooLargeError: if the line is too long.
        :raises ValueError: if there are too many empty lines.
        """
        max_bytes = self.limits.max_bytes
        for _ in range(_MAX_EMPTY_LINES + 1):
            line = self.rfile.readline(max_bytes + 1)
            if len(line) > max_bytes:
                raise HeadTooLargeError(
                    _LINE_TOO_LONG, f'request line exceeds {max_bytes} bytes'
                )
            if line not in _EMPTY_LINES:
                return str(line, 'latin-1')
        raise ValueError('too many empty lines before a request')

    def MessageClass(  # noqa: N802
        self, rfile: BinaryIO, *_: object
    ) -> RequestHeaders:
        """Read the headers of a request."""
        return RequestHeaders(rfile, self.limits.max_bytes)

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
        environ[CONNECTED_KEY] = self.connected_at_ms
        environ[HEADERS_KEY] = self.headers.pairs
        environ[FULL_KEY] = self.server.gate.is_full
        environ['RAW_URI'] = self.path
        return environ

    def finalize_headers(self) -> None:
        """Complete the headers of the answer.

        Tell the caller that the connection closes if nothing can follow the
        body of its request, or if new connections find no room.
        """
        is_last = self.server.gate.is_crowded
        if not self.wsgi_input.may_be_followed:
            is_last = True
        if is_last and not self.close_connection:
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

    def _serve_request(self) -> None:
        self.response_length = 0
        self.environ = self.get_environ()
        self.application = self.server.application
        self.stream.begin(CallerPhase.BODY)
        self.handle_one_response()
        self.limits = self.server.head_limits()
        self.stream.begin(CallerPhase.IDLE, self.limits)

    def _has_head(self) -> bool:
        """Read the head of a request, if there is a valid one."""
        try:
            self.requestline = self.read_requestline()
            return bool(self.requestline) and self.read_request(
                self.requestline
            )
        except TimeoutError:
            self._note_late_head()
        except OSError:
            return False
        except ValueError as error:
            self._note_bad_head(error)
        return False

    def _note_late_head(self) -> None:
        """Note that no head has arrived in time."""
        phase = self.stream.phase
        if not self.is_shed and phase is not CallerPhase.IDLE:
            self.server.gate.count(f'late-{phase.value}')
        if phase is CallerPhase.HEAD:
            self._refused_status = _TIMEOUT

    def _note_bad_head(self, error: ValueError) -> None:
        """Note why a request is malformed."""
        status = _BAD_REQUEST
        if isinstance(error, _FramingError):
            status = error.problem.status
        if isinstance(error, HeadTooLargeError):
            status = error.status
        self.server.refused += 1
        self._refused_status = status
        log_event('request-malformed', status=status, cause=str(error))

    def _refuse(self, status: int) -> None:
        """Refuse a request and close the connection."""
        head = f'HTTP/1.1 {status} {_REASON_PHRASES[status]}'
        fields = 'Connection: close\r\nContent-Length: 0'
        with suppress(OSError):
            self.socket.sendall(f'{head}\r\n{fields}\r\n\r\n'.encode())
        self.linger()

    def _end_body(self) -> None:
        """Read to the end of the body, or close the connection."""
        body = self.wsgi_input
        body.end_reader()
        self.is_lingering = True
        try:
            body.discard_rest()
        except OSError as error:
            log_event('request-body-unreadable', cause=str(error))
        finally:
            self.is_lingering = False
        if not body.may_be_followed:
            self.close_connection = True


__all__ = ('HttpHandler', 'RequestInProgress')
