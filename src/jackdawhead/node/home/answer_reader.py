"""Reads the answer to one request from an upstream's connection.

An upstream may send a second answer to an earlier request, or bytes after
the end of an answer. Answers are matched to requests by the request id that
they echo, and a connection that carried anything else is not reused. Bytes
that do not belong to the answer are accepted up to a limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

from ...wire.header_pairs import first_header
from .answer_bounds import AnswerBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket as Socket

    from ...wire.messages import HeaderPairs

_FIRST_STATUS: Final = 100
_FIRST_FINAL_STATUS: Final = 200
_LAST_STATUS: Final = 599
_NO_LENGTH: Final = -1
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
_VERSIONS: Final = frozenset(('HTTP/1.0', 'HTTP/1.1'))
_CODINGS: Final = frozenset(((), ('chunked',)))


class Answer:
    """One answer, filled in as its bytes arrive.

    :param status: HTTP status.
    :param version: HTTP version, for example ``HTTP/1.1``.
    :param headers: all headers, in their order.
    """

    def __init__(self) -> None:
        self.status = 0
        self.version = ''
        self.headers: HeaderPairs = []
        self.body = bytearray()
        self.has_head = False
        self.complete = False

    def get(self, name: str) -> str | None:
        """Return the value of the first header with a name, if any.

        :param name: name of the header, in any case.
        """
        return first_header(self.headers, name)

    @property
    def body_bytes(self) -> int:
        """Length of the body according to the headers, -1 if unknown."""
        length = self.get('Content-Length') or ''
        return int(length) if length.isdecimal() else _NO_LENGTH

    @property
    def has_unknown_framing(self) -> bool:
        """Whether its version or transfer coding cannot be decoded."""
        codings = tuple(
            text.lower()
            for name, text in self.headers
            if name.lower() == 'transfer-encoding'
        )
        return self.version not in _VERSIONS or codings not in _CODINGS

    @property
    def allows_reuse(self) -> bool:
        """Whether the connection can carry another request afterwards."""
        if (self.get('Connection') or '').lower() == 'close':
            return False
        is_chunked = self.get('Transfer-Encoding') is not None
        has_end = is_chunked or self.body_bytes != _NO_LENGTH
        return has_end or self.status in _STATUSES_WITHOUT_BODY


class _Parser(HTTPResponseParser):
    """Collects all answers in the bytes of a connection."""

    def __init__(self, method: str) -> None:
        super().__init__()
        self.answers: list[Answer] = []
        self._has_no_body = method == 'HEAD'
        self._is_in_value = False

    def _on_status(self, _: str) -> None:
        """Ignore the reason phrase."""

    def _on_message_begin(self) -> None:
        self.answers.append(Answer())

    def _on_header_field(self, text: str) -> None:
        if self.answers[-1].has_head:
            return  # a trailer
        headers = self.answers[-1].headers
        if self._is_in_value or not headers:
            headers.append([text, ''])
        else:
            headers[-1][0] += text
        self._is_in_value = False

    def _on_header_value(self, text: str) -> None:
        if self.answers[-1].has_head:
            return
        self.answers[-1].headers[-1][1] += text
        self._is_in_value = True

    def _on_headers_complete(self) -> bool:
        answer = self.answers[-1]
        answer.status = self.get_code()
        answer.version = self.get_http_version()
        answer.has_head = True
        self._is_in_value = False
        return self._has_no_body

    def _on_body(self, chunk: bytes) -> None:
        self.answers[-1].body += chunk

    def _on_message_complete(self) -> None:
        self.answers[-1].complete = True


class AnswerReader:
    """Reads one answer.

    :param sock: connection on which a request has been sent.
    :param method: HTTP method of that request.
    :param block_bytes: most bytes to receive from the connection at once.
    """

    def __init__(self, sock: Socket, method: str, block_bytes: int) -> None:
        self._sock = sock
        self._block_bytes = block_bytes
        self._parser = _Parser(method)
        self._answer = Answer()
        self._failure: HTTPParseError | None = None
        self._seen_answers = 0
        self._bounds = AnswerBounds()
        self._received_bytes = 0
        self.dropped = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the complete body has been read."""
        return self._answer.complete and not self._answer.body

    @property
    def is_reusable(self) -> bool:
        """Whether the connection carried this answer and nothing else."""
        is_last = self._parser.answers[-1:] == [self._answer]
        is_clean = self._failure is None and not self.dropped
        is_whole = self._answer.complete and self._answer.allows_reuse
        return is_clean and is_last and is_whole

    def read_head(self, is_own: Callable[[Answer], bool]) -> Answer:
        """Return the answer to this request once its head has arrived.

        Interim answers and answers to other requests are dropped.

        :param is_own: returns whether an answer belongs to this request.
        :raises OSError: if the connection is reset.
        :raises HTTPParseError: if the connection is closed, or carries
            malformed data, an unknown status or too much of other answers.
        """
        while True:
            answer = self._next_final()
            if answer is None:
                self._check_before_head()
                self.receive()
            elif answer.has_unknown_framing:
                raise HTTPParseError('unknown version or transfer coding')
            elif is_own(answer):
                self._answer = answer
                return answer
            else:
                self.dropped += 1

    def read(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        :raises OSError: if the connection is reset.
        :raises HTTPParseError: if the connection is closed before the body
            ends, or exceeds a limit.
        """
        answer = self._answer
        while not answer.body and not answer.complete:
            self.receive()
        chunk = bytes(answer.body[: self._block_bytes])
        answer.body = answer.body[self._block_bytes :]
        return chunk

    def receive(self) -> None:
        """Receive and parse one block of bytes.

        A failure in the block is raised by the next call only, so that an
        answer that ends before the failure is still complete.

        :raises OSError: if the connection is reset.
        :raises HTTPParseError: if an earlier block ended the connection, was
            malformed or exceeded a limit.
        """
        if self._failure is not None:
            raise self._failure
        body_bytes = len(self._answer.body)
        received = self._sock.recv(self._block_bytes)
        try:
            self._parser.feed(received)
        except HTTPParseError as failure:
            self._failure = failure
        if not received and self._failure is None:
            self._failure = HTTPParseError('connection closed')
        self._received_bytes = len(received)
        if self._answer.has_head:
            self._check_framing(body_bytes)

    def _check_framing(self, body_bytes: int) -> None:
        """Fail if the answer continues for too long without body bytes."""
        answer = self._answer
        has_no_progress = len(answer.body) == body_bytes and not answer.complete
        exceeded = self._bounds.check_after_head(
            self._received_bytes, has_body_bytes=not has_no_progress
        )
        if exceeded:
            self._failure = HTTPParseError(exceeded)

    def _check_before_head(self) -> None:
        """Limit the bytes received before the answer.

        :raises HTTPParseError: if a limit is exceeded.
        """
        answers = self._parser.answers
        exceeded = self._bounds.check_before_head(
            self._received_bytes,
            self._seen_answers,
            in_head=len(answers) > self._seen_answers,
        )
        if exceeded:
            self._failure = HTTPParseError(exceeded)
            answers.clear()
            raise self._failure

    def _next_final(self) -> Answer | None:
        """Return the next final answer, if its head is complete.

        :raises HTTPParseError: if a status is none of HTTP.
        """
        for answer in self._parser.answers[self._seen_answers :]:
            if not answer.has_head:
                return None
            self._seen_answers += 1
            if not _FIRST_STATUS <= answer.status <= _LAST_STATUS:
                raise HTTPParseError(f'status {answer.status}')
            if answer.status >= _FIRST_FINAL_STATUS:
                return answer
        return None


__all__ = ('Answer', 'AnswerReader', 'HTTPParseError')
