"""Replays a trace through the decisions of live nodes."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Final

from ..policy.balancers import RISK_BALANCER
from ..policy.member_loads import Member
from ..trace.records import ArrivalRecord, MemberRecord, PathRecord
from .behaviour import RecordedBehaviour
from .entries import ReplayEntry
from .homes import ReplayUpstream, Shared
from .result import ReplayResult
from .timeline import Timeline

if TYPE_CHECKING:
    from ..config.model import Config, Service
    from ..wire.messages import UpstreamStatus
    from ..trace.reader import Trace

_TICK_MS: Final = 200
_AFTER_MS: Final = 5000
_LIVE: Final = 'live'


class Replay:
    """One replay.

    :param config: services and rules.
    :param trace: arrivals and behaviour.
    :param seed: of all choices; equal seeds give equal results.
    """

    def __init__(self, config: Config, trace: Trace, seed: int) -> None:
        self._config = config
        self._trace = trace
        self._timeline = Timeline()
        self._result = ReplayResult(len(trace.nodes))
        self._start_ms = max(node.at_ms for node in trace.nodes)
        self._shared = Shared(
            self._timeline,
            RecordedBehaviour(trace),
            self._result,
            Random(seed),
            self._start_ms,
            self._tell_risk,
        )
        self._members: dict[str, dict[str, Member]] = {
            name: {} for name in config.services
        }
        self._upstreams: dict[str, ReplayUpstream] = {}
        self._entries = {
            node.node: ReplayEntry(
                node.node,
                node.zone,
                self._shared,
                self._upstreams,
                self._tell_crash,
            )
            for node in trace.nodes
        }

    def run(self) -> ReplayResult:
        """Run to the end of the trace and of all requests."""
        self._add_first_members()
        self._plan_records()
        end_ms = self._trace.records[-1].at_ms - self._start_ms
        self._result.end_ms = end_ms
        self._plan_ticks(end_ms + _AFTER_MS)
        self._timeline.run()
        return self._result

    def _add_first_members(self) -> None:
        for record in self._trace.records:
            is_first = isinstance(record, MemberRecord)
            if is_first and record.at_ms <= self._start_ms + _TICK_MS:
                self._note_member(record)  # type: ignore[arg-type]
        for service in self._config.services.values():
            members = tuple(self._members[service.name].values())
            for entry in self._entries.values():
                entry.view.add_service(service)
                entry.view.replace_members(service.name, members)

    def _plan_records(self) -> None:
        for record in self._trace.records:
            at_ms = record.at_ms - self._start_ms
            if at_ms < 0:
                continue
            match record:
                case ArrivalRecord(node=node):
                    self._plan_arrival(at_ms, self._entries[node], record)
                case PathRecord(node=node):
                    self._plan_path(at_ms, self._entries[node], record)
                case MemberRecord():
                    self._plan_member(at_ms, record)

    def _plan_arrival(
        self,
        at_ms: float,
        entry: ReplayEntry,
        record: ArrivalRecord,
    ) -> None:
        self._timeline.at(at_ms, lambda: entry.arrive(record))

    def _plan_path(
        self,
        at_ms: float,
        entry: ReplayEntry,
        record: PathRecord,
    ) -> None:
        self._timeline.at(
            at_ms, lambda: entry.view.mark_path(record.home, is_up=record.is_up)
        )

    def _plan_member(self, at_ms: float, record: MemberRecord) -> None:
        self._timeline.at(at_ms, lambda: self._change_member(record))

    def _change_member(self, record: MemberRecord) -> None:
        if not self._note_member(record):
            return
        service = record.upstream.rpartition('/')[2]
        members = tuple(self._members[service].values())
        for entry in self._entries.values():
            entry.view.replace_members(service, members)

    def _note_member(self, record: MemberRecord) -> bool:
        name = record.upstream
        service = self._service_of(name)
        if service is None:
            return False
        members = self._members[service.name]
        if name not in self._upstreams:
            is_new = bool(self._timeline.now_ms)
            self._upstreams[name] = ReplayUpstream(
                name, service, self._shared, is_new=is_new
            )
        before = members.get(name)
        if record.state == _LIVE:
            members[name] = Member(name, record.zone, record.home)
            return before is None
        self._upstreams[name].leave()
        return members.pop(name, None) is not None

    def _service_of(self, upstream: str) -> Service | None:
        return self._config.services.get(upstream.rpartition('/')[2])

    def _plan_ticks(self, end_ms: float) -> None:
        for number in range(int(end_ms // _TICK_MS)):
            for entry in self._entries.values():
                self._timeline.at(number * _TICK_MS, entry.view.tick)

    def _tell_crash(
        self,
        source: ReplayEntry,
        service: str,
        fingerprint: int,
        upstream: str,
    ) -> None:
        for entry in self._entries.values():
            if entry is not source:
                entry.view.note_crash(service, fingerprint, upstream)

    def _tell_risk(self, service: Service, status: UpstreamStatus) -> None:
        if service.balancer == RISK_BALANCER:
            for entry in self._entries.values():
                entry.view.hear_status(service.name, status)


def with_rules(config: Config, rules: dict[str, str]) -> Config:
    """Return a configuration whose services follow other rules.

    :param rules: names of rules by ``balancer``, ``detector`` and
        ``admission``; those that are missing stay.
    """
    services = {
        name: _with_rules(service, rules)
        for name, service in config.services.items()
    }
    return replace(config, services=services)


def _with_rules(service: Service, rules: dict[str, str]) -> Service:
    detector = rules.get('detector', service.detection.detector)
    admission = rules.get('admission', service.queue.admission)
    return replace(
        service,
        balancer=rules.get('balancer', service.balancer),
        detection=replace(service.detection, detector=detector),
        queue=replace(service.queue, admission=admission),
    )


__all__ = ('Replay', 'with_rules')
