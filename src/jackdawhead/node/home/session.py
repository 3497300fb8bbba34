"""Requests that one entry has submitted to this home."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.work import Work
from ...reasons import Reason
from ...wire.messages import (
    OPERATION_PRIORITY,
    Body,
    Cancel,
    Credit,
    Head,
    Message,
    Refusal,
    Submit,
)
from .job import Job

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...config.model import Operation
    from .controller import HomeController
    from .upstream import HomeUpstream

_work_ids: Final = count(1)
# Retry delay in refusals: another home, or this one soon, may run the work.
_RETRY_AFTER_MS: Final = 200


@dataclass(frozen=True, slots=True)
class _SubmittedJob:
    """A job and the upstream to which it was submitted."""

    job: Job
    upstream: HomeUpstream


class HomeSession:
    """Handles the messages of one entry.

    :param home: upstreams of this home.
    :param send: sends a message to the entry.
    """

    def __init__(
        self,
        home: HomeController,
        send: Callable[[Message], None],
    ) -> None:
        self._home = home
        self._send = send
        self._submitted: dict[int, _SubmittedJob] = {}

    def on_message(self, message: Message) -> None:
        """Handle a message about a request; ignore other messages.

        :param message: message from the entry.
        """
        match message:
            case Submit():
                self._submit(message)
            case Body() | Credit():
                self._pass_to_job(message)
            case Cancel(request_id=request_id):
                self._cancel(request_id)

    def close(self) -> None:
        """Cancel all requests, since the link to the entry is closed."""
        for request_id in tuple(self._submitted):
            self._cancel(request_id)

    def _pass_to_job(self, message: Body | Credit) -> None:
        submitted = self._submitted.get(message.request_id)
        if submitted is None:
            return
        if isinstance(message, Body):
            submitted.job.body.put(message)
        else:
            submitted.job.credit.grant(message.byte_count)

    def _submit(self, submit: Submit) -> None:
        upstream = self._home.find(submit.upstream)
        service = upstream.spec.service if upstream else None
        operation = (
            service.operations.get(submit.operation) if service else None
        )
        if upstream is None or operation is None:
            self._refuse(submit, Reason.NO_UPSTREAM)
            return
        now_ms = monotonic_ms()
        work = Work(
            next(_work_ids),
            operation.name,
            operation.work_class,
            submit.organisation,
            now_ms,
            now_ms + submit.deadline_ms,
            submit.may_wait,
            submit.last,
            _priority_of(submit, operation),
        )
        job = Job(submit, operation, work, self._deliver)
        self._submitted[submit.request_id] = _SubmittedJob(job, upstream)
        upstream.submit(job)

    def _refuse(self, submit: Submit, reason: Reason) -> None:
        self._send(
            Refusal(
                submit.request_id,
                Outcome.NOT_RUN.value,
                reason.value,
                _RETRY_AFTER_MS,
            ),
        )

    def _deliver(self, message: Message) -> None:
        match message:
            case Head() | Refusal():
                self._send_status(message.request_id)
                self._end_if_last(message)
            case Body():
                self._end_if_last(message)
        self._send(message)

    def _end_if_last(self, message: Head | Body | Refusal) -> None:
        if isinstance(message, Refusal) or message.last:
            self._submitted.pop(message.request_id, None)

    def _send_status(self, request_id: int) -> None:
        submitted = self._submitted[request_id]
        operation = submitted.job.submit.operation
        self._send(submitted.upstream.status(operation))

    def _cancel(self, request_id: int) -> None:
        submitted = self._submitted.get(request_id)
        if submitted is not None:
            submitted.upstream.cancel(submitted.job)


def _priority_of(submit: Submit, operation: Operation) -> int:
    if submit.priority == OPERATION_PRIORITY:
        return operation.priority
    return submit.priority


__all__ = ('HomeSession',)
