"""Settings of one node: its addresses, its zone and its keys."""

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


_DEFAULT_BODY_BYTES: Final = 1_073_741_824


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address written as ``ip:port``.

        :param text: for example ``127.0.0.1:8080``.
        """
        ip, _, port = text.rpartition(':')
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a node is told when it starts.

    :param vm: name of the VM that the node runs on.
    :param stream_keys: shared keys; the first signs, all are accepted.
    :param seed_addresses: stream addresses of nodes to ask when the
        platform cannot be reached at the start.
    :param drain_ms: longest wait for requests in progress at a stop.
    :param caller_idle_ms: time after which a caller's unused connection is
        closed.
    :param link_idle_ms: time after which an unused link to a home is closed.
    :param ready_address: listener that answers 200 to any request while this
        node takes new work and 503 otherwise, if there shall be one.
    :param service: service of the upstream beside this node, told to the
        upstreams that run the requests of its callers.
    :param accept_while_leaving_ms: time for which callers are still served
        after SIGTERM, until all know that the node is not ready.
    :param drain_idle_ms: longest wait at a stop for callers to close their
        unused connections, which they are asked to with their next answer.
    """

    vm: str
    zone: str
    caller_address: Address
    stream_address: Address
    admin_address: Address
    platform_address: Address
    stream_keys: tuple[str, ...]
    seed_addresses: tuple[Address, ...] = ()
    max_body_bytes: int = _DEFAULT_BODY_BYTES
    drain_ms: int = 60_000
    caller_idle_ms: int = 75_000
    link_idle_ms: int = 60_000
    ready_address: Address | None = None
    service: str = ''
    accept_while_leaving_ms: int = 0
    drain_idle_ms: int = 3000


def load_settings(folder: Path) -> Result[NodeSettings, tuple[Problem, ...]]:
    """Load a node's settings.

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
    fields = {name: _typed(name, setting) for name, setting in plain.items()}
    return NodeSettings(**fields)


def _typed(name: str, setting: Any) -> Any:
    if name.endswith('_address'):
        return Address.parse(setting)
    if name.endswith('_addresses'):
        return tuple(Address.parse(text) for text in setting)
    return tuple(setting) if isinstance(setting, list) else setting


__all__ = ('Address', 'NodeSettings', 'load_settings')
