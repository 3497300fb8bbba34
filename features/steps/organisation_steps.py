"""Steps that publish organisations and check whose keys are whose."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import gevent
from behave import given, then, when

from features.steps.grown_config_steps import ticking
from features.steps.platform_steps import config_document, resource
from features.steps.tolerant_steps import ConfigNode, body_of, spec_of
from jackdawhead.config.credentials import key_digest
from jackdawhead.config.load import ConfigLoader
from jackdawhead.config.sources import SourceFile
from jackdawhead.node.entry.key_check import Caller, KeyCheck
from jackdawhead.node.entry.routing import RoutingController
from jackdawhead.node.pause_watch import PauseWatch
from standins.fleet import config_files
from standins.sites import HELVETIA

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.config.model import Config
    from jackdawhead.node.entry.requests import Refused

_VM = 'vm-1'


def tenant(name: str, *keys: str, **spec: Any) -> dict[str, Any]:
    """Return an organisation as the operator writes it."""
    return resource('tenants', name, apiKeys=list(keys), **spec)


def keyed_document(*tenants: dict[str, Any], **routes: Any) -> dict[str, Any]:
    """Return a configuration with organisations.

    :param routes: whether a route is public, by name; others are not.
    """
    document = config_document()
    for part in document['resources']:
        if part['resourceType'] == 'routes':
            name = part['metadata']['name']
            part['spec']['public'] = routes.get(name, False)
    document['resources'].extend(tenants)
    return document


class KeyedNode(ConfigNode):
    """Checks keys as a node does."""

    def __init__(self) -> None:
        super().__init__()
        audit: Any = None
        rng: Any = None
        self.routing = RoutingController(_VM, 'a', self.board, audit, rng)
        pauses = PauseWatch(_VM, audit)
        self.keys = KeyCheck(self.board, self.routing, pauses)

    @property
    def config(self) -> Config:
        """The active configuration."""
        return self.loaded.config

    def identify(self, credential: str = '', path: str = '/d/1') -> Any:
        """Return who sends a request."""
        environ = {
            'REQUEST_METHOD': 'GET',
            'RAW_URI': path,
            'HTTP_HOST': 'desk.example',
        }
        if credential:
            environ['HTTP_AUTHORIZATION'] = credential
        return self.keys.identify(environ)


@given(
    'a node with an organisation "{first}" of key "{first_key}" and "{second}"'
    ' of key "{second_key}"'
)
def start_node(
    context: Context, first: str, first_key: str, second: str, second_key: str
) -> None:
    """Publish a document with two organisations."""
    context.document = keyed_document(
        tenant(first, first_key), tenant(second, second_key)
    )
    context.node = KeyedNode()
    context.node.publish(7, context.document)


@when(
    'version {number:d} sets "{field}" of "{name}" to {json_text} and'
    ' "apiKeys" of "{other}" to {keys}'
)
def publish_changed(
    context: Context,
    number: int,
    field: str,
    name: str,
    json_text: str,
    other: str,
    keys: str,
) -> None:
    """Change two organisations."""
    spec_of(context, 'tenants', name)[field] = '@'
    spec_of(context, 'tenants', other)['apiKeys'] = json.loads(keys)
    body = body_of(number, context.document)
    context.node.load(body.replace(b'"@"', json_text.encode()))


@then('the keys "{keys}" belong to "{names}"')
def check_keys(context: Context, keys: str, names: str) -> None:
    """Identify a caller with each key."""
    found = ', '.join(
        _owner(context.node.identify(f'Token {key}'))
        for key in keys.split(', ')
    )
    assert found == names, found


def _owner(caller: Caller | Refused) -> str:
    return caller.organisation if isinstance(caller, Caller) else 'nobody'


@when('a node starts with a version in which {what}')
def start_with(context: Context, what: str) -> None:
    """Start a node that has had no version before."""
    context.node = KeyedNode()
    document = {
        'no organisation can be read': {
            **config_document(),
            'resources': [
                *config_document()['resources'],
                resource('tenants', 'acme', apiKeys=5),
            ],
        },
        'organisations are gone from its routes': keyed_document(),
        'there never were organisations': config_document(),
    }[what]
    context.node.publish(7, document)


@then('requests without a key are {verdict}')
def check_keyless(context: Context, verdict: str) -> None:
    """Identify callers without a usable key."""
    is_expected = verdict == 'served'
    for credential in ('', 'Token', 'Token ', 'Basic k-acme', 'k-acme'):
        caller = context.node.identify(credential)
        assert isinstance(caller, Caller) is is_expected, credential


@then('no problem contains "{text}"')
def check_hidden(context: Context, text: str) -> None:
    """Read all problems."""
    problems = context.node.loaded.rejected_entries
    assert problems
    assert text not in ' '.join(map(str, problems)), problems


@when('version {number:d} has {count:d} organisations with 2 keys each')
def publish_many(context: Context, number: int, count: int) -> None:
    """Publish many organisations, and see how long other greenlets wait."""
    context.document = keyed_document(
        *(
            tenant(f'o-{each}', f'k-{each}-0', f'k-{each}-1', ratePerS=5)
            for each in range(count)
        )
    )
    body = body_of(number, context.document)
    with ticking(context):
        context.node.load(body)
        gevent.sleep(0)
        context.node.identify('Token k-0-0')
    context.first = context.node.config


@when('version {number:d} takes the key "{key}" away')
def publish_without(context: Context, number: int, key: str) -> None:
    """Remove a key from the organisation that has it."""
    for part in context.document['resources']:
        keys = part['spec'].get('apiKeys', [])
        if key in keys:
            keys.remove(key)
    context.node.publish(number, context.document)


@then('{count:d} organisations are the same objects as before')
def check_same(context: Context, count: int) -> None:
    """Compare the identities of the organisations."""
    before = context.first.organisations
    found = context.node.config.organisations
    same = [name for name, each in found.items() if each is before[name]]
    assert len(same) == count, len(same)


def _load_own(context: Context, section: dict[str, Any] | None) -> None:
    """Load the files of a site with organisations."""
    files = config_files(HELVETIA.folder)
    if section is not None:
        more = {'headers': {'credential': 'X-Key'}, 'organisations': section}
        files['90-more.yaml'] = json.dumps(more)
    sources = tuple(SourceFile(name, text) for name, text in files.items())
    loaded = context.loader.load_valid_entries(sources, lambda: None)
    context.own = loaded.unwrap().config


def _digests(keys: str) -> list[str]:
    return [key_digest(key.encode()) for key in keys.split(', ')]


@given('own files with the keys "{first}" of "acme" and "{second}" of "bolt"')
def start_own(context: Context, first: str, second: str) -> None:
    """Load a first version."""
    context.loader = ConfigLoader()
    change_own(context, first, second)


@when('own files have the keys "{first}" of "acme" and "{second}" of "bolt"')
def change_own(context: Context, first: str, second: str) -> None:
    """Load a version with two organisations."""
    section = {
        'acme': {'key_digests': _digests(first)},
        'bolt': {'key_digests': _digests(second), 'rate_per_s': 9.5},
    }
    _load_own(context, section)


@when('own files have no organisation in the section')
def empty_own(context: Context) -> None:
    """Load a version with an empty section."""
    _load_own(context, {})


@when('own files have no section "organisations"')
def remove_own(context: Context) -> None:
    """Load a version without the section."""
    _load_own(context, None)


@then('the keys of "{name}" are "{keys}"')
def check_own(context: Context, name: str, keys: str) -> None:
    """Compare the digests."""
    found = context.own.organisations.get(name)
    assert found is not None, name
    assert found.key_digests == frozenset(_digests(keys)), found


@then('callers need {what}')
def check_need(context: Context, what: str) -> None:
    """Check whether requests without a key are refused."""
    assert context.own.requires_keys is (what == 'keys')
