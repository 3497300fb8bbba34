"""Reloads the settings of a running node when they change."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import gevent
from gevent.event import Event
from returns.result import Failure, Result, Success

from ..audit import AuditKind
from ..config.problems import Problem
from ..config.settings import NodeSettings

if TYPE_CHECKING:
    from ..audit import AuditTrail
    from ..blackboard import Blackboard

# Changed files are detected within this time, even without a signal.
_FILE_POLL_S: Final = 1.0
_RELOADABLE: Final = frozenset(('service',))

ReadSettings = Callable[[], Result[NodeSettings, tuple[Problem, ...]]]


class SettingsWatch:
    """Reloads the settings on SIGHUP and when their files change.

    A changed service of the VM's upstream takes effect at once. All other
    changes take effect after a restart, as the audit trail records.

    :param settings: settings that the node was started with.
    :param path: file or folder of the settings.
    :param read: reads the settings again.
    """

    def __init__(
        self,
        settings: NodeSettings,
        path: Path,
        read: ReadSettings,
    ) -> None:
        self._settings = settings
        self._path = path
        self._read = read
        self._reload_requested = Event()
        self._file_state = _file_state_of(path)

    def run(self, board: Blackboard, audit: AuditTrail) -> None:
        """Watch for changes, forever.

        :param board: shared state that holds the service.
        :param audit: audit trail.
        """
        gevent.signal_handler(signal.SIGHUP, self._reload_requested.set)
        while True:
            is_requested = self._reload_requested.wait(_FILE_POLL_S)
            self._reload_requested.clear()
            file_state = _file_state_of(self._path)
            if is_requested or file_state != self._file_state:
                self._file_state = file_state
                self._reload(board, audit)

    def _reload(self, board: Blackboard, audit: AuditTrail) -> None:
        match self._read():
            case Success(settings):
                changed = _changed(self._settings, settings)
                self._settings = settings
                board.own_service.write(settings.service)
                audit.record(
                    AuditKind.SETTINGS_RELOADED,
                    settings.vm,
                    _cause_of(changed),
                )
            case Failure(problems):
                audit.record(
                    AuditKind.SETTINGS_REFUSED,
                    self._settings.vm,
                    f'the old settings stay active: {problems[0]}',
                )


def _changed(before: NodeSettings, after: NodeSettings) -> list[str]:
    names = [each.name for each in fields(before)]
    return [
        name for name in names if getattr(before, name) != getattr(after, name)
    ]


def _cause_of(changed: list[str]) -> str:
    if not changed:
        return 'nothing has changed'
    after_restart = [name for name in changed if name not in _RELOADABLE]
    summary = f'changed: {", ".join(changed)}'
    return (
        f'{summary}; after a restart: {", ".join(after_restart)}'
        if after_restart
        else summary
    )


def _file_state_of(path: Path) -> Any:
    """Return a value that differs whenever the files have changed."""
    try:
        files = sorted(path.iterdir()) if path.is_dir() else [path]
        states = [(each.name, each.stat()) for each in files]
    except OSError:
        # The files are being replaced; the next poll sees their new state.
        return None
    return [(name, state.st_mtime_ns, state.st_size) for name, state in states]


__all__ = ('SettingsWatch',)
