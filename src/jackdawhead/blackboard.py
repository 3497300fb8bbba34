"""The blackboard of a node: immutable snapshots with subscribers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Final, Generic, TypeVar

from .policy.list_order import ListOrder

if TYPE_CHECKING:
    from .config.load import LoadedConfig
    from .config.sources import SourceFile
    from .policy.stopping import StopPlan

_DIGEST_HEX_DIGITS: Final = 15
_HEX_BASE: Final = 16

_SnapshotT = TypeVar('_SnapshotT')


class Topic(Generic[_SnapshotT]):
    """Holds the latest snapshot of one kind; one writer, any number of readers.

    :param initial: snapshot before the first write.
    """

    def __init__(self, initial: _SnapshotT) -> None:
        self._snapshot = initial
        self._subscribers: list[Callable[[_SnapshotT], None]] = []

    def read(self) -> _SnapshotT:
        """Return the latest snapshot, which must not be modified."""
        return self._snapshot

    def write(self, snapshot: _SnapshotT) -> None:
        """Replace the snapshot and call the subscribers in order.

        :param snapshot: immutable data.
        """
        self._snapshot = snapshot
        for subscriber in self._subscribers:
            subscriber(snapshot)

    def subscribe(self, subscriber: Callable[[_SnapshotT], None]) -> None:
        """Add a subscriber, which is called after each write.

        :param subscriber: receives the new snapshot; must not block.
        """
        self._subscribers.append(subscriber)


@dataclass(frozen=True, slots=True, order=True)
class ConfigId:
    """Identifies a configuration; all nodes converge to the largest id.

    :param version: version assigned by the platform, 0 before the first.
    :param digest: leading 60 bits of the hash of the content.
    """

    version: int = 0
    digest: int = 0


@dataclass(frozen=True, slots=True)
class Pause:
    """Time in which this process did not run, in monotonic milliseconds.

    :param began_at_ms: last time before it at which the process ran.
    :param ended_at_ms: first time after it.
    """

    began_at_ms: float = -inf
    ended_at_ms: float = -inf


@dataclass(frozen=True, slots=True)
class ActiveConfig:
    """The active configuration of this node.

    :param version: version assigned by the platform, 0 before the first.
    :param loaded: parsed configuration, none before the first.
    :param sources: the files it was parsed from, to send to other nodes.
    """

    version: int = 0
    loaded: LoadedConfig | None = None
    sources: tuple[SourceFile, ...] = ()

    @property
    def config_id(self) -> ConfigId:
        """Version and digest, which together identify this configuration."""
        if self.loaded is None:
            return ConfigId(self.version)
        prefix = self.loaded.config.digest[:_DIGEST_HEX_DIGITS]
        return ConfigId(self.version, int(prefix, _HEX_BASE))


@dataclass(frozen=True, slots=True)
class UpstreamDetails:
    """Optional facts about one upstream in the platform's list.

    :param instance: id of the running instance, empty if unknown.
    :param born_ms: start time of the instance in milliseconds since 1970, 0
        if unknown; distinguishes two starts with the same instance id.
    :param slots: maximum number of concurrent requests, 0 to use the value
        of the service.
    :param cold_ms: time after the start during which it is still slow, in
        milliseconds.
    :param leaving: whether it accepts no new work.
    """

    instance: str = ''
    born_ms: int = 0
    slots: int = 0
    cold_ms: int = 0
    leaving: bool = False


_NO_DETAILS: Final = UpstreamDetails()


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's list.

    :param stream_port: port for links from other nodes, 0 if no node runs
        on this VM.
    :param upstream_ports: port of the VM's upstream, by service.
    :param details: optional facts about the upstreams, by service.
    """

    name: str
    zone: str
    ip: str
    leaving: bool
    stream_port: int
    upstream_ports: dict[str, int]
    details: dict[str, UpstreamDetails] = field(default_factory=dict)

    def upstream_details(self, service: str) -> UpstreamDetails:
        """Return the optional facts about an upstream on this VM.

        :param service: name of the upstream's service.
        """
        return self.details.get(service, _NO_DETAILS)

    def upstream_id(self, service: str) -> str:
        """Return the identity of an upstream on this VM.

        A restarted upstream gets a new identity, so that it never inherits
        the evidence, slots or connections of its previous start.

        :param service: name of the upstream's service.
        """
        details = self.upstream_details(service)
        if not details.instance:
            return f'{self.name}/{service}'
        start = f'{details.instance}.{details.born_ms}'
        return f'{self.name}/{start}/{service}'


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs, which may be out of date.

    :param version: orders the lists of one generation, 0 before the first.
    :param generation: generation of the platform's data, 0 if unknown.
    """

    version: int = 0
    vms: dict[str, Vm] = field(default_factory=dict)
    generation: int = 0

    @property
    def order(self) -> ListOrder:
        """Place among all lists."""
        return ListOrder(self.generation, self.version)


@dataclass(slots=True)
class Blackboard:
    """All topics of a node.

    :param stop: schedule of the planned stop, none while no stop is requested.
    :param handled_until_ms: monotonic time up to which this process has handled
        the events of its sockets.
    :param own_service: service of the upstream on the same VM, to which the
        callers of this node belong; empty if the settings do not name it.
    :param refresh_settings: applies settings that have changed, if they have.
    """

    config: Topic[ActiveConfig] = field(
        default_factory=lambda: Topic(ActiveConfig()),
    )
    vm_list: Topic[VmList] = field(default_factory=lambda: Topic(VmList()))
    stop: Topic[StopPlan | None] = field(default_factory=lambda: Topic(None))
    handled_until_ms: Topic[float] = field(default_factory=lambda: Topic(inf))
    last_pause: Topic[Pause] = field(default_factory=lambda: Topic(Pause()))
    own_service: Topic[str] = field(default_factory=lambda: Topic(''))
    refresh_settings: Callable[[], None] = field(default=lambda: None)

    @property
    def leaving(self) -> bool:
        """Whether this node is shutting down."""
        return self.stop.read() is not None

    def current_service(self) -> str:
        """Return the service of this VM's upstream, as the settings name it."""
        self.refresh_settings()
        return self.own_service.read()

    @property
    def knows_upstreams(self) -> bool:
        """Whether this node has a configuration and a VM list."""
        has_config = self.config.read().loaded is not None
        return has_config and self.vm_list.read().version > 0


__all__ = (
    'ActiveConfig',
    'Blackboard',
    'ConfigId',
    'Topic',
    'UpstreamDetails',
    'Vm',
    'VmList',
)
