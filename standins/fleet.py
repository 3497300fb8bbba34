"""Runs stand-ins and nodes as processes, for the demo, bench and tests."""

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

from jackdawhead.bench.client import HttpClient, HttpRequest, HttpResponse
from jackdawhead.config.settings import Address

if TYPE_CHECKING:
    from .sites import SiteService

STREAM_KEY: Final = 'a-shared-key-for-tests-only'
_PORT_RANGE: Final = (10_000, 30_000)
_START_TIMEOUT_S: Final = 30.0
_POLL_INTERVAL_S: Final = 0.05
_CALL_TIMEOUT_S: Final = 30.0
_LOG_LINES: Final = 12
_IP: Final = '127.0.0.1'
_POISON_PATH: Final = '/cultivars/poison'
_ROOT: Final = Path(__file__).resolve().parent.parent


@dataclass(slots=True)
class NodeProcess:
    """A node's process and its ports."""

    vm: str
    zone: str
    caller_port: int
    stream_port: int
    admin_port: int
    process: subprocess.Popen[bytes]
    log: Path


@dataclass(slots=True)
class UpstreamEndpoint:
    """The location and the port of a stand-in upstream."""

    vm: str
    zone: str
    service: str
    port: int


@dataclass(slots=True)
class Fleet:
    """Processes of one test or demo; ``close`` kills all of them."""

    stack: ExitStack = field(default_factory=ExitStack)
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    upstreams: dict[str, UpstreamEndpoint] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    published_stream_ports: dict[str, int] = field(default_factory=dict)
    published_upstream_ports: dict[str, int] = field(default_factory=dict)
    node_settings: dict[str, Any] = field(default_factory=dict)
    listed_port_for: Callable[[str, int], int] = field(
        default=lambda _, port: port
    )
    by_zone: dict[str, list[subprocess.Popen[bytes]]] = field(
        default_factory=dict
    )
    platform_port: int = 0
    platform_process: subprocess.Popen[bytes] | None = None
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))

    def __post_init__(self) -> None:
        self.stack.callback(shutil.rmtree, self.folder, ignore_errors=True)

    def close(self) -> None:
        """Kill all processes and remove their files."""
        self.stack.close()

    def start_platform(self, port: int = 0) -> int:
        """Start a stand-in platform, use it from now on, return its port."""
        process = self._spawn('standins.platform', '--port', str(port))
        self.platform_process = process
        self.platform_port = int(_read_first_line(process)['port'])
        return self.platform_port

    def start_upstreams(
        self,
        service: str,
        placements: list[tuple[str, str]],
        slots: int,
        behaviour: dict[str, Any],
    ) -> subprocess.Popen[bytes]:
        """Start one process that runs upstreams of a service.

        :param placements: VM and zone of each upstream.
        """
        names = [f'{vm}/{service}' for vm, _ in placements]
        process = self._spawn(
            'standins.upstream',
            *names,
            '--slots',
            str(slots),
            '--behaviour',
            json.dumps(behaviour),
        )
        ports = _read_first_line(process)
        for (vm, zone), name in zip(placements, names, strict=True):
            self.upstreams[name] = UpstreamEndpoint(
                vm, zone, service, ports[name]
            )
        return process

    def start_service(
        self,
        service: SiteService,
        placements: list[tuple[str, str]],
        **behaviour: Any,
    ) -> None:
        """Start upstreams of a service, and a node on the VM of each.

        :param placements: VM and zone of each upstream.
        """
        self.start_upstreams(
            service.name,
            placements,
            service.slots,
            service.behaviour(**behaviour),
        )
        for vm, zone in placements:
            self.start_node(vm, zone)

    def start_node(
        self,
        vm: str,
        zone: str,
        ports: tuple[int, int, int] | None = None,
        **extra: Any,
    ) -> NodeProcess:
        """Start a node without waiting until it is ready."""
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
            'stream_keys': [STREAM_KEY],
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

    def restart_node(self, vm: str, **extra: Any) -> NodeProcess:
        """Restart a node that has ended, with the same addresses."""
        node = self.nodes[vm]
        ports = (node.caller_port, node.stream_port, node.admin_port)
        return self.start_node(vm, node.zone, ports, **extra)

    def kill_node(self, vm: str) -> None:
        """Kill a node with SIGKILL."""
        process = self.nodes[vm].process
        process.kill()
        process.wait()

    def reserve_ports(self, count: int) -> tuple[int, ...]:
        """Reserve ports outside the ephemeral range until ``close``."""
        rng = SystemRandom()
        found: list[int] = []
        while len(found) < count:
            port = rng.randint(*_PORT_RANGE)
            reservation = _reserve_port(port)
            if reservation is not None:
                self.stack.callback(reservation.close)
                found.append(port)
        return tuple(found)

    def publish_vms(self) -> None:
        """Publish the VM list at the platform."""
        self.publish('vms', self.vm_list(self.published_stream_port))

    def vm_list(
        self,
        port_of: Callable[[NodeProcess], int],
    ) -> list[dict[str, Any]]:
        """Return the VM list.

        :param port_of: returns the stream port to list for a node.
        """
        vms: dict[str, dict[str, Any]] = {}
        for endpoint in self.upstreams.values():
            vm = vms.setdefault(
                endpoint.vm, _vm_entry(endpoint.vm, endpoint.zone)
            )
            name = f'{endpoint.vm}/{endpoint.service}'
            port = self.published_upstream_ports.get(name, endpoint.port)
            vm['upstream_ports'][endpoint.service] = port
        for node in self.nodes.values():
            vm = vms.setdefault(node.vm, _vm_entry(node.vm, node.zone))
            vm['stream_port'] = port_of(node)
        for name in self.leaving & vms.keys():
            vms[name]['leaving'] = True
        return list(vms.values())

    def published_stream_port(self, node: NodeProcess) -> int:
        """Return the stream port that the VM list has for a node."""
        if node.vm not in self.published_stream_ports:
            self.published_stream_ports[node.vm] = self.listed_port_for(
                node.vm, node.stream_port
            )
        return self.published_stream_ports[node.vm]

    def publish_config(self, folder: Path, port: int = 0) -> HttpResponse:
        """Publish a folder of configuration files.

        :param port: of the platform to use, the latest one by default.
        """
        return self.publish('config', config_files(folder), port)

    def publish(
        self,
        key: str,
        value: Any,
        port: int = 0,
        **extra: Any,
    ) -> HttpResponse:
        """Publish a value at the platform.

        :param port: of the platform to use, the latest one by default.
        """
        fields = {'key': key, 'value': value, **extra}
        return call(
            port or self.platform_port,
            'POST',
            '/_control/publish',
            json.dumps(fields),
        )

    def set_behaviour(self, upstream: str, **fields: Any) -> None:
        """Change settings of an upstream's behaviour."""
        port = self.upstreams[upstream].port
        reply = call(port, 'POST', '/_control', json.dumps(fields))
        assert reply.status == 200, reply

    def set_platform_mode(self, mode: str) -> None:
        """Set the platform ``up``, ``down`` or ``stale``."""
        fields = json.dumps({'mode': mode})
        call(self.platform_port, 'POST', '/_control/mode', fields)

    def executed_work(self) -> list[dict[str, Any]]:
        """Return the work that all upstreams have started."""
        records: list[dict[str, Any]] = []
        for endpoint in self.upstreams.values():
            records.extend(_poll_json(endpoint.port, '/_control/executed'))
        return records

    def audit(self, vm: str) -> list[dict[str, Any]]:
        """Return the audit trail of a node."""
        found: list[dict[str, Any]] = read_json(
            self.nodes[vm].admin_port,
            '/audit',
        )
        return found

    def log_summary(self) -> str:
        """Return the exit code and the last log lines of each node."""
        return '\n'.join(
            f'{vm}: exit code {node.process.poll()}\n{_last_lines(node.log)}'
            for vm, node in self.nodes.items()
        )

    def pause_node(self, vm: str, seconds: float) -> None:
        """Suspend a node's process with SIGSTOP for a time."""
        process = self.nodes[vm].process
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def await_ready(self, vms: list[str] | None = None) -> None:
        """Wait until nodes (default: all) are ready and know all upstreams."""
        for vm in vms or list(self.nodes):
            wait_until(partial(self._is_ready, self.nodes[vm]), f'{vm} ready')

    def stop_node(self, vm: str, timeout_s: float = _START_TIMEOUT_S) -> int:
        """Stop a node with SIGTERM and return its exit code."""
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
        for endpoint in self.upstreams.values():
            if endpoint.vm not in self.leaving:
                expected[endpoint.service] = (
                    expected.get(endpoint.service, 0) + 1
                )
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
        self.stack.callback(kill_process, process)
        return process


