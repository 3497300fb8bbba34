"""Steps that generate input with hypothesis; a failing example is printed.

The examples are the same in each run. ``JACKDAWHEAD_FUZZ=20`` multiplies their
number by 20 and makes them random, for long manual runs.
"""

from __future__ import annotations

import copy
import json
import os
from io import BytesIO
from typing import TYPE_CHECKING, Any

import msgspec
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from features.steps.endless_steps import EndlessSocket
from features.steps.platform_steps import (
    config_document,
    resource,
    route,
    upstream_entry,
)
from features.steps.tolerant_steps import ConfigNode
from jackdawhead.node.home.answer_reader import AnswerReader, HTTPParseError
from jackdawhead.node.request_framing import framing_problem
from jackdawhead.node.request_headers import RequestHeaders
from jackdawhead.node.listing_rules import ListingRules
from jackdawhead.node.upstream_list import (
    ListedUpstreams,
    Moment,
)
from jackdawhead.node.vm_list_codec import parse_vm_list
from jackdawhead.platform.store import _decode_changes
from jackdawhead.platform.store_pages import Pages
from jackdawhead.platform.store_types import StoreAnswer, StoredItem
from jackdawhead.platform.upstream_entries import decode_record
from jackdawhead.policy.removal_grace_period import RemovalGracePeriod

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

_EXAMPLES_FACTOR = int(os.environ.get('JACKDAWHEAD_FUZZ', '1'))
_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from((10**30, -1, 0, 1e308)),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
    st.sampled_from(('9' * 400, '9' * 9, '1ms', 'upload', '\ud800', '', '/')),
)
_PLAIN = st.recursive(
    _SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=8,
)
# Not printable in YAML, or outside the basic multilingual plane.
_ODD_TEXTS = (
    '\U0001f600',
    '\x7f',
    '\x85',
    '\x9f',
    '\u2028',
    '\ufffe',
    r'\ud83d',
)
_DEEP_NESTING = ''.join(('[' * 5000, ']' * 5000))
_MAX_HEAD_BYTES = 65_536
_HEAD_PARTS = (
    b'Host: x\r\n',
    b'Host: y\r\n',
    b'Content-Length: 4\r\n',
    b'Content-Length: +4\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: gzip\r\n',
    b'X_A: b\r\n',
    b'X-A : b\r\n',
    b' folded\r\n',
    b'X-A: \x00\r\n',
    b'\r\n',
)
_MATCHING_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi'
)
_STREAM_PARTS = (
    _MATCHING_RESPONSE,
    b'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nho',
    b'HTTP/1.1 102 Processing\r\n\r\n',
    b'X-Filling: yes\r\n',
    b'x' * 70_000,
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'0\r\n\r\n',
)


def check_examples(
    check: Callable[..., None], count: int, **strategies: Any
) -> None:
    """Run a check on generated input, and raise for the smallest failure."""
    bounded = settings(
        max_examples=count * _EXAMPLES_FACTOR,
        deadline=None,
        database=None,
        derandomize=_EXAMPLES_FACTOR == 1,
        suppress_health_check=tuple(HealthCheck),
    )
    bounded(given(**strategies)(check))()


def spec_paths(document: dict[str, Any]) -> list[tuple[int, str]]:
    """Return index and field name of each field in a spec of the document."""
    return [
        (number, name)
        for number, part in enumerate(document['resources'])
        for name in part['spec']
    ]


@when('hypothesis generates {count:d} changes to a document')
def generate_documents(context: Context, count: int) -> None:
    """Change one field of one resource, and publish the document."""
    first = config_document()
    first['resources'].append(
        resource('routes', 'kept', **route('/k/', 'upload', service='desk'))
    )
    names = [part['metadata']['name'] for part in first['resources']]
    context.untouched_lost = []
    context.version_lost = []

    def check(path: tuple[int, str], plain: Any) -> None:
        number, field = path
        document = copy.deepcopy(first)
        document['resources'][number]['spec'][field] = plain
        node = ConfigNode()
        node.publish(7, first)
        before = node.loaded.config.routes
        node.publish(8, document)
        after = node.loaded.config.routes
        if node.board.config.read().version != 8:
            context.version_lost.append((path, plain))
        for name in before.keys() - {names[number]}:
            if after.get(name) is None:
                context.untouched_lost.append((path, plain, name))

    check_examples(
        check, count, path=st.sampled_from(spec_paths(first)), plain=_PLAIN
    )
    check((0, 'host'), json.loads(''.join(('[' * 500, ']' * 500))))
    for text in _ODD_TEXTS:
        check((0, 'host'), text)
        check((0, 'routeType'), text)


@then('each change left all other routes active')
def check_untouched(context: Context) -> None:
    """Check that no unchanged route was lost."""
    assert not context.untouched_lost, context.untouched_lost[:3]


