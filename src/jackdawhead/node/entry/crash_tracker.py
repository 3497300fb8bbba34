"""Counts crashes per request fingerprint and shares them with other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...audit import AuditKind
from ...clock import monotonic_ms
from ...policy.poison import Crash
from ...wire.messages import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ...audit import AuditTrail
    from ...policy.service_router import ServiceRouter
    from .routing import RoutingController


class CrashTracker:
    """Counts crashes by fingerprint, seen by this node or by another one.

    :param routing: routing state of the services.
    :param audit: audit trail that records quarantines.
    :param on_crash: called with service, fingerprint and upstream when this
        node is the first to know of a crash.
    """

    def __init__(
        self,
        routing: RoutingController,
        audit: AuditTrail,
        on_crash: Callable[[str, int, str], None],
    ) -> None:
        self._routing = routing
        self._audit = audit
        self._on_crash = on_crash

    def note_crash(
        self,
        router: ServiceRouter,
        fingerprint: int,
        upstream: str,
    ) -> None:
        """Record that a request was in flight when its upstream crashed.

        The home of the upstream has told this node before, unless it is of an
        earlier build.

        :param router: routing state of the service.
        :param fingerprint: fingerprint of the request.
        :param upstream: identity of the upstream that crashed.
        """
        if router.poison.has_crash(fingerprint, upstream):
            return
        self._count(router, Crash(fingerprint, upstream, 0))
        self._on_crash(router.service.name, fingerprint, upstream)

    def note_crash_at_home(
        self, service: str, fingerprint: int, upstream: str
    ) -> None:
        """Record a crash of an upstream whose home is this node.

        :param service: service of the upstream.
        :param fingerprint: fingerprint of the request in flight.
        :param upstream: identity of the upstream.
        """
        if self._routing.has_service(service):
            router = self._routing.router(service)
            self.note_crash(router, fingerprint, upstream)

    def record_remote_crash(self, report: CrashReport) -> bool:
        """Record a crash that another node has seen.

        :param report: service, fingerprint, upstream and age of the crash.
        :returns: whether this node did not know the crash yet.
        """
        if not self._routing.has_service(report.service):
            return False
        router = self._routing.router(report.service)
        if router.poison.is_expired(report.age_ms):
            return False
        if router.poison.has_crash(report.fingerprint, report.upstream):
            return False
        crash = Crash(report.fingerprint, report.upstream, report.age_ms)
        self._count(router, crash)
        return True

    def recent_crashes(self) -> Iterator[CrashReport]:
        """Yield the crashes known here, for another node."""
        now_ms = monotonic_ms()
        for router in self._routing.routers():
            for crash in router.poison.recent_crashes(now_ms):
                yield CrashReport(
                    router.service.name,
                    crash.fingerprint,
                    crash.upstream,
                    int(crash.age_ms),
                )

    def _count(self, router: ServiceRouter, crash: Crash) -> None:
        at_ms = monotonic_ms() - crash.age_ms
        poison = router.poison
        if poison.note_crash(crash.fingerprint, crash.upstream, at_ms):
            self._audit.record(
                AuditKind.REQUEST_QUARANTINED,
                f'{router.service.name}/{crash.fingerprint:016x}',
                f'upstreams crashed while running it, last {crash.upstream}',
            )


__all__ = ('CrashTracker',)
