"""The platform's configuration as it is written."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Annotated, Any, Final, TypeVar

import msgspec
from msgspec import Meta

_DEFAULT_CONNECTIONS: Final = 100
# What the decoder raises for bytes, types and nesting that do not fit.
UNREADABLE: Final = (msgspec.DecodeError, ValueError, RecursionError)

_SpecT = TypeVar('_SpecT')


class Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: Annotated[int, Meta(ge=0)]


class RouteSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A route.

    :param kind: what may be repeated.
    :param timeout: longest time that a request is kept waiting.
    :param target: time within which an answer is worth most.
    :param split: services by weight, instead of the one service.
    """

    host: str
    prefix: str
    kind: Any = msgspec.field(name='routeType', default='')
    timeout: str
    target: str = msgspec.field(name='targetLatency')
    priority: int = 0
    attempts: int = 1
    service: str = ''
    split: list[Weighted] = msgspec.field(name='trafficSplit', default=[])


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service.

    :param connections: that one upstream accepts from all callers together.
    """

    connections: int = msgspec.field(
        name='maxConnections', default=_DEFAULT_CONNECTIONS
    )


class LimitsSpec(msgspec.Struct, frozen=True):
    """What callers may do.

    :param body_bytes: largest body.
    :param idle: how long a connection may be unused.
    """

    body_bytes: int = msgspec.field(name='maxBodyBytes', default=0)
    idle: str = msgspec.field(name='idleTimeout', default='')


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ''


class _Resource(msgspec.Struct, frozen=True):
    """One part; its kind tells what the spec holds."""

    kind: str = msgspec.field(name='resourceType')
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Document(msgspec.Struct, frozen=True):
    version: str
    resources: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class Document:
    """A configuration whose parts are read one by one.

    :param refused: why parts without a readable name were left out.
    """

    version: str
    resources: tuple[_Resource, ...]
    refused: list[str] = field(default_factory=list)

    def specs(
        self,
        kind: str,
        spec_type: type[_SpecT],
    ) -> dict[str, _SpecT | None]:
        """Return the specs of one kind by name, none where unreadable.

        :param kind: ``routes``, ``services`` or ``limits``.
        :param spec_type: what such a spec holds.
        """
        found: dict[str, _SpecT | None] = {}
        for each in self.resources:
            if each.kind == kind:
                found[each.metadata.name] = self._read(each, spec_type)
        return found

    def _read(
        self,
        resource: _Resource,
        spec_type: type[_SpecT],
    ) -> _SpecT | None:
        try:
            return msgspec.json.decode(resource.spec, type=spec_type)
        except UNREADABLE as error:
            self.refused.append(
                f'{resource.kind} {resource.metadata.name!r}: {error}'
            )
        return None


def _decode(body: bytes) -> _Document:
    """Decode a document; text that is no Unicode spoils its own part only."""
    try:
        return msgspec.json.decode(body, type=_Document)
    except UNREADABLE:
        plain = json.loads(body.decode(errors='replace'))
    text = json.dumps(plain, ensure_ascii=False)
    return msgspec.json.decode(text.encode(errors='replace'), type=_Document)


def read_document(body: bytes) -> Document:
    """Return a document with all parts that name themselves.

    :param body: the value in the store.
    :raises ValueError: if it is no document with a version.
    """
    try:
        document = _decode(body)
    except UNREADABLE as error:
        raise ValueError(str(error)) from error
    resources = []
    refused = []
    for number, raw in enumerate(document.resources):
        try:
            resources.append(msgspec.json.decode(raw, type=_Resource))
        except UNREADABLE as error:
            refused.append(f'part {number}: {error}')
    return Document(document.version, tuple(resources), refused)


__all__ = (
    'UNREADABLE',
    'Document',
    'LimitsSpec',
    'RouteSpec',
    'ServiceSpec',
    'read_document',
)
