"""Builds a configuration from entries that were decoded one by one.

Operators publish one document for all services. One faulty entry must not
block the changes of all others: it keeps its last accepted form, or is left out
if it has none. Unchanged services keep their objects, so that nothing that
follows them has to be updated.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, Final

from .load import LoadedConfig
from .merge import MergedTree
from .model import (
    CallerPolicy,
    Config,
    HeaderNames,
    Operation,
    Route,
    Service,
    WorkClass,
    Zone,
)
from .organisation_entries import OrganisationMerger
from .problems import Place, Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from .organisation import Organisation

_REMEDY: Final = 'correct the entry; its last valid form is used meanwhile'
# A service has at least one operation; no route uses this one.
_UNUSED: Final = Operation(
    'unused',
    idempotent=False,
    work_class=WorkClass.SHORT,
    deadline_ms=1,
    expected_ms=1,
)
_NO_CONFIG: Final = Config('', {}, {}, {})


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route, and the operation that its requests belong to.

    Routes with the same operation share it; its deadline is the longest.

    :param requires_key: whether the operator wrote that the route isn't public.
    """

    route: Route
    operation: Operation
    requires_key: bool = False


@dataclass(slots=True)
class Entries:
    """Entries of one published configuration.

    An entry that cannot be used is ``None``, with a problem.

    :param digest: hash of the published content as 32 hexadecimal digits.
    :param services: services without operations: they share those of all
        routes.
    :param limits: limits of callers, by field of :class:`CallerPolicy`.
    :param requires_keys: whether callers need the key of an organisation.
    """

    digest: str
    routes: dict[str, RouteEntry | None] = field(default_factory=dict)
    services: dict[str, Service | None] = field(default_factory=dict)
    limits: dict[str, int | None] = field(default_factory=dict)
    organisations: dict[str, Organisation | None] = field(default_factory=dict)
    requires_keys: bool = False
    problems: list[Problem] = field(default_factory=list)

    def reject(self, path: str, cause: str) -> None:
        """Add a problem.

        :param path: section and name of the entry, or its field.
        :param cause: what is wrong.
        """
        self.problems.append(Problem(Place('(document)'), path, cause, _REMEDY))

    def reject_organisation(self, name: str, cause: str) -> None:
        """Add a problem with a key of an organisation.

        :param name: name of the organisation.
        :param cause: what is wrong.
        """
        self.reject(f'organisations.{name}', cause)


class EntryMerger:
    """Builds successive versions of a configuration.

    :param zones: the zones of the fleet.
    :param headers: names of the headers.
    :param callers: options of the responses, before any limits.
    """

    def __init__(
        self,
        zones: Mapping[str, Zone],
        headers: HeaderNames,
        callers: CallerPolicy,
    ) -> None:
        self._base = Config('', dict(zones), {}, {}, headers, callers)
        self._operations: dict[str, Operation] = {}
        self.last = _NO_CONFIG

    def merge(
        self, entries: Entries, on_step: Callable[[], None]
    ) -> LoadedConfig:
        """Return the configuration with the valid entries.

        :param entries: decoded entries.
        :param on_step: called after each entry; may let other work run.
        """
        names = {
            name
            for name, service in entries.services.items()
            if service is not None or name in self.last.services
        }
        routes = self._merge_routes(entries, names, on_step)
        operations = self._merge_operations(entries, routes)
        services: dict[str, Service] = {}
        for name in sorted(names):
            on_step()
            service = entries.services[name] or self.last.services[name]
            services[name] = self._with_operations(service, operations)
        callers = self._merge_limits(entries)
        self.last = replace(
            self._base,
            digest=entries.digest,
            services=services,
            routes=routes,
            callers=callers,
            organisations=OrganisationMerger(
                entries.organisations, self.last.organisations, on_step
            ).merge(entries.reject_organisation),
            requires_keys=entries.requires_keys,
        )
        return LoadedConfig(self.last, MergedTree({}), tuple(entries.problems))

    def _merge_routes(
        self,
        entries: Entries,
        services: set[str],
        on_step: Callable[[], None],
    ) -> dict[str, Route]:
        chosen = _ChosenRoutes(services)
        for name, entry in entries.routes.items():
            on_step()
            if entry is not None:
                cause = chosen.add(entry.route)
                if cause:
                    entries.reject(f'routes.{name}', cause)
        for name in entries.routes.keys() - chosen.routes.keys():
            last = self.last.routes.get(name)
            if last is not None:
                chosen.add(last)
        return chosen.routes

    def _merge_operations(
        self, entries: Entries, routes: dict[str, Route]
    ) -> dict[str, Operation]:
        """Return the operations of all routes, the same object if unchanged."""
        operations: dict[str, Operation] = {}
        for entry in entries.routes.values():
            if entry is not None:
                _add_operation(operations, entry.operation)
        for name in _operations_of(routes) - operations.keys():
            # That of a route in its last accepted form.
            operations[name] = self._operations[name]
        operations = operations or {_UNUSED.name: _UNUSED}
        if operations != self._operations:
            self._operations = operations
        return self._operations

    def _with_operations(
        self, service: Service, operations: dict[str, Operation]
    ) -> Service:
        known = self.last.services.get(service.name)
        built = replace(service, operations=operations)
        return built if known is None or known != built else known

    def _merge_limits(self, entries: Entries) -> CallerPolicy:
        limits: dict[str, Any] = {}
        for name, limit in entries.limits.items():
            if limit is None:
                entries.reject(f'callers.{name}', 'is not valid')
                limit = getattr(self.last.callers, name)
            limits[name] = limit
        return replace(self._base.callers, **limits)


class _ChosenRoutes:
    """Routes that can be used together."""

    def __init__(self, services: set[str]) -> None:
        self.routes: dict[str, Route] = {}
        self._services = services
        self._names: dict[tuple[str, str, str], str] = {}

    def add(self, route: Route) -> str:
        """Add a route.

        :param route: a decoded route.
        :returns: why it cannot be used, empty if it can.
        """
        for service in route.services:
            if service not in self._services:
                return f'refers to unknown service {service!r}'
        pattern = (route.host, route.method, route.path_prefix)
        other = self._names.setdefault(pattern, route.name)
        if other != route.name:
            return f'matches the same requests as route {other!r}'
        self.routes[route.name] = route
        return ''


def _add_operation(
    operations: dict[str, Operation], operation: Operation
) -> None:
    known = operations.get(operation.name)
    if known is None or known.deadline_ms < operation.deadline_ms:
        operations[operation.name] = operation


def _operations_of(routes: dict[str, Route]) -> set[str]:
    return {route.operation for route in routes.values()}


__all__ = ('Entries', 'EntryMerger', 'RouteEntry')
