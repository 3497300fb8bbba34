"""Validates a merged tree against its schema and its cross-references."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from jsonschema import Draft202012Validator

from ..policy.admissions import ADMISSIONS
from ..policy.balancers import BALANCERS
from ..policy.detectors import DETECTORS
from ..policy.subset_rules import SUBSET_RULES
from .credentials import key_id
from .problems import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jsonschema.exceptions import ValidationError

    from .merge import MergedTree
    from .schema import Schema

_REMEDIES: Final[dict[str, str]] = {
    'additionalProperties': (
        'check the spelling; docs/reference/configuration.md lists the fields'
    ),
    'required': 'add the missing field',
    'type': (
        'use a value of that type; write times in whole milliseconds, '
        'without a unit'
    ),
    'maximum': 'lower the value',
    'minimum': 'raise the value',
    'enum': 'choose one of the listed values',
    'pattern': 'change the value so that it matches the pattern',
}

_QUOTING: Final = frozenset(('type', 'pattern', 'uniqueItems'))


def check_schema(tree: MergedTree, schema: Schema) -> tuple[Problem, ...]:
    """Return a problem, with its place, for each violation of a schema.

    :param tree: the merged files.
    :param schema: JSON schema, draft 2020-12.
    """
    validator = Draft202012Validator(schema)
    violations = sorted(validator.iter_errors(tree.plain), key=_path_of)
    return tuple(_to_problem(tree, violation) for violation in violations)


def check_references(tree: MergedTree) -> tuple[Problem, ...]:
    """Return problems that a schema cannot express.

    These are unknown zones, services, operations and rules, routes that match
    the same requests, run times above their deadline, keys of several
    organisations, and organisations without a header for keys.

    :param tree: merged files that conform to the schema.
    """
    return (
        *_check_zones(tree),
        *_check_routes(tree),
        *_check_deadlines(tree),
        *_check_rules(tree),
        *_check_organisations(tree),
    )


def _check_zones(tree: MergedTree) -> Iterator[Problem]:
    zones = _section(tree, 'zones')
    for name, service in _section(tree, 'services').items():
        for zone in service['zones']:
            if zone not in zones:
                path = f'services.{name}.zones'
                yield Problem(
                    tree.place_of(path),
                    path,
                    f'refers to unknown zone {zone!r}',
                    'declare the zone under `zones`',
                )


def _check_routes(tree: MergedTree) -> Iterator[Problem]:
    services = _section(tree, 'services')
    routes_by_pattern: dict[str, str] = {}
    for name, route in _section(tree, 'routes').items():
        path = f'routes.{name}'
        yield from _check_route_services(tree, path, route, services)
        pattern = ' '.join(
            (
                route.get('host', ''),
                route.get('method', ''),
                route['path_prefix'],
            )
        ).strip()
        duplicate = routes_by_pattern.get(pattern)
        if duplicate is not None:
            yield Problem(
                tree.place_of(path),
                path,
                f'matches {pattern!r}, like route {duplicate!r}',
                'remove one of the two routes',
            )
        routes_by_pattern[pattern] = name


def _check_route_services(
    tree: MergedTree,
    path: str,
    route: dict[str, Any],
    services: dict[str, Any],
) -> Iterator[Problem]:
    for name in route.get('split', (route['service'],)):
        service = services.get(name)
        if service is None:
            yield Problem(
                tree.place_of(f'{path}.service'),
                f'{path}.service',
                f'refers to unknown service {name!r}',
                'declare the service under `services`',
            )
        elif route['operation'] not in service['operations']:
            yield Problem(
                tree.place_of(f'{path}.operation'),
                f'{path}.operation',
                f'refers to unknown operation {route["operation"]!r}',
                f'declare the operation in services.{name}.operations',
            )


def _check_deadlines(tree: MergedTree) -> Iterator[Problem]:
    for name, service in _section(tree, 'services').items():
        for operation_name, operation in service['operations'].items():
            path = f'services.{name}.operations.{operation_name}'
            if operation.get('expected_ms', 1) > operation['deadline_ms']:
                yield Problem(
                    tree.place_of(path),
                    f'{path}.expected_ms',
                    f'is {operation["expected_ms"]}, above deadline_ms '
                    f'({operation["deadline_ms"]})',
                    'raise deadline_ms or lower expected_ms',
                )


def _check_rules(tree: MergedTree) -> Iterator[Problem]:
    for name, service in _section(tree, 'services').items():
        configured_rules = (
            ('balancer', service.get('balancer'), BALANCERS),
            ('subset', service.get('subset'), SUBSET_RULES),
            (
                'queue.admission',
                service.get('queue', {}).get('admission'),
                ADMISSIONS,
            ),
            (
                'detection.detector',
                service.get('detection', {}).get('detector'),
                DETECTORS,
            ),
        )
        for field, rule, registry in configured_rules:
            path = f'services.{name}.{field}'
            if rule is not None and rule not in registry.names():
                known = ', '.join(registry.names())
                yield Problem(
                    tree.place_of(path),
                    path,
                    f'refers to unknown rule {rule!r}',
                    f'choose one of: {known}',
                )


def _check_organisations(tree: MergedTree) -> Iterator[Problem]:
    organisations = _section(tree, 'organisations')
    if organisations and not _section(tree, 'headers').get('credential'):
        yield Problem(
            tree.place_of('organisations'),
            'headers',
            'has no `credential`, the header with the key of an organisation',
            'set headers.credential',
        )
    names_by_key: dict[str, list[str]] = {}
    for name, organisation in organisations.items():
        for digest in organisation['key_digests']:
            names_by_key.setdefault(digest, []).append(name)
    for digest, names in names_by_key.items():
        for name in names if len(names) > 1 else ():
            path = f'organisations.{name}'
            yield Problem(
                tree.place_of(path),
                path,
                f'claims the key {key_id(digest)}, like another organisation',
                'leave the key to one organisation',
            )


def _section(tree: MergedTree, name: str) -> dict[str, Any]:
    section = tree.plain.get(name, {})
    return section if isinstance(section, dict) else {}


def _path_of(violation: ValidationError) -> list[str]:
    return [str(part) for part in violation.absolute_path]


def _to_problem(tree: MergedTree, violation: ValidationError) -> Problem:
    path = '.'.join(_path_of(violation))
    if 'propertyNames' in violation.absolute_schema_path:
        path = f'{path}.{violation.instance}'
    field = path
    if violation.validator == 'additionalProperties' and isinstance(
        violation.instance, dict
    ):
        schema = violation.schema if isinstance(violation.schema, dict) else {}
        known = schema.get('properties', {})
        unknown = sorted(set(violation.instance) - set(known))
        field = '.'.join(filter(None, (path, unknown[0])))
    remedy = _REMEDIES.get(str(violation.validator), 'correct the value')
    message = violation.message
    if path.startswith('organisations') and violation.validator in _QUOTING:
        # It could quote a key that is given in the place of its digest.
        message = 'is malformed'
    return Problem(tree.place_of(field), field, message, remedy)


__all__ = ('check_references', 'check_schema')
