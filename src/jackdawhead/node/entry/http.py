"""HTTP application that serves the callers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, Final

from falcon import App, Request, Response

from ...clock import monotonic_ms
from ...config.model import CallerPolicy, HeaderNames
from ...logs import log_event
from ...outcome import Outcome
from ...reasons import Reason
from ..http_keys import ANSWER_KEY, FULL_KEY, READ_KEY, SOCKET_KEY
from ..tickets.store import TICKET_LIFETIME_MS
from .body_reads import BodyReads, NodeStopsError
from .caller_watch import WatchedBody, watch_caller
from .key_check import Caller, KeyCheck
from .refusals import fill_refusal, set_optional_header
from .request_fields import header_of
from .request_reader import read_request, with_caller
from .requests import Answer, Refused, UpstreamAnswer
from .stop_limits import STOP_REFUSAL, TICKET_STOP_REFUSAL

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..dispatchers import Dispatchers
    from ..parts import NodeParts
    from .request_stats import RequestStats
    from .requests import CallerRequest

# Time in which callers that don't read on are disconnected.
_FULL_RETRY_MS: Final = 1000
_UNKNOWN_LENGTH: Final = -1
_CREATED: Final = 201
_NEW_TICKET: Final = 'new'
_DEFAULT_HEADER_NAMES: Final = HeaderNames()
_DEFAULT_CALLER_POLICY: Final = CallerPolicy()


class CallerApi:
    """Dispatches callers' HTTP requests and sends the answers back.

    :param parts: controllers of this node.
    :param dispatchers: dispatchers without and with tickets.
    :param request_stats: statistics of finished requests.
    """

    def __init__(
        self,
        parts: NodeParts,
        dispatchers: Dispatchers,
        request_stats: RequestStats,
    ) -> None:
        self._settings = parts.settings
        self._board = parts.board
        self._keys = KeyCheck(parts.board, parts.routing, parts.pauses)
        self._dispatcher = dispatchers.plain
        self._tickets = dispatchers.tickets
        self._request_stats = request_stats
        self._reads = BodyReads(parts.board)

    def app(self) -> App:
        """Return the WSGI application."""
        app = App()
        app.add_sink(self.serve, prefix='/')
        return app

    def serve(self, request: Request, response: Response) -> None:
        """Serve a request for any path.

        :param request: falcon's request.
        :param response: falcon's response, which is filled in.
        """
        names = self._header_names()
        ticket = header_of(request.env, names.ticket)
        if ticket == _NEW_TICKET:
            self._issue_ticket(request, response, names)
        else:
            self._serve(request, response, names, ticket)
        if self._board.leaving:
            response.set_header('Connection', 'close')

    def _issue_ticket(
        self, request: Request, response: Response, names: HeaderNames
    ) -> None:
        caller = self._keys.identify(request.env)
        if isinstance(caller, Refused):
            fill_refusal(response, caller, names, self._caller_policy())
        elif self._board.leaving:
            # Its answer would be gone with this process.
            fill_refusal(response, STOP_REFUSAL, names, self._caller_policy())
        else:
            _fill_ticket(response, self._tickets.issue(), names)

    def _serve(
        self,
        request: Request,
        response: Response,
        names: HeaderNames,
        ticket: str,
    ) -> None:
        started_ms = monotonic_ms()
        note_disconnect = partial(
            self._note_disconnect, request.env, names, started_ms
        )
        answer = self._answer(request, ticket, note_disconnect)
        self._request_stats.count(answer, monotonic_ms() - started_ms)
        if isinstance(answer, UpstreamAnswer):
            self._fill(response, answer, names)
            if answer.body.buffered is None:
                sock = request.env[SOCKET_KEY]
                request.env[ANSWER_KEY] = answer.body
                body = WatchedBody(answer.body, sock, note_disconnect)
                _stream(response, body, answer.body_bytes)
        else:
            fill_refusal(response, answer, names, self._caller_policy())

    def _note_disconnect(
        self,
        environ: dict[str, Any],
        names: HeaderNames,
        started_ms: float,
    ) -> None:
        self._request_stats.caller_disconnects += 1
        log_event(
            'caller-left',
            id=header_of(environ, names.request_id),
            after_ms=int(monotonic_ms() - started_ms),
        )

    def _header_names(self) -> HeaderNames:
        loaded = self._board.config.read().loaded
        return (
            _DEFAULT_HEADER_NAMES if loaded is None else loaded.config.headers
        )

    def _caller_policy(self) -> CallerPolicy:
        loaded = self._board.config.read().loaded
        return (
            _DEFAULT_CALLER_POLICY if loaded is None else loaded.config.callers
        )

    def _answer(
        self,
        request: Request,
        ticket: str,
        on_disconnect: Callable[[], None],
    ) -> Answer:
        caller = self._keys.identify(request.env)
        if isinstance(caller, Refused):
            return caller
        return self._dispatch(request, caller, ticket, on_disconnect)

    def _dispatch(
        self,
        request: Request,
        caller: Caller,
        ticket: str,
        on_disconnect: Callable[[], None],
    ) -> Answer:
        environ = request.env
        length = request.content_length
        refused = self._early_refusal(environ, length or 0)
        if refused is not None:
            return refused
        idle_ms = self._settings.caller_idle_ms
        try:
            request_id = header_of(environ, caller.names.request_id)
            with self._reads.track(request_id):
                call = read_request(environ, caller, length, idle_ms)
        except NodeStopsError:
            return TICKET_STOP_REFUSAL if ticket else STOP_REFUSAL
        except TimeoutError:
            return Refused(Outcome.NOT_RUN, Reason.DEADLINE)
        except OSError:
            return Refused(Outcome.NOT_RUN, Reason.BODY_CUT)
        environ[READ_KEY] = call.request_id
        if ticket:
            # Not cancelled when the caller disconnects: a resend with the same
            # ticket returns the answer of this run.
            return self._dispatch_confirmed(
                environ,
                call,
                caller,
                partial(self._tickets.dispatch, text=ticket),
            )
        with watch_caller(environ[SOCKET_KEY], on_disconnect):
            return self._dispatch_confirmed(
                environ, call, caller, self._dispatcher.dispatch
            )

    def _dispatch_confirmed(
        self,
        environ: dict[str, Any],
        call: CallerRequest,
        caller: Caller,
        dispatch: Callable[[CallerRequest], Answer],
    ) -> Answer:
        """Dispatch a request; its key may have been taken away meanwhile."""
        now_caller = self._keys.confirm(environ, caller)
        if isinstance(now_caller, Refused):
            return now_caller
        if now_caller is not caller:
            call = with_caller(call, environ, now_caller)
        answer = dispatch(call)
        if call.key_digest:
            self._request_stats.organisations.note(call.organisation, answer)
        return answer

    def _early_refusal(
        self, environ: dict[str, Any], length: int
    ) -> Refused | None:
        """Refuse a request whose body the node can't hold."""
        max_bytes = self._caller_policy().max_body_bytes
        if length > (max_bytes or self._settings.max_body_bytes):
            return Refused(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE)
        if environ[FULL_KEY]:
            return Refused(Outcome.NOT_RUN, Reason.OVERLOADED, _FULL_RETRY_MS)
        return None

    def _fill(
        self,
        response: Response,
        answer: UpstreamAnswer,
        names: HeaderNames,
    ) -> None:
        response.status = answer.status
        for name, text in answer.headers:
            response.append_header(name, text)
        set_optional_header(response, names.outcome, Outcome.RAN.value)
        set_optional_header(response, names.node, self._settings.vm)
        response.data = answer.body.buffered


def _fill_ticket(
    response: Response,
    ticket: str,
    names: HeaderNames,
) -> None:
    response.status = _CREATED
    response.set_header(names.ticket, ticket)
    response.set_header(names.outcome, Outcome.NOT_RUN.value)
    response.media = {'ticket': ticket, 'life_ms': TICKET_LIFETIME_MS}


def _stream(response: Response, body: WatchedBody, body_bytes: int) -> None:
    if body_bytes == _UNKNOWN_LENGTH:
        response.stream = body
    else:
        response.set_stream(body, body_bytes)


__all__ = ('CallerApi',)
