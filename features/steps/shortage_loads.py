"""Generated loads with too little room, for replays."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from jackdawhead.config.model import (
    Config,
    DetectionPolicy,
    Operation,
    PoisonPolicy,
    QueuePolicy,
    RetryPolicy,
    Service,
    WorkClass,
)
from jackdawhead.policy.run_result import RunResult
from jackdawhead.replay.engine import Replay
from jackdawhead.trace.reader import Trace
from jackdawhead.trace.records import (
    TRACE_VERSION,
    ArrivalRecord,
    RunRecord,
    TraceStart,
    UpstreamRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jackdawhead.replay.result import FinishedRequest, ReplayResult

_ZONES: Final = ('a', 'b', 'c')
_ORGANISATIONS: Final = 85
_LARGE_SHARE: Final = 0.3
_RECORD_INTERVAL_MS: Final = 50
_MS_PER_S: Final = 1000
_SIGMA: Final = 0.45
_SEED: Final = 1
_NO_ORGANISATION: Final = ''
_FLOODING: Final = 'flooding'


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind.

    :param per_s: usual number of arrivals per second.
    :param run_ms: mean run time.
    :param is_call: whether upstreams send them, with the time that is left to
        their own work as deadline.
    """

    name: str
    service: str
    priority: int
    per_s: float
    run_ms: int
    target_ms: int
    deadline_ms: int
    idempotent: bool = False
    is_call: bool = False

    @property
    def operation(self) -> Operation:
        """The operation that serves them."""
        return Operation(
            self.name,
            self.idempotent,
            WorkClass.SHORT,
            self.deadline_ms,
            self.target_ms * 3 // 10,
            self.target_ms,
            self.priority,
        )


KINDS: Final = (
    Kind('lookup', 'memory', 1, 72, 384, 1428, 2028, idempotent=True),
    Kind('commit', 'memory', 2, 157, 480, 2270, 3012),
    Kind('release', 'glossary', 0, 44, 252, 662, 2070),
    Kind('import', 'glossary', 1, 22, 300, 986, 2040),
    Kind('check', 'glossary', 0, 50, 94, 359, 820, True, True),
)


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which more requests arrive than usual.

    :param factors: multiple of the usual number, by kind.
    :param organisation: organisation that sends the surplus, empty for all.
    """

    begin_ms: float
    end_ms: float
    factors: dict[str, float]
    organisation: str = ''


@dataclass(slots=True)
class ShortageLoad:
    """A fleet and the requests that arrive there.

    :param upstreams: number of upstreams by service.
    """

    upstreams: dict[str, int]
    entries: int
    burst: Burst
    length_ms: float = 10_000
    slots: int = 3
    scale: float = 1
    kinds: tuple[Kind, ...] = KINDS
    rng: Random = field(default_factory=lambda: Random(_SEED))

    def replay(self, rule: str) -> ReplayResult:
        """Replay the load with an admission rule."""
        rng = Random(_SEED)
        records = [*self._starts(), *self._arrivals(rng), *self._runs(rng)]
        records.sort(key=lambda record: record.at_ms)
        nodes = tuple(each for each in records if isinstance(each, TraceStart))
        services = {name: self._service(name, rule) for name in self.upstreams}
        config = Config('', {}, services, {})
        return Replay(config, Trace(nodes, tuple(records)), _SEED).run()

    def _service(self, name: str, rule: str) -> Service:
        kinds = [each for each in self.kinds if each.service == name]
        return Service(
            name,
            _ZONES,
            self.slots,
            100,
            70,
            30,
            'least-risk',
            {each.name: each.operation for each in kinds},
            QueuePolicy(rule, 500, 67, 1500),
            RetryPolicy(12, 100, 3, 20, 2, 15),
            DetectionPolicy('none', 4000, 8, 30, 3, 5000, 60_000, 5000),
            PoisonPolicy(3, 60_000),
        )

    def _homes(self) -> Iterator[tuple[str, str]]:
        numbers = iter(range(self.entries))
        for service, count in self.upstreams.items():
            for _ in range(count):
                yield f'vm-{next(numbers)}', service

    def _starts(self) -> list[TraceStart | UpstreamRecord]:
        zones = {
            f'vm-{number}': _ZONES[number % len(_ZONES)]
            for number in range(self.entries)
        }
        nodes = [
            TraceStart(0, TRACE_VERSION, vm, zone) for vm, zone in zones.items()
        ]
        upstreams = [
            UpstreamRecord(0, f'{vm}/{service}', zones[vm], vm, 'live')
            for vm, service in self._homes()
        ]
        return [*nodes, *upstreams]

    def _arrivals(self, rng: Random) -> Iterator[ArrivalRecord]:
        for kind in self.kinds:
            yield from self._arrivals_of(kind, rng)

    def _arrivals_of(self, kind: Kind, rng: Random) -> Iterator[ArrivalRecord]:
        usual = kind.per_s * self.scale / _MS_PER_S
        factor = self.burst.factors.get(kind.name, 1)
        most = usual * max(1, factor)
        at_ms = float(0)
        while at_ms < self.length_ms:
            at_ms += rng.expovariate(most)
            is_burst = self.burst.begin_ms <= at_ms < self.burst.end_ms
            now = usual * factor if is_burst else usual
            draw = rng.random() * most
            if draw >= now:
                continue
            is_surplus = draw >= usual and self.burst.organisation
            organisation = (
                self.burst.organisation
                if is_surplus
                else _organisation(kind, rng)
            )
            yield ArrivalRecord(
                at_ms,
                f'vm-{rng.randrange(self.entries)}',
                kind.service,
                kind.name,
                organisation,
                rng.getrandbits(60),
            )

    def _runs(self, rng: Random) -> Iterator[RunRecord]:
        for vm, service in self._homes():
            for kind in self.kinds:
                if kind.service == service:
                    yield from self._runs_of(f'{vm}/{service}', kind, rng)

    def _runs_of(
        self, upstream: str, kind: Kind, rng: Random
    ) -> Iterator[RunRecord]:
        for at_ms in range(0, int(self.length_ms), _RECORD_INTERVAL_MS):
            run_ms = kind.run_ms * rng.lognormvariate(-(_SIGMA**2) / 2, _SIGMA)
            yield RunRecord(
                at_ms + run_ms,
                upstream,
                kind.name,
                1,
                RunResult.SUCCEEDED.value,
                run_ms,
            )


def _organisation(kind: Kind, rng: Random) -> str:
    """Draw an organisation; a few are large, and calls carry none."""
    if kind.is_call:
        return _NO_ORGANISATION
    if rng.random() < _LARGE_SHARE:
        return f'large-{rng.randrange(3)}'
    return f'small-{rng.randrange(_ORGANISATIONS)}'


def requests_of(
    result: ReplayResult, kind: str, begin_ms: float, end_ms: float
) -> list[FinishedRequest]:
    """Return the requests of a kind that arrived within a time."""
    return [
        each
        for each in result.finished
        if each.operation.name == kind and begin_ms <= each.arrived_ms < end_ms
    ]


def served_share(requests: list[FinishedRequest]) -> float:
    """Return the share of requests that were served."""
    return sum(each.is_good for each in requests) / max(1, len(requests))


def in_time_share(requests: list[FinishedRequest]) -> float:
    """Return the share of requests that were served within their target."""
    in_time = sum(
        each.is_good
        and each.ended_ms - each.arrived_ms <= each.operation.target_ms
        for each in requests
    )
    return in_time / max(1, len(requests))
