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
from ..clock import monotonic_ms
from ..config.problems import Problem
from ..config.settings import NodeSettings

if TYPE_CHECKING:
    from ..audit import AuditTrail
    from ..blackboard import Blackboard

# Changed files are detected within this time, even without a signal.
_FILE_POLL_S: Final = 1.0
# Before a request is served they are looked at, unless that was just done.
_LOOK_INTERVAL_MS: Final = 10.0
_RELOADABLE: Final = frozenset(('service',))

ReadSettings = Callable[[], Result[NodeSettings, tuple[Problem, ...]]]


class SettingsWatch:
    """Reloads the settings on SIGHUP and when their files change.

    A changed service of the VM's upstream takes effect with the next request,
    since upstreams are told the service that a request comes from. All other
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
        self._looked_at_ms = monotonic_ms()

    def run(self, board: Blackboard, audit: AuditTrail) -> None:
        """Watch for changes, forever.

        :param board: shared state that holds the service.
        :param audit: audit trail.
        """
        gevent.signal_handler(signal.SIGHUP, self._reload_requested.set)
        board.refresh_settings = lambda: self._refresh(board, audit)
        while True:
            is_requested = self._reload_requested.wait(_FILE_POLL_S)
            self._reload_requested.clear()
            if self._has_changed() or is_requested:
                self._reload(board, audit)

    def _refresh(self, board: Blackboard, audit: AuditTrail) -> None:
        age_ms = monotonic_ms() - self._looked_at_ms
        if age_ms >= _LOOK_INTERVAL_MS and self._has_changed():
            self._reload(board, audit)

    def _has_changed(self) -> bool:
        """Return whether the files differ from those that were read last."""
        self._looked_at_ms = monotonic_ms()
        known = self._file_state
        self._file_state = _file_state_of(self._path)
        return bool(self._file_state != known)

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
