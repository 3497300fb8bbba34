"""Routing of one service's requests at an entry."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ..reasons import Reason
from .balancers import BALANCERS
from .answer_sizes import AnswerSizes
from .completion_times import CompletionTimes
from .detection import Health, HealthChange
from .detectors import detector_of
from .health_counts import count_of
from .evidence import CUSUM_SCALE, Sample, Summary
from .loads import LoadReport
from .member_loads import MemberLoads
from .poison import PoisonTable
from .pools import Pools
from .retries import RetryBudget
from .shortage import Shortage
from .spell_estimate import RISK_SCALE
from .transfer_sizes import TransferSizes
from .ways import Ways

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from ..wire.messages import UpstreamStatus
    from .loads import RoutingQuery, UpstreamLoad
    from .member_loads import Member

# A router is kept for at least this long after its last use.
_UNUSED_RETENTION_MS: Final = 600_000
# No report is believed for longer; the next one may prolong it.
_MAX_AVOID_MS: Final = 30_000


class ServiceRouter:
    """Chooses upstreams of one service, and learns from status and outcomes.

    :param service: policy and operations.
    :param zone: zone of this node.
    :param rng: source of randomness.
    :param ways: ways from this node to the zones, shared by all services.
    """

    def __init__(
        self, service: Service, zone: str, rng: Random, ways: Ways | None = None
    ) -> None:
        self.service = service
        self.used_at_ms: float = 0
        self.budget = RetryBudget(service.retry)
        self.poison = PoisonTable(service.poison)
        self.transfer_sizes = TransferSizes()
        self.answer_sizes = AnswerSizes()
        self.completion_times = CompletionTimes()
        self.shortage = Shortage()
        self._rng = rng
        self._balancer = BALANCERS.find(service.balancer).unwrap()()
        self._detector = detector_of(service)
        self._members = MemberLoads()
        self._has_new_evidence = False
        self._pools = Pools(zone)
        self.ways = ways or Ways(zone)

    @property
    def members(self) -> frozenset[str]:
        """Names of upstreams that take new work, including ejected ones."""
        return self._members.names

    @property
    def loads(self) -> tuple[UpstreamLoad, ...]:
        """Loads of all upstreams in this entry's subset."""
        return self._members.listed

    @property
    def member_count(self) -> int:
        """Number of upstreams that take new work, computed in O(1)."""
        return len(self._members)

    def replace_service(
        self, service: Service, members: tuple[Member, ...]
    ) -> None:
        """Apply a new policy; the state of the upstreams is kept.

        A detector of another kind starts without state.

        :param service: new policy and operations of the same service.
        :param members: upstreams of the service under the new policy.
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
            self._detector = detector_of(service)
        self._update_members(members)
        self._members_changed()

    def replace_members(self, members: tuple[Member, ...]) -> None:
        """Replace the upstreams.

        :param members: all listed upstreams that are not leaving.
        """
        if self._update_members(members):
            self._members_changed()

    def mark_draining(
        self, upstream: str, draining: bool, now_ms: float
    ) -> None:
        """Mark an upstream as draining, ahead of the VM list, or unmark it.

        :param upstream: identity of the upstream.
        :param draining: whether it drains, that is, takes no new work.
        :param now_ms: monotonic time of the notice.
        """
        if self._members.mark_draining(upstream, draining, now_ms):
            self._members_changed()

    def choose(
        self, operation: str, query: RoutingQuery
    ) -> UpstreamLoad | None:
        """Return the upstream for a request, None if there is none.

        When all reachable upstreams have been tried, one is chosen again. One
        request at a time goes to each upstream on trial.

        :param operation: name of the request's operation.
        :param query: properties of the attempt, with the excluded upstreams.
        """
        size_bytes = self.transfer_sizes.usual(operation)
        work = self.service.operations[operation]
        query = self.ways.with_costs(query, work, size_bytes)
        query = self._members.without_refusing(query, operation)
        trial = self._pools.due_trial(self.service, operation, query)
        if trial is not None:
            return trial
        pool = self._pools.healthy(operation)
        chosen = self._balancer.choose(pool, query, self._rng)
        if not query.tried:
            return chosen
        if chosen is None or chosen.is_avoided(query.now_ms):
            again = replace(
                query, tried=frozenset(), transfer_bytes=0, trial=None
            )
            chosen = self._balancer.choose(pool, again, self._rng)
        return chosen

    def find(self, upstream: str) -> UpstreamLoad | None:
        """Return the load of an upstream, None if it is unknown.

        :param upstream: identity of the upstream.
        """
        return self._members.find(upstream)

    def note_status(self, status: UpstreamStatus, now_ms: float) -> None:
        """Update an upstream from a status message of its home.

        Ignores upstreams that are not members.

        :param status: load and evidence.
        :param now_ms: monotonic time.
        """
        load = self._members.find(status.upstream)
        if load is None:
            return
        slots = self.service.slots_for(load.slots)
        report = LoadReport(
            status.wait_ms,
            status.run_ms,
            slots,
            status.free,
            status.refused_from,
        )
        load.note_report(report, now_ms)
        load.note_risk(status.risk / RISK_SCALE, now_ms)
        if status.avoid_ms:
            load.avoid_until_ms = now_ms + min(status.avoid_ms, _MAX_AVOID_MS)
        if status.median_ms:
            load.medians_ms[status.operation] = status.median_ms
        count = status.count
        if count:
            self._has_new_evidence = True
            summary = Summary(
                count,
                status.failures / count,
                status.median_ms,
                status.cusum / CUSUM_SCALE,
                status.least_ms,
            )
            self._detector.report(
                status.upstream, status.operation, summary, now_ms
            )
        self.mark_draining(status.upstream, status.draining, now_ms)

    def can_be_evicted(self, now_ms: float) -> bool:
        """Return whether this router can be dropped without losing state.

        It can if it was unused for ten minutes, no upstream is ejected and no
        request is suspected of crashing upstreams.

        :param now_ms: monotonic time.
        """
        if now_ms - self.used_at_ms < _UNUSED_RETENTION_MS:
            return False
        return not self._pools.has_ejections and not self.poison.suspects

    def note_trial(
        self,
        upstream: str,
        operation: str,
        sample: Sample,
    ) -> None:
        """Record the outcome of a request if its upstream is on trial.

        :param sample: end, success and run time of the request.
        """
        if self._detector.health(upstream, operation) is Health.TRIAL:
            self._detector.observe_trial(upstream, operation, sample)

    def health(self, upstream: str, operation: str) -> Health:
        """Return the health of an operation on an upstream."""
        return self._detector.health(upstream, operation)

    def count_of(self, health: Health) -> int:
        """Return how many upstreams have a state of health.

        :param health: state of some operation, ``HEALTHY`` of all operations.
        """
        operations = self._pools.operations or tuple(self.service.operations)
        return count_of(self._detector, self.loads, operations, health)

    def avoid_home_until(self, home: str, until_ms: float) -> None:
        """Avoid all upstreams of a home that this node can't reach.

        :param home: VM of the home.
        :param until_ms: monotonic time at which they are used again.
        """
        self._members.avoid_home_until(home, until_ms)

    def mark_home_leaving(self, home: str, leaving: bool) -> None:
        """Mark a home as leaving, or unmark it once its node has started again.

        :param home: VM of the home.
        :param leaving: whether its node is stopping.
        """
        self._members.mark_home_leaving(home, leaving)

    def note_refusal(
        self, upstream: str, operation: str, reason: Reason, now_ms: float
    ) -> None:
        """Learn from the refusal of an attempt.

        :param operation: name of the work's operation.
        :param now_ms: monotonic time.
        """
        if reason is Reason.NODE_LEAVING:
            self._members.note_leaving_refusal(upstream, operation, now_ms)

    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        """Re-evaluate the health of the upstreams.

        :param now_ms: monotonic time.
        :returns: changes of health, for the audit trail.
        """
        if self._members.expire_drains(now_ms):
            self._members_changed()
        if not self._has_new_evidence and not self._pools.has_ejections:
            return ()
        self._has_new_evidence = False
        changes = self._detector.tick(now_ms)
        if changes:
            self._rebuild_pools()
        return changes

    def _update_members(self, members: tuple[Member, ...]) -> bool:
        operations = self.service.operations.values()
        expected_ms = min(each.expected_ms for each in operations)
        return self._members.update(members, expected_ms)

    def _members_changed(self) -> None:
        self._detector.replace_members(self.members)
        self._rebuild_pools()

    def _rebuild_pools(self) -> None:
        members = self._members.available()
        self._pools.rebuild(self.service, members, self._detector)


__all__ = ('ServiceRouter',)
