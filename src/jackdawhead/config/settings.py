"""Settings of one node: its addresses, its zone and its keys."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure, Result, Success

from .checks import check_schema
from .merge import MergedTree, merge_sources, read_folder
from .problems import Problem
from .schema import SETTINGS_SCHEMA


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
    """

    vm: str
    zone: str
    caller_address: Address
    stream_address: Address
    admin_address: Address
    platform_address: Address
    stream_keys: tuple[str, ...]
    seed_addresses: tuple[Address, ...] = ()
    max_body_bytes: int = 1 << 30
    drain_ms: int = 60_000
    caller_idle_ms: int = 75_000


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
    plain = dict(tree.plain)
    fields = {
        name: Address.parse(str(setting))
        if name.endswith('_address')
        else setting
        for name, setting in plain.items()
    }
    fields['stream_keys'] = tuple(plain['stream_keys'])
    fields['seed_addresses'] = tuple(
        Address.parse(text) for text in plain.get('seed_addresses', ())
    )
    return Success(NodeSettings(**fields))


__all__ = ('Address', 'NodeSettings', 'load_settings')