def call(
    port: int,
    method: str,
    target: str,
    body: str | bytes = b'',
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Send one request on a new connection."""
    payload = body.encode() if isinstance(body, str) else body
    client = HttpClient(Address(_IP, port), _CALL_TIMEOUT_S)
    try:
        return client.send(HttpRequest(method, target, payload, headers or {}))
    finally:
        client.close()


def send_poison_request(port: int) -> None:
    """Crash an upstream with a poison request sent directly to it."""
    try:
        call(port, 'GET', _POISON_PATH)
    except (OSError, HTTPParseError):
        # The crash resets the connection.
        return


def config_files(folder: Path) -> dict[str, str]:
    """Return the texts of a folder's configuration files by file name."""
    return {path.name: path.read_text() for path in folder.glob('*.yaml')}


def count_upstreams_that_ran(fleet: Fleet, path: str) -> int:
    """Return how many upstreams have started a request of a path."""
    return sum(
        any(
            each['path'] == path
            for each in _poll_json(endpoint.port, '/_control/executed')
        )
        for endpoint in fleet.upstreams.values()
    )


def read_json(port: int, target: str) -> Any:
    """Send a GET and return the decoded JSON answer."""
    return json.loads(call(port, 'GET', target).body)


def _poll_json(port: int, target: str) -> Any:
    """Send a GET, retrying while the upstream restarts after a crash."""
    end = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            return read_json(port, target)
        except (OSError, HTTPParseError):
            if time.monotonic() > end:
                raise
        gevent.sleep(_POLL_INTERVAL_S)


def wait_until(
    condition: Any,
    what: str,
    timeout_s: float = _START_TIMEOUT_S,
) -> None:
    """Wait until a condition holds; raise AssertionError on timeout."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f'timeout after {timeout_s} s: {what}')
        gevent.sleep(_POLL_INTERVAL_S)


def _reserve_port(port: int) -> socket.socket | None:
    """Return a socket that reserves a port, or ``None`` if it is taken.

    Listeners, which set SO_REUSEADDR, can still bind the port; the plain bind
    by which another test run looks for a free port fails.
    """
    with socket.socket() as probe:
        try:
            probe.bind((_IP, port))
        except OSError:
            return None
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((_IP, port))
    return reservation


def _vm_entry(name: str, zone: str) -> dict[str, Any]:
    return {'name': name, 'zone': zone, 'ip': _IP, 'upstream_ports': {}}


def _last_lines(log: Path) -> str:
    lines = log.read_text(errors='replace').splitlines()
    return '\n'.join(lines[-_LOG_LINES:])


def _read_first_line(process: subprocess.Popen[bytes]) -> Any:
    assert process.stdout is not None
    return json.loads(process.stdout.readline())


def kill_process(process: subprocess.Popen[bytes]) -> None:
    """Kill a process, also if it is suspended, and wait for its end."""
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()


__all__ = (
    'STREAM_KEY',
    'Fleet',
    'HttpResponse',
    'NodeProcess',
    'call',
    'config_files',
    'count_upstreams_that_ran',
    'kill_process',
    'read_json',
    'send_poison_request',
    'wait_until',
)
