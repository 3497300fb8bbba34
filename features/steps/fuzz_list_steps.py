"""Steps that generate lists, and messages between nodes, with hypothesis."""

from __future__ import annotations

import json
from dataclasses import fields
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

import msgpack
from behave import then, when
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from features.earlier_build import read_vms
from features.steps.fuzz_steps import (
    _DEEP_NESTING,
    _PLAIN,
    check_examples,
)
from features.steps.odd_entry_steps import ListNode, list_text_of
from features.steps.platform_steps import upstream_entry
from jackdawhead.audit import AuditTrail
from jackdawhead.node.config_controller import ConfigController
from jackdawhead.node.identity import new_identity
from jackdawhead.node.platform_client import (
    PlatformSource,
    PublishedValue,
    decode_published,
)
from jackdawhead.node.platform_watch import (
    CONFIG_KEY,
    VMS_KEY,
    PlatformWatch,
)
from jackdawhead.node.listing_rules import ListingRules
from jackdawhead.node.reader_controller import ReaderController
from jackdawhead.node.upstream_list import (
    ListedUpstreams,
    Moment,
)
from jackdawhead.platform.store_types import StoredItem
from jackdawhead.platform.upstream_entries import decode_record
from jackdawhead.policy.removal_grace_period import RemovalGracePeriod
from jackdawhead.wire.codec import decode, encode
from jackdawhead.wire.messages import (
    MESSAGE_CODES,
    Heartbeat,
    Message,
    VmListDelta,
)

if TYPE_CHECKING:
    from behave.runner import Context

_GOOD: Final = 3
_GOOD_BODIES: Final = {
    f'servers/i-{number}': json.dumps(upstream_entry(number + 1)).encode()
    for number in range(_GOOD)
}
_NOW: Final = Moment(0, 1771376890000)
_ODD_KEYS: Final = st.one_of(
    st.sampled_from(('servers/odd', 'servers/', 'servers/a b', 'servers/a/b')),
    st.text(max_size=200).map(lambda text: f'servers/{text}'),
)
_VM_FIELDS: Final = (
    'name',
    'zone',
    'ip',
    'leaving',
    'stream_port',
    'upstream_ports',
    'details',
    'extra',
)
_WIRE_SCALARS: Final = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(min_value=-(2**63), max_value=2**64 - 1),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
)
_WIRE_FIELDS: Final = {
    'int': st.integers(min_value=-(2**63), max_value=2**64 - 1),
    'str': st.text(max_size=8),
    'bytes': st.binary(max_size=8),
    'bool': st.booleans(),
    'HeaderPairs': st.lists(
        st.lists(st.text(max_size=4), min_size=2, max_size=2), max_size=2
    ),
}
_WIRE: Final = st.recursive(
    _WIRE_SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=2),
    ),
    max_leaves=8,
)


def check_readable(node: ListNode, version: int) -> None:
    """Check that nodes of this and earlier builds read what is passed on."""
    assert node.vm_list.version == version, node.vm_list
    encode(Heartbeat(1, 1, False, version))
    for since in (-1, version - 1):
        answer = node.answer(since)
        if isinstance(answer, VmListDelta):
            changed = json.dumps(json.loads(answer.text)['changed'])
            read_vms(changed)
        else:
            read_vms(answer.text)
            other = ListNode()
            other.receive(answer)
            assert other.vm_list == node.vm_list


@when(
    'hypothesis generates {count:d} lists of entries with odd ones among them'
)
def generate_entry_lists(context: Context, count: int) -> None:
    """Change a field of one entry, and list it with good ones."""
    context.checked = 0

    def check(key: str, field: str, plain: Any) -> None:
        listed = ListedUpstreams(
            7000,
            ListingRules(frozenset('a'), frozenset((7000,))),
            RemovalGracePeriod(0, 0),
            0,
        )
        odd = json.dumps({**upstream_entry(9), field: plain}).encode()
        for name, body in ((key, odd), *_GOOD_BODIES.items()):
            decoded = decode_record(StoredItem(name, 5, body, 3))
            if isinstance(decoded, Success):
                listed.put(name, decoded.unwrap(), _NOW)
        node = ListNode()
        node.membership.offer(1, json.dumps(listed.changed_vms(0)))
        found = {
            details.instance
            for vm in node.vm_list.vms.values()
            for details in vm.details.values()
        }
        assert found >= {'i-0', 'i-1', 'i-2'}, (found, key, odd)
        check_readable(node, 1)
        context.checked += 1

    check_examples(
        check,
        count,
        key=_ODD_KEYS,
        field=st.sampled_from((*upstream_entry(3), 'extra')),
        plain=_PLAIN,
    )


