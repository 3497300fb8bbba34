"""Steps for the data that the users' platform publishes."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
from behave import given, then, when
from returns.result import Failure, Success

from jackdawhead.clock import monotonic_ms
from jackdawhead.config.settings import Address
from jackdawhead.config.sources import SourceFile
from jackdawhead.platform.document_loader import (
    DocumentLoader,
    decode_document,
)
from jackdawhead.platform.formats import parse_duration_ms, parse_version
from jackdawhead.node.vm_list_codec import parse_vm_list
from jackdawhead.platform.settings_file import read_settings
from jackdawhead.platform.store_source import StoreSource
from jackdawhead.platform.store_types import StoredItem
from jackdawhead.platform.upstream_entries import decode_record
from standins.store import StandInStore

if TYPE_CHECKING:
    from behave.runner import Context

_ZONES = {'a': 'here', 'b': 'here'}
_EXPIRY_MS = 40.0
_NODE_PORTS = frozenset((7000, 8147))
_HOLD_WAIT_S = 2.3
_BEGIN_S = 0.1
_MS_PER_S = 1000
_STREAM_KEY = 'a-shared-key-for-tests-only'
_SETTINGS = """\
nodeName=sidecar-basel-a-1
ip=10.1.0.38
zone=basel-a
region=basel
zones.basel-a=basel
zones.basel-b=basel
zones.basel-c=basel
listen.inbound=10.1.0.38:8146
listen.outbound=10.1.0.38:8147
listen.readyAddr=10.1.0.38:8141
portRange=7380,7395
seeds=
heartbeat=1500ms
bounds=drain=2000ms,grace=6s
service=desk
platform.address=10.200.1.7:8142
something.new=1
"""


def upstream_entry(number: int, **changes: Any) -> dict[str, Any]:
    """Return an entry as an upstream writes it."""
    return {
        'service': 'desk',
        'address': f'10.1.0.{number}:8145',
        'zone': 'a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'coldRemaining': '0ms',
        'seq': 4,
        'born': 1771376890000,
        **changes,
    }


def resource(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    """Return one resource of a configuration as the operator writes it."""
    return {'resourceType': kind, 'metadata': {'name': name}, 'spec': spec}


def route(prefix: str, kind: str, **spec: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        'host': 'Desk.example',
        'prefix': prefix,
        'routeType': kind,
        'timeout': '1500ms',
        'targetLatency': '0.8s',
        'priority': 1,
        'attempts': 2,
        **spec,
    }


def config_document(version: str = '00000007') -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    split = [
        {'service': 'desk', 'weight': 90},
        {'service': 'ledger', 'weight': 10},
    ]
    return {
        'version': version,
        'baseVersion': '00000005',
        'resources': [
            resource(
                'routes',
                'split',
                **route('/s/', 'non_idempotent', trafficSplit=split),
            ),
            resource('routes', 'd', **route('/d/', 'download', service='desk')),
            resource('services', 'desk', healthPath='/h', maxConnections=330),
            resource('services', 'ledger', healthPath='/h', protocol='h1'),
            resource(
                'limits',
                '',
                maxHeaderBytes=16384,
                maxBodyBytes=67108864,
                idleTimeout='15000ms',
            ),
        ],
    }


@then('the duration "{text}" has {number:d} ms')
def check_duration(context: Context, text: str, number: int) -> None:
    """Parse a duration."""
    assert parse_duration_ms(text) == number


@then('the version "{text}" is {number:d}')
def check_version(context: Context, text: str, number: int) -> None:
    """Parse a version."""
    assert parse_version(text) == number


@then('the {kind} "{text}" is refused')
def check_wrong_format(context: Context, kind: str, text: str) -> None:
    """Parse text of a wrong format."""
    parse = {'duration': parse_duration_ms, 'version': parse_version}[kind]
    try:
        parse(text)
    except ValueError as error:
        assert text in str(error)
    else:
        raise AssertionError(f'{text!r} was accepted')


@when('the entry of "{instance}" is decoded')
def decode_entry(context: Context, instance: str) -> None:
    """Decode a valid entry."""
    decode(context, instance, json.dumps(upstream_entry(9)).encode())


@when('the entry of "{instance}" is decoded with "{name}" as {text}')
def decode_changed(
    context: Context, instance: str, name: str, text: str
) -> None:
    """Decode an entry with one field changed."""
    changed = upstream_entry(9, **{name: json.loads(text)})
    decode(context, instance, json.dumps(changed).encode())


@when('the bytes "{text}" are decoded as the entry of "{instance}"')
def decode_bytes(context: Context, text: str, instance: str) -> None:
    """Decode bytes that are not an entry."""
    decode(context, instance, text.encode())


def decode(context: Context, instance: str, value: bytes) -> None:
    """Decode the entry of an upstream."""
    stored = StoredItem(f'servers/{instance}', 5, value, 3)
    context.decoded = decode_record(stored)


@then(
    'it is the upstream "{instance}" of "{service}" at {address}, not leaving'
)
def check_accepting(
    context: Context, instance: str, service: str, address: str
) -> None:
    """Check a decoded upstream that accepts work."""
    check_upstream(context, instance, service, address, leaving=False)


def check_upstream(
    context: Context,
    instance: str,
    service: str,
    address: str,
    *,
    leaving: bool,
) -> None:
    """Check the fields of the decoded upstream."""
    upstream = context.decoded.unwrap()
    assert (upstream.instance, upstream.service) == (instance, service)
    assert f'{upstream.ip}:{upstream.port}' == address
    assert upstream.leaving is leaving


@then('it is the upstream "{instance}" of "{service}" at {address}, leaving')
def check_draining(
    context: Context, instance: str, service: str, address: str
) -> None:
    """Check a decoded upstream that drains."""
    check_upstream(context, instance, service, address, leaving=True)


@then('it is refused')
def check_refused(context: Context) -> None:
    """Check that decoding failed with a cause."""
    assert isinstance(context.decoded, Failure), context.decoded
    assert context.decoded.failure()


@when('a configuration with a split route is decoded')
def decode_split(context: Context) -> None:
    """Decode a valid configuration."""
    body = json.dumps(config_document()).encode()
    context.decoded = decode_document(body)


@when('a configuration that is {fault} is decoded')
def decode_invalid(context: Context, fault: str) -> None:
    """Decode an invalid configuration."""
    plain = config_document()
    bodies = {
        'cut short': json.dumps(plain)[:-20],
        'without version': json.dumps({'resources': plain['resources']}),
        'of another type': json.dumps([plain]),
    }
    context.decoded = decode_document(bodies[fault].encode())


@then('its version is {number:d}')
def check_document_version(context: Context, number: int) -> None:
    """Check the version."""
    assert context.decoded.unwrap().version == number


@then("the project's own configuration checks accept it")
def check_files(context: Context) -> None:
    """Load the document as a node loads its configuration."""
    files = context.decoded.unwrap().content
    loaded = DocumentLoader(_ZONES).load_valid_entries(
        tuple(SourceFile(name, text) for name, text in files.items()),
        lambda: None,
    )
    assert isinstance(loaded, Success), loaded
    assert not loaded.unwrap().rejected_entries, loaded
    context.loaded_config = loaded.unwrap().config


@then(
    'the route "{name}" sends {first:d} of 100 requests to "{one}"'
    ' and {second:d} to "{other}"'
)
def check_split(
    context: Context, name: str, first: int, one: str, second: int, other: str
) -> None:
    """Check the weights of a split route."""
    assert context.loaded_config.routes[name].split == {
        one: first,
        other: second,
    }


@then('the route "{name}" allows {timeout:d} ms and {attempts:d} attempts')
def check_route(
    context: Context, name: str, timeout: int, attempts: int
) -> None:
    """Check the timeout and the attempts of a route."""
    found = context.loaded_config.routes[name]
    assert (found.timeout_ms, found.max_attempts) == (timeout, attempts)
    assert found.host == 'desk.example'


@then('requests of kind "{kind}" {rule} be repeated')
def check_kind(context: Context, kind: str, rule: str) -> None:
    """Check the operation of a kind of route."""
    operations = context.loaded_config.services['desk'].operations
    found = operations[f'{kind}-1-800']
    assert found.idempotent is (rule == 'may')
    assert found.target_ms == 800


@then('the idle timeout for callers is {number:d} ms')
def check_idle(context: Context, number: int) -> None:
    """Check the idle timeout for callers."""
    assert context.loaded_config.callers.idle_ms == number


@when('the settings file of the platform is read')
def read_valid_settings(context: Context) -> None:
    """Read a valid settings file."""
    read_settings_text(context, _SETTINGS)


@when('the settings file of the platform is read without "{name}"')
def read_incomplete_settings(context: Context, name: str) -> None:
    """Read a settings file that lacks a field."""
    kept = [
        line for line in _SETTINGS.splitlines() if not line.startswith(name)
    ]
    read_settings_text(context, '\n'.join(kept))


@when('the settings file of the platform is read with "{name}" as "{odd}"')
def read_odd_settings(context: Context, name: str, odd: str) -> None:
    """Read a settings file with one field changed."""
    kept = [
        line
        for line in _SETTINGS.splitlines()
        if not line.startswith(f'{name}=')
    ]
    read_settings_text(context, '\n'.join((*kept, f'{name}={odd}')))


@then('all services get the admission rule "{rule}"')
def check_admission(context: Context, rule: str) -> None:
    """Check the settings, and a service that is loaded with them."""
    settings = context.settings_result.unwrap()
    assert settings.admission == rule, settings
    source = StoreSource(
        settings.node.platform_address,
        settings.zones,
        settings.node.stream_address.port,
        settings.expiry_ms,
        settings.node.listener_ports,
        settings.admission,
    )
    document = {
        'version': '00000007',
        'resources': [resource('services', 'desk')],
    }
    loaded = source.config_loader().load_valid_entries(
        (SourceFile('platform-document.json', json.dumps(document)),),
        lambda: None,
    )
    service = loaded.unwrap().config.services['desk']
    assert service.queue.admission == rule, service


@then('its seeds are "{address}"')
def check_seeds(context: Context, address: str) -> None:
    """Check the seeds that are left."""
    node = context.settings_result.unwrap().node
    assert [str(each) for each in node.seed_addresses] == [address], node


def read_settings_text(context: Context, text: str) -> None:
    """Read a settings file."""
    os.environ['JACKDAWHEAD_STREAM_KEY'] = _STREAM_KEY
    folder = Path(os.environ.get('TMPDIR', '/tmp'))
    path = folder / f'jackdawhead-settings-{os.getpid()}.conf'
    context.stack.callback(path.unlink)
    path.write_text(text)
    context.settings_result = read_settings(path)


@then('the node is "{vm}" in zone "{zone}"')
def check_node(context: Context, vm: str, zone: str) -> None:
    """Check the identity of the node."""
    node = context.settings_result.unwrap().node
    assert (node.vm, node.zone, node.service) == (vm, zone, 'desk')


@then('it knows the regions of {number:d} zones')
def check_zones(context: Context, number: int) -> None:
    """Count the zones."""
    assert len(context.settings_result.unwrap().zones) == number


@then('it listens for callers at "{address}"')
def check_address(context: Context, address: str) -> None:
    """Check the address for callers."""
    assert str(context.settings_result.unwrap().node.caller_address) == address


@then('it stops within its grace period of {grace:d} ms')
def check_grace(context: Context, grace: int) -> None:
    """Check the time limits of a stop."""
    node = context.settings_result.unwrap().node
    assert node.accept_while_leaving_ms < node.drain_ms < grace
    assert node.drain_ms > grace * 5 / 6, node.drain_ms


@then('the problem names "{field}"')
def check_problem(context: Context, field: str) -> None:
    """Check the problem reported for an invalid file."""
    assert field in str(context.settings_result.failure()[0])


@given('a store with {count:d} upstreams and a configuration')
def start_store(context: Context, count: int) -> None:
    """Start a store and a source that reads it."""
    context.store = StandInStore()
    port = context.store.start()
    context.stack.callback(context.store.stop)
    context.store.put('op/config', config_document())
    for number in range(count):
        context.store.put(f'servers/i-{number}', upstream_entry(number + 1))
    context.source = StoreSource(
        Address('127.0.0.1', port), _ZONES, 7000, _EXPIRY_MS, _NODE_PORTS
    )
    context.known = {}


@when('the source is read')
def read_source(context: Context) -> None:
    """Read the VM list and the configuration, as a node does."""
    for key in ('vms', 'config'):
        read_value(context, key, 10)


def read_value(context: Context, key: str, wait_ms: int) -> None:
    """Read one value, waiting for a change."""
    answered = context.source.read(key, 0, wait_ms)
    assert isinstance(answered, Success), answered
    if answered.unwrap() is not None:
        context.known[key] = answered.unwrap()


@then('{count:d} upstreams are known')
def check_known(context: Context, count: int) -> None:
    """Count the listed upstreams."""
    found = context.known['vms'].content
    assert len(found) == count, found


@then('{count:d} upstreams and version {number:d} are known')
def check_known_version(context: Context, count: int, number: int) -> None:
    """Count the listed upstreams and check the configuration's version."""
    check_known(context, count)
    assert context.known['config'].version == number


