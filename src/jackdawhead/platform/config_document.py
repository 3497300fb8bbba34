"""Parses the configuration document that the platform publishes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta

from ..json_parts import DECODE_ERRORS, decode_parts

_DEFAULT_MAX_CONNECTIONS: Final = 100


class WeightedService(msgspec.Struct, frozen=True):
    """A service's share of a route's traffic."""

    service: str
    weight: Annotated[int, Meta(ge=0)]


class RouteSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A route as the platform writes it.

    :param kind: route type, which decides whether requests may be repeated.
    :param timeout: request timeout, for example ``1500ms``.
    :param target: latency target; answers within it are worth most.
    :param split: weighted services that replace the single ``service``.
    :param public: whether requests need no key; written only where
        configurations have tenants.
    """

    host: str
    prefix: str
    kind: Any = msgspec.field(name='routeType', default='')
    timeout: str
    target: str = msgspec.field(name='targetLatency')
    priority: int = 0
    attempts: int = 1
    service: str = ''
    split: list[WeightedService] = msgspec.field(
        name='trafficSplit', default=[]
    )
    public: bool | None = None


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service as the platform writes it.

    :param connections: connections that one upstream accepts from all
        callers together.
    """

    connections: int = msgspec.field(
        name='maxConnections', default=_DEFAULT_MAX_CONNECTIONS
    )


class TenantSpec(msgspec.Struct, frozen=True):
    """An organisation as the platform writes it.

    :param keys: keys of its callers, decoded one by one.
    :param priority: rank of its requests, none for that of the routes.
    """

    keys: list[Any] = msgspec.field(name='apiKeys')
    priority: int | None = None
    rate_per_s: float = msgspec.field(name='ratePerS', default=0)
    burst: float = 0


class LimitsSpec(msgspec.Struct, frozen=True):
    """Limits for callers.

    :param body_bytes: largest request body, 0 for the default.
    :param head_bytes: largest head of a request, 0 for the default.
    :param head: longest time for a head, for example ``5000ms``; empty for the
        default.
    :param idle: idle timeout of a connection, for example ``15000ms``; empty
        for the default.
    """

    body_bytes: int = msgspec.field(name='maxBodyBytes', default=0)
    head_bytes: int = msgspec.field(name='maxHeaderBytes', default=0)
    head: str = msgspec.field(name='headerTimeout', default='')
    idle: str = msgspec.field(name='idleTimeout', default='')


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ''


class Resource(msgspec.Struct, frozen=True):
    """One resource; ``kind`` determines the type of ``spec``."""

    kind: str = msgspec.field(name='resourceType')
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Document(msgspec.Struct, frozen=True):
    version: str
    resources: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class Document:
    """A configuration whose resources are decoded one by one.

    :param version: version as the platform writes it.
    :param resources: JSON text of each resource.
    """

    version: str
    resources: tuple[bytes, ...]


def read_document(body: bytes | str) -> Document:
    """Parse a document.

    :param body: the value in the store.
    :raises ValueError: if it is not a document with a version.
    """
    try:
        document = decode_parts(body, _Document)
    except DECODE_ERRORS as error:
        raise ValueError(str(error)) from error
    return Document(document.version, tuple(map(bytes, document.resources)))


__all__ = (
    'Document',
    'LimitsSpec',
    'Resource',
    'RouteSpec',
    'ServiceSpec',
    'TenantSpec',
    'read_document',
)
