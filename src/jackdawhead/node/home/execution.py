"""Runs one request on an upstream and streams its answer to the entry."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...policy.run_result import RunResult, ending_at_deadline
from ...reasons import Reason
from ...wire.messages import Body, Head, Message
from ..credit import CHUNK_BYTES
from .answer_classifier import (
    Rejection,
    is_identified,
    is_own,
    is_proof,
    rejection_of,
    retry_after_ms_of,
)
from .answer_reader import Answer, AnswerReader, HTTPParseError
from .execution_result import ExecutionResult
from .overdue_resend import OpenConnections, await_answer
from .request_body import send_body
from .request_head import answer_headers, request_head

if TYPE_CHECKING:
    from .connections import Connection
    from .job import Job
    from .target import Target

_MIN_SERVER_ERROR_STATUS: Final = 500
_OVERDUE_FACTOR: Final = 6
_MIN_OVERDUE_MS: Final = 250


class _DeadlineError(Exception):
    """The deadline of the request passed."""


class Execution:
    """One run of a request.

    :param job: the request.
    :param target: the upstream.
    """

    def __init__(self, job: Job, target: Target) -> None:
        self._job = job
        self._target = target
        self._started_ms = monotonic_ms()
        self._blocked_ms: float = 0
        self._request_sent = False
        self._request_resent = False
        self._may_have_run = False
        self._head_delivered = False
        self._found_silent = False

    def run(self) -> ExecutionResult:
        """Run the request until its end or its deadline.

        All messages of the answer but the last are delivered meanwhile.
        """
        left_ms = self._job.work.deadline_at_ms - self._started_ms
        if left_ms <= 0:
            return self._refused(RunResult.CANCELLED, Reason.DEADLINE)
        timeout = gevent.Timeout(seconds(left_ms), _DeadlineError)
        timeout.start()
        try:
            return self._attempt()
        except _DeadlineError:
            return self._refused(self._late_result(), Reason.DEADLINE)
        finally:
            timeout.close()

    def _attempt(self) -> ExecutionResult:
        pool = self._target.pool
        try:
            connection = pool.acquire(
                not self._target.operation.idempotent, self._echoed_id()
            )
        except OSError:
            return self._refused(
                RunResult.UNREACHABLE, Reason.UPSTREAM_UNREACHABLE
            )
        try:
            return self._exchange(connection)
        except (OSError, HTTPParseError):
            is_allowed = self._may_resend(connection)
            if not is_allowed or not self._target.may_resend():
                return self._connection_lost()
        return self._retry_on_new_connection()

    def _retry_on_new_connection(self) -> ExecutionResult:
        """Resend idempotent work on a new connection to the same upstream."""
        try:
            connection = self._target.pool.open_new()
        except OSError:
            # It has lost the first connection with the work in flight.
            return self._crashed()
        self._request_resent = True
        try:
            return self._exchange(connection)
        except (OSError, HTTPParseError):
            return self._connection_lost()

    def _exchange(self, connection: Connection) -> ExecutionResult:
        self._job.is_connection_live = not connection.reused
        opened = OpenConnections([connection])
        with ExitStack() as stack:
            stack.callback(opened.close)
            self._send(connection)
            answering = self._await_answer(connection, opened)
            method = self._job.submit.method
            reader = AnswerReader(answering.sock, method, CHUNK_BYTES)
            is_first = not answering.reused
            answer = reader.read_head(partial(self._is_own, is_first=is_first))
            self._job.is_connection_live = True
            refused = self._refusal_of(answer, is_first=is_first)
            if refused is not None:
                return refused
            final = self._stream_answer(reader, answer)
            if self._may_reuse(answering, reader, answer):
                answering.note_answer(answer, self._echoed_id())
                self._target.pool.release(opened.detach(answering))
        return self._result(self._ending_of(answer), final)

    def _await_answer(
        self,
        connection: Connection,
        opened: OpenConnections,
    ) -> Connection:
        """Return the connection on which the answer arrives."""
        if not self._may_resend(connection):
            return connection
        answering = await_answer(
            opened,
            self._target.pool,
            self._overdue_after_ms(),
            self._target.may_resend,
            self._resend,
        )
        self._found_silent = opened.found_silent
        return answering

    def _resend(self, connection: Connection) -> None:
        self._request_resent = True
        self._send(connection)

    def _ending_of(self, answer: Answer) -> RunResult:
        if answer.status < _MIN_SERVER_ERROR_STATUS:
            return RunResult.SUCCEEDED
        return self._late_result() if self._job.is_late else RunResult.FAILED

    def _late_result(self) -> RunResult:
        allowed_ms = self._job.work.deadline_at_ms - self._started_ms
        return ending_at_deadline(allowed_ms, self._target.expected_ms)

    def _send(self, connection: Connection) -> None:
        submit = self._job.submit
        target = self._target
        left_ms = int(self._job.work.deadline_at_ms - monotonic_ms())
        head = request_head(submit, target, left_ms)
        self._request_sent = True
        if submit.last:
            connection.sock.sendall(head + submit.chunk)
            return
        if not send_body(connection.sock, head, self._job):
            # The upstream still expects the rest, which is not sent.
            connection.has_unsent_body = True

    def _is_own(self, answer: Answer, *, is_first: bool) -> bool:
        return is_own(
            answer, self._target.names, self._echoed_id(), is_first=is_first
        )

    def _echoed_id(self) -> str | None:
        """Return the id that the answer must echo, if it must echo one."""
        name = self._target.names.echoed_id
        return self._job.header(name) if name else None

    def _may_reuse(
        self, connection: Connection, reader: AnswerReader, answer: Answer
    ) -> bool:
        is_clean = reader.is_reusable and not connection.has_unsent_body
        return is_clean and is_identified(answer, self._target.names)

    def _overdue_after_ms(self) -> float:
        return max(_MIN_OVERDUE_MS, _OVERDUE_FACTOR * self._target.expected_ms)

    def _refusal_of(
        self, answer: Answer, *, is_first: bool
    ) -> ExecutionResult | None:
        """Return the refusal that replaces an answer, if any."""
        target = self._target
        is_proved = is_proof(answer, target.names, is_first=is_first)
        self._may_have_run |= not is_proved
        match rejection_of(
            answer, target.names, target.instance, is_late=self._job.is_late
        ):
            case Rejection.LATE:
                return self._refused(self._late_result(), Reason.DEADLINE)
            case Rejection.UNSEALED | Rejection.UNPROVED:
                return self._refused(RunResult.FAILED, Reason.ANSWER_MALFORMED)
            case Rejection.OTHER_START:
                return self._not_run(RunResult.DRAINING, Reason.NO_UPSTREAM)
            case Rejection.DRAINING:
                return self._not_run(RunResult.DRAINING, Reason.DRAINING)
            case Rejection.SHED:
                avoid_ms = retry_after_ms_of(answer)
                return self._not_run(
                    RunResult.SHED, Reason.UPSTREAM_REFUSED, avoid_ms
                )
        return None

    def _not_run(
        self, ending: RunResult, reason: Reason, avoid_ms: int = 0
    ) -> ExecutionResult:
        # An earlier copy, sent on another connection, may have run.
        is_unknown = self._request_resent or self._may_have_run
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
        final = self._job.refusal(outcome, reason, avoid_ms)
        return replace(self._result(ending, final), avoid_ms=avoid_ms)

    def _stream_answer(self, reader: AnswerReader, answer: Answer) -> Message:
        """Deliver all messages of an answer but the last; return the last."""
        request_id = self._job.request_id
        chunk = reader.read()
        message: Message = Head(
            request_id,
            answer.status,
            answer_headers(answer.headers),
            answer.body_bytes,
            chunk,
            reader.is_exhausted,
        )
        while not reader.is_exhausted:
            self._head_delivered = True
            self._job.deliver(message)
            self._wait_for_credit(len(chunk))
            chunk = reader.read()
            message = Body(request_id, chunk, reader.is_exhausted)
        return message

    def _wait_for_credit(self, byte_count: int) -> None:
        before_ms = monotonic_ms()
        self._job.credit.acquire(byte_count)
        self._blocked_ms += monotonic_ms() - before_ms

    def _may_resend(self, connection: Connection) -> bool:
        if not connection.reused or self._head_delivered:
            return False
        submit = self._job.submit
        return self._target.operation.idempotent and submit.last

    def _connection_lost(self) -> ExecutionResult:
        if self._head_delivered:
            return self._refused(RunResult.FAILED, Reason.ANSWER_CUT)
        if self._accepts_connections():
            return self._refused(RunResult.FAILED, Reason.UPSTREAM_RESET)
        return self._crashed()

    def _accepts_connections(self) -> bool:
        """Return whether the upstream is alive, so that it did not crash."""
        try:
            self._target.pool.open_new().close()
        except OSError:
            return False
        return True

    def _crashed(self) -> ExecutionResult:
        if self._target.is_leaving():
            # It has ended as planned, not because of this request.
            return self._refused(RunResult.FAILED, Reason.UPSTREAM_RESET)
        return self._refused(RunResult.CRASHED, Reason.UPSTREAM_CRASHED)

    def _refused(self, ending: RunResult, reason: Reason) -> ExecutionResult:
        outcome = Outcome.UNKNOWN if self._request_sent else Outcome.NOT_RUN
        return self._result(ending, self._job.refusal(outcome, reason))

    def _result(self, ending: RunResult, final: Message) -> ExecutionResult:
        run_ms = monotonic_ms() - self._started_ms - self._blocked_ms
        return ExecutionResult(
            ending,
            final,
            run_ms,
            found_silent=self._found_silent,
            resent=self._request_resent,
        )


__all__ = ('Execution', 'ExecutionResult', 'RunResult')
