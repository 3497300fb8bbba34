"""Settings of one node: addresses, zone, keys and limits."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from .checks import check_schema
from .merge import MergedTree, merge_sources, read_folder
from .schema import SETTINGS_SCHEMA

if TYPE_CHECKING:
    from .problems import Problem


_DEFAULT_MAX_BODY_BYTES: Final = 1_073_741_824
_DEFAULT_MAX_HEAD_BYTES: Final = 65_536
_DEFAULT_CALLER_MEMORY_BYTES: Final = 134_217_728


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse an address of the form ``ip:port``.

        :param text: for example ``127.0.0.1:8080``.
        :raises ValueError: if the port is not a number.
        """
        ip, _, port = text.rpartition(':')
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node.

    :param vm: name of the VM that the node runs on.
    :param zone: zone of the VM.
    :param caller_address: address of the listener for callers.
    :param stream_address: address of the listener for links from other nodes.
    :param admin_address: address of the listener for admin pages.
    :param platform_address: address of the platform.
    :param stream_keys: shared keys; the first one signs, all are accepted.
    :param seed_addresses: stream addresses of the nodes to contact if the
        platform is unreachable at the start.
    :param max_body_bytes: maximum size of a request body.
    :param max_head_bytes: maximum size of a request line, and of all headers
        of a request.
    :param caller_head_ms: maximum time in which the whole head of a request
        arrives.
    :param caller_connections: maximum number of callers' connections.
    :param caller_memory_bytes: maximum memory for callers' connections, the
        requests that they send and the answers that they have not read.
    :param caller_address_percent: share of these two that callers of one
        address may use.
    :param drain_ms: maximum time that a shutdown waits for requests in
        progress.
    :param caller_idle_ms: timeout of a caller's idle connection.
    :param link_idle_ms: timeout of an idle link to a home.
    :param ready_address: optional listener for readiness checks, which answers
        200 to any request while this node accepts new work and 503 otherwise.
    :param service: service of the upstream on the same VM; sent to the
        upstreams that run the requests of this node's callers.
    :param accept_while_leaving_ms: time after SIGTERM during which callers are
        still served, until all of them see that the node is not ready.
    :param drain_idle_ms: maximum time that a shutdown waits for callers to
        close their idle connections; the next response on a connection asks
        the caller to close it.
    """

    vm: str
    zone: str
    caller_address: Address
    stream_address: Address
    admin_address: Address
    platform_address: Address
    stream_keys: tuple[str, ...]
    seed_addresses: tuple[Address, ...] = ()
    max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES
    max_head_bytes: int = _DEFAULT_MAX_HEAD_BYTES
    caller_head_ms: int = 60_000
    caller_connections: int = 2000
    caller_memory_bytes: int = _DEFAULT_CALLER_MEMORY_BYTES
    caller_address_percent: int = 100
    drain_ms: int = 60_000
    caller_idle_ms: int = 75_000
    link_idle_ms: int = 60_000
    ready_address: Address | None = None
    service: str = ''
    accept_while_leaving_ms: int = 0
    drain_idle_ms: int = 3000

    @property
    def listener_ports(self) -> frozenset[int]:
        """Ports of all listeners of the node."""
        addresses = [
            self.caller_address,
            self.stream_address,
            self.admin_address,
        ]
        if self.ready_address is not None:
            addresses.append(self.ready_address)
        return frozenset(each.port for each in addresses)


def load_settings(folder: Path) -> Result[NodeSettings, tuple[Problem, ...]]:
    """Load the settings of a node.

    :param folder: folder of YAML files, merged in the order of their names.
    :returns: the settings, or every problem found.
    """
    return read_folder(folder).bind(merge_sources).bind(_check_and_build)


def _check_and_build(
    tree: MergedTree,
) -> Result[NodeSettings, tuple[Problem, ...]]:
    problems = check_schema(tree, SETTINGS_SCHEMA)
    if problems:
        return Failure(problems)
    return Success(_build(tree.plain))


def _build(plain: dict[str, Any]) -> NodeSettings:
    fields = {name: _convert(name, setting) for name, setting in plain.items()}
    return NodeSettings(**fields)


def _convert(name: str, setting: Any) -> Any:
    if name.endswith('_address'):
        return Address.parse(setting)
    if name.endswith('_addresses'):
        return tuple(Address.parse(text) for text in setting)
    return tuple(setting) if isinstance(setting, list) else setting


__all__ = ('Address', 'NodeSettings', 'load_settings')
