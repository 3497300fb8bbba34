"""Reads the answer to one request off an upstream's connection.

An upstream may send a second answer to an earlier request, or bytes after
the end of an answer. Answers are told apart by the id that they repeat, and
a connection that carried anything else is never used again. Bytes that never
become the answer are taken in up to a bound.
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

_FIRST_FINAL_STATUS: Final = 200
_NO_LENGTH: Final = -1
_WITHOUT_BODY: Final = frozenset((204, 304))


class Answer:
    """One answer as it comes in.

    :param status: its status.
    :param headers: all headers, in their order.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: HeaderPairs = []
        self.body = bytearray()
        self.has_head = False
        self.complete = False

    def get(self, name: str) -> str | None:
        """Return the value of the first header of a name, if any.

        :param name: in any case.
        """
        return first_header(self.headers, name)

    @property
    def body_bytes(self) -> int:
        """Length of the body as the headers tell it, -1 if they do not."""
        length = self.get('Content-Length') or ''
        return int(length) if length.isdecimal() else _NO_LENGTH

    @property
    def keeps_connection(self) -> bool:
        """Whether the upstream will take another request afterwards."""
        if (self.get('Connection') or '').lower() == 'close':
            return False
        is_chunked = self.get('Transfer-Encoding') is not None
        has_end = is_chunked or self.body_bytes != _NO_LENGTH
        return has_end or self.status in _WITHOUT_BODY


class _Parser(HTTPResponseParser):
    """Collects all answers that stand in the bytes of a connection."""

    def __init__(self, method: str) -> None:
        super().__init__()
        self.answers: list[Answer] = []
        self._has_no_body = method == 'HEAD'
        self._is_value = False

    def _on_status(self, _: str) -> None:
        """Ignore the words beside the status."""

    def _on_message_begin(self) -> None:
        self.answers.append(Answer())

    def _on_header_field(self, text: str) -> None:
        headers = self.answers[-1].headers
        if self._is_value or not headers:
            headers.append([text, ''])
        else:
            headers[-1][0] += text
        self._is_value = False

    def _on_header_value(self, text: str) -> None:
        self.answers[-1].headers[-1][1] += text
        self._is_value = True

    def _on_headers_complete(self) -> bool:
        answer = self.answers[-1]
        answer.status = self.get_code()
        answer.has_head = True
        self._is_value = False
        return self._has_no_body

    def _on_body(self, chunk: bytes) -> None:
        self.answers[-1].body += chunk

    def _on_message_complete(self) -> None:
        self.answers[-1].complete = True


class AnswerReader:
    """Reads one answer.

    :param sock: connection on which a request has been sent.
    :param method: of that request.
    :param block_bytes: how much to take from the connection at once.
    """

    def __init__(self, sock: Socket, method: str, block_bytes: int) -> None:
        self._sock = sock
        self._block_bytes = block_bytes
        self._parser = _Parser(method)
        self._answer = Answer()
        self._failure: HTTPParseError | None = None
        self._checked = 0
        self._bounds = AnswerBounds()
        self._received_bytes = 0
        self.dropped = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the body has ended and nothing of it is left to read."""
        return self._answer.complete and not self._answer.body

    @property
    def is_reusable(self) -> bool:
        """Whether the connection carried this answer and nothing else."""
        is_last = self._parser.answers[-1:] == [self._answer]
        is_clean = self._failure is None and not self.dropped
        is_whole = self._answer.complete and self._answer.keeps_connection
        return is_clean and is_last and is_whole

    def read_head(self, is_wanted: Callable[[Answer], bool]) -> Answer:
        """Return the answer that is wanted, its body still to be read.

        Interim answers and answers to other requests are dropped.

        :param is_wanted: tells by its headers whether an answer is.
        :raises OSError: if the connection is reset.
        :raises HTTPParseError: if it ends, or carries something else.
        """
        while True:
            answer = self._next_final()
            if answer is None:
                self._check_others()
                self.take_more()
            elif is_wanted(answer):
                self._answer = answer
                return answer
            else:
                self.dropped += 1

    def read(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        :raises OSError: if the connection is reset.
        :raises HTTPParseError: if it ends before the body does.
        """
        answer = self._answer
        while not answer.body and not answer.complete:
            self.take_more()
        chunk = bytes(answer.body[: self._block_bytes])
        answer.body = answer.body[self._block_bytes :]
        return chunk

    def take_more(self) -> None:
        """Take more bytes in; those after the end of an answer do no harm.

        :raises OSError: if the connection is reset.
        :raises HTTPParseError: if it had ended, or carried something else,
            or too much that is no body.
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
        """Fail where the own answer goes on without its body."""
        answer = self._answer
        is_idle = len(answer.body) == body_bytes and not answer.complete
        crossed = self._bounds.note_within(
            self._received_bytes, has_grown=not is_idle
        )
        if crossed:
            self._failure = HTTPParseError(crossed)

    def _check_others(self) -> None:
        """Fail where all that has come in is not the own answer.

        :raises HTTPParseError: if that is too much.
        """
        answers = self._parser.answers
        crossed = self._bounds.note_before(
            self._received_bytes,
            self._checked,
            in_head=len(answers) > self._checked,
        )
        if crossed:
            self._failure = HTTPParseError(crossed)
            answers.clear()
            raise self._failure

    def _next_final(self) -> Answer | None:
        """Return the next answer that is not interim, if its head is here."""
        for answer in self._parser.answers[self._checked :]:
            if not answer.has_head:
                return None
            self._checked += 1
            if answer.status >= _FIRST_FINAL_STATUS:
                return answer
        return None


__all__ = ('Answer', 'AnswerReader', 'HTTPParseError')
