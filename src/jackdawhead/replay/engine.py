"""Replays a trace through the decision code of live nodes."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Final

from ..policy.nearest import RISK_BALANCERS
from ..policy.member_loads import Member
from ..policy.subset_rules import EntryPlaces
from ..trace.records import ArrivalRecord, PathRecord, UpstreamRecord
from .behaviour import RecordedBehaviour
from .context import DEFAULT_HOPS_MS, ReplayContext
from .entries import ReplayEntry
from .homes import ReplayUpstream
from .result import ReplayResult
from .stops import NodeRestart, PlannedStop
from .timeline import Timeline

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..config.model import Config, Service
    from ..policy.ways import Way
    from ..trace.reader import Trace
    from ..wire.messages import UpstreamStatus

_TICK_INTERVAL_MS: Final = 200
# Ticks go on after the last record, for requests that are still in progress.
_TICKS_AFTER_END_MS: Final = 5000
_LIVE: Final = 'live'


class Replay:
    """One replay of a trace; create another instance to run it again.

    :param config: configuration to replay with.
    :param trace: arrivals, and the recorded behaviour of the upstreams.
    :param seed: seed of all random choices; equal seeds give equal results.
    :param stops: planned stops of nodes, each followed by a start.
    :param hops_ms: one-way network delays between VMs.
    """

    def __init__(
        self,
        config: Config,
        trace: Trace,
        seed: int,
        stops: tuple[PlannedStop, ...] = (),
        hops_ms: Mapping[Way, float] = DEFAULT_HOPS_MS,
    ) -> None:
        self._config = config
        self._trace = trace
        self._stops = stops
        self._restarts: list[NodeRestart] = []
        self._timeline = Timeline()
        self._result = ReplayResult(len(trace.nodes))
        self._start_ms = max(node.at_ms for node in trace.nodes)
        self._context = ReplayContext(
            self._timeline,
            RecordedBehaviour(trace),
            self._result,
            Random(seed),
            self._start_ms,
            self._broadcast_status,
            hops_ms,
        )
        self._members: dict[str, dict[str, Member]] = {
            name: {} for name in config.services
        }
        self._upstreams: dict[str, ReplayUpstream] = {}
        places = EntryPlaces(
            {node.node: node.zone for node in trace.nodes}, config.regions
        )
        self._entries = {
            node.node: ReplayEntry(
                node.node,
                self._context,
                self._upstreams,
                self._broadcast_crash,
                places,
            )
            for node in trace.nodes
        }

    def run(self) -> ReplayResult:
        """Run until the trace has ended and all requests are finished."""
        self._add_first_members()
        self._schedule_records()
        self._schedule_stops()
        end_ms = self._trace.records[-1].at_ms - self._start_ms
        self._result.end_ms = end_ms
        self._schedule_ticks(end_ms + _TICKS_AFTER_END_MS)
        self._timeline.run()
        return self._result

    def _add_first_members(self) -> None:
        for record in self._trace.records:
            is_first = isinstance(record, UpstreamRecord)
            if is_first and record.at_ms <= self._start_ms + _TICK_INTERVAL_MS:
                self._apply_member(record)  # type: ignore[arg-type]
        for entry in self._entries.values():
            self._add_services(entry)

    def _add_services(self, entry: ReplayEntry) -> None:
        for service in self._config.services.values():
            members = tuple(self._members[service.name].values())
            entry.view.add_service(service)
            entry.view.replace_members(service.name, members)

    def _schedule_records(self) -> None:
        for record in self._trace.records:
            at_ms = record.at_ms - self._start_ms
            if at_ms < 0:
                continue
            match record:
                case ArrivalRecord(node=node):
                    self._schedule_arrival(at_ms, self._entries[node], record)
                case PathRecord(node=node):
                    self._schedule_path(at_ms, self._entries[node], record)
                case UpstreamRecord():
                    self._schedule_member(at_ms, record)

    def _schedule_arrival(
        self,
        at_ms: float,
        entry: ReplayEntry,
        record: ArrivalRecord,
    ) -> None:
        self._timeline.schedule_at(
            at_ms, lambda: self._listening(entry).arrive(record)
        )

    def _listening(self, entry: ReplayEntry) -> ReplayEntry:
        """Return an entry, or another one if it doesn't listen."""
        if entry.is_listening:
            return entry
        others = [each for each in self._entries.values() if each.is_listening]
        return self._context.rng.choice(others)

    def _schedule_stops(self) -> None:
        for stop in self._stops:
            restart = NodeRestart(
                stop,
                self._entries,
                self._homes_on,
                self._context,
                self._restart_entry,
            )
            self._restarts.append(restart)
            self._timeline.schedule_at(stop.at_ms, restart.begin)

    def _restart_entry(self, entry: ReplayEntry) -> None:
        self._add_services(entry)
        for restart in self._restarts:
            restart.tell(entry.view)

    def _homes_on(self, node: str) -> list[ReplayUpstream]:
        return [
            self._upstreams[member.name]
            for members in self._members.values()
            for member in members.values()
            if member.home == node
        ]

    def _schedule_path(
        self,
        at_ms: float,
        entry: ReplayEntry,
        record: PathRecord,
    ) -> None:
        self._timeline.schedule_at(
            at_ms, lambda: entry.view.mark_path(record.home, is_up=record.is_up)
        )

    def _schedule_member(self, at_ms: float, record: UpstreamRecord) -> None:
        self._timeline.schedule_at(at_ms, lambda: self._change_member(record))

    def _change_member(self, record: UpstreamRecord) -> None:
        if not self._apply_member(record):
            return
        service = record.upstream.rpartition('/')[2]
        members = tuple(self._members[service].values())
        for entry in self._entries.values():
            entry.view.replace_members(service, members)

    def _apply_member(self, record: UpstreamRecord) -> bool:
        """Apply a membership record; return whether the members changed."""
        name = record.upstream
        service = self._service_of(name)
        if service is None:
            return False
        members = self._members[service.name]
        if name not in self._upstreams:
            is_new = bool(self._timeline.now_ms)
            self._upstreams[name] = ReplayUpstream(
                name, service, self._context, is_new=is_new
            )
        previous = members.get(name)
        if record.state == _LIVE:
            members[name] = Member(name, record.zone, record.home)
            return previous is None
        self._upstreams[name].start_draining()
        return members.pop(name, None) is not None

    def _service_of(self, upstream: str) -> Service | None:
        return self._config.services.get(upstream.rpartition('/')[2])

    def _schedule_ticks(self, end_ms: float) -> None:
        for number in range(int(end_ms // _TICK_INTERVAL_MS)):
            for entry in self._entries.values():
                self._timeline.schedule_at(
                    number * _TICK_INTERVAL_MS, entry.view.tick
                )

    def _broadcast_crash(
        self,
        source: ReplayEntry,
        service: str,
        fingerprint: int,
        upstream: str,
    ) -> None:
        for entry in self._entries.values():
            if entry is not source:
                entry.view.note_crash(service, fingerprint, upstream)

    def _broadcast_status(
        self, service: Service, status: UpstreamStatus
    ) -> None:
        if service.balancer in RISK_BALANCERS:
            for entry in self._entries.values():
                entry.view.on_status(service.name, status)


def override_rules(config: Config, rules: dict[str, str]) -> Config:
    """Return the configuration with other rules for all services.

    :param config: configuration to change.
    :param rules: names of rules by ``balancer``, ``detector`` and
        ``admission``; a missing key keeps the configured rule.
    """
    services = {
        name: _override_service_rules(service, rules)
        for name, service in config.services.items()
    }
    return replace(config, services=services)


def _override_service_rules(service: Service, rules: dict[str, str]) -> Service:
    detector = rules.get('detector', service.detection.detector)
    admission = rules.get('admission', service.queue.admission)
    return replace(
        service,
        balancer=rules.get('balancer', service.balancer),
        detection=replace(service.detection, detector=detector),
        queue=replace(service.queue, admission=admission),
    )


__all__ = ('Replay', 'override_rules')