@then('{count:d} upstreams are known, {leaving:d} of them leaving')
def check_known_leaving(context: Context, count: int, leaving: int) -> None:
    """Count the listed upstreams, and those that are leaving."""
    check_known(context, count)
    found = [
        details
        for vm in context.known['vms'].content
        for details in vm['details'].values()
        if details['leaving']
    ]
    assert len(found) == leaving


@then('{count:d} calls to the store were made')
def check_calls(context: Context, count: int) -> None:
    """Count the calls to the store."""
    assert context.source.call_count == count, context.store.calls


@when('an upstream starts to drain')
def start_draining(context: Context) -> None:
    """Write the entry of a draining upstream."""
    context.store.put('servers/i-0', upstream_entry(1, state='draining', seq=5))


@when('an upstream is removed')
def remove_one(context: Context) -> None:
    """Remove an entry."""
    context.store.remove('servers/i-0')


@when('all upstreams are removed')
def remove_all(context: Context) -> None:
    """Remove all entries."""
    for number in range(3):
        context.store.remove(f'servers/i-{number}')


@when(
    'all upstreams are removed, and the list in force has only {count:d} of'
    ' them'
)
def remove_seen(context: Context, count: int) -> None:
    """Remove all entries; other readers have seen most of them leave."""
    remove_all(context)
    plain = context.known['vms'].content[:count]
    text = json.dumps(plain)
    in_force = parse_vm_list(1, text, lambda _: None).unwrap()
    context.source.follow(lambda: in_force)


