"""Logs each decision about a request together with its inputs."""

from __future__ import annotations

from math import isinf
from typing import TYPE_CHECKING, Final

from ..clock import monotonic_ms
from ..config.credentials import key_id
from ..logs import log_event
from ..outcome import Outcome
from ..wire.messages import Refusal
from .entry.requests import UpstreamAnswer

if TYPE_CHECKING:
    from ..blackboard import Blackboard
    from ..policy.home_stop import HomeStop
    from ..policy.loads import UpstreamLoad
    from ..policy.upstream_state import UpstreamState
    from .entry.call_state import Call
    from .entry.requests import Answer
    from .home.execution import ExecutionResult
    from .home.job import Job

_MIN_LOGGED_UNUSED_MS: Final = 2000.0


def log_choice(call: Call, load: UpstreamLoad, attempt: int) -> None:
    """Log the upstream chosen for an attempt.

    :param call: the request.
    :param load: the entry's view of the upstream.
    :param attempt: number of the attempt, starting at 1.
    """
    now_ms = monotonic_ms()
    log_event(
        'upstream-chosen',
        id=call.request_id,
        attempt=attempt,
        upstream=load.upstream,
        way=call.router.ways.way_to(load.zone).value,
        risk=load.risk_now(now_ms),
        wait_ms=int(load.expected_wait_ms(now_ms)),
        age_ms=int(now_ms - load.reported_at_ms) if load.reported_at_ms else -1,
        left_ms=int(call.deadline_at_ms - now_ms),
    )


def log_answer(call: Call, answer: Answer, board: Blackboard) -> None:
    """Log the result of a request.

    :param call: the request.
    :param answer: the answer sent to the caller.
    :param board: shared state, for the versions in use.
    """
    now_ms = monotonic_ms()
    log_event(
        'request-answered',
        id=call.request_id,
        service=call.router.service.name,
        operation=call.operation.name,
        **_outcome_fields(answer),
        attempts=call.attempts,
        runs=call.runs,
        took_ms=int(now_ms - call.arrived_at_ms),
        left_ms=int(call.deadline_at_ms - now_ms),
        config_version=board.config.read().version,
        list_version=board.vm_list.read().version,
        **_caller_fields(call),
    )


def _caller_fields(call: Call) -> dict[str, object]:
    request = call.request
    if not request.key_digest:
        return {}
    return {
        'organisation': request.organisation,
        'key': key_id(request.key_digest),
    }


def _outcome_fields(answer: Answer) -> dict[str, object]:
    if isinstance(answer, UpstreamAnswer):
        return {'came_to': answer.status, 'outcome': Outcome.RAN.value}
    return {
        'came_to': answer.reason.value,
        'outcome': answer.outcome.value,
        'retry_after_ms': answer.retry_after_ms,
    }


def log_admission(
    job: Job, state: UpstreamState, verdict: str, stop: HomeStop
) -> None:
    """Log a home's admission decision for a request.

    :param job: the request.
    :param state: state of the upstream.
    :param verdict: the decision.
    :param stop: planned stop of the node, if any.
    """
    now_ms = monotonic_ms()
    log_event(
        'work-offered',
        id=job.caller_id,
        upstream=state.name,
        verdict=verdict,
        free=state.admission.free,
        waiting=state.admission.waiting,
        priority=job.work.priority,
        risk=state.risk(now_ms),
        risk_limit=job.submit.risk_limit,
        evidence_age_ms=_age_ms(state, now_ms),
        left_ms=job.submit.deadline_ms,
        **_stop_fields(job, state, stop, now_ms),
    )


def _stop_fields(
    job: Job, state: UpstreamState, stop: HomeStop, now_ms: float
) -> dict[str, object]:
    ends_in_ms = stop.ends_in_ms(now_ms)
    if ends_in_ms is None:
        return {}
    rule = state.admission
    wait_ms = rule.expected_wait_ms(now_ms)
    high_ms = rule.run_times.high_ms(job.operation.name)
    return {
        'idempotent': job.operation.idempotent,
        'estimate_ms': int(wait_ms + high_ms),
        'ends_in_ms': int(ends_in_ms),
    }


def log_run(job: Job, result: ExecutionResult, state: UpstreamState) -> None:
    """Log the end of a run.

    :param job: the request.
    :param result: result of the run.
    :param state: state of the upstream, already updated with that end.
    """
    log_event(
        'run-ended',
        id=job.caller_id,
        upstream=state.name,
        ending=result.ending.value,
        run_ms=int(result.run_ms),
        waited_ms=int(job.started_ms - job.work.arrived_at_ms),
        risk=state.risk(monotonic_ms()),
        resent=result.resent,
        **_refusal_fields(result),
    )


def _refusal_fields(result: ExecutionResult) -> dict[str, object]:
    final = result.final
    if not isinstance(final, Refusal):
        return {}
    return {'reason': final.reason, 'outcome': final.outcome}


def log_cancel(job: Job, state: UpstreamState) -> None:
    """Log that an entry cancelled a request, and its progress until then.

    :param job: the request.
    :param state: state of the upstream.
    """
    now_ms = monotonic_ms()
    log_event(
        'work-cancelled',
        id=job.caller_id,
        upstream=state.name,
        running=job.running,
        after_ms=int(now_ms - job.work.arrived_at_ms),
        ran_ms=int(now_ms - job.started_ms) if job.running else 0,
    )


def log_cut(job: Job) -> None:
    """Log a run that is still in progress when its node ends.

    :param job: the request.
    """
    now_ms = monotonic_ms()
    log_event(
        'run-cut',
        id=job.caller_id,
        upstream=job.submit.upstream,
        operation=job.operation.name,
        idempotent=job.operation.idempotent,
        ran_ms=int(now_ms - job.started_ms),
        left_ms=int(job.work.deadline_at_ms - now_ms),
    )


def log_use(upstream: str, unused_ms: float, state: UpstreamState) -> None:
    """Log that an upstream runs a request after a long idle time.

    :param upstream: its identity.
    :param unused_ms: time since its last run started, in milliseconds;
        shorter idle times are not logged.
    :param state: state of the upstream.
    """
    if unused_ms >= _MIN_LOGGED_UNUSED_MS:
        log_event(
            'upstream-used-again',
            upstream=upstream,
            unused_ms=int(unused_ms),
            risk=state.risk(monotonic_ms()),
        )


def _age_ms(state: UpstreamState, now_ms: float) -> int:
    """Return the age of the newest outcome, -1 if there is none."""
    age_ms = state.evidence_age_ms(now_ms)
    return -1 if isinf(age_ms) else int(age_ms)


__all__ = (
    'log_admission',
    'log_answer',
    'log_cancel',
    'log_choice',
    'log_cut',
    'log_run',
    'log_use',
)
