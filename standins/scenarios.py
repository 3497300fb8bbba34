"""Scenarios for recording traces: load, and faults at set times."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Final

import gevent

from jackdawhead.bench.client import HttpClient, HttpRequest
from jackdawhead.config.settings import Address

from .fleet import Fleet
from .sites import Site, SiteService

_IP: Final = '127.0.0.1'
_TIMEOUT_S: Final = 90.0


@dataclass(frozen=True, slots=True)
class Flow:
    """The load of one operation, and its run time at the upstreams."""

    service: str
    method: str
    prefix: str
    rate_per_s: float
    run_ms: float


@dataclass(frozen=True, slots=True)
class Step:
    """A factor on a flow's rate between two times since the load's start."""

    start_s: float
    end_s: float
    factor: float


@dataclass(slots=True)
class Recording:
    """A fleet under load whose trace is being recorded."""

    site: Site
    fleet: Fleet
    flows: list[Flow]
    rng: Random
    rate_steps: dict[str, list[Step]] = field(default_factory=dict)
    pending: list[gevent.Greenlet] = field(default_factory=list)

    def run_later(self, after_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.pending.append(gevent.spawn_later(after_s, action))

    def set_later(self, after_s: float, upstream: str, **fields: Any) -> None:
        """Change settings of an upstream's behaviour after a delay."""
        self.run_later(
            after_s, partial(self.fleet.set_behaviour, upstream, **fields)
        )


Scenario = Callable[[Recording, str], float]
SCENARIOS: Final[dict[str, Scenario]] = {}

FLOWS: Final = {
    'helvetia': [
        Flow('registry-desk', 'GET', '/cultivars', 180, 60),
        Flow('registry-desk', 'POST', '/cultivars', 10, 60),
        Flow('archive-ledger', 'GET', '/ledger', 40, 25),
        Flow('archive-ledger', 'GET', '/bundles', 2, 1200),
        Flow('archive-ledger', 'POST', '/fees', 4, 60),
    ],
    'amakusa': [
        Flow('proofing', 'GET', '/artwork', 200, 60),
        Flow('proofing', 'GET', '/renders', 4, 1200),
        Flow('proofing', 'POST', '/approvals', 8, 60),
        Flow('dispatch', 'GET', '/dispatch', 60, 30),
        Flow('dispatch', 'GET', '/labels', 4, 800),
        Flow('dispatch', 'POST', '/slots', 4, 60),
    ],
}
FAULTY_UPSTREAMS: Final = {
    'helvetia': 'registry-4/registry-desk',
    'amakusa': 'proofing-4/proofing',
}
# Main service and path of each site.
_SERVICE: Final = {'helvetia': 'registry-desk', 'amakusa': 'proofing'}
_PATH: Final = {'helvetia': '/cultivars', 'amakusa': '/artwork'}


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Return a decorator for scenarios, which return their length in s."""

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = function
        return function

    return register


@scenario('steady')
def steady(recording: Recording, faulty: str) -> float:
    """Steady load without faults."""
    return 12


@scenario('straggler')
def straggler(recording: Recording, faulty: str) -> float:
    """On all upstreams 2 % of the requests run eight times as long."""
    for upstream in recording.fleet.upstreams:
        recording.set_later(1, upstream, straggler_share=0.02)
    return 12


@scenario('swing')
def swing(recording: Recording, faulty: str) -> float:
    """The load rises fourfold within two seconds and stays for four."""
    path = _PATH[recording.site.name]
    recording.rate_steps[path] = [Step(4, 5, 2), Step(5, 6, 3), Step(6, 10, 4)]
    return 14


@scenario('gray-error')
def gray_error(recording: Recording, faulty: str) -> float:
    """One upstream fails half of its work; its health check passes."""
    recording.set_later(4, faulty, fail_share=0.5)
    return 12


@scenario('gray-slow')
def gray_slow(recording: Recording, faulty: str) -> float:
    """One upstream is five times slower than its peers."""
    recording.set_later(4, faulty, slow_factor=5)
    return 14


@scenario('one-operation')
def one_operation(recording: Recording, faulty: str) -> float:
    """One operation always fails at one upstream."""
    path = {'helvetia': '/ledger', 'amakusa': '/dispatch'}
    upstream = {
        'helvetia': 'archive-2/archive-ledger',
        'amakusa': 'dispatch-2/dispatch',
    }
    name = recording.site.name
    recording.set_later(4, upstream[name], fail_share=1, fail_prefix=path[name])
    return 12


@scenario('flapping')
def flapping(recording: Recording, faulty: str) -> float:
    """One upstream alternates between 3 s of faults and 3 s of health."""
    recording.set_later(4, faulty, fail_share=0.7, flap_ms=3000)
    return 40


@scenario('silent')
def silent(recording: Recording, faulty: str) -> float:
    """Open connections to one upstream go silent; new ones work."""
    recording.set_later(4, faulty, silent=True)
    return 12


@scenario('poison')
def poison(recording: Recording, faulty: str) -> float:
    """A poison request is sent again and again."""
    path = f'{_PATH[recording.site.name]}/poison'
    for number in range(8):
        recording.run_later(4 + number / 2, partial(_send, recording, path))
    return 14


@scenario('rolling')
def rolling(recording: Recording, faulty: str) -> float:
    """Upstreams leave, and new ones with a cold start replace them."""
    for number in range(3):
        recording.run_later(
            2 + 3 * number, partial(_replace_upstream, recording, number)
        )
    return 16


@scenario('zone-loss')
def zone_loss(recording: Recording, faulty: str) -> float:
    """All processes of one zone are killed at once."""
    recording.run_later(4, lambda: _kill_zone(recording))
    return 14


@scenario('two-together')
def two_together(recording: Recording, faulty: str) -> float:
    """An upstream slows down while the load triples."""
    recording.set_later(4, faulty, slow_factor=5)
    path = _PATH[recording.site.name]
    recording.rate_steps[path] = [Step(5, 9, 3)]
    return 14


@scenario('crest')
def crest(recording: Recording, faulty: str) -> float:
    """Load of twice the main service's capacity for four seconds."""
    name = recording.site.name
    service = next(
        each for each in recording.site.services if each.name == _SERVICE[name]
    )
    flow = recording.flows[0]
    for upstream in recording.fleet.upstreams:
        if upstream.endswith(service.name):
            run_ms = {flow.prefix: 250}
            recording.fleet.set_behaviour(upstream, run_ms=run_ms)
    capacity = service.upstreams * service.slots / 0.25
    factor = 2 * capacity / flow.rate_per_s
    recording.rate_steps[flow.prefix] = [
        Step(0, 4, 0.5),
        Step(4, 8, factor),
        Step(8, 99, 0.5),
    ]
    return 14