@when('{count:d} upstreams are registered again')
def register_again(context: Context, count: int) -> None:
    """Write entries again after their removal."""
    for number in range(count):
        context.store.put(f'servers/i-{number}', upstream_entry(number + 1))


@when('the store is down until entries may expire')
def take_store_down(context: Context) -> None:
    """Make calls fail until entries may have expired."""
    context.store.mode = 'down'
    end = monotonic_ms() + 2 * _EXPIRY_MS
    while monotonic_ms() < end:
        assert isinstance(context.source.read('vms', 0, 1), Failure)


@when('the store is up again')
def bring_store_up(context: Context) -> None:
    """Make calls succeed again."""
    context.store.mode = 'up'


@when('the grace period for removals ends')
def await_hold(context: Context) -> None:
    """Read until removals take effect again."""
    end = monotonic_ms() + 1000 * _HOLD_WAIT_S
    while monotonic_ms() < end:
        read_source(context)


@when('the store withholds changes from watches')
def withhold_changes(context: Context) -> None:
    """Make the store answer watches without changes."""
    context.store.mode = 'mute'


@when('the store has lost its history')
def lose_history(context: Context) -> None:
    """Make the store answer the next watch that its history is lost."""
    context.store.mode = 'lost'
    context.store.wake_watches()


@when('a configuration of version 8 is published')
def publish_next(context: Context) -> None:
    """Write the next configuration."""
    context.store.put('op/config', config_document('00000008'))


