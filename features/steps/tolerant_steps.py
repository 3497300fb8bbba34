"""Steps that publish configurations with faulty entries."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard
from jackdawhead.config.sources import SourceFile
from jackdawhead.node.config_controller import ConfigController
from jackdawhead.platform.translation import decode_document

from features.steps.platform_steps import document_of, resource, route

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.config.load import LoadedConfig

_ZONES = {'a': 'here', 'b': 'here'}


class Follower:
    """Takes in configurations as a node on the platform does."""

    def __init__(self) -> None:
        self.board = Blackboard()
        self._controller = ConfigController(self.board, AuditTrail())

    def publish(self, version: int, document: dict[str, Any]) -> None:
        """Offer a document under a version."""
        body = json.dumps({**document, 'version': f'{version:08x}'}).encode()
        published = decode_document(body, _ZONES).unwrap()
        sources = tuple(
            SourceFile(name, text) for name, text in published.plain.items()
        )
        self._controller.offer(published.version, sources, 'platform')

    @property
    def loaded(self) -> LoadedConfig:
        """What is in force."""
        loaded = self.board.config.read().loaded
        assert loaded is not None
        return loaded


def spec_of(context: Context, kind: str, name: str) -> dict[str, Any]:
    """Return the spec of a part of the document, to change it."""
    for part in context.document['resources']:
        if part['resourceType'] == kind and part['metadata']['name'] == name:
            spec: dict[str, Any] = part['spec']
            return spec
    raise AssertionError(name)


def add_route(context: Context, name: str, kind: str = 'idempotent') -> None:
    """Add a route of the service desk."""
    added = route(f'/{name}/', kind, service='desk')
    context.document['resources'].append(resource('routes', name, **added))


@given("a node that follows the platform's configuration of version {number:d}")
def follow(context: Context, number: int) -> None:
    """Publish a good document."""
    context.document = document_of()
    context.follower = Follower()
    context.follower.publish(number, context.document)
    context.first = context.follower.loaded


@when('version {number:d} adds the route "{name}" of kind "{kind}"')
def publish_kind(context: Context, number: int, name: str, kind: str) -> None:
    """Add a route."""
    add_route(context, name, kind)
    context.follower.publish(number, context.document)


@when(
    'version {number:d} adds "{name}" and sets "{field}" of the route'
    ' "{changed}" to {text}'
)
def publish_changed(
    context: Context,
    number: int,
    name: str,
    field: str,
    changed: str,
    text: str,
) -> None:
    """Add a route and change a field of another."""
    add_route(context, name)
    spec_of(context, 'routes', changed)[field] = json.loads(text)
    context.follower.publish(number, context.document)


@when('version {number:d} adds "{name}" and the part {text}')
def publish_part(context: Context, number: int, name: str, text: str) -> None:
    """Add a route and a part that is none."""
    add_route(context, name)
    context.document['resources'].append(json.loads(text))
    context.follower.publish(number, context.document)


@when(
    'version {number:d} adds "{name}" and spoils the service "{service}"'
    ' and all limits'
)
def publish_spoiled(
    context: Context, number: int, name: str, service: str
) -> None:
    """Add a route and spoil two other parts."""
    add_route(context, name)
    spec_of(context, 'services', service)['maxConnections'] = 'many'
    spec_of(context, 'limits', '')['idleTimeout'] = [1]
    context.follower.publish(number, context.document)


@then('version {number:d} is in force with the routes "{names}"')
def check_routes(context: Context, number: int, names: str) -> None:
    """Look at what is in force."""
    follower = context.follower
    assert follower.board.config.read().version == number
    found = ', '.join(sorted(follower.loaded.config.routes))
    assert found == names, (found, follower.loaded.refused)


@then('work of the routes "{names}" must not be repeated')
def check_unrepeated(context: Context, names: str) -> None:
    """Look at the kinds of work."""
    config = context.follower.loaded.config
    for name in names.split(', '):
        found = config.routes[name]
        operation = config.services[found.service].operations[found.operation]
        assert not operation.idempotent, name


@then('nothing of it is refused')
def check_whole(context: Context) -> None:
    """Look for refusals."""
    assert not context.follower.loaded.refused


@then('the refusal names "{field}"')
def check_refusal(context: Context, field: str) -> None:
    """Look for a refusal with a remedy."""
    refused = context.follower.loaded.refused
    named = [each for each in refused if each.field.startswith(field)]
    assert named, refused
    assert all(each.remedy for each in named)


@then('the route "{name}" is the one of version 7')
def check_former_route(context: Context, name: str) -> None:
    """Compare a route with the first one."""
    first = context.first.config
    config = context.follower.loaded.config
    assert config.routes[name] == first.routes[name]
    for service in config.routes[name].split:
        operation = config.routes[name].operation
        found = config.services[service].operations[operation]
        assert found == first.services[service].operations[operation]


@then('the service "{name}" and the limits are those of version 7')
def check_former_service(context: Context, name: str) -> None:
    """Compare a service and the limits with the first ones."""
    first = context.first.config
    config = context.follower.loaded.config
    assert config.services[name] == first.services[name]
    assert config.callers == first.callers


@then('a node that starts with version {number:d} has the same digest')
def check_digest(context: Context, number: int) -> None:
    """Let another node begin with the latest document."""
    other = Follower()
    other.publish(number, context.document)
    digest = context.follower.loaded.config.digest
    assert other.loaded.config.digest == digest
    assert other.loaded.config.routes != context.follower.loaded.config.routes
