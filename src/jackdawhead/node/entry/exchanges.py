"""Sends a request to a home, hedges it if slow, and awaits the answer."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.evidence import Sample
from ...policy.hedging import hedge_after_ms, may_hedge_at
from ...policy.loads import RoutingQuery, UpstreamLoad
from ...policy.risk_policy import failure_cost_ms
from ...reasons import Reason
from ...wire.messages import Head, Refusal, Submit
from .answer_body import AnswerBody, CutAnswerError
from .body_pump import pump_body
from .path_checker import PathChecker
from .race import Copy, Race, Reply, is_success
from .requests import Answer, Refused, UpstreamAnswer
from .stop_limits import STOP_REFUSAL
from .way_notes import note_answered, note_sent

if TYPE_CHECKING:
    from ...policy.service_router import ServiceRouter
    from ..channels import Channels
    from ..parts import NodeParts
    from .attempts import Attempt
    from .call_state import Call
    from .stop_limits import StopLimits

# Refusals that this node makes itself: the home must be told to cancel.
_LOCAL_REASONS: Final = frozenset((Reason.PEER_SILENT, Reason.BODY_CUT))
_UNREACHABLE_RETRY_AFTER_MS: Final = 500


class Exchanges:
    """Exchanges requests and answers with homes.

    :param parts: controllers of this node.
    :param channels: channels to the homes.
    :param limits: limits that apply while this node stops.
    """

    def __init__(
        self, parts: NodeParts, channels: Channels, limits: StopLimits
    ) -> None:
        self._channels = channels
        self._limits = limits
        self._attempts = parts.attempts
        self._routing = parts.routing
        self._crashes = parts.crashes
        self._paths = PathChecker(parts.routing.note_silent_path)

    def run(
        self,
        call: Call,
        load: UpstreamLoad,
        *,
        may_wait: bool,
        risk_limit: int,
    ) -> Answer:
        """Return the answer of an upstream, or a refusal.

        A slow idempotent request may be hedged: a second copy goes to another
        upstream. The result counts for the upstream that answered.

        :param call: the request and its state.
        :param load: upstream to which the request is sent first.
        :param may_wait: whether a busy home may queue the request.
        :param risk_limit: highest failure probability, in thousandths, at
            which the home accepts the request.
        """
        channel = self._channels.channel_to(load.home)
        if channel is None:
            return Refused(
                Outcome.NOT_RUN,
                Reason.PEER_UNREACHABLE,
                _UNREACHABLE_RETRY_AFTER_MS,
            )
        if not call.operation.idempotent and not self._paths.is_verified(
            channel
        ):
            return Refused(
                Outcome.NOT_RUN,
                Reason.PEER_UNREACHABLE,
                _UNREACHABLE_RETRY_AFTER_MS,
            )
        if not self._limits.has_time_for(call):
            # The dial and the ping took the time that was left.
            return STOP_REFUSAL
        attempt = self._attempts.begin(channel)
        started_ms = monotonic_ms()
        self._submit(
            call, load, attempt, may_wait=may_wait, risk_limit=risk_limit
        )
        copy = Copy(attempt, load, started_ms)
        try:
            reply = self._await_reply(call, copy, risk_limit)
        except BaseException:
            self._attempts.cancel(attempt)
            raise
        call.note_outcome(reply.other_outcome)
        self._record_reply(call, reply, monotonic_ms() - started_ms)
        if isinstance(reply.message, Head):
            return self._answer(call, reply.copy.attempt, reply.message)
        return self._refused(reply.copy.attempt, reply.message)

    def linked_upstreams(self, router: ServiceRouter) -> dict[str, bool]:
        """Return for each upstream whether its home can be used without a dial.

        :param router: router of the service.
        """
        return {
            load.upstream: self._channels.is_linked(load.home)
            for load in router.loads
        }

    def _await_reply(
        self,
        call: Call,
        copy: Copy,
        risk_limit: int,
    ) -> Reply:
        attempt = copy.attempt
        if not call.operation.idempotent or not call.request.last:
            return Reply(copy, attempt.next_message(call.bound_ms()))
        hedge_ms = hedge_after_ms(call.operation, copy.load, monotonic_ms())
        if hedge_ms is not None:
            limit_ms = min(hedge_ms, call.left_ms())
            message = self._paths.first_message(attempt, copy.run_ms, limit_ms)
            if message is not None:
                return Reply(copy, message)
            self._paths.check_in_background(attempt.channel)
            self._routing.note_overdue(copy.load, copy.sent_ms, monotonic_ms())
            reply = self._hedge(call, copy, risk_limit)
            if reply is not None:
                return reply
        message = self._paths.first_message(
            attempt, copy.run_ms, call.left_ms()
        )
        return Reply(copy, message)

    def _hedge(
        self,
        call: Call,
        copy: Copy,
        risk_limit: int,
    ) -> Reply | None:
        """Send a second copy and return the first good reply.

        Returns nothing if the request may not be hedged.
        """
        load = self._hedge_target(call, copy.load.upstream)
        channel = self._channels.channel_to(load.home) if load else None
        if load is None or channel is None:
            return None
        call.tried.note_sent(load.upstream)
        hedge = self._attempts.begin(channel, copy.attempt)
        call.runs += 1
        load.note_sent()
        try:
            self._submit(
                call,
                load,
                hedge,
                may_wait=self._limits.may_wait(call),
                risk_limit=risk_limit,
            )
            copies = (copy, Copy(hedge, load, monotonic_ms()))
            return Race(
                self._attempts, self._paths, copies, call.left_ms()
            ).run()
        except BaseException:
            self._attempts.cancel(hedge)
            raise
        finally:
            load.note_done()

    def _hedge_target(
        self, call: Call, first_upstream: str
    ) -> UpstreamLoad | None:
        """Choose another upstream; one that was busy before may be free now."""
        if call.router.member_count <= 1 or call.left_ms() <= 0:
            return None
        if not self._limits.admits(call):
            return None
        if call.max_attempts and call.runs + 2 > call.max_attempts:
            return None
        now_ms = monotonic_ms()
        query = RoutingQuery(
            now_ms,
            frozenset((first_upstream,)),
            failure_cost_ms(call.operation),
        )
        load = call.router.choose(call.operation.name, query)
        if load is None or load.upstream == first_upstream:
            return None
        if not may_hedge_at(load, now_ms):
            return None
        return load if call.router.budget.try_spend_hedge() else None

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
        note_sent(call, load)
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
                call.priority,
            ),
        )
        if not request.last:
            attempt.pump = gevent.spawn(pump_body, request, attempt)

    def _refused(self, attempt: Attempt, message: Refusal | None) -> Refused:
        if message is None:
            self._attempts.cancel(attempt)
            return Refused(Outcome.UNKNOWN, Reason.DEADLINE)
        reason = Reason(message.reason)
        if reason in _LOCAL_REASONS:
            self._attempts.cancel(attempt)
        else:
            self._attempts.end(attempt)
        return Refused(Outcome(message.outcome), reason, message.retry_after_ms)

    def _answer(self, call: Call, attempt: Attempt, head: Head) -> Answer:
        body = AnswerBody(
            self._attempts,
            attempt,
            head,
            call.bound_ms(),
            partial(_note_completion, call) if is_success(head) else None,
        )
        try:
            body.await_first()
        except CutAnswerError:
            return Refused(Outcome.UNKNOWN, Reason.ANSWER_CUT)
        return UpstreamAnswer(head.status, head.headers, head.body_bytes, body)

    def _record_reply(self, call: Call, reply: Reply, took_ms: float) -> None:
        message = reply.message
        load = reply.copy.load
        if isinstance(message, Head):
            load.note_answer(monotonic_ms())
            note_answered(call, load, message)
        is_ok = is_success(message)
        if is_ok:
            call.router.poison.note_success(call.fingerprint)
        if isinstance(message, Refusal):
            if message.reason == Reason.UPSTREAM_CRASHED.value:
                self._crashes.note_crash(
                    call.router,
                    call.fingerprint,
                    load.upstream,
                )
            if message.outcome == Outcome.NOT_RUN.value:
                return
        sample = Sample(monotonic_ms(), is_ok, took_ms)
        call.router.note_trial(load.upstream, call.operation.name, sample)


def _note_completion(call: Call) -> None:
    took_ms = monotonic_ms() - call.arrived_at_ms
    call.router.completion_times.note(call.operation.name, took_ms)


__all__ = ('Exchanges',)