@scenario('outage')
def outage(recording: Recording, faulty: str) -> float:
    """All work of the main service fails for three seconds."""
    service = _SERVICE[recording.site.name]
    for upstream in recording.fleet.upstreams:
        if upstream.endswith(service):
            recording.set_later(4, upstream, fail_share=1)
            recording.set_later(7, upstream, fail_share=0)
    return 12


@scenario('long-work')
def long_work(recording: Recording, faulty: str) -> float:
    """Short work beside long work, at 70 % of the capacity."""
    prefixes: dict[str, dict[str, float]] = {
        'helvetia': {'/bundles': 3.8, '/ledger': 3.4},
        'amakusa': {'/labels': 6.5, '/dispatch': 4},
    }
    for prefix, factor in prefixes[recording.site.name].items():
        recording.rate_steps[prefix] = [Step(0, 99, factor)]
    return 16


def _send(recording: Recording, path: str) -> None:
    node = next(iter(recording.fleet.nodes.values()))
    client = HttpClient(Address(_IP, node.caller_port), _TIMEOUT_S)
    client.send(HttpRequest('GET', path))
    client.close()


def _replace_upstream(recording: Recording, number: int) -> None:
    fleet = recording.fleet
    service = _main_service(recording)
    old_vm = f'{service.name.split("-")[0]}-{number}'
    zone = fleet.upstreams[f'{old_vm}/{service.name}'].zone
    fleet.set_behaviour(f'{old_vm}/{service.name}', draining=True)
    placements = [(f'{old_vm}-new', zone)]
    behaviour = service.behaviour(cold_ms=2000)
    behaviour['run_ms'] = run_times(recording.flows, service.name)
    fleet.start_upstreams(service.name, placements, service.slots, behaviour)
    fleet.leaving.add(old_vm)
    fleet.publish_vms()
    gevent.sleep(2)
    fleet.upstreams.pop(f'{old_vm}/{service.name}')
    fleet.publish_vms()


def _kill_zone(recording: Recording) -> None:
    zone = recording.site.zones[-1]
    fleet = recording.fleet
    for node in fleet.nodes.values():
        if node.zone == zone:
            node.process.kill()
    for process in fleet.by_zone[zone]:
        process.kill()


def _main_service(recording: Recording) -> SiteService:
    name = _SERVICE[recording.site.name]
    return next(each for each in recording.site.services if each.name == name)


def run_times(flows: list[Flow], service: str) -> dict[str, float]:
    return {
        flow.prefix: flow.run_ms for flow in flows if flow.service == service
    }


__all__ = (
    'FAULTY_UPSTREAMS',
    'FLOWS',
    'SCENARIOS',
    'Flow',
    'Recording',
    'Step',
    'run_times',
)
