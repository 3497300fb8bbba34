"""Runs one request on an upstream and passes its answer on."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...policy.ending import Ending, ending_at_deadline
from ...reasons import Reason
from ...wire.messages import Body, Head, Message
from ..credit import CHUNK_BYTES
from .answer_judge import Judgement, avoid_ms_of, judge_answer
from .answer_reader import Answer, AnswerReader, HTTPParseError
from .overdue import OpenConnections, await_answer
from .request_body import send_body
from .request_head import answer_headers, request_head

if TYPE_CHECKING:
    from ...config.model import HeaderNames, Operation
    from ...config.settings import Address
    from ...policy.retries import HomeResends
    from .connections import Connection, ConnectionPool
    from .job import Job

_MIN_SERVER_ERROR_STATUS: Final = 500
_SILENCE_FACTOR: Final = 6
_MIN_SILENCE_MS: Final = 250


@dataclass(frozen=True, slots=True)
class Ended:
    """End of an execution.

    :param final: last message to the entry, not delivered yet.
    :param run_ms: time the upstream took, waits for the caller excluded.
    :param avoid_ms: time for which the upstream asked to be left alone.
    :param condemned: whether a pooled connection was found to be silent.
    """

    ending: Ending
    final: Message
    run_ms: float
    avoid_ms: int = 0
    condemned: bool = False


class _DeadlineError(Exception):
    """The deadline of the request passed."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where and how to run a request.

    :param instance: identity of the start that the request is meant for.
    :param expected_ms: expected run time of the operation.
    :param resends: bounds the resends to the same upstream.
    """

    address: Address
    pool: ConnectionPool
    operation: Operation
    names: HeaderNames
    instance: str
    expected_ms: float
    resends: HomeResends


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
        self._sent = False
        self._resent = False
        self._head_sent = False
        self._condemned = False

    def run(self) -> Ended:
        """Run it to the end.

        All but the last message of the answer are delivered on the way.
        """
        left_ms = self._job.work.deadline_at_ms - self._started_ms
        if left_ms <= 0:
            return self._refused(Ending.CANCELLED, Reason.DEADLINE)
        timeout = gevent.Timeout(seconds(left_ms), _DeadlineError)
        timeout.start()
        try:
            return self._attempt()
        except _DeadlineError:
            return self._refused(self._deadline_ending(), Reason.DEADLINE)
        finally:
            timeout.close()

    def _attempt(self) -> Ended:
        pool = self._target.pool
        try:
            connection = pool.acquire(not self._target.operation.idempotent)
        except OSError:
            return self._unreachable()
        try:
            return self._exchange(connection)
        except (OSError, HTTPParseError):
            is_allowed = self._may_resend(connection)
            if not is_allowed or not self._target.resends.may_resend():
                return self._broken()
        return self._attempt_anew()

    def _attempt_anew(self) -> Ended:
        """Resend idempotent work on a new connection to the same upstream."""
        try:
            connection = self._target.pool.open_new()
        except OSError:
            return self._unreachable()
        self._resent = True
        try:
            return self._exchange(connection)
        except (OSError, HTTPParseError):
            return self._broken()

    def _exchange(self, connection: Connection) -> Ended:
        self._job.has_response = not connection.reused
        opened = OpenConnections([connection])
        with ExitStack() as stack:
            stack.callback(opened.close)
            self._send(connection)
            answering = self._await_answer(connection, opened)
            method = self._job.submit.method
            reader = AnswerReader(answering.sock, method, CHUNK_BYTES)
            answer = reader.read_head(self._is_own)
            self._job.has_response = True
            refused = self._refusal_of(answer)
            if refused is not None:
                return refused
            final = self._pass_on(reader, answer)
            if reader.is_reusable and not answering.is_spoiled:
                answering.note_answer(answer)
                self._target.pool.release(opened.take(answering))
        return self._ended(self._ending_of(answer), final)

    def _await_answer(
        self,
        connection: Connection,
        opened: OpenConnections,
    ) -> Connection:
        """Return the connection on which the answer comes."""
        if not self._may_resend(connection):
            return connection
        answering = await_answer(
            opened,
            self._target.pool,
            self._silence_ms(),
            self._target.resends.may_resend,
            self._resend,
        )
        self._condemned = opened.condemned
        return answering

    def _resend(self, connection: Connection) -> None:
        self._resent = True
        self._send(connection)

    def _ending_of(self, answer: Answer) -> Ending:
        if answer.status < _MIN_SERVER_ERROR_STATUS:
            return Ending.SUCCEEDED
        return self._deadline_ending() if self._job.is_late else Ending.FAILED

    def _deadline_ending(self) -> Ending:
        given_ms = self._job.work.deadline_at_ms - self._started_ms
        return ending_at_deadline(given_ms, self._target.expected_ms)

    def _send(self, connection: Connection) -> None:
        submit = self._job.submit
        target = self._target
        left_ms = int(self._job.work.deadline_at_ms - monotonic_ms())
        head = request_head(submit, target, left_ms)
        self._sent = True
        if submit.last:
            connection.sock.sendall(head + submit.chunk)
            return
        if not send_body(connection.sock, head, self._job):
            # The rest of the body is due on it, and is not sent.
            connection.is_spoiled = True

    def _is_own(self, answer: Answer) -> bool:
        """Tell the answer to this request from one to an earlier request."""
        name = self._target.names.echoed_id
        if not name:
            return True
        echoed = answer.get(name)
        return echoed is None or echoed == self._job.header(name)

    def _silence_ms(self) -> float:
        return max(_MIN_SILENCE_MS, _SILENCE_FACTOR * self._target.expected_ms)

    def _refusal_of(self, answer: Answer) -> Ended | None:
        """Recognise an answer that is not to be passed on."""
        target = self._target
        match judge_answer(
            answer, target.names, target.instance, is_late=self._job.is_late
        ):
            case Judgement.LATE:
                return self._refused(self._deadline_ending(), Reason.DEADLINE)
            case Judgement.UNSEALED:
                return self._refused(Ending.FAILED, Reason.ANSWER_MALFORMED)
            case Judgement.OTHER_START:
                return self._not_run(Ending.DRAINING, Reason.NO_UPSTREAM)
            case Judgement.DRAINING:
                return self._not_run(Ending.DRAINING, Reason.DRAINING)
            case Judgement.SHED:
                avoid_ms = avoid_ms_of(answer)
                return self._not_run(
                    Ending.SHED, Reason.UPSTREAM_REFUSED, avoid_ms
                )
        return None

    def _not_run(
        self,
        ending: Ending,
        reason: Reason,
        avoid_ms: int = 0,
    ) -> Ended:
        # What was sent before on another connection may have run.
        outcome = Outcome.UNKNOWN if self._resent else Outcome.NOT_RUN
        final = self._job.refusal(outcome, reason, avoid_ms)
        return replace(self._ended(ending, final), avoid_ms=avoid_ms)

    def _pass_on(self, reader: AnswerReader, answer: Answer) -> Message:
        """Deliver all of an answer but its last message; return that."""
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
            self._head_sent = True
            self._job.deliver(message)
            self._wait_for_credit(len(chunk))
            chunk = reader.read()
            message = Body(request_id, chunk, reader.is_exhausted)
        return message

    def _wait_for_credit(self, byte_count: int) -> None:
        before_ms = monotonic_ms()
        self._job.credit.take(byte_count)
        self._blocked_ms += monotonic_ms() - before_ms

    def _may_resend(self, connection: Connection) -> bool:
        if not connection.reused or self._head_sent:
            return False
        submit = self._job.submit
        return self._target.operation.idempotent and submit.last

    def _broken(self) -> Ended:
        if self._head_sent:
            return self._refused(Ending.FAILED, Reason.ANSWER_CUT)
        if self._is_listening():
            return self._refused(Ending.FAILED, Reason.UPSTREAM_RESET)
        return self._refused(Ending.CRASHED, Reason.UPSTREAM_CRASHED)

    def _is_listening(self) -> bool:
        """Tell a reset connection from a crashed upstream."""
        try:
            self._target.pool.open_new().close()
        except OSError:
            return False
        return True

    def _unreachable(self) -> Ended:
        return self._refused(Ending.UNREACHABLE, Reason.UPSTREAM_UNREACHABLE)

    def _refused(self, ending: Ending, reason: Reason) -> Ended:
        outcome = Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN
        return self._ended(ending, self._job.refusal(outcome, reason))

    def _ended(self, ending: Ending, final: Message) -> Ended:
        run_ms = monotonic_ms() - self._started_ms - self._blocked_ms
        return Ended(ending, final, run_ms, condemned=self._condemned)


__all__ = ('Ended', 'Ending', 'Execution', 'Target')
