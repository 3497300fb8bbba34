"""Upstreams of a service grouped by health, for each operation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .detection import Health
from .loads import Pool

if TYPE_CHECKING:
    from ..config.model import Service
    from .detection import Detector
    from .loads import RoutingQuery, UpstreamLoad

_EMPTY: Final = Pool()
# If no idempotent work arrives for this long, other work is used for trials.
_IDEMPOTENT_WAIT_MS: Final = 10_000.0


class Pools:
    """Healthy upstreams and upstreams on trial, by operation.

    Only operations that are in use have pools: services share the operations
    of all routes.

    :param zone: zone of the entry.
    """

    def __init__(self, zone: str) -> None:
        self.has_ejections = False
        self._zone = zone
        self._healthy: dict[str, Pool] = {}
        self._trials: dict[str, tuple[UpstreamLoad, ...]] = {}
        self._members: list[UpstreamLoad] = []
        self._detector: Detector | None = None
        self._idempotent_at_ms: float | None = None

    @property
    def operations(self) -> tuple[str, ...]:
        """Names of operations that are in use."""
        return tuple(self._healthy)

    def rebuild(
        self,
        service: Service,
        members: list[UpstreamLoad],
        detector: Detector,
    ) -> None:
        """Group the upstreams by their current health.

        :param service: service with its operations.
        :param members: upstreams that take new work.
        :param detector: source of their health.
        """
        in_use = self._healthy.keys() & service.operations.keys()
        self._healthy = {}
        self._trials = {}
        self.has_ejections = False
        self._members = members
        self._detector = detector
        for operation in in_use:
            self._build(operation, detector)

    def healthy(self, operation: str) -> Pool:
        """Return the healthy upstreams, which the balancer chooses from.

        :param operation: name of the operation.
        """
        if operation not in self._healthy and self._detector is not None:
            self._build(operation, self._detector)
        return self._healthy.get(operation, _EMPTY)

    def due_trial(
        self,
        service: Service,
        operation: str,
        query: RoutingQuery,
    ) -> UpstreamLoad | None:
        """Return an upstream on trial that the request is sent to, or None.

        One idempotent request at a time goes to each upstream on trial. If the
        service has no idempotent operation, or no such work has arrived for ten
        seconds, any request is used, since an upstream without trials would
        stay ejected forever.

        :param service: service with its operations.
        :param operation: name of the request's operation.
        :param query: time and upstreams already tried.
        """
        if service.operations[operation].idempotent:
            self._idempotent_at_ms = query.now_ms
        self.healthy(operation)
        trials = self._trials.get(operation)
        if not trials or self._waits_for_idempotent(operation, service, query):
            return None
        for load in trials:
            is_free = not load.in_flight and load.upstream not in query.excluded
            if is_free and load.avoid_until_ms <= query.now_ms:
                return load
        return None

    def _build(self, operation: str, detector: Detector) -> None:
        by_health: dict[Health, list[UpstreamLoad]] = {
            health: [] for health in Health
        }
        for load in self._members:
            health = detector.health(load.upstream, operation)
            by_health[health].append(load)
        healthy = by_health[Health.HEALTHY]
        self.has_ejections |= len(healthy) < len(self._members)
        self._healthy[operation] = self._by_zone(healthy)
        self._trials[operation] = tuple(by_health[Health.TRIAL])

    def _waits_for_idempotent(
        self, operation: str, service: Service, query: RoutingQuery
    ) -> bool:
        operations = service.operations
        if operations[operation].idempotent:
            return False
        if not any(each.idempotent for each in operations.values()):
            return False
        if self._idempotent_at_ms is None:
            self._idempotent_at_ms = query.now_ms
        return query.now_ms - self._idempotent_at_ms < _IDEMPOTENT_WAIT_MS

    def _by_zone(self, members: list[UpstreamLoad]) -> Pool:
        return Pool(
            tuple(each for each in members if each.zone == self._zone),
            tuple(each for each in members if each.zone != self._zone),
        )


__all__ = ('Pools',)
