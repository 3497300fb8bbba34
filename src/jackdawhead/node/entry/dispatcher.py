"""Sends a request to a home, and again elsewhere where that is safe."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...policy.evidence import Sample
from ...policy.hedging import hedge_after_ms
from ...policy.loads import RoutingQuery, UpstreamLoad
from ...policy.poison import fingerprint_of
from ...policy.resend import AttemptEnd, is_resend_safe
from ...policy.retries import backoff_ms
from ...reasons import Reason
from ...wire.messages import Head, Refusal, Submit
from .answer_body import AnswerBody, CutAnswerError
from .attempts import Attempt, Attempts
from .body_pump import pump_body
from .live_path import await_on_live_path
from .race import Copy, Heard, race
from .requests import Answer, CallerRequest, Refused, UpstreamAnswer

if TYPE_CHECKING:
    from ...config.model import Operation
    from ...policy.service_router import ServiceRouter
    from ..channels import Channels
    from ..trace_recorder import TraceRecorder
    from .routing import RoutingController

_GRACE_MS: Final = 50
_SILENT: Final = Reason.PEER_SILENT.value
_SAID_HERE: Final = frozenset((Reason.PEER_SILENT, Reason.BODY_CUT))
_COME_BACK_MS: Final = 500
_SERVER_ERROR: Final = 500
_FAR_FUTURE_MS: Final = 3_600_000


@dataclass(frozen=True, slots=True)
class _Call:
    """A request with what was decided about it.

    :param deadline_at_ms: monotonic time.
    :param tried: upstreams it was sent to.
    """

    request: CallerRequest
    router: ServiceRouter
    operation: Operation
    fingerprint: int
    deadline_at_ms: float
    tried: set[str] = field(default_factory=set)

    def left_ms(self) -> float:
        """Return the time left."""
        return self.deadline_at_ms - monotonic_ms()


class Dispatcher:
    """Finds an answer for each request.

    :param routing: routes and the state of the services.
    :param channels: ways to the homes.
    :param attempts: where answers are awaited.
    :param recorder: records arrivals for replay.
    """

    def __init__(
        self,
        routing: RoutingController,
        channels: Channels,
        attempts: Attempts,
        recorder: TraceRecorder,
    ) -> None:
        self._recorder = recorder
        self._routing = routing
        self._channels = channels
        self._attempts = attempts

    def dispatch(self, request: CallerRequest) -> Answer:
        """Return the answer of an upstream, or a final refusal.

        :param request: the caller's request.
        """
        match self._plan(request):
            case Refused() as refused:
                return refused
            case call:
                return self._send(call)

    def _plan(self, request: CallerRequest) -> _Call | Refused:
        table = self._routing.table
        if table is None:
            return Refused(Outcome.NOT_RUN, Reason.NO_CONFIG, _GRACE_MS)
        route = table.match(request.method, request.path)
        if route is None:
            return Refused(Outcome.NOT_RUN, Reason.NO_ROUTE)
        router = self._routing.router(route.service)
        operation = router.service.operations[route.operation]
        deadline_ms = min(
            operation.deadline_ms,
            request.deadline_ms or _FAR_FUTURE_MS,
        )
        fingerprint = fingerprint_of(
            route.service,
            request.method,
            request.target,
            request.chunk,
        )
        self._recorder.note_arrival(
            route.service,
            route.operation,
            request.organisation,
            fingerprint,
        )
        return _Call(
            request,
            router,
            operation,
            fingerprint,
            monotonic_ms() + deadline_ms,
        )

    def _send(self, call: _Call) -> Answer:
        call.router.budget.note_first_attempt()
        attempt_number = 1
        while True:
            answer = self._attempt(call, attempt_number)
            if not self._may_resend(call, answer, attempt_number):
                return answer
            if isinstance(answer, UpstreamAnswer):
                answer.body.close()
            policy = call.router.service.retry
            delay_ms = backoff_ms(
                policy,
                attempt_number,
                _end_of(answer).outcome,
                self._routing.rng,
            )
            gevent.sleep(seconds(delay_ms))
            attempt_number += 1

    def _attempt(self, call: _Call, attempt_number: int) -> Answer:
        now_ms = monotonic_ms()
        quarantined_ms = call.router.poison.quarantined_ms(
            call.fingerprint,
            now_ms,
        )
        if quarantined_ms:
            return Refused(
                Outcome.NOT_RUN,
                Reason.QUARANTINED,
                quarantined_ms,
            )
        query = RoutingQuery(now_ms, frozenset(call.tried))
        load = call.router.choose(call.operation.name, query)
        if load is None:
            return Refused(
                Outcome.NOT_RUN,
                Reason.NO_UPSTREAM,
                call.router.service.retry.backoff_ms,
            )
        call.tried.add(load.upstream)
        has_others = len(call.tried) < call.router.member_count
        return self._attempt_at(
            call, load, attempt_number, has_others=has_others
        )

    def _attempt_at(
        self,
        call: _Call,
        load: UpstreamLoad,
        attempt_number: int,
        *,
        has_others: bool,
    ) -> Answer:
        budget = call.router.budget
        is_reserved = call.request.last and budget.reserve_redirect(
            attempt_number,
            call.operation.work_class,
            has_others=has_others,
        )
        load.note_sent()
        try:
            answer = self._exchange(call, load, may_wait=not is_reserved)
        finally:
            load.note_done()
        budget.settle(_end_of(answer), was_reserved=is_reserved)
        return answer

    def _exchange(
        self,
        call: _Call,
        load: UpstreamLoad,
        *,
        may_wait: bool,
    ) -> Answer:
        channel = self._channels.to(load.home)
        if channel is None:
            return Refused(
                Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, _COME_BACK_MS
            )
        attempt = self._attempts.begin(channel)
        started_ms = monotonic_ms()
        pump = self._submit(call, load, attempt, may_wait=may_wait)
        copy = Copy(attempt, load)
        try:
            heard = self._await_first(call, copy)
        except BaseException:
            self._attempts.cancel(attempt)
            _kill(pump)
            raise
        self._learn(call, heard, monotonic_ms() - started_ms)
        if isinstance(heard.first, Head):
            return self._answer(call, heard.copy.attempt, heard.first)
        _kill(pump)
        return self._refused(heard.copy.attempt, heard.first)

    def _await_first(self, call: _Call, copy: Copy) -> Heard:
        attempt = copy.attempt
        if not call.operation.idempotent or not call.request.last:
            return Heard(copy, attempt.first(call.left_ms() + _GRACE_MS))
        hedge_ms = hedge_after_ms(call.operation, copy.load, monotonic_ms())
        if hedge_ms is not None:
            first = attempt.first(min(hedge_ms, call.left_ms()))
            if first is not None:
                return Heard(copy, first)
            heard = self._hedge(call, copy)
            if heard is not None:
                return heard
        return self._await_live(call, copy)

    def _await_live(self, call: _Call, copy: Copy) -> Heard:
        first = await_on_live_path(
            copy.attempt, copy.load.report.run_ms, call.left_ms()
        )
        if isinstance(first, Refusal) and first.reason == _SILENT:
            self._routing.avoid(copy.load.home)
        return Heard(copy, first)

    def _hedge(self, call: _Call, copy: Copy) -> Heard | None:
        """Send a second copy and return the better answer, if one may."""
        load = self._hedge_target(call)
        channel = self._channels.to(load.home) if load else None
        if load is None or channel is None:
            return None
        call.tried.add(load.upstream)
        twin = self._attempts.begin(channel, copy.attempt)
        load.note_sent()
        try:
            self._submit(call, load, twin, may_wait=True)
            return race(
                self._attempts, (copy, Copy(twin, load)), call.left_ms()
            )
        except BaseException:
            self._attempts.cancel(twin)
            raise
        finally:
            load.note_done()

    def _hedge_target(self, call: _Call) -> UpstreamLoad | None:
        has_others = len(call.tried) < call.router.member_count
        if not has_others or call.left_ms() <= 0:
            return None
        if not call.router.budget.may_hedge():
            return None
        query = RoutingQuery(monotonic_ms(), frozenset(call.tried))
        return call.router.choose(call.operation.name, query)

    def _refused(self, attempt: Attempt, first: Refusal | None) -> Refused:
        if first is None:
            self._attempts.cancel(attempt)
            return Refused(Outcome.UNKNOWN, Reason.DEADLINE)
        reason = Reason(first.reason)
        if reason in _SAID_HERE:
            self._attempts.cancel(attempt)
        else:
            self._attempts.end(attempt)
        return Refused(Outcome(first.outcome), reason, first.retry_after_ms)

    def _submit(
        self,
        call: _Call,
        load: UpstreamLoad,
        attempt: Attempt,
        *,
        may_wait: bool,
    ) -> gevent.Greenlet | None:
        request = call.request
        attempt.channel.send(
            Submit(
                attempt.request_id,
                call.router.service.name,
                load.upstream,
                call.operation.name,
                request.method,
                request.target,
                request.headers,
                request.organisation,
                call.fingerprint,
                max(1, int(call.left_ms())),
                may_wait,
                request.body_bytes,
                request.chunk,
                request.last,
            ),
        )
        if request.last:
            return None
        return gevent.spawn(pump_body, request, attempt)

    def _answer(self, call: _Call, attempt: Attempt, head: Head) -> Answer:
        body = AnswerBody(
            self._attempts,
            attempt,
            head,
            call.operation.deadline_ms,
        )
        try:
            body.await_first()
        except CutAnswerError:
            return Refused(Outcome.UNKNOWN, Reason.ANSWER_CUT)
        return UpstreamAnswer(head.status, head.headers, head.body_bytes, body)

    def _learn(self, call: _Call, heard: Heard, took_ms: float) -> None:
        first = heard.first
        load = heard.copy.load
        is_ok = isinstance(first, Head) and first.status < _SERVER_ERROR
        if is_ok:
            call.router.poison.note_success(call.fingerprint)
        if isinstance(first, Refusal):
            if first.reason == Reason.UPSTREAM_CRASHED.value:
                self._routing.note_crash(
                    call.router,
                    call.fingerprint,
                    load.upstream,
                )
            if first.outcome == Outcome.NOT_RUN.value:
                return
        sample = Sample(monotonic_ms(), is_ok, took_ms)
        call.router.note_trial(load.upstream, call.operation.name, sample)

    def _may_resend(self, call: _Call, answer: Answer, attempt: int) -> bool:
        if call.left_ms() <= 0:
            return False
        if not call.request.last and not _is_unsent(answer):
            return False
        end = _end_of(answer)
        if not is_resend_safe(end, idempotent=call.operation.idempotent):
            return False
        return call.router.budget.may_resend(end, attempt)


def _end_of(answer: Answer) -> AttemptEnd:
    if isinstance(answer, Refused):
        return AttemptEnd(answer.outcome, answer.reason)
    return AttemptEnd(
        Outcome.RAN, is_server_error=answer.status >= _SERVER_ERROR
    )


def _is_unsent(answer: Answer) -> bool:
    """Return whether no byte of the request has left this node."""
    if isinstance(answer, UpstreamAnswer):
        return False
    return answer.reason is Reason.PEER_UNREACHABLE


def _kill(greenlet: gevent.Greenlet | None) -> None:
    if greenlet is not None:
        greenlet.kill(block=False)


__all__ = ('Dispatcher',)
