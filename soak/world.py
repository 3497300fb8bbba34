"""The fleet of a soak: real nodes and stand-ins, reached through relays."""

from __future__ import annotations

import signal
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, Final

import gevent
from geventhttpclient.response import HTTPParseError

from standins.fleet import Fleet, config_files, read_json
from standins.relay import Relay
from standins.sites import HELVETIA

from .evidence import Evidence, Leaving, Run, Sample, Stop

if TYPE_CHECKING:
    from standins.fleet import NodeProcess

_SAMPLE_S: Final = 0.5
_POLL_S: Final = 0.02
# A node that has not ended by then is taken for stuck.
_STOP_S: Final = 40.0
_CHANGED_FILE: Final = '99-soak.yaml'


class World:
    """Starts the processes, changes them, and keeps what is seen.

    :param node_count: nodes, each beside an upstream.
    """

    def __init__(self, node_count: int) -> None:
        self.evidence = Evidence()
        self.fleet = Fleet()
        self.stack = ExitStack()
        self.stack.callback(self.fleet.close)
        self.relays: dict[str, Relay] = {}
        self._service = HELVETIA.services[0]
        self._spots = HELVETIA.spots(self._service)[:node_count]
        self._files = config_files(HELVETIA.folder)
        self._version = 0
        self._store_faults: list[tuple[float, float]] = []
        self._store_left_s: float | None = None
        self._began_s = time.monotonic()
        self._began_at = time.time()

    @property
    def vms(self) -> tuple[str, ...]:
        """VMs that carry a node."""
        return tuple(vm for vm, _ in self._spots)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Names of the upstreams."""
        return tuple(self.fleet.upstreams)

    @property
    def now_s(self) -> float:
        """Time since the soak began."""
        return time.monotonic() - self._began_s

    def close(self) -> None:
        """End all processes and relays."""
        self.stack.close()

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.fleet.place = self._place
        self.fleet.start_platform()
        self.fleet.start_service(self._service, self._spots)
        self.fleet.publish_vms()
        self.change_config()
        self.fleet.await_ready()
        self._began_s = time.monotonic()
        self._began_at = time.time()
        self.evidence.published = [(0, self._version)]

    def watch(self) -> None:
        """Sample the status of all nodes from now on."""
        for vm in self.vms:
            sampler = gevent.spawn(self._sample, vm)
            self.stack.callback(sampler.kill)

    def node(self, vm: str) -> NodeProcess:
        """Return the node of a VM, the latest of its starts."""
        return self.fleet.nodes[vm]

    def stop(self, vm: str) -> None:
        """Ask a node to stop and wait for its end."""
        process = self.node(vm).process
        asked_s = self.now_s
        process.send_signal(signal.SIGTERM)
        while process.poll() is None and self.now_s < asked_s + _STOP_S:
            gevent.sleep(_POLL_S)
        code = process.poll()
        self.evidence.stops.append(
            Stop(vm, asked_s, self.now_s, -1 if code is None else code)
        )

    def start_again(self, vm: str) -> None:
        """Start a node anew, after ending it if it still runs."""
        self.fleet.kill_node(vm)
        self.fleet.start_again(vm)

    def signal(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.node(vm).process.send_signal(number)

    def set_leaving(self, upstream: str, *, leaving: bool) -> None:
        """List the VM of an upstream as leaving, or as before."""
        vm = upstream.partition('/')[0]
        if leaving:
            self.fleet.leaving.add(vm)
        else:
            self.fleet.leaving.discard(vm)
        self.fleet.publish_vms()

    def note_left(self, upstream: str, from_s: float) -> None:
        """Keep that an upstream was listed as leaving until now.

        If the store could not tell it then, nodes can know it from when the
        store is back.
        """
        known_s = from_s
        for left_s, back_s in self._store_faults:
            if left_s <= from_s < back_s:
                known_s = back_s
        leaving = Leaving(upstream, known_s, self.now_s)
        self.evidence.leavings.append(leaving)

    def set_store(self, mode: str) -> None:
        """Let the platform be ``up``, ``down`` or ``stale``."""
        if mode != 'up':
            self._store_left_s = self.now_s
        elif self._store_left_s is not None:
            self._store_faults.append((self._store_left_s, self.now_s))
            self._store_left_s = None
        self.fleet.set_platform_mode(mode)

    def change_config(self) -> None:
        """Publish a newer configuration."""
        self._version += 1
        text = f'# change {self._version}\nzones: {{}}\n'
        files = {**self._files, _CHANGED_FILE: text}
        self.fleet.publish('config', files, version=self._version)
        self.evidence.published.append((self.now_s, self._version))

    def take_config_back(self) -> None:
        """Publish an older version, as a store that lost its latest writes."""
        older = max(1, self._version - 1)
        self.fleet.publish('config', self._files, version=older)

    def gather_runs(self) -> None:
        """Take over what the upstreams say that they have started."""
        self.evidence.runs = [
            Run(
                each['key'],
                each['upstream'],
                each['started_at'] - self._began_at,
            )
            for each in self.fleet.executed()
        ]

    def _place(self, vm: str, port: int) -> int:
        relay = Relay(port)
        relay.start()
        self.stack.callback(relay.stop)
        self.relays[vm] = relay
        return relay.port

    def _sample(self, vm: str) -> None:
        while True:
            gevent.sleep(_SAMPLE_S)
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


def new_world(node_count: int) -> World:
    """Return a started world; whoever asks for it closes it.

    :param node_count: nodes, each beside an upstream.
    """
    world = World(node_count)
    with ExitStack() as stack:
        stack.callback(world.close)
        world.start()
        stack.pop_all()
    return world


__all__ = ('World', 'new_world')
