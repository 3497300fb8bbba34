"""Testbed of a run: real nodes behind relays, and stand-in upstreams."""

from __future__ import annotations

import signal
import time
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import gevent
from geventhttpclient.response import HTTPParseError

from standins.fleet import Fleet, config_files, read_json, wait_until
from standins.relay import Relay
from standins.sites import HELVETIA

from .evidence import Evidence, LeavingPeriod, NodeStop, Run, Sample
from .organisations import config_text

if TYPE_CHECKING:
    from standins.fleet import NodeProcess

_SAMPLE_INTERVAL_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.02
# A node that has not ended by then counts as hung.
_STOP_TIMEOUT_S: Final = 40.0
_SHORT_STOP_TIMEOUT_S: Final = 6.0
_SHORT_STOPS: Final = {
    'drain_ms': 5100,
    'accept_while_leaving_ms': 2600,
    'drain_idle_ms': 0,
}
_TAIL_CONFIG: Final = Path(__file__).resolve().parent / 'registry-desk.yaml'
_TAIL_CONFIG_NAME: Final = '20-registry-desk.yaml'
_ORGANISATIONS_FILE: Final = '90-organisations.yaml'
_CHANGE_FILE: Final = '99-soak.yaml'


class Testbed:
    """Starts the processes, applies faults to them, records observations.

    :param node_count: number of VMs, each with a node and an upstream.
    :param has_short_stops: whether nodes have as little time to stop as on a
        platform that kills them after 6 s; work may then take some seconds.
    """

    def __init__(
        self, node_count: int, *, has_short_stops: bool = False
    ) -> None:
        self.evidence = Evidence()
        self.fleet = Fleet()
        self.stack = ExitStack()
        self.stack.callback(self.fleet.close)
        self.relays: dict[str, Relay] = {}
        self.stopping: list[str] = []
        self._service = replace(HELVETIA.services[0], upstreams=node_count)
        self._placements = HELVETIA.placements(self._service)
        self._files = config_files(HELVETIA.folder)
        self._files[_ORGANISATIONS_FILE] = config_text()
        self._stop_timeout_s = _STOP_TIMEOUT_S
        if has_short_stops:
            self.fleet.node_settings = _SHORT_STOPS
            self._stop_timeout_s = _SHORT_STOP_TIMEOUT_S
            self._files[_TAIL_CONFIG_NAME] = _TAIL_CONFIG.read_text()
        self._version = 0
        self._store_faults: list[tuple[float, float]] = []
        self._store_fault_start_s: float | None = None
        self._start_s = time.monotonic()
        self._start_unix_s = time.time()

    @property
    def vms(self) -> tuple[str, ...]:
        """Names of the VMs, each of which runs a node."""
        return tuple(vm for vm, _ in self._placements)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Names of the upstreams."""
        return tuple(self.fleet.upstreams)

    @property
    def now_s(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._start_s

    def close(self) -> None:
        """Kill all processes and stop the relays."""
        self.stack.close()

    def start(self) -> None:
        """Start all processes and wait until the nodes are ready."""
        self.fleet.listed_port_for = self._add_relay
        self.fleet.start_platform()
        self.fleet.start_service(self._service, self._placements)
        self.fleet.publish_vms()
        self.change_config()
        self.fleet.await_ready()
        self._start_s = time.monotonic()
        self._start_unix_s = time.time()
        self.evidence.published = [(0, self._version)]

    def start_sampling(self) -> None:
        """Sample the status of all nodes in the background."""
        for vm in self.vms:
            sampler = gevent.spawn(self._sample, vm)
            self.stack.callback(sampler.kill)

    def node(self, vm: str) -> NodeProcess:
        """Return the current node process of a VM."""
        return self.fleet.nodes[vm]

    def stop_node(self, vm: str) -> None:
        """Stop a node with SIGTERM and record how it ends.

        A node that has just been restarted handles SIGTERM once it has loaded
        its libraries; until then the signal ends it, as it has no work.
        """
        wait_until(lambda: self.has_started(vm), f'start of {vm}')
        process = self.node(vm).process
        requested_s = self.now_s
        process.send_signal(signal.SIGTERM)
        self.stopping.append(vm)
        while (
            process.poll() is None
            and self.now_s < requested_s + self._stop_timeout_s
        ):
            gevent.sleep(_POLL_INTERVAL_S)
        code = process.poll()
        self.stopping.remove(vm)
        self.evidence.stops.append(
            NodeStop(vm, requested_s, self.now_s, -1 if code is None else code)
        )

    def has_started(self, vm: str) -> bool:
        """Return whether a node handles signals and answers questions."""
        try:
            read_json(self.node(vm).admin_port, '/readyz')
        except OSError:
            return False
        return True

    def restart_node(self, vm: str) -> None:
        """Restart a node, killing it if it still runs."""
        self.fleet.kill_node(vm)
        self.fleet.restart_node(vm)

    def send_signal(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.node(vm).process.send_signal(number)

    def set_leaving(self, upstream: str, *, leaving: bool) -> None:
        """List the VM of an upstream as leaving, or as staying."""
        vm = upstream.partition('/')[0]
        if leaving:
            self.fleet.leaving.add(vm)
        else:
            self.fleet.leaving.discard(vm)
        self.fleet.publish_vms()

    def record_leaving(self, upstream: str, from_s: float) -> None:
        """Record that an upstream was listed as leaving until now.

        If the store was down or stale at that time, the period starts when
        the store recovers, as nodes cannot know of it before.

        :param from_s: time at which the upstream was listed as leaving.
        """
        known_s = from_s
        for fault_start_s, fault_end_s in self._store_faults:
            if fault_start_s <= from_s < fault_end_s:
                known_s = fault_end_s
        leaving = LeavingPeriod(upstream, known_s, self.now_s)
        self.evidence.leaving_periods.append(leaving)

    def set_store_mode(self, mode: str) -> None:
        """Set the platform ``up``, ``down`` or ``stale``."""
        if mode != 'up':
            self._store_fault_start_s = self.now_s
        elif self._store_fault_start_s is not None:
            self._store_faults.append((self._store_fault_start_s, self.now_s))
            self._store_fault_start_s = None
        self.fleet.set_platform_mode(mode)

    def change_config(self) -> None:
        """Publish the next version of the configuration."""
        self._version += 1
        text = f'# change {self._version}\nzones: {{}}\n'
        files = {**self._files, _CHANGE_FILE: text}
        self.fleet.publish('config', files, version=self._version)
        self.evidence.published.append((self.now_s, self._version))

    def roll_back_config(self) -> None:
        """Publish an older version, as if the store lost its last writes."""
        older = max(1, self._version - 1)
        self.fleet.publish('config', self._files, version=older)

    def collect_runs(self) -> None:
        """Collect the executions that the upstreams have recorded."""
        self.evidence.runs = [
            Run(
                each['key'],
                each['upstream'],
                each['started_at'] - self._start_unix_s,
                each['state'] == 'cancelled',
                self._run_time_s(each['ended_at']),
                each['organisation'],
                bool(each['credential']),
            )
            for each in self.fleet.executed_work()
        ]

    def _run_time_s(self, unix_s: float) -> float | None:
        return unix_s - self._start_unix_s if unix_s else None

    def _add_relay(self, vm: str, port: int) -> int:
        relay = Relay(port)
        relay.start()
        self.stack.callback(relay.stop)
        self.relays[vm] = relay
        return relay.port

    def _sample(self, vm: str) -> None:
        while True:
            gevent.sleep(_SAMPLE_INTERVAL_S)
            try:
                status = read_json(self.node(vm).admin_port, '/status')
            except (OSError, HTTPParseError, ValueError):
                # A node that is down, paused or starting has no status.
                continue
            self.evidence.samples.append(self._sample_of(vm, status))

    def _sample_of(self, vm: str, status: dict[str, Any]) -> Sample:
        service: dict[str, int] = next(iter(status['services']), {})
        used = service.get('used', 0)
        return Sample(
            vm,
            status['incarnation'],
            self.now_s,
            status['config_version'],
            used,
            service.get('well', used),
        )


def start_testbed(node_count: int, *, has_short_stops: bool = False) -> Testbed:
    """Start a testbed, which the caller has to close.

    :param node_count: number of VMs, each with a node and an upstream.
    :param has_short_stops: whether nodes have little time to stop.
    """
    testbed = Testbed(node_count, has_short_stops=has_short_stops)
    with ExitStack() as stack:
        stack.callback(testbed.close)
        testbed.start()
        stack.pop_all()
    return testbed


__all__ = ('Testbed', 'start_testbed')
