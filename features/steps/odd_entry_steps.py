"""Steps for odd entries in the store and in VM lists."""

from __future__ import annotations

import json
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Any, Final

import eliot
from behave import given, then, when

from features.earlier_build import read_vms
from features.steps.platform_steps import upstream_entry
from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard, VmList
from jackdawhead.node.membership import MembershipController
from jackdawhead.node.refusal_log import RefusalLog
from jackdawhead.policy.list_order import is_provisional
from jackdawhead.wire.codec import MAX_FRAME_BYTES, decode, encode
from jackdawhead.wire.messages import (
    Heartbeat,
    VmListDelta,
    VmListRequest,
    VmListSnapshot,
)

if TYPE_CHECKING:
    from behave.runner import Context

_DEEP: Final = ''.join(('[' * 50_000, ']' * 50_000))
_KEYS: Final = {
    'a key of 200 bytes': 'servers/'.ljust(200, 'k'),
    'a key with a space': 'servers/i 9',
    'a key with a newline': 'servers/i-9\n',
    'a key with a slash': 'servers/i-9/x',
    'a key that ends early': 'servers/',
}
_ODD_VMS: Final = {
    'a number': '7',
    'null': 'null',
    'without an address': '{"name": "vm-2", "zone": "a"}',
    'with an unknown field': (
        '{"name": "vm-2", "zone": "a", "ip": "10.1.0.2", "colour": 1}'
    ),
    'with a port too large': (
        '{"name": "vm-2", "zone": "a", "ip": "10.1.0.2", "stream_port": 65536}'
    ),
    'with a number too large': (
        '{"name": "vm-2", "zone": "a", "ip": "10.1.0.2",'
        ' "upstream_ports": {"desk": 8145},'
        ' "details": {"desk": {"slots": 18446744073709551616}}}'
    ),
    'not Unicode': r'{"name": "\ud800", "zone": "a", "ip": "10.1.0.2"}',
}
_ODD_LISTS: Final = {
    'cut short': '[{"name": "vm-0", "zo',
    'an object': '{"name": "vm-0"}',
    'nested too deeply': _DEEP,
    'made of odd entries alone': '[7, null]',
}
_FIRST_IP: Final = IPv4Address('10.1.0.0')


class ListNode:
    """The part of a node that holds its VM list."""

    vm = 'vm-0'

    def __init__(self) -> None:
        self.board = Blackboard()
        self.sent: list[Any] = []
        self.membership = MembershipController(self.board, AuditTrail())
        self.membership.is_provisional = is_provisional

    @property
    def vm_list(self) -> VmList:
        """The list in force."""
        return self.board.vm_list.read()

    def send(self, message: Any) -> None:
        """Record a message to another node, as it arrives there."""
        frame = encode(message)
        assert len(frame) <= MAX_FRAME_BYTES, len(frame)
        self.sent.append(decode(frame[4:]).unwrap())

    def answer(self, version: int, generation: int = 0) -> Any:
        """Return the answer to a node that has a version of the list."""
        self.ask(version, generation)
        return self.sent.pop()

    def ask(self, version: int, generation: int = 0) -> None:
        """Ask for the list as a node that has a version of it."""
        self.sent.clear()
        link: Any = self
        self.membership.answer(VmListRequest(version, generation), link)

    def receive(self, message: Any) -> None:
        """Receive a list or a change from another node."""
        link: Any = self
        if isinstance(message, VmListSnapshot):
            self.membership.receive_update(message, link)
        else:
            self.membership.receive_change(message, link)


def list_text_of(count: int, odd: str = '') -> str:
    """Return a list of VMs, the last of which is replaced by odd text."""
    entries = [
        json.dumps(
            {
                'name': f'vm-{number}',
                'zone': 'a',
                'ip': str(_FIRST_IP + number),
            }
        )
        for number in range(count)
    ]
    if odd:
        entries[-1] = odd
    return f'[{", ".join(entries)}]'


@when('an entry with "{field}" as {text} is written under "{name}"')
def write_odd(context: Context, field: str, text: str, name: str) -> None:
    """Write an entry with one field changed."""
    if 'events' not in context:
        record_lines(context)
    value = _DEEP if text == 'deep' else text
    entry = json.dumps({**upstream_entry(9), field: '@odd'})
    body = entry.replace('"@odd"', value).encode()
    context.store.put(f'servers/{name}', body)


@when('an entry is written under {key}')
def write_under_key(context: Context, key: str) -> None:
    """Write a valid entry under an odd key."""
    context.store.put(_KEYS[key], upstream_entry(9))


@then('a node that gets the list knows {count:d} upstreams')
def check_node_knows(context: Context, count: int) -> None:
    """Offer the published list to a node, as the watch does."""
    published = context.known['vms']
    context.list_node = ListNode()
    context.list_node.membership.offer(
        published.version, json.dumps(published.content)
    )
    found = context.list_node.vm_list.vms
    assert len(found) == count, (len(found), published.content)


