"""Crashes with a request in flight: counted here, told to other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...audit import AuditKind
from ...clock import monotonic_ms
from ...policy.poison import Crash
from ...wire.messages import PoisonNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ...audit import AuditTrail
    from ...policy.service_router import ServiceRouter
    from .routing import RoutingController


class CrashNews:
    """Counts crashes by fingerprint, whoever has seen them.

    :param routing: state of the services.
    :param audit: trail of changes.
    :param on_crash: called with service, fingerprint and upstream when an
        upstream crashed with a request of this node in flight.
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
        """Take in that a request was in flight when its upstream crashed.

        :param router: state of the service.
        """
        self._count(router, Crash(fingerprint, upstream, 0))
        self._on_crash(router.service.name, fingerprint, upstream)

    def take(self, news: PoisonNews) -> bool:
        """Take in a crash that another node has seen.

        :param news: fingerprint, upstream and age.
        :returns: whether it was not known here.
        """
        if not self._routing.has_service(news.service):
            return False
        router = self._routing.router(news.service)
        if router.poison.is_over(news.age_ms):
            return False
        if router.poison.knows(news.fingerprint, news.upstream):
            return False
        crash = Crash(news.fingerprint, news.upstream, news.age_ms)
        self._count(router, crash)
        return True

    def known(self) -> Iterator[PoisonNews]:
        """Yield what is known, for a node that may not know it."""
        now_ms = monotonic_ms()
        for router in self._routing.routers():
            for crash in router.poison.latest_crashes(now_ms):
                yield PoisonNews(
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
                f'upstreams crashed with it in flight, last {crash.upstream}',
            )


__all__ = ('CrashNews',)
