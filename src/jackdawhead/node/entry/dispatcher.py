"""Sends each request to a home and retries it elsewhere where that is safe."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...policy.levels import by_level, may_look_elsewhere, retry_after_ms
from ...policy.loads import UpstreamLoad
from ...policy.placement import (
    home_risk_limit,
    may_redirect,
    routing_query,
    uses_risk_balancer,
)
from ...policy.poison import fingerprint_of
from ...policy.resend import AttemptEnd, is_resend_safe
from ...policy.retries import backoff_ms
from ...policy.split import pick_service
from ...policy.tried_upstreams import TriedUpstreams
from ...reasons import Reason
from ..decision_log import log_answer, log_choice
from .call_state import Call, priority_of
from .exchanges import Exchanges
from .requests import Answer, CallerRequest, Refused, UpstreamAnswer
from .service_window import ServiceWindows
from .stop_limits import STOP_REFUSAL, StopLimits

if TYPE_CHECKING:
    from ..channels import Channels
    from ..parts import NodeParts

_NO_CONFIG_RETRY_AFTER_MS: Final = 50
_MIN_SERVER_ERROR_STATUS: Final = 500
_NO_CALLER_DEADLINE_MS: Final = 3_600_000


class Dispatcher:
    """Routes a caller's request, sends it to a home and retries it.

    :param parts: controllers of this node.
    :param channels: channels to the homes.
    """

    def __init__(self, parts: NodeParts, channels: Channels) -> None:
        self._recorder = parts.recorder
        self._board = parts.board
        self._routing = parts.routing
        self._pauses = parts.pauses
        self._quotas = parts.quotas
        self._limits = StopLimits(parts.board, parts.home.may_have_called)
        self._exchanges = Exchanges(parts, channels, self._limits)
        self._windows = ServiceWindows(parts.routing)

    def dispatch(self, request: CallerRequest) -> Answer:
        """Return an upstream's answer, or the refusal after the last attempt.

        :param request: the caller's request.
        """
        match self._resolve(request):
            case Refused() as refused:
                return refused
            case call:
                answer = self._send_within_quota(call)
                log_answer(call, answer, self._board)
                self._windows.note(call, answer)
                if isinstance(answer, Refused):
                    call.router.shortage.note_refused(
                        answer.reason, monotonic_ms()
                    )
                return answer

    def _resolve(self, request: CallerRequest) -> Call | Refused:
        self._pauses.wait_until_synced()
        table = self._routing.table
        if table is None:
            return Refused(
                Outcome.NOT_RUN, Reason.NO_CONFIG, _NO_CONFIG_RETRY_AFTER_MS
            )
        route = table.match(request.method, request.path, request.host)
        if route is None:
            return Refused(Outcome.NOT_RUN, Reason.NO_ROUTE)
        service = pick_service(route, self._routing.rng)
        router = self._routing.router(service)
        operation = router.service.operations[route.operation]
        deadline_ms = min(
            route.allowed_ms(router.service),
            request.deadline_ms or _NO_CALLER_DEADLINE_MS,
        )
        fingerprint = fingerprint_of(
            service, request.method, request.target, request.chunk
        )
        self._recorder.note_arrival(
            service, route.operation, request.organisation, fingerprint
        )
        return Call(
            request,
            router,
            operation,
            fingerprint,
            monotonic_ms() + deadline_ms,
            TriedUpstreams(router.poison.crashed_upstreams(fingerprint)),
            self._board.current_service(),
            route.max_attempts,
            request.request_id,
            priority=priority_of(request.organisation, self._board),
        )

    def _send_within_quota(self, call: Call) -> Answer:
        organisation = call.request.organisation
        admission = self._quotas.admit(
            organisation, call.request_id, call.left_ms()
        )
        if isinstance(admission, Refused):
            return admission
        answer = self._send(call)
        has_run = _attempt_end(answer).outcome is not Outcome.NOT_RUN
        if admission is not None and not has_run:
            self._quotas.give_back(organisation, admission)
        return answer

    def _send(self, call: Call) -> Answer:
        call.router.budget.note_first_attempt()
        attempt_number = 1
        fallback: UpstreamAnswer | None = None
        while True:
            answer = self._attempt(call, attempt_number)
            outcome = _attempt_end(answer).outcome
            call.runs += outcome is not Outcome.NOT_RUN
            call.note_outcome(outcome)
            if not self._may_resend(call, answer, attempt_number):
                answer = _final_answer(call, answer, fallback)
                return self._limits.with_retry_time(answer)
            if isinstance(answer, UpstreamAnswer):
                answer.body.close()
                fallback = fallback if answer.body.buffered is None else answer
            policy = call.router.service.retry
            delay_ms = backoff_ms(
                policy, attempt_number, outcome, self._routing.rng
            )
            gevent.sleep(seconds(delay_ms))
            attempt_number += 1

    def _attempt(self, call: Call, attempt_number: int) -> Answer:
        if not self._limits.admits(call):
            return STOP_REFUSAL
        now_ms = monotonic_ms()
        quarantine_remaining_ms = call.router.poison.quarantine_remaining_ms(
            call.fingerprint,
            now_ms,
        )
        if quarantine_remaining_ms:
            return Refused(
                Outcome.NOT_RUN,
                Reason.QUARANTINED,
                quarantine_remaining_ms,
            )
        query = routing_query(
            call.router,
            call.operation,
            call.tried.excluded,
            now_ms,
            may_repeat=call.max_attempts != 1 and call.request.last,
        )
        placed = by_level(query, call.router, call.rank, self._routing.rng)
        if placed is None:
            return self._refused_by_level(call)
        load = call.router.choose(call.operation.name, placed)
        if load is None:
            return Refused(
                Outcome.NOT_RUN,
                Reason.NO_UPSTREAM,
                call.router.service.retry.backoff_ms,
            )
        call.tried.note_sent(load.upstream)
        call.attempts = attempt_number
        log_choice(call, load, attempt_number)
        has_others = len(call.tried) < call.router.member_count
        return self._attempt_at(
            call, load, attempt_number, has_others=has_others
        )

    def _refused_by_level(self, call: Call) -> Refused:
        """Return the refusal of a request that no upstream would take."""
        retry_ms = retry_after_ms(
            call.router, call.rank, monotonic_ms(), self._routing.rng
        )
        return Refused(Outcome.NOT_RUN, Reason.OVERLOADED, retry_ms)

    def _attempt_at(
        self,
        call: Call,
        load: UpstreamLoad,
        attempt_number: int,
        *,
        has_others: bool,
    ) -> Answer:
        budget = call.router.budget
        is_redirect = (
            call.request.last
            and not call.tried.was_busy(load.upstream)
            and may_redirect(call.router, load, monotonic_ms())
        )
        is_reserved = is_redirect and budget.reserve_redirect(
            attempt_number,
            call.operation.work_class,
            has_others=has_others,
        )
        load.note_sent()
        try:
            answer = self._exchanges.run(
                call,
                load,
                may_wait=not is_reserved and self._limits.may_wait(call),
                risk_limit=home_risk_limit(
                    call.router,
                    call.operation,
                    load,
                    monotonic_ms(),
                    attempt=attempt_number,
                    has_others=has_others,
                ),
            )
        finally:
            load.note_done()
        budget.settle_reservation(
            _attempt_end(answer), was_reserved=is_reserved
        )
        if isinstance(answer, Refused):
            self._note_refused(call, load, answer.reason)
        return answer

    def _note_refused(
        self, call: Call, load: UpstreamLoad, reason: Reason
    ) -> None:
        if reason is Reason.PEER_UNREACHABLE:
            call.tried.note_unreachable(
                self._exchanges.linked_upstreams(call.router)
            )
        call.router.note_refusal(
            load.upstream, call.operation.name, reason, monotonic_ms()
        )
        call.tried.note_refused(
            load.upstream, reason, may_return=uses_risk_balancer(call.router)
        )

    def _may_resend(self, call: Call, answer: Answer, attempt: int) -> bool:
        if call.left_ms() <= 0 or not self._limits.has_time_for(call):
            return False
        if not call.request.last and not _is_unsent(answer):
            return False
        end = _attempt_end(answer)
        if not is_resend_safe(end, idempotent=call.operation.idempotent):
            return False
        if may_look_elsewhere(end, attempt, call.router):
            return True
        return call.router.budget.may_resend(
            end, attempt, call.runs, call.max_attempts
        )


def _final_answer(
    call: Call,
    answer: Answer,
    fallback: UpstreamAnswer | None,
) -> Answer:
    """Return the answer to the caller, given the outcomes of all attempts.

    :param answer: result of the last attempt.
    :param fallback: complete answer that an upstream gave to an earlier
        attempt, if any.
    """
    if isinstance(answer, UpstreamAnswer):
        return answer
    if fallback is not None:
        return fallback
    if answer.outcome is call.outcome:
        return answer
    return Refused(call.outcome, answer.reason)


def _attempt_end(answer: Answer) -> AttemptEnd:
    if isinstance(answer, Refused):
        return AttemptEnd(answer.outcome, answer.reason)
    return AttemptEnd(
        Outcome.RAN, is_server_error=answer.status >= _MIN_SERVER_ERROR_STATUS
    )


def _is_unsent(answer: Answer) -> bool:
    """Return whether this node has sent no byte of the request."""
    if isinstance(answer, UpstreamAnswer):
        return False
    return answer.reason is Reason.PEER_UNREACHABLE


__all__ = ('Dispatcher',)
