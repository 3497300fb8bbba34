"""Steps for reading responses, writing logs and sending VM lists."""

from __future__ import annotations

import os
from contextlib import suppress
from types import SimpleNamespace
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from geventhttpclient._parser import HTTPParseError

from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard, UpstreamDetails, Vm, VmList
from jackdawhead.log_output import BoundedOutput
from jackdawhead.log_rates import LogRates
from jackdawhead.node.home.answer_reader import AnswerReader
from jackdawhead.node.membership import MembershipController
from jackdawhead.node.vm_list_codec import (
    apply_change,
    build_change,
    changed_vm_names,
    list_text,
)
from jackdawhead.wire.messages import VmListRequest

if TYPE_CHECKING:
    from behave.runner import Context

_MAX_CHUNK_BYTES: Final = 7
_ENDS: Final = frozenset(('end', 'reset'))
_HEADS: Final = {
    'id': 'Request-Id: {0}',
    'len': 'Content-Length: {0}',
    'close': 'Connection: close',
    'chunked': 'Transfer-Encoding: chunked',
    'chunkedopen': 'Transfer-Encoding: chunked',
    'unframed': '',
}
_OTHER_BYTES: Final = {
    'junk': b'no answer at all\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\n',
}


class FakeSocket:
    """Returns received bytes in small chunks, as a connection may.

    :param received: all bytes that the peer sends.
    :param end: ``end`` if the peer then closes the connection, ``reset`` if it
        resets it; otherwise reads time out.
    """

    def __init__(self, received: bytes, end: str) -> None:
        self._received = received
        self._end = end

    def recv(self, size: int) -> bytes:
        """Return the next chunk, of at most 7 bytes."""
        if not self._received:
            if self._end == 'reset':
                raise ConnectionResetError('reset by the upstream')
            if self._end == 'end':
                return b''
            raise TimeoutError('nothing more')
        size = min(size, _MAX_CHUNK_BYTES)
        chunk = self._received[:size]
        self._received = self._received[size:]
        return chunk

    def drain(self, reader: AnswerReader) -> None:
        """Let a reader read the bytes after the end of its response."""
        with suppress(OSError, HTTPParseError):
            while self._received:
                reader.receive()


def answer_bytes(words: list[str]) -> bytes:
    """Build one response from the comma-separated words of a table cell."""
    heads = [_HEADS[word.partition('=')[0]] for word in words[:-1]]
    texts = [word.partition('=')[2] for word in words[:-1]]
    lines = [
        head.format(text)
        for head, text in zip(heads, texts, strict=True)
        if head
    ]
    body = words[-1].encode()
    if words[1].startswith('chunked'):
        end = b'' if words[1].endswith('open') else b'0\r\n\r\n'
        body = b''.join((b'%x\r\n%s\r\n' % (len(body), body), end))
    head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
    return b''.join((head.encode(), body))


@given('an upstream\'s connection that carries "{text}"')
def make_connection(context: Context, text: str) -> None:
    """Create a connection that carries the responses of a table cell."""
    end = 'open'
    parts = []
    for part in text.split(';'):
        words = part.split(',')
        if words[-1] in _ENDS:
            end = words.pop()
        if words:
            parts.append(_OTHER_BYTES.get(words[0]) or answer_bytes(words))
    context.sock = FakeSocket(b''.join(parts), end)


@when('the answer to request "{request_id}" is read')
def read_answer(context: Context, request_id: str) -> None:
    """Read until the response is complete, or an error occurs."""
    reader = AnswerReader(context.sock, 'GET', 4096)
    body = b''
    context.body = None
    try:
        reader.read_head(lambda each: each.get('Request-Id') == request_id)
        while not reader.is_exhausted:
            body += reader.read()
        context.body = body.decode()
    except (OSError, HTTPParseError) as error:
        context.error = error
    if context.body is not None:
        context.sock.drain(reader)
    context.is_reusable = reader.is_reusable


@then('it is "{text}"')
def check_body(context: Context, text: str) -> None:
    """Check the body of the response."""
    assert context.body == text, context.body