@then('nodes that get the list from that node know {count:d} upstreams')
def check_passed_on(context: Context, count: int) -> None:
    """Pass the list on, also to a node of an earlier build."""
    check_list_passed_on(context.list_node, count)


def check_list_passed_on(node: ListNode, count: int) -> None:
    """Check that nodes of all builds read what a node passes on."""
    encode(Heartbeat(1, 1, False, node.vm_list.version))
    snapshot = node.answer(-1)
    other = ListNode()
    other.receive(snapshot)
    assert other.vm_list == node.vm_list
    assert len(other.vm_list.vms) == count
    assert len(read_vms(snapshot.text)) == count


@given('a list of 3 VMs, one of which is {odd}')
def compose_odd_list(context: Context, odd: str) -> None:
    """Compose a list and a change that contain an odd VM."""
    record_lines(context)
    context.odd_text = list_text_of(3, _ODD_VMS[odd])
    context.odd_change = f'{{"changed": [{_ODD_VMS[odd]}], "gone": []}}'


@when('a node gets the list')
def offer_odd_list(context: Context) -> None:
    """Offer the list to a node."""
    context.list_node = ListNode()
    context.list_node.membership.offer(1, context.odd_text)


@when('a node of version 1 gets the list as a change')
def offer_odd_change(context: Context) -> None:
    """Apply a change to a list that has a valid VM of the odd one's name."""
    context.list_node = ListNode()
    has_name = '"vm-2"' in context.odd_change
    context.list_node.membership.offer(1, list_text_of(2 + has_name))
    context.list_node.receive(VmListDelta(1, 2, context.odd_change))
    assert context.list_node.vm_list.version == 2


@then('it knows {count:d} VMs')
def check_vms(context: Context, count: int) -> None:
    """Count the VMs, and check that they can be passed on."""
    assert len(context.list_node.vm_list.vms) == count, (
        context.list_node.vm_list
    )
    check_list_passed_on(context.list_node, count)


@given('a node with a list of {count:d} VMs')
def start_list_node(context: Context, count: int) -> None:
    """Start a node with a list."""
    context.list_node = ListNode()
    context.list_node.membership.offer(1, list_text_of(count))


@when('the node gets a list that is {odd}')
def offer_unreadable(context: Context, odd: str) -> None:
    """Offer a list that cannot be read, directly and from another node."""
    node = context.list_node
    node.membership.offer(2, _ODD_LISTS[odd])
    node.receive(VmListSnapshot(2, _ODD_LISTS[odd]))
    node.receive(VmListDelta(1, 2, _ODD_LISTS[odd]))
    assert node.vm_list.version == 1


@when('the node gets a list of {count:d} VMs')
def offer_next(context: Context, count: int) -> None:
    """Offer a later list that can be read."""
    context.list_node.membership.offer(3, list_text_of(count))


def record_lines(context: Context) -> None:
    """Record the names of the events that are logged from now on."""
    context.events = []

    def record(message: dict[str, Any]) -> None:
        context.events.append(message.get('message_type'))

    eliot.add_destinations(record)
    context.stack.callback(eliot.remove_destination, record)


@when('a node gets the list {count:d} times')
def offer_repeatedly(context: Context, count: int) -> None:
    """Offer the list with ever newer versions."""
    node = ListNode()
    for version in range(1, count + 1):
        assert node.membership.offer(version, context.odd_text)


@then('{count:d} line says "{event}"')
def check_one_line(context: Context, count: int, event: str) -> None:
    """Count the lines of an event."""
    found = [each for each in context.events if each == event]
    assert len(found) == count, context.events


@then('{count:d} lines say "{event}"')
def check_lines(context: Context, count: int, event: str) -> None:
    """Count the lines of an event."""
    check_one_line(context, count, event)


@when('{count:d} different entries are refused')
def refuse_many(context: Context, count: int) -> None:
    """Note entries with ever different content."""
    context.refusals = RefusalLog()
    for number in range(count):
        context.refusals.note('servers/odd', str(number).encode(), 'odd')


@then('the log of refused entries remembers at most {count:d}')
def check_remembered(context: Context, count: int) -> None:
    """Check the bound of the memory."""
    assert 0 < len(context.refusals._known) <= count


@when('another node asks it for the list')
def ask_list(context: Context) -> None:
    """Ask for the complete list."""
    context.list_node.ask(-1)


@then('it gets nothing')
def check_nothing(context: Context) -> None:
    """Check that no frame was sent."""
    assert not context.list_node.sent


@when('another node asks it for a list that differs in one VM')
def ask_change(context: Context) -> None:
    """Remove a VM, and ask as a node that has the list before."""
    vms = json.loads(list_text_of(12_000))
    context.list_node.membership.offer(2, json.dumps(vms[1:]))
    context.list_node.ask(1)


@then('it gets the change')
def check_change(context: Context) -> None:
    """Check that the change was sent."""
    sent = [json.loads(each.text)['gone'] for each in context.list_node.sent]
    assert sent == [['vm-0']], sent
