"""Lifecycle of a node: assembly, startup, operation and shutdown."""

from __future__ import annotations

import signal
from contextlib import ExitStack
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ..audit import AuditKind
from ..memory import freeze_startup_objects
from ..wire.messages import CrashReport, DrainUpdate
from .assembly import build_parts
from .channels import Channels
from .dispatchers import build_dispatchers
from .late_imports import import_listeners
from .platform_client import PlatformClient
from .platform_watch import CONFIG_KEY, VMS_KEY, PlatformWatch
from .shutdown import Shutdown, StopRequest
from .supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.settings import NodeSettings
    from ..wire.messages import UpstreamStatus
    from .http_listeners import HttpListeners
    from .links import Link
    from .platform_client import PlatformSource
    from .settings_watch import SettingsWatch

_PEER_SYNC_TIMEOUT_MS: Final = 3000
# Time for the home to get its configuration and the VM list.
_HOME_HEAD_START_MS: Final = 500


class Node:
    """One process of the fleet, both entry and home.

    :param settings: addresses, zone and keys.
    :param platform: source of the configuration and the VM list; by
        default, a client of jackdawhead's own platform interface at the
        address in the settings.
    :param watch: reloads changed settings; ``None`` if they are fixed.
    """

    def __init__(
        self,
        settings: NodeSettings,
        platform: PlatformSource | None = None,
        watch: SettingsWatch | None = None,
    ) -> None:
        self._settings = settings
        self._watch = watch
        self._rng = Random(SystemRandom().random())
        self._started = False
        self._loop_failure: BaseException | None = None
        self.parts = build_parts(
            settings,
            self._rng,
            self._broadcast_drain,
            self._broadcast_crash,
            self._broadcast_status,
        )
        self._stopping = StopRequest(self.parts.board, settings.drain_ms)
        self._channels = Channels(self.parts)
        self.parts.config.announce = self._channels.gossip.announce
        self.parts.membership.announce = self._channels.gossip.announce
        self.parts.pauses.close_all_links = self._channels.close_all_links
        self.parts.pauses.refresh = self._channels.catch_up
        self._platform = platform or PlatformClient(settings.platform_address)
        self.parts.config.loader = self._platform.config_loader()
        self._platform.on_silence(self.parts.readers.note_silence)
        membership = self.parts.membership
        self._platform.follow(lambda: membership.listed)
        membership.is_provisional = self._platform.is_provisional
        membership.proof_ms = self._platform.proof_ms
        self.parts.board.own_service.write(settings.service)
        self._dispatchers = build_dispatchers(self.parts, self._channels)
        self._http_started = Event()
        self.http: HttpListeners

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new requests."""
        board = self.parts.board
        has_config = board.config.read().loaded is not None
        return self._started and has_config and not board.leaving

    @property
    def active_requests(self) -> int:
        """Number of caller requests in progress."""
        return self.http.callers.active

    @property
    def malformed_requests(self) -> int:
        """Number of malformed or ambiguous caller requests so far."""
        return self.http.callers.refused

    @property
    def platform_calls(self) -> int:
        """Number of calls to the platform so far."""
        return self._platform.call_count

    def links(self) -> tuple[Link, ...]:
        """Return all links to other nodes, whoever dialled them."""
        return self._channels.links()

    @property
    def dialled_links(self) -> int:
        """Number of links dialled by this node."""
        return len(self._channels.dialled)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain.

        :raises OSError: if an address cannot be bound.
        """
        gevent.signal_handler(signal.SIGTERM, self._stopping.note)
        gevent.signal_handler(signal.SIGINT, self._stopping.note)
        with ExitStack() as stack:
            self._start(stack)
            self._stopping.wait()
            shutdown = Shutdown(self.parts, self._channels, self.http.callers)
            shutdown.run(self._stopping.noted_at_ms)
        if self._loop_failure is not None:
            raise self._loop_failure

    def _start(self, stack: ExitStack) -> None:
        settings = self._settings
        self.parts.home.start(stack)
        self._channels.start(stack)
        self._spawn_loops(stack)
        self._start_http(stack)
        self.parts.audit.record(
            AuditKind.NODE_STARTED,
            settings.vm,
            f'incarnation {self.parts.identity.incarnation}',
        )

    def _start_http(self, stack: ExitStack) -> None:
        """Start the HTTP listeners once the home can run work.

        Entries of other nodes cannot use the upstream without this home, while
        callers can use other nodes.
        """
        self._channels.readiness.wait(_HOME_HEAD_START_MS)
        listeners = import_listeners()
        self.http = listeners(self, self._dispatchers)
        self.http.start(stack)
        self._http_started.set()

    def _spawn_loops(self, stack: ExitStack) -> None:
        watches = tuple(
            PlatformWatch(key, self._platform, self.parts, self._rng)
            for key in (VMS_KEY, CONFIG_KEY)
        )
        loops = [
            self._channels.run,
            self._channels.run_redials,
            self.parts.home.run,
            self.parts.routing.run,
            self.parts.pauses.run,
            self.parts.readers.run,
            self.parts.quotas.run,
        ]
        for loop in loops:
            self._spawn(stack, loop)
        if self._watch is not None:
            parts = self.parts
            self._spawn(stack, self._watch.run, parts.board, parts.audit)
        self._spawn(stack, self._settle, watches, stack)

    def _spawn(
        self,
        stack: ExitStack,
        loop: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Run a controller loop; a failed assertion in it stops the node."""
        greenlet = gevent.spawn(supervise, loop, *arguments)
        greenlet.link_exception(self._on_loop_failure)
        stack.callback(greenlet.kill)

    def _on_loop_failure(self, greenlet: gevent.Greenlet) -> None:
        self._loop_failure = greenlet.exception
        self._stopping.note()

    def _settle(
        self,
        watches: tuple[PlatformWatch, ...],
        stack: ExitStack,
    ) -> None:
        """Sync with the platform and the peers, then accept requests.

        The home can run work as soon as any of them has told it the
        configuration and the VM list.
        """
        sources = [gevent.spawn(watch.read_once) for watch in watches]
        sources.append(gevent.spawn(self._channels.dial_seeds))
        gevent.joinall(sources, raise_error=True)
        self._channels.sync_with_peers(_PEER_SYNC_TIMEOUT_MS)
        for watch in watches:
            self._spawn(stack, watch.run)
        self._http_started.wait()
        freeze_startup_objects()
        self._started = True

    def _broadcast_drain(self, upstream: str, draining: bool) -> None:
        self.parts.routing.note_drain(upstream, draining)
        self._channels.gossip.broadcast(DrainUpdate(upstream, draining))

    def _broadcast_status(self, status: UpstreamStatus) -> None:
        self.parts.routing.note_status(status)
        self._channels.gossip.broadcast(status)

    def _broadcast_crash(
        self,
        service: str,
        fingerprint: int,
        upstream: str,
    ) -> None:
        self._channels.gossip.broadcast(
            CrashReport(service, fingerprint, upstream, 0),
        )


__all__ = ('Node',)
