"""Steps that publish configurations with faulty entries."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from features.steps.platform_steps import config_document, resource, route
from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard
from jackdawhead.config.sources import SourceFile
from jackdawhead.node.config_controller import ConfigController
from jackdawhead.platform.document_loader import (
    DocumentLoader,
    decode_document,
)

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.config.load import LoadedConfig

_ZONES = {'a': 'here', 'b': 'here'}


class ConfigNode:
    """Loads published configurations as a node on the platform does."""

    def __init__(self) -> None:
        self.board = Blackboard()
        self._controller = ConfigController(self.board, AuditTrail())
        self._controller.loader = DocumentLoader(_ZONES)

    def publish(self, version: int, document: dict[str, Any]) -> None:
        """Publish a document under a version."""
        self.load(body_of(version, document))

    def load(self, body: bytes) -> None:
        """Load a document as it is in the store."""
        published = decode_document(body).unwrap()
        sources = tuple(
            SourceFile(name, text) for name, text in published.content.items()
        )
        self._controller.offer(published.version, sources, 'platform')

    @property
    def loaded(self) -> LoadedConfig:
        """The active configuration."""
        loaded = self.board.config.read().loaded
        assert loaded is not None
        return loaded


def body_of(version: int, document: dict[str, Any]) -> bytes:
    """Return a document as it is in the store."""
    return json.dumps({**document, 'version': f'{version:08x}'}).encode()


def spec_of(context: Context, kind: str, name: str) -> dict[str, Any]:
    """Return the spec of a resource in the document, to modify it."""
    for part in context.document['resources']:
        if part['resourceType'] == kind and part['metadata']['name'] == name:
            spec: dict[str, Any] = part['spec']
            return spec
    raise AssertionError(name)


def add_route(context: Context, name: str, kind: str = 'idempotent') -> None:
    """Add a route to the service "desk"."""
    added = route(f'/{name}/', kind, service='desk')
    context.document['resources'].append(resource('routes', name, **added))


@given("a node with version {number:d} of the platform's configuration")
def start_node(context: Context, number: int) -> None:
    """Publish a valid document."""
    context.document = config_document()
    context.node = ConfigNode()
    context.node.publish(number, context.document)
    context.first = context.node.loaded


@when('version {number:d} adds the route "{name}" of kind "{kind}"')
def publish_kind(context: Context, number: int, name: str, kind: str) -> None:
    """Add a route and publish the document."""
    add_route(context, name, kind)
    context.node.publish(number, context.document)


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
    """Add a route and change a field of another one."""
    add_route(context, name)
    spec_of(context, 'routes', changed)[field] = json.loads(text)
    context.node.publish(number, context.document)


@when('version {number:d} adds "{name}" and the resource {text}')
def publish_resource(
    context: Context, number: int, name: str, text: str
) -> None:
    """Add a route and an invalid resource."""
    add_route(context, name)
    context.document['resources'].append(json.loads(text))
    context.node.publish(number, context.document)


@when(
    'version {number:d} adds "{name}" and makes the service "{service}"'
    ' and the limits invalid'
)
def publish_invalid(
    context: Context, number: int, name: str, service: str
) -> None:
    """Add a route and make two other resources invalid."""
    add_route(context, name)
    spec_of(context, 'services', service)['maxConnections'] = 'many'
    spec_of(context, 'limits', '')['idleTimeout'] = [1]
    context.node.publish(number, context.document)


@then('version {number:d} is active with the routes "{names}"')
def check_routes(context: Context, number: int, names: str) -> None:
    """Check version and routes of the active configuration."""
    node = context.node
    assert node.board.config.read().version == number
    found = ', '.join(sorted(node.loaded.config.routes))
    assert found == names, (found, node.loaded.rejected_entries)


@then('the operations of the routes "{names}" are not idempotent')
def check_not_idempotent(context: Context, names: str) -> None:
    """Check the operation of each route."""
    config = context.node.loaded.config
    for name in names.split(', '):
        found = config.routes[name]
        operation = config.services[found.service].operations[found.operation]
        assert not operation.idempotent, name


@then('no entry is rejected')
def check_none_rejected(context: Context) -> None:
    """Check that there are no problems."""
    assert not context.node.loaded.rejected_entries


@then('a problem with a remedy is reported for "{field}"')
def check_problem(context: Context, field: str) -> None:
    """Check the problems of the active configuration."""
    refused = context.node.loaded.rejected_entries
    named = [each for each in refused if each.field.startswith(field)]
    assert named, refused
    assert all(each.remedy for each in named)


@then('the route "{name}" is unchanged since version 7')
def check_unchanged_route(context: Context, name: str) -> None:
    """Compare a route and its operations with the first version."""
    first = context.first.config
    config = context.node.loaded.config
    assert config.routes[name] == first.routes[name]
    for service in config.routes[name].split:
        operation = config.routes[name].operation
        found = config.services[service].operations[operation]
        assert found == first.services[service].operations[operation]


@then('the service "{name}" and the limits are unchanged since version 7')
def check_unchanged_service(context: Context, name: str) -> None:
    """Compare a service and the limits with the first version."""
    first = context.first.config
    config = context.node.loaded.config
    found, expected = config.services[name], first.services[name]
    # Services share the operations of all routes, also of new ones.
    assert found.operations.items() >= expected.operations.items()
    assert replace(found, operations=expected.operations) == expected
    assert config.callers == first.callers


@then('a node that starts with version {number:d} has the same digest')
def check_digest(context: Context, number: int) -> None:
    """Compare with a node that has never had an earlier version."""
    other = ConfigNode()
    other.publish(number, context.document)
    digest = context.node.loaded.config.digest
    assert other.loaded.config.digest == digest
    assert other.loaded.config.routes != context.node.loaded.config.routes