@when('an earlier start of the upstream overwrites the entry as draining')
def write_earlier_start(context: Context) -> None:
    """Write an entry of an earlier start."""
    older = upstream_entry(1, state='draining', born=1771376889000)
    context.store.put('servers/i-0', older)


@when('an entry is overwritten with bytes that are not JSON')
def overwrite_entry(context: Context) -> None:
    """Write an unreadable entry."""
    context.store.put('servers/i-0', b'\xff{')


@when('a watch of {wait:d} ms begins')
def begin_watch(context: Context, wait: int) -> None:
    """Read both values in the background, as the watches of a node do."""
    context.watches = [
        gevent.spawn(read_value, context, key, wait)
        for key in ('vms', 'config')
    ]
    gevent.sleep(_BEGIN_S)


@when('the store no longer answers calls')
def silence_store(context: Context) -> None:
    """Leave all calls without an answer, and note whether the source tells."""
    record_silence(context)
    context.store.mode = 'silent'


@when('the next call is not answered')
def silence_one_call(context: Context) -> None:
    """Leave one call that is yet to come without an answer."""
    record_silence(context)
    context.store.lose_next_answer()


def record_silence(context: Context) -> None:
    """Note whether the source tells of silence from now on."""
    context.told = []
    context.source.on_silence(lambda: context.told.append('silent'))
    context.silenced_at_ms = monotonic_ms()


@then('the watch fails within {most:d} ms, and the silence has been told')
def check_silence_told(context: Context, most: int) -> None:
    """Wait for the end of the watch."""
    left_ms = context.silenced_at_ms + most - monotonic_ms()
    gevent.joinall(context.watches, left_ms / _MS_PER_S)
    assert all(each.ready() for each in context.watches)
    assert context.told == ['silent'], context.told


@then('no silence has been told')
def check_silence_untold(context: Context) -> None:
    """Check that a lost answer was not taken for silence."""
    assert context.told == [], context.told


@when('open connections to the store go silent')
def silence_connections(context: Context) -> None:
    """Leave the calls in flight without an answer."""
    context.store.silence_calls()
    context.silenced_at_ms = monotonic_ms()


@then('the watch ends within {most:d} ms')
def check_watch_end(context: Context, most: int) -> None:
    """Count from the silence; the watch must have been answered."""
    left_ms = context.silenced_at_ms + most - monotonic_ms()
    gevent.joinall(context.watches, left_ms / _MS_PER_S)
    assert all(each.successful() for each in context.watches)


@then('{count:d} upstreams are known, or a configuration of version {number:d}')
def check_change(context: Context, count: int, number: int) -> None:
    """Check that the change is known."""
    has_list = len(context.known['vms'].content) == count
    assert has_list or context.known['config'].version == number
