"""Translates the platform's resources into the project's own entries."""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Final

import msgspec

from ..config.build import build_service
from ..config.credentials import key_digest
from ..config.entries import RouteEntry
from ..config.model import Operation, Route, Service, WorkClass
from ..config.organisation import Organisation
from ..config.schema import HOST_PATTERN, NAME_PATTERN
from ..json_parts import DECODE_ERRORS
from ..registry import Registry
from .config_document import (
    LimitsSpec,
    Resource,
    RouteSpec,
    ServiceSpec,
    TenantSpec,
)
from .formats import parse_duration_ms

if TYPE_CHECKING:
    from collections.abc import Mapping

# Expected run time as a share of the latency target until runs have been
# observed; the offices' data sheets give a fifth to a third.
_EXPECTED_TARGET_SHARE: Final = 0.3
_IDEMPOTENT_KINDS: Final = frozenset(('idempotent', 'download'))
# Also used for unknown kinds, whose requests must not be repeated.
_NON_IDEMPOTENT_KIND: Final = 'non_idempotent'
_KNOWN_KINDS: Final = _IDEMPOTENT_KINDS | {_NON_IDEMPOTENT_KIND, 'upload'}
# Upper limits of the project's own configuration schema.
_MAX_DURATION_MS: Final = 86_400_000
_MAX_PRIORITY: Final = 1000
_MAX_ATTEMPTS: Final = 100
_MAX_CONNECTIONS: Final = 100_000
_MAX_WEIGHT: Final = 1_000_000
_MAX_BODY_BYTES: Final = 1_099_511_627_776
_MIN_HEAD_BYTES: Final = 1024
_MAX_HEAD_BYTES: Final = 1_048_576
_ORGANISATIONS: Final = 'tenants'
_NAME: Final = re.compile(NAME_PATTERN)
_HOST: Final = re.compile(HOST_PATTERN)
_MAX_RATE: Final = 1e9
# Names of organisations are sent in a header.
_HEADER_TEXT: Final = re.compile('[!-~]{1,63}')
# Settings that the platform's operators cannot change; see
# docs/design/platform.md.
_SERVICE_POLICY: Final = {
    'slots_per_upstream': 1,
    'connections_per_upstream': 1,
    'healthy_floor_percent': 70,
    'balancer': 'least-risk',
    'detection': {'detector': 'none'},
    'retry': {
        'budget_percent': 12,
        'redirect_percent': 100,
        'max_attempts': 3,
        # Beyond the budget the platform allows a fleet about two resends per
        # node and service.
        'saved_resends': 2,
        'home_percent': 15,
    },
    'poison': {'max_crashes': 3},
    'operations': {},
}
# Settings that differ if the zones are in more than one region.
_REGIONS_POLICY: Final = {'balancer': 'nearest', 'subset': 'even'}


@dataclass(frozen=True, slots=True)
class Part:
    """A translated resource.

    :param kind: kind of the resource, empty if it has none.
    :param entry: the project's own entry, none if it cannot be used.
    :param cause: why it cannot be used.
    """

    kind: str
    name: str
    entry: Any = None
    cause: str = ''


class _PartlyFaultyError(ValueError):
    """A part of a resource can't be used.

    :param cause: what is wrong.
    :param entry: the entry without that part.
    """

    def __init__(self, cause: str, entry: Any) -> None:
        super().__init__(cause)
        self.entry = entry


class _Translation(ABC):
    """Translates resources of one kind.

    :param policy: what all services have in common.
    """

    def __init__(self, policy: Service) -> None:
        self._policy = policy

    @abstractmethod
    def translate(self, name: str, text: msgspec.Raw) -> Any:
        """Return the entry of a resource.

        :param name: name of the resource.
        :param text: its spec as JSON.
        :raises ValueError: if a name or a duration is malformed.
        """


_TRANSLATIONS: Final[Registry[_Translation]] = Registry('kind of resource')


class ResourceTranslator:
    """Translates one resource at a time.

    :param zones: region of each of the zones that all services run in.
    :param admission: admission rule of all services.
    """

    def __init__(self, zones: Mapping[str, str], admission: str) -> None:
        plain = {
            **_SERVICE_POLICY,
            'zones': sorted(zones),
            'queue': {'admission': admission},
        }
        if len(frozenset(zones.values())) > 1:
            plain |= _REGIONS_POLICY
        policy = build_service('', plain)
        self._by_kind = {
            kind: _TRANSLATIONS.find(kind).unwrap()(policy)
            for kind in _TRANSLATIONS.names()
        }

    def translate(self, text: bytes) -> Part:
        """Return the entry of a resource; those of unknown kinds have none.

        :param text: the resource as JSON.
        """
        try:
            resource = msgspec.json.decode(text, type=Resource)
        except DECODE_ERRORS as error:
            # Callers of an organisation that can't be read have keys, too.
            kind = _ORGANISATIONS if _ORGANISATIONS.encode() in text else ''
            return Part(kind, '', cause=str(error))
        kind, name = resource.kind, resource.metadata.name
        translation = self._by_kind.get(kind)
        if translation is None:
            return Part('', name)
        try:
            return Part(kind, name, translation.translate(name, resource.spec))
        except _PartlyFaultyError as error:
            return Part(kind, name, error.entry, str(error))
        except DECODE_ERRORS as error:
            return Part(kind, name, cause=str(error))


