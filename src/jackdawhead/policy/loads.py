"""An entry's view of the load of each upstream, and types for routing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..wire.messages import ALL_PRIORITIES
from .recovery_trials import TRIAL_INTERVAL_MS
from .spell_estimate import SUSPECT_RISK, decayed_risk

if TYPE_CHECKING:
    from .risk_policy import TrialRule
    from .ways import WayCosts

# Load reports older than this are ignored.
REPORT_LIFE_MS: Final = 1000
# Longer than any real wait, so that avoided upstreams rank last.
_AVOIDED_WAIT_MS: Final = 1e9
# An upstream that seems to have stalled is avoided for this long.
_STALL_AVOID_MS: Final = 1000
# An upstream that takes this many times as long as the others is slow.
_SLOW_FACTOR: Final = 2
# A home that stops is used if the others would take a run time longer.
_LEAVING_COST_RUNS: Final = 1
# Rounding and network time change a reported risk by less than this.
_MAX_RISK_DRIFT: Final = 0.01


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an upstream, as reported by its home.

    :param wait_ms: expected queueing time of short work that arrives now.
    :param run_ms: average run time of short work.
    :param slots: requests that the upstream runs at once.
    :param free: free slots.
    :param refused_from: most urgent priority that gets no place in the queue.
    """

    wait_ms: float
    run_ms: float
    slots: int
    free: int
    refused_from: int = ALL_PRIORITIES


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream: the last report and the requests sent since.

    :param home: VM of the node that owns the upstream's slots.
    :param report: last report of the home.
    :param reported_at_ms: monotonic time at which the report arrived.
    :param in_flight: requests of this node that are not answered yet.
    :param sent_since_report: requests of this node that were sent after the
        last report, which therefore doesn't count them.
    :param avoid_until_ms: monotonic time until which the upstream is treated
        as unreachable.
    :param answered_at_ms: monotonic time of the last answer.
    :param stalled_until_ms: monotonic time until which the upstream is treated
        as stalled.
    :param medians_ms: known median run times by operation.
    :param slots: requests that the upstream runs at once, 0 if the VM list
        doesn't say.
    :param risk: probability that the upstream is in a spell of failing, as
        last reported by its home.
    :param risk_reported_at_ms: monotonic time of that report, None if the
        risk is unknown.
    :param trial_at_ms: monotonic time from which on the upstream may be tried
        again if it is likely failing.
    :param is_home_leaving: whether the node of its home is stopping.
    """

    upstream: str
    zone: str
    home: str
    report: LoadReport
    reported_at_ms: float = 0
    in_flight: int = 0
    sent_since_report: int = 0
    avoid_until_ms: float = 0
    answered_at_ms: float = 0
    stalled_until_ms: float = 0
    medians_ms: dict[str, float] = field(default_factory=dict)
    slots: int = 0
    risk: float = 0
    risk_reported_at_ms: float | None = None
    trial_at_ms: float = 0
    is_home_leaving: bool = False

    def risk_now(self, now_ms: float) -> float:
        """Return the current risk of a spell of failing, 0 if unknown.

        A high risk decays with its age. A low risk stays valid, since the
        home sends an update as soon as a spell begins.

        :param now_ms: monotonic time.
        """
        if self.risk_reported_at_ms is None or self.risk < SUSPECT_RISK:
            return self.risk
        return decayed_risk(self.risk, now_ms - self.risk_reported_at_ms)

    def note_risk(self, risk: float, now_ms: float) -> None:
        """Replace the risk, and set when the next trial is due.

        A home reports the risk with each message, not only after an outcome.
        Without an outcome it decays as expected. A failure raises it, and only
        a success takes it below.

        :param risk: probability of a spell of failing, reported by the home.
        :param now_ms: monotonic time at which the report arrived.
        """
        change = risk - self.risk_now(now_ms)
        if change > _MAX_RISK_DRIFT:
            self.trial_at_ms = now_ms + TRIAL_INTERVAL_MS
        elif change < -_MAX_RISK_DRIFT:
            self.trial_at_ms = now_ms
        self.risk = risk
        self.risk_reported_at_ms = now_ms

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return the expected queueing time of a request that is sent now.

        When the last report is stale, the estimate uses only this node's own
        requests in flight.

        :param now_ms: monotonic time.
        """
        if self.is_avoided(now_ms):
            return _AVOIDED_WAIT_MS
        report = self.report
        each_ms = report.run_ms / report.slots
        if now_ms - self.reported_at_ms > REPORT_LIFE_MS:
            return max(0, self.in_flight + 1 - report.slots) * each_ms
        surplus = self.sent_since_report + 1 - report.free
        if report.free:
            return max(0, surplus) * each_ms
        return report.wait_ms + self.sent_since_report * each_ms

    def may_be_fast_again(self, typical_ms: float, now_ms: float) -> bool:
        """Return whether the upstream was slow by a report that is stale.

        No work is sent to a slow upstream while others are faster, so that no
        report shows that it has recovered.

        :param typical_ms: run time of the service's other upstreams.
        :param now_ms: monotonic time.
        """
        is_stale = now_ms - self.reported_at_ms > REPORT_LIFE_MS
        return is_stale and self.report.run_ms > _SLOW_FACTOR * typical_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether the upstream is treated as unreachable or stalled.

        :param now_ms: monotonic time.
        """
        return now_ms < max(self.avoid_until_ms, self.stalled_until_ms)

    def is_idle(self, now_ms: float) -> bool:
        """Return whether at least two slots are free at a home that stays.

        :param now_ms: monotonic time.
        """
        has_slots = self.report.free - self.sent_since_report > 1
        is_preferred = not self.is_home_leaving
        return has_slots and is_preferred and not self.is_avoided(now_ms)

    def completion_ms(
        self, now_ms: float, *, has_shortage: bool = False
    ) -> float:
        """Return the expected queueing plus run time of short work sent now.

        The fewer slots are free, the more likely it is that another node takes
        them first; a share of a run time is added for that risk. One more is
        added for a home that leaves, unless there is a shortage: its slots are
        lost when it stops, while those of the others can still be used then.

        :param now_ms: monotonic time.
        :param has_shortage: whether work is refused for lack of capacity.
        """
        report = self.report
        left = max(0, report.free - self.sent_since_report)
        risk_ms = report.run_ms / (1 + left) ** 2
        if self.is_home_leaving and not has_shortage:
            risk_ms += _LEAVING_COST_RUNS * report.run_ms
        return self.expected_wait_ms(now_ms) + report.run_ms + risk_ms

    def note_sent(self) -> None:
        """Count a request sent to the upstream."""
        self.in_flight += 1
        self.sent_since_report += 1

    def note_done(self) -> None:
        """Count a request that ended, whatever its outcome."""
        self.in_flight = max(0, self.in_flight - 1)

    def note_overdue(self, sent_ms: float, now_ms: float) -> bool:
        """Record that a request takes longer than all but a few runs do.

        If the upstream has answered nothing since the request was sent, it may
        have stalled: it is avoided for a second, or until it answers.

        :param sent_ms: monotonic time at which the request was sent.
        :param now_ms: monotonic time.
        :returns: whether the upstream is newly avoided.
        """
        if self.answered_at_ms >= sent_ms:
            return False
        was_avoided = self.is_avoided(now_ms)
        self.stalled_until_ms = now_ms + _STALL_AVOID_MS
        return not was_avoided

    def note_answer(self, now_ms: float) -> None:
        """Record that the upstream has answered a request.

        A load report alone is no proof that the upstream answers: its home
        also sends one when it aborts a run.

        :param now_ms: monotonic time.
        """
        self.answered_at_ms = now_ms
        self.stalled_until_ms = 0

    def note_report(self, report: LoadReport, now_ms: float) -> None:
        """Replace the load report.

        :param report: report of the upstream's home.
        :param now_ms: monotonic time of its arrival.
        """
        self.report = report
        self.reported_at_ms = now_ms
        self.sent_since_report = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams of a service that may be chosen for an operation.

    :param local: upstreams in the zone of this node.
    :param remote: upstreams in all other zones.
    """

    local: tuple[UpstreamLoad, ...] = ()
    remote: tuple[UpstreamLoad, ...] = ()

    def __len__(self) -> int:
        """Return the number of upstreams in all zones."""
        return len(self.local) + len(self.remote)


