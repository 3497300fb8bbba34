"""The blackboard: latest frozen snapshots that controllers read and write."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Generic, TypeVar

if TYPE_CHECKING:
    from .config.load import LoadedConfig
    from .config.sources import SourceFile

_MARK_DIGITS: Final = 15
_HEXADECIMAL: Final = 16

_SnapshotT = TypeVar('_SnapshotT')


class Topic(Generic[_SnapshotT]):
    """One kind of snapshot, written by one controller and read by any.

    :param first: snapshot until the first write.
    """

    def __init__(self, first: _SnapshotT) -> None:
        self._snapshot = first
        self._readers: list[Callable[[_SnapshotT], None]] = []

    def read(self) -> _SnapshotT:
        """Return the latest snapshot."""
        return self._snapshot

    def write(self, snapshot: _SnapshotT) -> None:
        """Replace the snapshot and call its readers in order.

        :param snapshot: frozen data, never changed afterwards.
        """
        self._snapshot = snapshot
        for reader in self._readers:
            reader(snapshot)

    def on_change(self, reader: Callable[[_SnapshotT], None]) -> None:
        """Call a reader after each write.

        :param reader: takes the new snapshot; must not block.
        """
        self._readers.append(reader)


@dataclass(frozen=True, slots=True, order=True)
class ConfigMark:
    """Names a configuration; the larger mark wins everywhere.

    :param version: version given by the platform, 0 before the first.
    :param digest: leading bits of the hash of its content.
    """

    version: int = 0
    digest: int = 0


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """The configuration that this node follows.

    :param version: version given by the platform, 0 before the first.
    :param sources: its files, to pass them on.
    """

    version: int = 0
    loaded: LoadedConfig | None = None
    sources: tuple[SourceFile, ...] = ()

    @property
    def mark(self) -> ConfigMark:
        """Name of this configuration."""
        if self.loaded is None:
            return ConfigMark(self.version)
        leading = self.loaded.config.digest[:_MARK_DIGITS]
        return ConfigMark(self.version, int(leading, _HEXADECIMAL))


@dataclass(frozen=True, slots=True)
class UpstreamDetails:
    """What the platform says of one upstream beyond its port.

    :param instance: identity of its present start, empty if there is none.
    :param born_ms: time of that start in milliseconds since 1970, 0 if
        unknown; tells two starts under one identity apart.
    :param slots: requests that it runs at once, 0 to follow the service.
    :param cold_ms: time for which it is still slow after its start.
    :param leaving: whether it takes no new work.
    """

    instance: str = ''
    born_ms: int = 0
    slots: int = 0
    cold_ms: int = 0
    leaving: bool = False


_NO_DETAILS: Final = UpstreamDetails()


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM as listed by the platform.

    :param stream_port: port of the node on it, 0 if it runs none.
    :param upstream_ports: port of the upstream of each service on it.
    :param details: more about the upstreams of some services.
    """

    name: str
    zone: str
    ip: str
    leaving: bool
    stream_port: int
    upstream_ports: dict[str, int]
    details: dict[str, UpstreamDetails] = field(default_factory=dict)

    def details_of(self, service: str) -> UpstreamDetails:
        """Return what is known of the upstream of a service.

        :param service: its name.
        """
        return self.details.get(service, _NO_DETAILS)

    def upstream_name(self, service: str) -> str:
        """Return the identity of the upstream of a service.

        Each start of an upstream is another one, so that evidence, slots
        and connections of an earlier start are never taken for its own.

        :param service: its name.
        """
        details = self.details_of(service)
        if not details.instance:
            return f'{self.name}/{service}'
        start = f'{details.instance}.{details.born_ms}'
        return f'{self.name}/{start}/{service}'


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs, which lags behind the truth."""

    version: int = 0
    vms: dict[str, Vm] = field(default_factory=dict)


@dataclass(slots=True)
class Blackboard:
    """All topics of a node.

    :param own_service: service of the upstream beside this node, which
        callers of this node belong to; empty if that is not told.
    """

    config: Topic[ConfigInForce] = field(
        default_factory=lambda: Topic(ConfigInForce()),
    )
    vm_list: Topic[VmList] = field(default_factory=lambda: Topic(VmList()))
    leaving: Topic[bool] = field(default_factory=lambda: Topic(False))
    own_service: Topic[str] = field(default_factory=lambda: Topic(''))


__all__ = (
    'Blackboard',
    'ConfigInForce',
    'ConfigMark',
    'Topic',
    'UpstreamDetails',
    'Vm',
    'VmList',
)
