"""Routing state of one service at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .balancers import BALANCERS
from .detection import Health, HealthChange
from .evidence import CUSUM_SCALE, Sample, Summary
from .detectors import DETECTORS
from .loads import LoadReport, RoutingQuery, UpstreamLoad
from .member_loads import MemberLoads
from .poison import PoisonTable
from .pools import Pools
from .retries import RetryBudget
from .shortage import Shortage
from .spells import RISK_SCALE
from .way_sizes import WaySizes

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from .detection import Detector
    from .member_loads import Member
    from ..wire.messages import UpstreamStatus

_KEPT_UNUSED_MS: Final = 600_000


class ServiceRouter:
    """Chooses upstreams of one service, and learns from what comes back.

    :param service: policy and operations.
    :param zone: zone of this node.
    :param rng: source of randomness.
    """

    def __init__(self, service: Service, zone: str, rng: Random) -> None:
        self.service = service
        self.used_at_ms: float = 0
        self.budget = RetryBudget(service.retry)
        self.poison = PoisonTable(service.poison)
        self.sizes = WaySizes()
        self.shortage = Shortage()
        self._rng = rng
        self._balancer = BALANCERS.find(service.balancer).unwrap()()
        self._detector = _detector_of(service)
        self._members = MemberLoads()
        self._has_news = False
        self._pools = Pools(zone)

    @property
    def members(self) -> frozenset[str]:
        """Listed upstreams that take new work, ejected ones included."""
        return self._members.names

    @property
    def loads(self) -> tuple[UpstreamLoad, ...]:
        """What is known of each upstream that is used here."""
        return self._members.listed

    @property
    def member_count(self) -> int:
        """Number of members, without walking them."""
        return len(self._members)

    def replace_service(
        self,
        service: Service,
        members: tuple[Member, ...],
    ) -> None:
        """Follow another policy; what is known of the upstreams stays.

        Only a detector of another kind begins anew.

        :param service: policy and operations, of the same service.
        :param members: its upstreams under that policy.
        """
        before = self.service
        self.service = service
        self.budget.replace_policy(service.retry)
        self.poison.replace_policy(service.poison)
        if service.balancer != before.balancer:
            self._balancer = BALANCERS.find(service.balancer).unwrap()()
        if service.detection.detector == before.detection.detector:
            self._detector.replace_service(service)
        else:
            self._detector = _detector_of(service)
        self._pools.clear()
        self._follow(members)
        self._members_changed()

    def replace_members(self, members: tuple[Member, ...]) -> None:
        """Replace the listed upstreams that are not leaving.

        :param members: all of them.
        """
        if self._follow(members):
            self._members_changed()

    def mark_draining(self, upstream: str, draining: bool) -> None:
        """Take in that an upstream drains, before the list says so.

        :param draining: whether it takes no new work.
        """
        if self._members.mark_draining(upstream, draining):
            self._members_changed()

    def choose(
        self,
        operation: str,
        query: RoutingQuery,
    ) -> UpstreamLoad | None:
        """Return the upstream for a request, or nothing if none is left.

        When all that can be reached have been tried, one is chosen a second
        time.
        One request at a time goes to an upstream on trial.

        :param operation: its name.
        :param query: time and upstreams already tried.
        """
        trial = self._pools.due_trial(self.service, operation, query)
        if trial is not None:
            return trial
        pool = self._pools.well(operation)
        chosen = self._balancer.choose(pool, query, self._rng)
        if not query.tried:
            return chosen
        if chosen is None or chosen.is_avoided(query.now_ms):
            again = RoutingQuery(query.now_ms, failure_ms=query.failure_ms)
            chosen = self._balancer.choose(pool, again, self._rng)
        return chosen

    def find(self, upstream: str) -> UpstreamLoad | None:
        """Return the load of an upstream.

        :param upstream: its identity.
        """
        return self._members.find(upstream)

    def note_status(self, status: UpstreamStatus, now_ms: float) -> None:
        """Take in what a home says of an upstream.

        :param status: load and evidence.
        :param now_ms: monotonic time.
        """
        load = self._members.find(status.upstream)
        if load is None:
            return
        slots = load.slots or self.service.slots_per_upstream
        report = LoadReport(status.wait_ms, status.run_ms, slots, status.free)
        load.note_report(report, now_ms)
        load.risk = status.risk / RISK_SCALE
        load.risk_at_ms = now_ms
        if status.avoid_ms:
            load.avoid_until_ms = now_ms + status.avoid_ms
        if status.median_ms:
            load.medians_ms[status.operation] = status.median_ms
        count = status.count
        if count:
            self._has_news = True
            summary = Summary(
                count,
                status.failures / count,
                status.median_ms,
                status.cusum / CUSUM_SCALE,
                status.least_ms,
            )
            self._detector.report(
                status.upstream,
                status.operation,
                summary,
                now_ms,
            )
        self.mark_draining(status.upstream, status.draining)

    def is_forgettable(self, now_ms: float) -> bool:
        """Return whether nothing is known that would be missed.

        :param now_ms: monotonic time.
        """
        if now_ms - self.used_at_ms < _KEPT_UNUSED_MS:
            return False
        return not self._pools.has_ejections and not self.poison.suspects

    def note_trial(
        self,
        upstream: str,
        operation: str,
        sample: Sample,
    ) -> None:
        """Take in the outcome of a request, in case it was a trial.

        :param sample: when, whether it succeeded and how long it ran.
        """
        if self._detector.health(upstream, operation) is Health.TRIAL:
            self._detector.observe_trial(upstream, operation, sample)

    def health(self, upstream: str, operation: str) -> Health:
        """Return the state of an operation on an upstream."""
        return self._detector.health(upstream, operation)

    def count_of(self, health: Health) -> int:
        """Return how many upstreams have a state for any operation.

        :param health: the state; ``WELL`` counts those with no other.
        """
        states = [
            {
                self._detector.health(load.upstream, each)
                for each in self._pools.operations
            }
            for load in self._members.listed
        ]
        if health is Health.WELL:
            return sum(1 for found in states if found == {Health.WELL})
        return sum(1 for found in states if health in found)

    def avoid_home(self, home: str, until_ms: float) -> None:
        """Avoid the upstreams of a home that cannot be reached from here.

        :param home: VM of the home.
        :param until_ms: monotonic time.
        """
        self._members.avoid_home(home, until_ms)

    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        """Judge the upstreams anew.

        :param now_ms: monotonic time.
        :returns: changes, for the audit trail.
        """
        if not self._has_news and not self._pools.has_ejections:
            return ()
        self._has_news = False
        changes = self._detector.tick(now_ms)
        if changes:
            self._rebuild_pools()
        return changes

    def _follow(self, members: tuple[Member, ...]) -> bool:
        operations = self.service.operations.values()
        expected_ms = min(each.expected_ms for each in operations)
        return self._members.follow(members, expected_ms)

    def _members_changed(self) -> None:
        self._detector.replace_members(self.members)
        self._rebuild_pools()

    def _rebuild_pools(self) -> None:
        members = self._members.taking_work()
        self._pools.rebuild(self.service, members, self._detector)


def _detector_of(service: Service) -> Detector:
    return DETECTORS.find(service.detection.detector).unwrap()(service)


__all__ = ('ServiceRouter',)
