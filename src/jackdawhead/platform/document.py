"""The platform's configuration as it is written."""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta

_DEFAULT_CONNECTIONS: Final = 100


class Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: Annotated[int, Meta(ge=0)]


class RouteSpec(msgspec.Struct, frozen=True):
    """A route.

    :param kind: what may be repeated.
    :param timeout: longest time that a request is kept waiting.
    :param target: time within which an answer is worth most.
    :param split: services by weight, instead of the one service.
    """

    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'download'] = msgspec.field(
        name='routeType'
    )
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


class Document(msgspec.Struct, frozen=True):
    version: str
    resources: list[_Resource]

    def specs(self, kind: str) -> dict[str, msgspec.Raw]:
        """Return the specs of one kind by name.

        :param kind: ``routes``, ``services`` or ``limits``.
        """
        return {
            each.metadata.name: each.spec
            for each in self.resources
            if each.kind == kind
        }


__all__ = ('Document', 'LimitsSpec', 'RouteSpec', 'ServiceSpec')
