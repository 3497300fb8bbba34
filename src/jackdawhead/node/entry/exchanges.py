"""Sends a request to one home, or to two, and waits for the answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.caution import failure_cost_ms
from ...policy.evidence import Sample
from ...policy.hedging import hedge_after_ms, may_hedge_at
from ...policy.loads import RoutingQuery, UpstreamLoad
from ...reasons import Reason
from ...wire.messages import Head, Refusal, Submit
from .answer_body import AnswerBody, CutAnswerError
from .body_pump import pump_body
from .live_path import LivePaths
from .race import Copy, Heard, Race, is_good
from .requests import Answer, Refused, UpstreamAnswer

if TYPE_CHECKING:
    from ..channels import Channels
    from ..parts import NodeParts
    from .attempts import Attempt
    from .calls import Call

_GRACE_MS: Final = 50
_SAID_HERE: Final = frozenset((Reason.PEER_SILENT, Reason.BODY_CUT))
_COME_BACK_MS: Final = 500


class Exchanges:
    """Exchanges requests and answers with homes.

    :param parts: controllers of this node.
    :param channels: ways to the homes.
    """

    def __init__(self, parts: NodeParts, channels: Channels) -> None:
        self._channels = channels
        self._attempts = parts.attempts
        self._routing = parts.routing
        self._crashes = parts.crashes
        self._paths = LivePaths(parts.routing.note_silent_path)

    def run(
        self,
        call: Call,
        load: UpstreamLoad,
        *,
        may_wait: bool,
        risk_limit: int,
    ) -> Answer:
        """Return the answer of an upstream, or why there is none.

        Slow idempotent work may be sent to a second upstream; the upstream
        that answered is then the one that is judged.

        :param call: the request.
        :param load: where it is sent first.
        :param may_wait: whether a busy home may queue it.
        :param risk_limit: the home refuses it if the risk of a failure is
            greater, in thousandths.
        """
        channel = self._channels.to(load.home)
        if channel is None:
            return Refused(
                Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, _COME_BACK_MS
            )
        if not call.operation.idempotent and not self._paths.is_proved(channel):
            return Refused(
                Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, _COME_BACK_MS
            )
        attempt = self._attempts.begin(channel)
        started_ms = monotonic_ms()
        self._submit(
            call, load, attempt, may_wait=may_wait, risk_limit=risk_limit
        )
        copy = Copy(attempt, load, started_ms)
        try:
            heard = self._await_first(call, copy, risk_limit)
        except BaseException:
            self._attempts.cancel(attempt)
            raise
        call.note_end(heard.other)
        self._learn(call, heard, monotonic_ms() - started_ms)
        if isinstance(heard.first, Head):
            return self._answer(call, heard.copy.attempt, heard.first)
        return self._refused(heard.copy.attempt, heard.first)

    def _await_first(
        self,
        call: Call,
        copy: Copy,
        risk_limit: int,
    ) -> Heard:
        attempt = copy.attempt
        if not call.operation.idempotent or not call.request.last:
            return Heard(copy, attempt.first(call.left_ms() + _GRACE_MS))
        hedge_ms = hedge_after_ms(call.operation, copy.load, monotonic_ms())
        if hedge_ms is not None:
            limit_ms = min(hedge_ms, call.left_ms())
            first = self._paths.first(attempt, copy.run_ms, limit_ms)
            if first is not None:
                return Heard(copy, first)
            self._paths.watch(attempt.channel)
            self._routing.note_overdue(copy.load, copy.sent_ms, monotonic_ms())
            heard = self._hedge(call, copy, risk_limit)
            if heard is not None:
                return heard
        first = self._paths.first(attempt, copy.run_ms, call.left_ms())
        return Heard(copy, first)

    def _hedge(
        self,
        call: Call,
        copy: Copy,
        risk_limit: int,
    ) -> Heard | None:
        """Send a second copy and return the better answer, if one may."""
        load = self._hedge_target(call, copy.load.upstream)
        channel = self._channels.to(load.home) if load else None
        if load is None or channel is None:
            return None
        call.tries.note_sent(load.upstream)
        twin = self._attempts.begin(channel, copy.attempt)
        call.runs += 1
        load.note_sent()
        try:
            self._submit(call, load, twin, may_wait=True, risk_limit=risk_limit)
            copies = (copy, Copy(twin, load, monotonic_ms()))
            return Race(
                self._attempts, self._paths, copies, call.left_ms()
            ).run()
        except BaseException:
            self._attempts.cancel(twin)
            raise
        finally:
            load.note_done()

    def _hedge_target(self, call: Call, first: str) -> UpstreamLoad | None:
        """Choose another upstream; one that was busy before may be free."""
        if call.router.member_count <= 1 or call.left_ms() <= 0:
            return None
        if call.max_attempts and call.runs + 2 > call.max_attempts:
            return None
        now_ms = monotonic_ms()
        query = RoutingQuery(
            now_ms, frozenset((first,)), failure_cost_ms(call.operation)
        )
        load = call.router.choose(call.operation.name, query)
        if load is None or load.upstream == first:
            return None
        if not may_hedge_at(load, now_ms):
            return None
        return load if call.router.budget.may_hedge() else None

    def _submit(
        self,
        call: Call,
        load: UpstreamLoad,
        attempt: Attempt,
        *,
        may_wait: bool,
        risk_limit: int,
    ) -> None:
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
                request.host,
                call.caller_service,
                risk_limit,
            ),
        )
        if not request.last:
            attempt.pump = gevent.spawn(pump_body, request, attempt)

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

    def _answer(self, call: Call, attempt: Attempt, head: Head) -> Answer:
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

    def _learn(self, call: Call, heard: Heard, took_ms: float) -> None:
        first = heard.first
        load = heard.copy.load
        if isinstance(first, Head):
            load.note_answer(monotonic_ms())
            answer_bytes = max(first.body_bytes, len(first.chunk))
            call.router.sizes.note(
                call.operation.name, call.request.body_bytes + answer_bytes
            )
        is_ok = is_good(first)
        if is_ok:
            call.router.poison.note_success(call.fingerprint)
        if isinstance(first, Refusal):
            if first.reason == Reason.UPSTREAM_CRASHED.value:
                self._crashes.note_crash(
                    call.router,
                    call.fingerprint,
                    load.upstream,
                )
            if first.outcome == Outcome.NOT_RUN.value:
                return
        sample = Sample(monotonic_ms(), is_ok, took_ms)
        call.router.note_trial(load.upstream, call.operation.name, sample)


__all__ = ('Exchanges',)
