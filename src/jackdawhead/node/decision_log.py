"""One log line for each decision about a request, with what it rests on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..clock import monotonic_ms
from ..logs import log_event
from ..outcome import Outcome
from .entry.requests import UpstreamAnswer

if TYPE_CHECKING:
    from ..blackboard import Blackboard
    from ..policy.loads import UpstreamLoad
    from ..policy.upstream_state import UpstreamState
    from .entry.calls import Call
    from .entry.requests import Answer
    from .home.execution import Ended
    from .home.job import Job

_LONG_UNUSED_MS: Final = 2000.0


def log_choice(call: Call, load: UpstreamLoad, attempt: int) -> None:
    """Tell which upstream an attempt goes to.

    :param call: the request.
    :param load: what the entry knows of the upstream.
    :param attempt: number of the attempt, from 1.
    """
    now_ms = monotonic_ms()
    log_event(
        'upstream-chosen',
        id=call.request_id,
        attempt=attempt,
        upstream=load.upstream,
        risk=load.risk_now(now_ms),
        wait_ms=int(load.expected_wait_ms(now_ms)),
        age_ms=int(now_ms - load.reported_at_ms) if load.reported_at_ms else -1,
        left_ms=int(call.deadline_at_ms - now_ms),
    )


def log_answer(call: Call, answer: Answer, board: Blackboard) -> None:
    """Tell what a request came to.

    :param call: the request.
    :param answer: as given to the caller.
    :param board: versions that the decisions rest on.
    """
    now_ms = monotonic_ms()
    log_event(
        'request-answered',
        id=call.request_id,
        service=call.router.service.name,
        operation=call.operation.name,
        **_result_of(answer),
        attempts=call.attempts,
        runs=call.runs,
        took_ms=int(now_ms - call.arrived_at_ms),
        left_ms=int(call.deadline_at_ms - now_ms),
        config_version=board.config.read().version,
        list_version=board.vm_list.read().version,
    )


def _result_of(answer: Answer) -> dict[str, object]:
    if isinstance(answer, UpstreamAnswer):
        return {'came_to': answer.status, 'outcome': Outcome.RAN.value}
    return {
        'came_to': answer.reason.value,
        'outcome': answer.outcome.value,
        'retry_after_ms': answer.retry_after_ms,
    }


def log_admission(job: Job, state: UpstreamState, verdict: str) -> None:
    """Tell whether a home takes a request, and why.

    :param job: the request.
    :param state: of the upstream.
    :param verdict: what is decided.
    """
    now_ms = monotonic_ms()
    log_event(
        'work-offered',
        id=job.caller_id,
        upstream=state.name,
        verdict=verdict,
        free=state.admission.free,
        waiting=state.admission.waiting,
        risk=state.risk(now_ms),
        risk_limit=job.submit.risk_limit,
        left_ms=job.submit.deadline_ms,
    )


def log_run(job: Job, ended: Ended, state: UpstreamState) -> None:
    """Tell how a run ended.

    :param job: the request.
    :param ended: its end.
    :param state: of the upstream, the end taken in.
    """
    log_event(
        'run-ended',
        id=job.caller_id,
        upstream=state.name,
        ending=ended.ending.value,
        run_ms=int(ended.run_ms),
        waited_ms=int(job.started_ms - job.work.arrived_at_ms),
        risk=state.risk(monotonic_ms()),
    )


def log_cancel(job: Job, state: UpstreamState) -> None:
    """Tell that an entry withdraws a request, and how far it had come.

    :param job: the request.
    :param state: of the upstream.
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


def log_use(upstream: str, unused_ms: float, state: UpstreamState) -> None:
    """Tell that an upstream works again that had no work for a while.

    :param upstream: its identity.
    :param unused_ms: time since its last work began.
    :param state: of the upstream.
    """
    if unused_ms >= _LONG_UNUSED_MS:
        log_event(
            'upstream-used-again',
            upstream=upstream,
            unused_ms=int(unused_ms),
            risk=state.risk(monotonic_ms()),
        )


__all__ = (
    'log_admission',
    'log_answer',
    'log_cancel',
    'log_choice',
    'log_run',
    'log_use',
)