@when('hypothesis generates {count:d} lists of VMs with odd ones among them')
def generate_vm_lists(context: Context, count: int) -> None:
    """Change a field of one VM, and offer it in a list and in a change."""
    context.checked = 0
    good = json.loads(list_text_of(_GOOD))

    def check(field: str, plain: Any) -> None:
        odd = {'name': 'odd', 'zone': 'a', 'ip': '10.1.0.9', field: plain}
        # A second VM of the same name replaces the first one.
        if any(vm['name'] == odd['name'] for vm in good):
            return
        node = ListNode()
        node.membership.offer(1, json.dumps([odd, *good]))
        assert node.vm_list.vms.keys() >= {'vm-0', 'vm-1', 'vm-2'}
        check_readable(node, 1)
        text = json.dumps({'changed': [odd], 'gone': []})
        node.receive(VmListDelta(1, 2, text))
        assert node.vm_list.vms.keys() >= {'vm-0', 'vm-1', 'vm-2'}
        check_readable(node, 2)
        context.checked += 1

    check_examples(
        check, count, field=st.sampled_from(_VM_FIELDS), plain=_PLAIN
    )


@then('each list keeps the good ones, and nodes of all builds read it')
def check_lists(context: Context) -> None:
    """Check that lists were checked; a failure fails the previous step."""
    assert context.checked


@when('hypothesis generates {count:d} answers of a platform')
def generate_answers(context: Context, count: int) -> None:
    """Answer reads of both values with generated bodies, then soundly."""
    good = {'version': 2, 'value': json.loads(list_text_of(_GOOD))}
    bodies = [_DEEP_NESTING.encode(), b'\xff', b'', b'[]', b'NaN']
    bodies.append(f'{{"version": 1, "value": {_DEEP_NESTING}}}'.encode())

    def check_body(body: bytes) -> None:
        node = ListNode()
        parts: Any = SimpleNamespace(
            board=node.board,
            membership=node.membership,
            config=ConfigController(node.board, AuditTrail()),
            audit=AuditTrail(),
            readers=ReaderController(
                new_identity('n', ('k' * 16,)), 'a', node.board
            ),
        )
        source = ScriptedPlatform(body)
        for key in (CONFIG_KEY, VMS_KEY):
            watch = PlatformWatch(key, source, parts, Random(1))
            watch.read_once()
        source.body = json.dumps(good).encode()
        watch.read_once()
        if node.vm_list.version < 2:
            assert not node.vm_list.vms, body
        elif node.vm_list.version == 2:
            assert len(node.vm_list.vms) == _GOOD, body
        encode(Heartbeat(1, 1, False, node.vm_list.version))
        context.checked += node.vm_list.version == 2

    def check(plain: Any, version: Any) -> None:
        for body in (plain, {'version': version, 'value': plain}):
            check_body(json.dumps(body).encode())

    context.checked = 0
    check_examples(
        check, count, plain=_PLAIN, version=st.one_of(st.just(1), _PLAIN)
    )
    for body in bodies:
        check_body(body)


class ScriptedPlatform(PlatformSource):
    """Decodes a given body as the client of the platform does."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    def read(
        self, key: str, after: int, wait_ms: int
    ) -> Result[PublishedValue | None, str]:
        """Return the body as published."""
        return decode_published(self.body)


@then('each is taken or refused, and the next sound one is taken')
def check_answers(context: Context) -> None:
    """Check that sound answers were taken after odd ones."""
    assert context.checked


@when('hypothesis generates {count:d} messages between nodes')
def generate_messages(context: Context, count: int) -> None:
    """Decode valid messages, and arrays with one field replaced."""
    context.decoded = [0, 0]

    def check(message: list[Any], position: int, plain: Any) -> None:
        odd = message.copy()
        odd[position % len(odd)] = plain
        for parts in (message, odd):
            decoded = decode(msgpack.packb(parts))
            is_message = isinstance(decoded, Success)
            context.decoded[is_message] += 1
            if is_message:
                encode(decoded.unwrap())

    check_examples(
        check,
        count,
        message=st.sampled_from(tuple(MESSAGE_CODES)).flatmap(message_parts),
        position=st.integers(min_value=0, max_value=20),
        plain=_WIRE,
    )
    for depth in (500, 5000, 1_000_000):
        assert isinstance(decode(b'\x91' * depth), Failure)
        assert isinstance(decode((b'\x91' * depth).ljust(depth + 1)), Failure)


def message_parts(kind: type[Message]) -> Any:
    """Return a strategy for valid arrays of a message."""
    parts = [st.just(MESSAGE_CODES[kind])]
    parts.extend(_WIRE_FIELDS[str(each.type)] for each in fields(kind))
    return st.tuples(*parts).map(list)


@then('each is decoded or refused, and can be encoded again')
def check_messages(context: Context) -> None:
    """Check that both happened; an exception fails the previous step."""
    assert all(context.decoded), context.decoded
