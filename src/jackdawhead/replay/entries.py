"""Simulates the entries: routing, retries and hedges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..outcome import Outcome
from ..policy.evidence import Sample
from ..policy.hedging import hedge_after_ms, may_hedge_at
from ..policy.loads import RoutingQuery, UpstreamLoad
from ..policy.placement import home_risk_limit, may_redirect
from ..policy.resend import is_resend_safe
from ..policy.retries import backoff_ms
from ..policy.tried_upstreams import TriedUpstreams
from ..reasons import Reason
from .context import ReplayContext
from .home_answers import HomeAnswer, HomeJob
from .homes import ReplayUpstream
from .outcomes import attempt_end, finished_request
from .requests import ReplayCopy, ReplayRequest
from .views import EntryView

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..policy.subset_rules import EntryPlaces
    from ..trace.records import ArrivalRecord


class ReplayEntry:
    """An entry with the same routing state as a live one.

    :param node: VM of the entry.
    :param context: state shared by the whole replay.
    :param upstreams: simulated upstreams by identity; the replay adds to it.
    :param on_crash: notifies the other entries of a crash, with this entry,
        the service, the fingerprint and the upstream.
    :param places: zones of all entries, and the regions of the zones.
    """

    def __init__(
        self,
        node: str,
        context: ReplayContext,
        upstreams: dict[str, ReplayUpstream],
        on_crash: Callable[[ReplayEntry, str, int, str], None],
        places: EntryPlaces,
    ) -> None:
        self.view = EntryView(node, context, places)
        self.is_listening = True
        self.active: set[ReplayRequest] = set()
        self._context = context
        self._on_crash = on_crash
        self._upstreams = upstreams

    def arrive(self, arrival: ArrivalRecord) -> None:
        """Route a request that arrives from a caller.

        :param arrival: the recorded arrival.
        """
        router = self.view.routers[arrival.service]
        operation = router.service.operations[arrival.operation]
        router.budget.note_first_attempt()
        now_ms = self._context.timeline.now_ms
        tried = TriedUpstreams(
            router.poison.crashed_upstreams(arrival.fingerprint)
        )
        request = ReplayRequest(arrival, router, operation, now_ms, tried)
        self.active.add(request)
        self._attempt(request)

    def stop(self) -> None:
        """End the entry: requests in progress are cut off."""
        for request in tuple(self.active):
            self._cancel_copies(request)
            answer = HomeAnswer(Outcome.UNKNOWN, Reason.CANCELLED)
            self._finish(request, answer)

    def _attempt(self, request: ReplayRequest) -> None:
        if request not in self.active:
            return
        now_ms = self._context.timeline.now_ms
        request.attempts += 1
        router = request.router
        fingerprint = request.arrival.fingerprint
        if router.poison.quarantine_remaining_ms(fingerprint, now_ms):
            answer = HomeAnswer(Outcome.NOT_RUN, Reason.QUARANTINED)
            self._finish(request, answer)
            return
        query = request.query(now_ms, self._context.rng)
        if query is None:
            answer = HomeAnswer(Outcome.NOT_RUN, Reason.OVERLOADED)
            self._finish(request, answer)
            return
        load = router.choose(request.operation.name, query)
        if load is None:
            answer = HomeAnswer(Outcome.NOT_RUN, Reason.NO_UPSTREAM)
            self._finish(request, answer)
            return
        request.tried.note_sent(load.upstream)
        self._send(request, load)

    def _send(self, request: ReplayRequest, load: UpstreamLoad) -> None:
        timeline = self._context.timeline
        if load.home in self.view.unreachable_homes:
            self.view.avoid(load.home)
            linked = self.view.linked_upstreams(request.router)
            request.tried.note_unreachable(linked)
            answer = HomeAnswer(Outcome.NOT_RUN, Reason.PEER_UNREACHABLE)
            self._end_attempt(request, answer)
            return
        self.view.note_linked(load.home)
        request.is_reserved = (
            not request.tried.was_busy(load.upstream)
            and may_redirect(request.router, load, timeline.now_ms)
            and request.router.budget.reserve_redirect(
                request.attempts,
                request.operation.work_class,
                has_others=self._has_untried_members(request),
            )
        )
        copy = self._send_copy(request, load)
        hedge_ms = hedge_after_ms(request.operation, load, timeline.now_ms)
        if hedge_ms is not None:
            timeline.schedule_after(
                hedge_ms, lambda: self._hedge(request, copy)
            )

    def _send_copy(
        self, request: ReplayRequest, load: UpstreamLoad
    ) -> ReplayCopy:
        timeline = self._context.timeline
        load.note_sent()
        copy = ReplayCopy(load, timeline.now_ms)
        request.copies.append(copy)
        self.view.note_sent(load.upstream)
        upstream = self._upstreams[load.upstream]
        hop_ms = self.view.hop_ms(load.upstream)
        job = HomeJob(
            request.work(copy.sent_ms + hop_ms),
            request.arrival.fingerprint,
            request.attempts > 1 or len(request.copies) > 1,
            lambda answer: timeline.schedule_after(
                hop_ms, lambda: self._receive(request, copy, answer)
            ),
            home_risk_limit(
                request.router,
                request.operation,
                load,
                copy.sent_ms,
                attempt=request.attempts,
                has_others=self._has_untried_members(request),
            ),
        )
        copy.job = job
        timeline.schedule_after(hop_ms, lambda: self._deliver(upstream, copy))
        return copy

    def _has_untried_members(self, request: ReplayRequest) -> bool:
        return len(request.tried) < request.router.member_count

    def _deliver(self, upstream: ReplayUpstream, copy: ReplayCopy) -> None:
        if copy.job is not None:
            upstream.submit(copy.job)

    def _hedge(self, request: ReplayRequest, copy: ReplayCopy) -> None:
        """Send a second copy if the first one has not been answered."""
        now_ms = self._context.timeline.now_ms
        router = request.router
        if request.copies != [copy]:
            return
        copy.load.note_overdue(copy.sent_ms, now_ms)
        if router.member_count <= 1:
            return
        if now_ms >= request.deadline_at_ms:
            return
        query = RoutingQuery(now_ms, frozenset((copy.load.upstream,)))
        load = router.choose(request.operation.name, query)
        if load is None or load.home in self.view.unreachable_homes:
            return
        if (
            not may_hedge_at(load, now_ms)
            or not router.budget.try_spend_hedge()
        ):
            return
        request.tried.note_sent(load.upstream)
        request.hedges += 1
        request.is_reserved = False
        self._send_copy(request, load)

    def _receive(
        self,
        request: ReplayRequest,
        copy: ReplayCopy,
        answer: HomeAnswer,
    ) -> None:
        now_ms = self._context.timeline.now_ms
        load = copy.load
        self._update_status(request, load)
        if copy not in request.copies:
            return
        load.note_done()
        request.copies.remove(copy)
        self._record_outcome(request, load, answer, now_ms - copy.sent_ms)
        if answer.reason:
            request.note_refused(load.upstream, answer.reason, now_ms)
        if answer.is_good:
            self._cancel_copies(request)
        if not request.copies:
            self._end_attempt(request, answer)

    def _cancel_copies(self, request: ReplayRequest) -> None:
        """Cancel the remaining copies of an answered request."""
        for copy in request.copies:
            copy.load.note_done()
            job = copy.job
            copy.job = None
            if job is not None:
                self._upstreams[copy.load.upstream].cancel(job)
                self._schedule_status(request, copy.load)
        request.copies.clear()

    def _schedule_status(
        self, request: ReplayRequest, load: UpstreamLoad
    ) -> None:
        """Deliver the status that a home also sends after a cancellation."""
        self._context.timeline.schedule_after(
            2 * self.view.hop_ms(load.upstream),
            lambda: self._update_status(request, load),
        )

    def _update_status(
        self, request: ReplayRequest, load: UpstreamLoad
    ) -> None:
        upstream = self._upstreams[load.upstream]
        if not upstream.is_home_down:
            now_ms = self._context.timeline.now_ms
            status = upstream.status(request.operation.name)
            request.router.note_status(status, now_ms)

    def _record_outcome(
        self,
        request: ReplayRequest,
        load: UpstreamLoad,
        answer: HomeAnswer,
        took_ms: float,
    ) -> None:
        router = request.router
        fingerprint = request.arrival.fingerprint
        if answer.outcome is Outcome.RAN:
            load.note_answer(self._context.timeline.now_ms)
        if answer.is_good:
            router.poison.note_success(fingerprint)
        if answer.reason is Reason.UPSTREAM_CRASHED:
            service = router.service.name
            self.view.note_crash(service, fingerprint, load.upstream)
            self._on_crash(self, service, fingerprint, load.upstream)
        if answer.outcome is Outcome.NOT_RUN:
            return
        now_ms = self._context.timeline.now_ms
        sample = Sample(now_ms, answer.is_good, took_ms)
        router.note_trial(load.upstream, request.operation.name, sample)

    def _end_attempt(self, request: ReplayRequest, answer: HomeAnswer) -> None:
        policy = request.router.service.retry
        now_ms = self._context.timeline.now_ms
        end = attempt_end(answer)
        request.router.budget.settle_reservation(
            end, was_reserved=request.is_reserved
        )
        request.is_reserved = False
        may_resend = (
            now_ms < request.deadline_at_ms
            and is_resend_safe(end, idempotent=request.operation.idempotent)
            and request.may_resend(end)
        )
        if not may_resend:
            self._finish(request, answer)
            return
        delay_ms = backoff_ms(
            policy, request.attempts, answer.outcome, self._context.rng
        )
        self._context.timeline.schedule_after(
            delay_ms, lambda: self._attempt(request)
        )

    def _finish(self, request: ReplayRequest, answer: HomeAnswer) -> None:
        self.active.discard(request)
        now_ms = self._context.timeline.now_ms
        if answer.reason is not None:
            request.router.shortage.note_refused(answer.reason, now_ms)
        self._context.result.finished.append(
            finished_request(request, answer, now_ms)
        )


__all__ = ('ReplayEntry',)
