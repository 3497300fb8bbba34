"""Steps about runs at upstreams that crash, and at those that only end."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when
from gevent.server import StreamServer

from jackdawhead.clock import monotonic_ms
from jackdawhead.config.model import (
    HeaderNames,
    Operation,
    RetryPolicy,
    WorkClass,
)
from jackdawhead.config.settings import Address
from jackdawhead.node.home.connections import ConnectionPool
from jackdawhead.node.home.execution import Execution
from jackdawhead.node.home.job import Job
from jackdawhead.node.home.target import Target
from jackdawhead.outcome import Outcome
from jackdawhead.policy.retries import HomeResendBudget
from jackdawhead.policy.work import Work
from jackdawhead.wire.messages import Head, Refusal, Submit
from standins.resets import reset_connection

if TYPE_CHECKING:
    from behave.runner import Context

_IP: Final = '127.0.0.1'
_DEADLINE_MS: Final = 5000
_EXPECTED_MS: Final = 50
# Longer than the time after which a home tries a second connection.
_HANG_S: Final = 0.5
_SETTLE_S: Final = 0.05
_BLOCK_BYTES: Final = 65_536
_ANSWER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_RETRIES: Final = RetryPolicy(
    budget_percent=20,
    saved_resends=10,
    max_attempts=2,
    backoff_ms=10,
    redirect_percent=100,
    home_percent=20,
)


@dataclass
class FailingUpstream:
    """Answers the warm-up request, and ends in some way at the next one."""

    ends: str
    is_leaving: bool = False
    port: int = 0
    _socks: list[Any] = field(default_factory=list)
    _server: Any = None

    def start(self) -> None:
        """Start listening."""
        self._server = StreamServer((_IP, 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for sock in self._socks:
            reset_connection(sock)

    def _serve(self, sock: Any, _: Any) -> None:
        self._socks.append(sock)
        # The socket may be reset while this waits for a request.
        with suppress(OSError):
            while received := sock.recv(_BLOCK_BYTES):
                if b'/warm-up' in received:
                    sock.sendall(_ANSWER)
                else:
                    self._end(sock)

    def _end(self, sock: Any) -> None:
        match self.ends:
            case 'crashes':
                self.crash()
            case 'hangs and then crashes':
                gevent.sleep(_HANG_S)
                self.crash()
            case 'ends as planned':
                self.is_leaving = True
                self.crash()
            case 'resets the connection':
                reset_connection(sock)
            case 'closes an idle connection':
                # It serves the next one.
                self.ends = ''
                reset_connection(sock)
            case _:
                sock.sendall(_ANSWER)


@given('an upstream that {ends} when a request comes')
def start_upstream(context: Context, ends: str) -> None:
    """Start an upstream and the pool of its home."""
    context.upstream = FailingUpstream(ends)
    context.upstream.start()
    context.stack.callback(context.upstream.crash)
    address = Address(_IP, context.upstream.port)
    context.pool = ConnectionPool(address, 10)


def run(context: Context, target: str, *, idempotent: bool) -> Any:
    """Run a request and return the last message to its entry."""
    now_ms = monotonic_ms()
    operation = Operation(
        'any', idempotent, WorkClass.SHORT, _DEADLINE_MS, _EXPECTED_MS
    )
    submit = Submit(
        request_id=1,
        service='desk',
        upstream='vm-1/desk',
        operation=operation.name,
        method='GET' if idempotent else 'POST',
        target=target,
        headers=[],
        organisation='',
        fingerprint=7,
        deadline_ms=_DEADLINE_MS,
        may_wait=True,
        body_bytes=0,
        chunk=b'',
        last=True,
    )
    work = Work(1, 'any', WorkClass.SHORT, '', now_ms, now_ms + _DEADLINE_MS)
    home_target = Target(
        Address(_IP, context.upstream.port),
        context.pool,
        operation,
        HeaderNames(),
        '',
        _EXPECTED_MS,
        HomeResendBudget(_RETRIES),
        lambda: context.upstream.is_leaving,
    )
    job = Job(submit, operation, work, lambda _: None)
    return Execution(job, home_target).run().final


@given('a {kind} connection to it')
def prepare_connection(context: Context, kind: str) -> None:
    """Fill the pool by a request that is answered, or leave it empty."""
    if kind == 'pooled':
        assert isinstance(run(context, '/warm-up', idempotent=True), Head)


@when('it crashes before a request comes')
def crash_first(context: Context) -> None:
    """Crash while no request runs."""
    context.upstream.crash()
    gevent.sleep(_SETTLE_S)


@when('a home sends it a request that {may} be repeated')
def send(context: Context, may: str) -> None:
    """Run a request and keep its end."""
    context.final = run(context, '/work', idempotent=may == 'may')


def check_end(context: Context, reason: str, outcome: Outcome) -> None:
    """Compare reason and outcome of a run without an answer."""
    assert isinstance(context.final, Refusal), context.final
    assert context.final.reason == reason, context.final
    assert context.final.outcome == outcome.value, context.final


@then('the run ends as "{reason}", and its outcome is unknown')
def check_unknown(context: Context, reason: str) -> None:
    """Check a run of a request that was sent."""
    check_end(context, reason, Outcome.UNKNOWN)


@then('the run ends as "{reason}", and it did not run')
def check_not_run(context: Context, reason: str) -> None:
    """Check a run of a request that was not sent."""
    check_end(context, reason, Outcome.NOT_RUN)


@then('the run has an answer')
def check_answer(context: Context) -> None:
    """Check that the upstream's answer has arrived."""
    assert isinstance(context.final, Head), context.final