@_TRANSLATIONS.register('routes')
class _RouteTranslation(_Translation):
    """Translates routes.

    Routes of the same kind, priority and target share an operation, so that
    statistics of the operation survive changes to the routes.
    """

    def translate(self, name: str, text: msgspec.Raw) -> RouteEntry:
        spec = msgspec.json.decode(text, type=RouteSpec)
        host = spec.host.lower()
        _check(_NAME.match(name), f'{name!r} is not a valid name')
        _check(_HOST.fullmatch(host), f'{host!r} is not a valid host')
        _check(spec.prefix.startswith('/'), 'the prefix starts with no slash')
        operation = _operation_of(spec)
        timeout_ms = parse_duration_ms(spec.timeout)
        split = {
            each.service: min(each.weight, _MAX_WEIGHT) for each in spec.split
        }
        route = Route(
            name,
            next(iter(split), spec.service),
            operation.name,
            spec.prefix,
            host=host,
            timeout_ms=_clamp(timeout_ms, _MAX_DURATION_MS),
            max_attempts=_clamp(spec.attempts, _MAX_ATTEMPTS),
            split=split,
            is_public=bool(spec.public),
        )
        deadline_ms = max(operation.deadline_ms, route.timeout_ms)
        return RouteEntry(
            route,
            replace(operation, deadline_ms=deadline_ms),
            requires_key=spec.public is False,
        )


@_TRANSLATIONS.register('services')
class _ServiceTranslation(_Translation):
    """Translates services."""

    def translate(self, name: str, text: msgspec.Raw) -> Service:
        spec = msgspec.json.decode(text, type=ServiceSpec)
        _check(_NAME.match(name), f'{name!r} is not a valid name')
        return replace(
            self._policy,
            name=name,
            connections_per_upstream=_clamp(spec.connections, _MAX_CONNECTIONS),
        )


@_TRANSLATIONS.register(_ORGANISATIONS)
class _OrganisationTranslation(_Translation):
    """Translates organisations; a key that can't be used is left out."""

    def translate(self, name: str, text: msgspec.Raw) -> Organisation:
        spec = msgspec.json.decode(text, type=TenantSpec)
        keys = [each for each in spec.keys if isinstance(each, str) and each]
        _check(_HEADER_TEXT.fullmatch(name), f'{name!r} is not a valid name')
        _check(spec.rate_per_s >= 0, 'the rate is negative')
        _check(spec.burst >= 0, 'the burst is negative')
        priority = spec.priority
        if priority is not None:
            priority = min(max(0, priority), _MAX_PRIORITY)
        organisation = Organisation(
            name,
            frozenset(key_digest(key.encode()) for key in keys),
            priority,
            min(spec.rate_per_s, _MAX_RATE),
            min(spec.burst, _MAX_RATE),
        )
        if len(keys) < len(spec.keys):
            raise _PartlyFaultyError('a key is not a text', organisation)
        return organisation


@_TRANSLATIONS.register('limits')
class _LimitsTranslation(_Translation):
    """Translates limits of callers, of which an invalid one is none."""

    def translate(self, name: str, text: msgspec.Raw) -> dict[str, int | None]:
        spec = msgspec.json.decode(text, type=LimitsSpec)
        limits: dict[str, int | None] = {}
        if spec.body_bytes:
            limits['max_body_bytes'] = _clamp(spec.body_bytes, _MAX_BODY_BYTES)
        if spec.head_bytes:
            limits['max_head_bytes'] = min(
                max(_MIN_HEAD_BYTES, spec.head_bytes), _MAX_HEAD_BYTES
            )
        for name, text_of in (('head_ms', spec.head), ('idle_ms', spec.idle)):
            if text_of:
                limits[name] = _duration_or_none(text_of)
        return limits


def _duration_or_none(text: str) -> int | None:
    try:
        duration_ms = parse_duration_ms(text)
    except ValueError:
        return None
    return _clamp(duration_ms, _MAX_DURATION_MS)


def _operation_of(spec: RouteSpec) -> Operation:
    target_ms = _clamp(parse_duration_ms(spec.target), _MAX_DURATION_MS)
    is_known = isinstance(spec.kind, str) and spec.kind in _KNOWN_KINDS
    kind = spec.kind if is_known else _NON_IDEMPOTENT_KIND
    priority = min(max(0, spec.priority), _MAX_PRIORITY)
    return Operation(
        f'{kind}-{priority}-{target_ms}',
        idempotent=kind in _IDEMPOTENT_KINDS,
        work_class=WorkClass.SHORT,
        deadline_ms=target_ms,
        expected_ms=max(1, int(target_ms * _EXPECTED_TARGET_SHARE)),
        target_ms=target_ms,
        priority=priority,
    )


def _check(condition: object, cause: str) -> None:
    if not condition:
        raise ValueError(cause)


def _clamp(number: int, upper: int) -> int:
    return min(max(1, number), upper)


__all__ = ('Part', 'ResourceTranslator')
