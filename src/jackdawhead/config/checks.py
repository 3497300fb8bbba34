"""Checks a merged tree against its schema and its cross references."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from jsonschema import Draft202012Validator

from ..policy.admissions import ADMISSIONS
from ..policy.balancers import BALANCERS
from ..policy.detectors import DETECTORS
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
        'write a value of that type; times are whole milliseconds, no unit'
    ),
    'maximum': 'lower the value',
    'minimum': 'raise the value',
    'enum': 'choose one of the listed values',
    'pattern': 'write it in that form',
}


def check_schema(tree: MergedTree, schema: Schema) -> tuple[Problem, ...]:
    """Return every breach of a schema, each with its place.

    :param tree: the merged files.
    :param schema: JSON schema, draft 2020-12.
    """
    validator = Draft202012Validator(schema)
    breaches = sorted(validator.iter_errors(tree.plain), key=_path_of)
    return tuple(_problem(tree, breach) for breach in breaches)


def check_references(tree: MergedTree) -> tuple[Problem, ...]:
    """Return names that refer to nothing and rules that contradict another.

    :param tree: merged files that fit the schema.
    """
    return (
        *_check_zones(tree),
        *_check_routes(tree),
        *_check_deadlines(tree),
        *_check_rules(tree),
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
                    f'names the unknown zone {zone!r}',
                    'declare it under `zones`',
                )


def _check_routes(tree: MergedTree) -> Iterator[Problem]:
    services = _section(tree, 'services')
    seen: dict[str, str] = {}
    for name, route in _section(tree, 'routes').items():
        path = f'routes.{name}'
        yield from _check_services_of(tree, path, route, services)
        target = ' '.join(
            (
                route.get('host', ''),
                route.get('method', ''),
                route['path_prefix'],
            )
        ).strip()
        rival = seen.get(target)
        if rival is not None:
            yield Problem(
                tree.place_of(path),
                path,
                f'matches {target!r} as route {rival!r} does',
                'keep one of the two',
            )
        seen[target] = name


def _check_services_of(
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
                f'names the unknown service {name!r}',
                'declare it under `services`',
            )
        elif route['operation'] not in service['operations']:
            yield Problem(
                tree.place_of(f'{path}.operation'),
                f'{path}.operation',
                f'names the unknown operation {route["operation"]!r}',
                f'declare it in services.{name}',
            )


def _check_deadlines(tree: MergedTree) -> Iterator[Problem]:
    for name, service in _section(tree, 'services').items():
        for operation_name, operation in service['operations'].items():
            path = f'services.{name}.operations.{operation_name}'
            if operation.get('expected_ms', 1) > operation['deadline_ms']:
                yield Problem(
                    tree.place_of(path),
                    f'{path}.expected_ms',
                    'is above deadline_ms',
                    'raise the deadline',
                )


def _check_rules(tree: MergedTree) -> Iterator[Problem]:
    for name, service in _section(tree, 'services').items():
        chosen = (
            ('balancer', service.get('balancer'), BALANCERS),
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
        for field, rule, registry in chosen:
            path = f'services.{name}.{field}'
            if rule is not None and rule not in registry.names():
                known = ', '.join(registry.names())
                yield Problem(
                    tree.place_of(path),
                    path,
                    f'names the unknown rule {rule!r}',
                    f'choose one of: {known}',
                )


def _section(tree: MergedTree, name: str) -> dict[str, Any]:
    section = tree.plain.get(name, {})
    return section if isinstance(section, dict) else {}


def _path_of(breach: ValidationError) -> list[str]:
    return [str(part) for part in breach.absolute_path]


def _problem(tree: MergedTree, breach: ValidationError) -> Problem:
    path = '.'.join(_path_of(breach))
    if 'propertyNames' in breach.absolute_schema_path:
        path = f'{path}.{breach.instance}'
    field = path
    if breach.validator == 'additionalProperties' and isinstance(
        breach.instance, dict
    ):
        schema = breach.schema if isinstance(breach.schema, dict) else {}
        known = schema.get('properties', {})
        unknown = sorted(set(breach.instance) - set(known))
        field = '.'.join(filter(None, (path, unknown[0])))
    remedy = _REMEDIES.get(str(breach.validator), 'correct the value')
    return Problem(tree.place_of(field), field, breach.message, remedy)


__all__ = ('check_references', 'check_schema')
