"""Starts stand-ins and nodes as processes, for demo, bench and tests."""

from __future__ import annotations

import json
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import SystemRandom
from typing import TYPE_CHECKING, Any, Final

import gevent
from geventhttpclient.response import HTTPParseError

from jackdawhead.bench.client import Call, CallerClient, Reply
from jackdawhead.config.settings import Address

if TYPE_CHECKING:
    from .sites import SiteService

_KEY: Final = 'a-shared-key-for-tests-only'
_PORTS: Final = (10_000, 30_000)
_START_S: Final = 30.0
_POLL_S: Final = 0.05
_CALL_S: Final = 30.0
_LOG_LINES: Final = 12
_IP: Final = '127.0.0.1'
_POISON: Final = '/cultivars/poison'
_ROOT: Final = Path(__file__).resolve().parent.parent


@dataclass(slots=True)
class NodeProcess:
    """A running node and its ports."""

    vm: str
    zone: str
    caller_port: int
    stream_port: int
    admin_port: int
    process: subprocess.Popen[bytes]
    log: Path


@dataclass(slots=True)
class UpstreamSpot:
    """Where an upstream of a stand-in listens."""

    vm: str
    zone: str
    service: str
    port: int


@dataclass(slots=True)
class Fleet:
    """Processes of one test or demo; closing it ends all of them."""

    stack: ExitStack = field(default_factory=ExitStack)
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    upstreams: dict[str, UpstreamSpot] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    listed_ports: dict[str, int] = field(default_factory=dict)
    relayed_upstreams: dict[str, int] = field(default_factory=dict)
    node_settings: dict[str, Any] = field(default_factory=dict)
    place: Callable[[str, int], int] = field(default=lambda _, port: port)
    by_zone: dict[str, list[subprocess.Popen[bytes]]] = field(
        default_factory=dict
    )
    platform_port: int = 0
    platform_process: subprocess.Popen[bytes] | None = None
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))

    def __post_init__(self) -> None:
        self.stack.callback(shutil.rmtree, self.folder, ignore_errors=True)

    def close(self) -> None:
        """End all processes."""
        self.stack.close()

    def start_platform(self, port: int = 0) -> int:
        """Start a platform, the latest of which is used; return its port."""
        process = self._spawn('standins.platform', '--port', str(port))
        self.platform_process = process
        self.platform_port = int(_first_line(process)['port'])
        return self.platform_port

    def start_upstreams(
        self,
        service: str,
        spots: list[tuple[str, str]],
        slots: int,
        behaviour: dict[str, Any],
    ) -> subprocess.Popen[bytes]:
        """Start a process with upstreams.

        :param spots: VM and zone of each.
        """
        names = [f'{vm}/{service}' for vm, _ in spots]
        process = self._spawn(
            'standins.upstream',
            *names,
            '--slots',
            str(slots),
            '--behaviour',
            json.dumps(behaviour),
        )
        ports = _first_line(process)
        for (vm, zone), name in zip(spots, names, strict=True):
            self.upstreams[name] = UpstreamSpot(vm, zone, service, ports[name])
        return process

    def start_service(
        self,
        service: SiteService,
        spots: list[tuple[str, str]],
        **behaviour: Any,
    ) -> None:
        """Start upstreams of a service, and a node beside each.

        :param spots: VM and zone of each.
        """
        self.start_upstreams(
            service.name, spots, service.slots, service.behaviour(**behaviour)
        )
        for vm, zone in spots:
            self.start_node(vm, zone)

    def start_node(
        self,
        vm: str,
        zone: str,
        ports: tuple[int, int, int] | None = None,
        **extra: Any,
    ) -> NodeProcess:
        """Start a node; it is not awaited."""
        caller, stream, admin = ports or self.reserve_ports(3)
        folder = self.folder / f'{vm}-settings'
        folder.mkdir(exist_ok=True)
        settings = {
            'vm': vm,
            'zone': zone,
            'caller_address': f'{_IP}:{caller}',
            'stream_address': f'{_IP}:{stream}',
            'admin_address': f'{_IP}:{admin}',
            'platform_address': f'{_IP}:{self.platform_port}',
            'stream_keys': [_KEY],
            **self.node_settings,
            **extra,
        }
        (folder / '10-node.yaml').write_text(json.dumps(settings))
        log = self.folder / f'{vm}.log'
        process = self._spawn(
            'jackdawhead',
            'node',
            '--settings',
            str(folder),
            log=log,
        )
        node = NodeProcess(vm, zone, caller, stream, admin, process, log)
        self.nodes[vm] = node
        return node

    def start_again(self, vm: str, **extra: Any) -> NodeProcess:
        """Start a node that has ended anew, with the same addresses."""
        node = self.nodes[vm]
        ports = (node.caller_port, node.stream_port, node.admin_port)
        return self.start_node(vm, node.zone, ports, **extra)

    def kill_node(self, vm: str) -> None:
        """End a node at once."""
        process = self.nodes[vm].process
        process.kill()
        process.wait()

    def reserve_ports(self, count: int) -> tuple[int, ...]:
        """Return ports outside the ephemeral range, kept until the end."""
        rng = SystemRandom()
        found: list[int] = []
        while len(found) < count:
            port = rng.randint(*_PORTS)
            keeper = _reserved(port)
            if keeper is not None:
                self.stack.callback(keeper.close)
                found.append(port)
        return tuple(found)

    def publish_vms(self) -> None:
        """Publish the list of all VMs."""
        self.publish('vms', self.listed_vms(self.listed_port))

    def listed_vms(
        self,
        port_of: Callable[[NodeProcess], int],
    ) -> list[dict[str, Any]]:
        """Return the list of all VMs.

        :param port_of: gives the stream port by which a node is listed.
        """
        vms: dict[str, dict[str, Any]] = {}
        for spot in self.upstreams.values():
            vm = vms.setdefault(spot.vm, _vm(spot.vm, spot.zone))
            name = f'{spot.vm}/{spot.service}'
            port = self.relayed_upstreams.get(name, spot.port)
            vm['upstream_ports'][spot.service] = port
        for node in self.nodes.values():
            vm = vms.setdefault(node.vm, _vm(node.vm, node.zone))
            vm['stream_port'] = port_of(node)
        for name in self.leaving & vms.keys():
            vms[name]['leaving'] = True
        return list(vms.values())

    def listed_port(self, node: NodeProcess) -> int:
        """Return the stream port of a node as the list names it."""
        if node.vm not in self.listed_ports:
            self.listed_ports[node.vm] = self.place(node.vm, node.stream_port)
        return self.listed_ports[node.vm]

    def publish_config(self, folder: Path, port: int = 0) -> Reply:
        """Publish a folder of configuration files.

        :param port: of the platform, the latest one by default.
        """
        return self.publish('config', config_files(folder), port)

    def publish(
        self,
        key: str,
        value: Any,
        port: int = 0,
        **extra: Any,
    ) -> Reply:
        """Publish a value at the platform.

        :param port: of the platform, the latest one by default.
        """
        fields = {'key': key, 'value': value, **extra}
        return call(
            port or self.platform_port,
            'POST',
            '/_control/publish',
            json.dumps(fields),
        )

    def control(self, upstream: str, **fields: Any) -> None:
        """Change how an upstream behaves."""
        port = self.upstreams[upstream].port
        reply = call(port, 'POST', '/_control', json.dumps(fields))
        assert reply.status == 200, reply

    def set_platform_mode(self, mode: str) -> None:
        """Let the platform be ``up``, ``down`` or ``stale``."""
        fields = json.dumps({'mode': mode})
        call(self.platform_port, 'POST', '/_control/mode', fields)

    def executed(self) -> list[dict[str, Any]]:
        """Return the work that all upstreams have started."""
        records: list[dict[str, Any]] = []
        for spot in self.upstreams.values():
            records.extend(_read_when_up(spot.port, '/_control/executed'))
        return records

    def audit(self, vm: str) -> list[dict[str, Any]]:
        """Return the audit trail of a node."""
        found: list[dict[str, Any]] = read_json(
            self.nodes[vm].admin_port,
            '/audit',
        )
        return found

    def report(self) -> str:
        """Return which nodes have ended and what all nodes last logged."""
        return '\n'.join(
            f'{vm}: exit code {node.process.poll()}\n{_last_lines(node.log)}'
            for vm, node in self.nodes.items()
        )

    def pause(self, vm: str, seconds: float) -> None:
        """Stop a node's process for a time."""
        process = self.nodes[vm].process
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def await_ready(self, vms: list[str] | None = None) -> None:
        """Wait until nodes are ready and know all upstreams."""
        for vm in vms or list(self.nodes):
            wait_until(partial(self._is_ready, self.nodes[vm]), f'{vm} ready')

    def stop_node(self, vm: str, timeout_s: float = _START_S) -> int:
        """Ask a node to stop; return its exit code."""
        process = self.nodes[vm].process
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: process.poll() is not None, 'exit', timeout_s)
        return process.returncode

    def _is_ready(self, node: NodeProcess) -> bool:
        if node.process.poll() is not None:
            raise AssertionError(node.log.read_text())
        try:
            status = read_json(node.admin_port, '/status')
        except OSError:
            return False
        members = {
            each['service']: each['members'] for each in status['services']
        }
        expected: dict[str, int] = {}
        for spot in self.upstreams.values():
            if spot.vm not in self.leaving:
                expected[spot.service] = expected.get(spot.service, 0) + 1
        return status['ready'] and expected.items() <= members.items()

    def _spawn(
        self,
        module: str,
        *arguments: str,
        log: Path | None = None,
    ) -> subprocess.Popen[bytes]:
        errors = self.stack.enter_context(
            (log or self.folder / f'{module}.log').open('ab'),
        )
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=errors if log else subprocess.PIPE,
            stderr=errors,
            cwd=_ROOT,
        )
        self.stack.callback(end_process, process)
        return process


