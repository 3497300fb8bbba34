"""Selects the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from gevent.lock import Semaphore
from returns.result import Failure, Success

from ..audit import AuditKind
from ..blackboard import ActiveConfig, ConfigId
from ..config.load import ConfigLoader, LoadedConfig, SourceLoader
from ..config.sources import SourceFile
from ..wire.messages import ConfigUpdate
from .time_slice import TimeSlice

_MAX_AUDITED_ENTRIES: Final = 10

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail
    from ..blackboard import Blackboard
    from ..config.problems import Problem
    from ..wire.messages import ConfigRequest
    from .links import Link


class ConfigController:
    """Accepts newer configurations and refuses older and invalid ones.

    :param board: shared state that holds the active configuration.
    :param audit: audit trail.

    The attribute ``loader`` loads the files that the platform publishes.
    """

    def __init__(self, board: Blackboard, audit: AuditTrail) -> None:
        self._board = board
        self._audit = audit
        self.loader: SourceLoader = ConfigLoader()
        # Loading yields to other greenlets, which may offer versions, too.
        self._loading = Semaphore()
        self._last_refusal: tuple[int, str] | None = None
        self._last_stale_version = 0
        self.entries_refused = 0
        self.announce: Callable[[Link | None], None] | None = None

    def offer(
        self,
        version: int,
        sources: tuple[SourceFile, ...],
        origin: str,
        source: Link | None = None,
    ) -> bool:
        """Activate a published configuration if it is newer and valid.

        The active version never decreases. A platform must not publish two
        contents under one version; if it does, the content with the larger
        digest wins, so all nodes converge in any order of arrival.

        :param version: version assigned by the platform.
        :param sources: configuration files.
        :param origin: platform or node that offers it, for the audit trail.
        :param source: link that delivered it, if any.
        :returns: whether the configuration was activated.
        """
        with self._loading:
            if not self._is_news(version, sources, origin):
                return False
            match self.loader.load_valid_entries(sources, TimeSlice()):
                case Success(loaded):
                    return self._accept(
                        version, sources, loaded, origin, source
                    )
                case Failure(problems):
                    self._refuse(version, problems, origin)
        return False

    def receive_update(self, update: ConfigUpdate, link: Link) -> None:
        """Load a configuration from another node in the background.

        Other messages of the link are handled meanwhile.

        :param update: version and files.
        :param link: link that delivered it.
        """
        sources = tuple(SourceFile(name, text) for name, text in update.files)
        origin = f'node {link.vm}'
        gevent.spawn(self.offer, update.version, sources, origin, link)

    def answer(self, request: ConfigRequest, link: Link) -> None:
        """Send the active configuration to a node that has an older one.

        :param request: contains the version and digest that the node has.
        :param link: link to the node.
        """
        current = self._board.config.read()
        if ConfigId(request.version, request.digest) < current.config_id:
            link.send(_update_message(current))

    def _is_news(
        self, version: int, sources: tuple[SourceFile, ...], origin: str
    ) -> bool:
        current = self._board.config.read()
        if version < current.version:
            self._audit_stale(version, current.version, origin)
            return False
        return version != current.version or sources != current.sources

    def _accept(
        self,
        version: int,
        sources: tuple[SourceFile, ...],
        loaded: LoadedConfig,
        origin: str,
        source: Link | None,
    ) -> bool:
        current = self._board.config.read()
        if version == current.version and current.loaded is not None:
            if loaded.config.digest <= current.loaded.config.digest:
                return False
        active = ActiveConfig(version, loaded, sources)
        self._board.config.write(active)
        self._audit.record(
            AuditKind.CONFIG_ACCEPTED,
            f'version {version}',
            f'from {origin}, digest {loaded.config.digest}',
        )
        self._audit_rejected_entries(version, loaded.rejected_entries, origin)
        if self.announce is not None:
            self.announce(source)
        return True

    def _audit_rejected_entries(
        self,
        version: int,
        problems: tuple[Problem, ...],
        origin: str,
    ) -> None:
        self.entries_refused += len(problems)
        for problem in problems[:_MAX_AUDITED_ENTRIES]:
            self._audit.record(
                AuditKind.CONFIG_ENTRY_REFUSED,
                f'version {version} {problem.field}',
                f'from {origin}: {problem}; its last valid form, if any, '
                'stays active',
            )

    def _refuse(
        self,
        version: int,
        problems: tuple[Problem, ...],
        origin: str,
    ) -> None:
        cause = f'from {origin}: {problems[0]}'
        if self._last_refusal == (version, cause):
            return
        self._last_refusal = (version, cause)
        self._audit.record(
            AuditKind.CONFIG_REFUSED,
            f'version {version}',
            cause,
        )

    def _audit_stale(self, version: int, current: int, origin: str) -> None:
        if version == self._last_stale_version:
            return
        self._last_stale_version = version
        self._audit.record(
            AuditKind.PLATFORM_STALE,
            f'version {version}',
            f'{origin} offers it while {current} is active',
        )


def _update_message(active: ActiveConfig) -> ConfigUpdate:
    files = [[each.name, each.text] for each in active.sources]
    return ConfigUpdate(active.version, files)


__all__ = ('ConfigController',)