@dataclass(frozen=True, slots=True)
class RoutingQuery:
    """Input to the choice of an upstream for one attempt.

    :param now_ms: monotonic time.
    :param tried: upstreams that are excluded, since this request was already
        sent to them.
    :param failure_cost_ms: cost of a failure, as the time that a caller would
        wait to avoid it.
    :param transfer_bytes: expected size of request plus answer, 0 if unknown.
    :param trial: conditions under which the request may test an upstream that
        is likely to fail, None if it may not.
    :param refusing: upstreams that are excluded, since their homes stop and
        have just refused such work.
    :param ways: costs of the ways to the zones, None if they don't count.
    """

    now_ms: float
    tried: frozenset[str] = field(default_factory=frozenset)
    failure_cost_ms: float = 0
    transfer_bytes: float = 0
    trial: TrialRule | None = None
    refusing: frozenset[str] = field(default_factory=frozenset)
    ways: WayCosts | None = None

    @property
    def has_shortage(self) -> bool:
        """Whether work is refused for lack of capacity."""
        return self.trial is not None and self.trial.has_shortage

    @property
    def excluded(self) -> frozenset[str]:
        """Upstreams that must not be chosen."""
        return self.tried | self.refusing


__all__ = (
    'REPORT_LIFE_MS',
    'LoadReport',
    'Pool',
    'RoutingQuery',
    'UpstreamLoad',
)