@then('each change made its version the active one')
def check_versions(context: Context) -> None:
    """Check that no version was rejected as a whole."""
    assert not context.version_lost, context.version_lost[:3]


@when('hypothesis generates {count:d} entries of upstreams')
def generate_entries(context: Context, count: int) -> None:
    """Change one field of an entry, or replace the entry by other bytes."""
    context.problems = []

    def check(field: str, plain: Any) -> None:
        body = json.dumps({**upstream_entry(3), field: plain}).encode()
        check_entry(context, body)

    check_examples(
        check,
        count,
        field=st.sampled_from(tuple(upstream_entry(3))),
        plain=_PLAIN,
    )
    for body in (
        _DEEP_NESTING.encode(),
        b'\xff{',
        b'',
        b'null',
        b'{"slots": 1e999}',
    ):
        check_entry(context, body)


def check_entry(context: Context, body: bytes) -> None:
    """Decode an entry, and parse a VM list that contains it, as a node does."""
    decoded = decode_record(StoredItem('servers/i-3', 5, body, 3))
    if isinstance(decoded, Failure):
        return
    upstream = decoded.unwrap()
    rules = ListingRules(frozenset((upstream.zone,)), frozenset())
    listed = ListedUpstreams(7000, rules, RemovalGracePeriod(0, 0), 0)
    assert not listed.put('servers/i-3', upstream, Moment(0, 0))
    text = json.dumps(listed.changed_vms(0))
    if not isinstance(parse_vm_list(1, text), Success):
        context.problems.append((body, text))


@then('each is rejected, or gives a valid VM list')
def check_entries(context: Context) -> None:
    """Check that nodes accept all VM lists with decoded entries."""
    assert not context.problems, context.problems[:3]


@when('hypothesis generates {count:d} responses of the store')
def generate_responses(context: Context, count: int) -> None:
    """Decode generated bodies as pages and as change events."""
    fields = ('items', 'events', 'atRev', 'hasMore', 'key', 'value')

    def decode(body: bytes) -> None:
        answer = StoreAnswer(body, 0)
        context.read = (Pages().add(answer), _decode_changes(answer))

    def check(plain: Any, field: str) -> None:
        for body in (plain, {field: plain}, {field: [plain]}):
            decode(msgspec.json.encode(without_surrogates(body)))

    check_examples(check, count, plain=_PLAIN, field=st.sampled_from(fields))
    for body in (_DEEP_NESTING.encode(), b'\xff', b''):
        decode(body)


def without_surrogates(plain: Any) -> Any:
    """Return plain data without lone surrogates, which cannot be encoded."""
    text = json.dumps(plain, ensure_ascii=False)
    return json.loads(text.encode(errors='replace'))


@then('each is decoded or rejected without an exception')
def check_read(context: Context) -> None:
    """Check the last result; an exception fails the previous step."""
    assert len(context.read) == 2


@when('hypothesis generates {count:d} request heads')
def generate_heads(context: Context, count: int) -> None:
    """Parse generated lines as the head of a request."""
    context.accepted = []

    def check(lines: list[bytes], filling: bytes) -> None:
        text = b''.join((*lines, filling, b'\r\n\r\n'))
        headers = RequestHeaders(BytesIO(text), _MAX_HEAD_BYTES)
        if headers.status:
            return
        if framing_problem('HTTP/1.1', headers.pairs) is None:
            context.accepted.append([name.lower() for name, _ in headers.pairs])

    lines = st.lists(st.sampled_from(_HEAD_PARTS), max_size=5)
    check_examples(check, count, lines=lines, filling=st.binary(max_size=20))


@then('each is rejected, or accepted with one host and at most one length')
def check_heads(context: Context) -> None:
    """Count the headers that determine the framing of a request."""
    assert context.accepted
    for names in context.accepted:
        lengths = names.count('content-length')
        assert names.count('host') == 1, names
        assert lengths + names.count('transfer-encoding') <= 1, names


@when('hypothesis generates {count:d} byte streams of an upstream')
def generate_streams(context: Context, count: int) -> None:
    """Read the response to one request from generated bytes."""
    context.answers = []

    def check(parts: list[bytes], filling: bytes) -> None:
        sock = EndlessSocket(iter((*parts, filling)))
        reader = AnswerReader(sock, 'GET', 4096)
        body = b''
        try:
            reader.read_head(lambda each: each.get('Request-Id') == 'r1')
            while not reader.is_exhausted:
                body += reader.read()
        except HTTPParseError:
            return
        context.answers.append(body)

    parts = st.lists(st.sampled_from(_STREAM_PARTS), max_size=6)
    check_examples(check, count, parts=parts, filling=st.binary(max_size=30))


@then('each gives the matching response or none, within the size limits')
def check_streams(context: Context) -> None:
    """Check that no other response was accepted for the request."""
    assert context.answers
    assert set(context.answers) == {b'hi'}, set(context.answers)
