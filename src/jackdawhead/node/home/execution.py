"""Runs one request on an upstream and passes its answer on."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

import gevent
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...policy.ending import Ending, ending_at_deadline
from ...reasons import Reason
from ...wire.messages import Body, Credit, Head, Message
from ..credit import CHUNK_BYTES
from .request_head import answer_headers, is_chunked, request_head

if TYPE_CHECKING:
    from ...config.model import HeaderNames, Operation
    from ...config.settings import Address
    from ...wire.messages import Submit
    from .connections import Connection, ConnectionPool
    from .job import Job

_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_SERVER_ERROR: Final = 500
_DEFAULT_AVOID_MS: Final = 100
_MS_PER_S: Final = 1000
_SILENCE_FACTOR: Final = 6
_MIN_SILENCE_MS: Final = 250
_LATE_MS: Final = 20


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


class _SilentError(Exception):
    """A pooled connection gave no sign in time."""


class _DeadlineError(Exception):
    """The deadline of the request passed."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where and how to run a request.

    :param expected_ms: expected run time of the operation.
    """

    address: Address
    pool: ConnectionPool
    operation: Operation
    names: HeaderNames
    expected_ms: float


class _Response(HTTPSocketResponse):
    """An answer that tells whether all of it has been read."""

    def is_exhausted(self) -> bool:
        """Return whether the body has ended and nothing of it is left."""
        return self.message_complete and not self._body_buffer


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
        self._head_sent = False

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
        except _SilentError:
            return self._attempt_anew(was_silent=True)
        except (OSError, HTTPParseError):
            if not self._may_resend(connection):
                return self._broken()
        return self._attempt_anew(was_silent=False)

    def _attempt_anew(self, *, was_silent: bool) -> Ended:
        """Resend idempotent work on a new connection to the same upstream."""
        try:
            connection = self._target.pool.open_new()
        except OSError:
            return self._unreachable()
        resent_ms = monotonic_ms()
        try:
            ended = self._exchange(connection)
        except (OSError, HTTPParseError):
            return self._broken()
        is_fast = monotonic_ms() - resent_ms < self._silence_ms()
        return replace(ended, condemned=was_silent and is_fast)

    def _exchange(self, connection: Connection) -> Ended:
        self._job.has_response = not connection.reused
        with ExitStack() as stack:
            stack.callback(connection.close)
            self._send(connection)
            response = self._receive_head(connection)
            self._job.has_response = True
            refused = self._refusal_of(response)
            if refused is not None:
                return refused
            final = self._pass_on(response)
            if not response.should_close():
                stack.pop_all()
                self._target.pool.release(connection)
        return self._ended(self._ending_of(response), final)

    def _ending_of(self, response: _Response) -> Ending:
        if response.status_code < _SERVER_ERROR:
            return Ending.SUCCEEDED
        return self._deadline_ending() if self._is_late() else Ending.FAILED

    def _is_late(self) -> bool:
        return self._job.work.deadline_at_ms - monotonic_ms() < _LATE_MS

    def _deadline_ending(self) -> Ending:
        given_ms = self._job.work.deadline_at_ms - self._started_ms
        return ending_at_deadline(given_ms, self._target.expected_ms)

    def _send(self, connection: Connection) -> None:
        submit = self._job.submit
        target = self._target
        left_ms = int(self._job.work.deadline_at_ms - monotonic_ms())
        head = request_head(submit, target.address, target.names, left_ms)
        self._sent = True
        if submit.last:
            connection.sock.sendall(head + submit.chunk)
            return
        connection.sock.sendall(head)
        chunked = is_chunked(submit)
        self._send_chunk(connection, submit.chunk, chunked)
        self._send_rest(connection, submit, chunked)

    def _send_rest(
        self,
        connection: Connection,
        submit: Submit,
        chunked: bool,
    ) -> None:
        last = False
        while not last:
            message = self._job.body.get()
            self._send_chunk(connection, message.chunk, chunked)
            self._job.deliver(Credit(submit.request_id, len(message.chunk)))
            last = message.last
        if chunked:
            connection.sock.sendall(b'0\r\n\r\n')

    def _send_chunk(
        self,
        connection: Connection,
        chunk: bytes,
        chunked: bool,
    ) -> None:
        if not chunk:
            return
        if chunked:
            size = f'{len(chunk):x}\r\n'.encode()
            connection.sock.sendall(b''.join((size, chunk, b'\r\n')))
        else:
            connection.sock.sendall(chunk)

    def _receive_head(self, connection: Connection) -> _Response:
        method = self._job.submit.method
        if not connection.reused or not self._target.operation.idempotent:
            return _read_head(connection, method)
        with gevent.Timeout(seconds(self._silence_ms()), _SilentError):
            return _read_head(connection, method)

    def _silence_ms(self) -> float:
        return max(_MIN_SILENCE_MS, _SILENCE_FACTOR * self._target.expected_ms)

    def _refusal_of(self, response: _Response) -> Ended | None:
        """Recognise an upstream's own refusal, a proof of 'not run'.

        Its own time-out at the deadline is no answer either, and is told
        like that of this home, whichever comes first.
        """
        if response.status_code == _GATEWAY_TIMEOUT and self._is_late():
            return self._refused(self._deadline_ending(), Reason.DEADLINE)
        if response.status_code != _UNAVAILABLE:
            return None
        names = self._target.names
        draining = response.get(names.draining) is not None
        is_proof = response.get(names.outcome) == Outcome.NOT_RUN.value
        if not draining and not is_proof:
            return None
        avoid_ms = _avoid_ms(response.get('Retry-After'))
        reason = Reason.DRAINING if draining else Reason.UPSTREAM_REFUSED
        final = self._job.refusal(Outcome.NOT_RUN, reason, avoid_ms)
        ended = self._ended(Ending.DRAINING if draining else Ending.SHED, final)
        return replace(ended, avoid_ms=avoid_ms)

    def _pass_on(self, response: _Response) -> Message:
        """Deliver all of an answer but its last message; return that."""
        request_id = self._job.request_id
        chunk = self._read(response)
        length = response.content_length
        message: Message = Head(
            request_id,
            response.status_code,
            answer_headers(list(response.items())),
            -1 if length is None else length,
            chunk,
            response.is_exhausted(),
        )
        while not response.is_exhausted():
            self._head_sent = True
            self._job.deliver(message)
            self._wait_for_credit(len(chunk))
            chunk = self._read(response)
            message = Body(request_id, chunk, response.is_exhausted())
        return message

    def _read(self, response: _Response) -> bytes:
        chunk: bytes = response.read(CHUNK_BYTES)
        if not chunk and not response.message_complete:
            raise HTTPParseError('connection closed in the body')
        return chunk

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
        return Ended(ending, final, run_ms)


def _read_head(connection: Connection, method: str) -> _Response:
    return _Response(connection.sock, block_size=CHUNK_BYTES, method=method)


def _avoid_ms(retry_after: str | None) -> int:
    """Return the time of a Retry-After header in seconds (RFC 9110)."""
    try:
        return int(float(retry_after or '') * _MS_PER_S)
    except ValueError:
        return _DEFAULT_AVOID_MS


__all__ = ('Ended', 'Ending', 'Execution', 'Target')