def call(
    port: int,
    method: str,
    target: str,
    body: str | bytes = b'',
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a connection of its own."""
    payload = body.encode() if isinstance(body, str) else body
    client = CallerClient(Address(_IP, port), _CALL_S)
    try:
        return client.send(Call(method, target, payload, headers or {}))
    finally:
        client.close()


def crash_upstream(port: int) -> None:
    """Crash an upstream by a request sent to it directly."""
    try:
        call(port, 'GET', _POISON)
    except (OSError, HTTPParseError):
        # The crash takes the connection with it.
        return


def config_files(folder: Path) -> dict[str, str]:
    """Return the texts of a folder of configuration, by file name."""
    return {path.name: path.read_text() for path in folder.glob('*.yaml')}


def read_json(port: int, target: str) -> Any:
    """Return what a GET answers, as plain data."""
    return json.loads(call(port, 'GET', target).body)


def _read_when_up(port: int, target: str) -> Any:
    """Return what a GET answers, waiting for a restart after a crash."""
    end = time.monotonic() + _START_S
    while True:
        try:
            return read_json(port, target)
        except (OSError, HTTPParseError):
            if time.monotonic() > end:
                raise
        gevent.sleep(_POLL_S)


def wait_until(
    condition: Any,
    what: str,
    timeout_s: float = _START_S,
) -> None:
    """Wait for a condition with an ample bound."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f'not in {timeout_s} s: {what}')
        gevent.sleep(_POLL_S)


def _reserved(port: int) -> socket.socket | None:
    """Return a socket that keeps a free port from others, or nothing.

    A process that sets SO_REUSEADDR, as listeners do, can still listen on
    it, while a plain bind, as another run of tests tries, fails.
    """
    with socket.socket() as probe:
        try:
            probe.bind((_IP, port))
        except OSError:
            return None
    keeper = socket.socket()
    keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    keeper.bind((_IP, port))
    return keeper


def _vm(name: str, zone: str) -> dict[str, Any]:
    return {'name': name, 'zone': zone, 'ip': _IP, 'upstream_ports': {}}


def _last_lines(log: Path) -> str:
    lines = log.read_text(errors='replace').splitlines()
    return '\n'.join(lines[-_LOG_LINES:])


def _first_line(process: subprocess.Popen[bytes]) -> Any:
    assert process.stdout is not None
    return json.loads(process.stdout.readline())


def end_process(process: subprocess.Popen[bytes]) -> None:
    """End a process that a test has started, paused or not."""
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()


__all__ = (
    'Fleet',
    'NodeProcess',
    'Reply',
    'call',
    'config_files',
    'crash_upstream',
    'end_process',
    'read_json',
    'wait_until',
)
