"""Decides which published configuration is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from ..audit import AuditKind
from ..blackboard import ConfigInForce, ConfigMark
from ..config.load import ConfigLoader, LoadedConfig
from ..config.sources import SourceFile
from ..wire.messages import ConfigNews

_MAX_ENTRIES_TOLD: Final = 10

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail
    from ..blackboard import Blackboard
    from ..config.problems import Problem
    from ..wire.messages import ConfigAsk
    from .links import Link


class ConfigController:
    """Accepts newer configurations, refuses older and faulty ones.

    :param board: where the configuration in force is written.
    :param audit: trail of changes.
    """

    def __init__(self, board: Blackboard, audit: AuditTrail) -> None:
        self._board = board
        self._audit = audit
        self._loader = ConfigLoader()
        self._refused: tuple[int, str] | None = None
        self._stale_version = 0
        self.entries_refused = 0
        self.announce: Callable[[Link | None], None] | None = None

    def offer(
        self,
        version: int,
        sources: tuple[SourceFile, ...],
        origin: str,
        source: Link | None = None,
    ) -> bool:
        """Take in a published configuration.

        Versions only grow. Of two contents with one version, which a
        platform must not publish, the one of the larger digest wins, so
        that the order of arrival does not matter.

        :param version: version given by the platform.
        :param origin: who offers it, for the audit trail.
        :param source: link that it came on, if any.
        :returns: whether it is in force now.
        """
        current = self._board.config.read()
        if version < current.version:
            self._note_stale(version, current.version, origin)
            return False
        if version == current.version and sources == current.sources:
            return False
        match self._loader.load_tolerantly(sources):
            case Success(loaded):
                return self._accept(version, sources, loaded, origin, source)
            case Failure(problems):
                self._refuse(version, problems, origin)
        return False

    def take_news(self, news: ConfigNews, link: Link) -> None:
        """Take in a configuration from another node.

        :param news: version and files.
        :param link: where it came from.
        """
        sources = tuple(SourceFile(name, text) for name, text in news.files)
        self.offer(news.version, sources, f'node {link.vm}', link)

    def answer(self, ask: ConfigAsk, link: Link) -> None:
        """Send the configuration in force to a node that has an older one.

        :param ask: tells which one it has.
        :param link: way to the node.
        """
        current = self._board.config.read()
        if ConfigMark(ask.version, ask.digest) < current.mark:
            link.send(_news_of(current))

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
        in_force = ConfigInForce(version, loaded, sources)
        self._board.config.write(in_force)
        self._audit.record(
            AuditKind.CONFIG_ACCEPTED,
            f'version {version}',
            f'from {origin}, digest {loaded.config.digest}',
        )
        self._note_entries_refused(version, loaded.refused, origin)
        if self.announce is not None:
            self.announce(source)
        return True

    def _note_entries_refused(
        self,
        version: int,
        problems: tuple[Problem, ...],
        origin: str,
    ) -> None:
        self.entries_refused += len(problems)
        for problem in problems[:_MAX_ENTRIES_TOLD]:
            self._audit.record(
                AuditKind.CONFIG_ENTRY_REFUSED,
                f'version {version} {problem.field}',
                f'from {origin}: {problem}; its former form holds, if any',
            )

    def _refuse(
        self,
        version: int,
        problems: tuple[Problem, ...],
        origin: str,
    ) -> None:
        cause = f'from {origin}: {problems[0]}'
        if self._refused == (version, cause):
            return
        self._refused = (version, cause)
        self._audit.record(
            AuditKind.CONFIG_REFUSED,
            f'version {version}',
            cause,
        )

    def _note_stale(self, version: int, current: int, origin: str) -> None:
        if version == self._stale_version:
            return
        self._stale_version = version
        self._audit.record(
            AuditKind.PLATFORM_STALE,
            f'version {version}',
            f'{origin} offers it while {current} is in force',
        )


def _news_of(in_force: ConfigInForce) -> ConfigNews:
    files = [[each.name, each.text] for each in in_force.sources]
    return ConfigNews(in_force.version, files)


__all__ = ('ConfigController',)