@then('it is no answer')
def check_no_answer(context: Context) -> None:
    """Check that no response was accepted."""
    assert context.body is None, context.body


@then('the connection is {kept}')
def check_kept(context: Context, kept: str) -> None:
    """Check whether the connection may be reused."""
    assert context.is_reusable is (kept == 'kept')


@when('{many:d} lines of "{one}" and {few:d} of "{other}" come within a second')
def flood(context: Context, many: int, one: str, few: int, other: str) -> None:
    """Request the logging of lines of two events, spread over a second."""
    context.rates = LogRates()
    context.written = {one: 0, other: 0}
    for number in range(many):
        at_ms = 1000 * number / many
        context.written[one] += context.rates.allow(one, at_ms)
        if number < few:
            context.written[other] += context.rates.allow(other, at_ms)


@then('between {least:d} and {most:d} lines of "{event}" are written')
def check_lines_between(
    context: Context, least: int, most: int, event: str
) -> None:
    """Check the number of lines against both bounds."""
    assert least <= context.written[event] <= most, context.written


@then('{number:d} lines of "{event}" are written')
def check_lines(context: Context, number: int, event: str) -> None:
    """Check the exact number of lines."""
    assert context.written[event] == number, context.written


@then('the next line of "{event}" says how many were omitted')
def check_reported_dropped(context: Context, event: str) -> None:
    """Check the reported number of dropped lines."""
    assert context.rates.allow(event, 5000)
    reported = context.rates.pop_dropped(event, 5000)
    assert reported == 2000 - context.written[event], reported


@given('an output that is never read')
def make_pipe(context: Context) -> None:
    """Create a pipe whose read end is never read."""
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)
    context.stack.callback(os.close, writer)
    context.output = BoundedOutput(writer)
    context.stack.callback(context.output.close)


@when('{number:d} lines are written to it')
def write_lines(context: Context, number: int) -> None:
    """Write lines, yielding to the writer greenlet after every 100 lines."""
    for serial in range(number):
        context.output.write(f'event=line number={serial} {"x" * 80}')
        if serial % 100 == 0:
            gevent.sleep(0)


@then('the writer goes on at once, and lines are counted as dropped')
def check_dropped(context: Context) -> None:
    """Check the count; reaching this step shows that nothing has blocked."""
    assert context.output.dropped > 0


def vm_of(number: int, **details: object) -> Vm:
    """Return a VM with one upstream."""
    name = f'10-0-0-{number}'
    listed = UpstreamDetails(f'i-{number}', 5, 3, **details)
    return Vm(
        name, 'a', f'10.0.0.{number}', False, 7000, {'s': 80}, {'s': listed}
    )


@given('two lists of VMs')
def make_lists(context: Context) -> None:
    """Create a list, a later one, and the difference between them."""
    before = {vm.name: vm for vm in (vm_of(1), vm_of(2), vm_of(3))}
    after = {vm.name: vm for vm in (vm_of(1), vm_of(2, leaving=True), vm_of(4))}
    context.before = VmList(10, before)
    context.after = VmList(12, after)
    names = changed_vm_names(context.before, context.after)
    base = context.before.version
    context.change = build_change(names, base, context.after)


@when('the difference is applied to the first')
def apply_to_first(context: Context) -> None:
    """Apply the difference to the list that it is based on."""
    context.applied = apply_change(context.before, context.change).unwrap()


@then('the result is the second')
def check_applied(context: Context) -> None:
    """Compare the lists, and check that the difference is shorter."""
    assert context.applied == context.after
    assert len(context.change.text) < len(list_text(context.after))


@when('the difference is applied to another list')
def apply_to_other(context: Context) -> None:
    """Apply the difference at a node that has an earlier list."""
    board = Blackboard()
    board.vm_list.write(VmList(8, context.before.vms))
    context.sent = []

    link = SimpleNamespace(vm='other', send=context.sent.append)
    membership = MembershipController(board, AuditTrail())
    membership.receive_change(context.change, link)


@then('it asks for the whole list')
def check_requested(context: Context) -> None:
    """Check that the node requests the whole list."""
    assert context.sent == [VmListRequest(8)], context.sent
