"""Follows changes of a node's settings while it runs."""

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

# A changed file without a signal is seen within this time.
_POLL_S: Final = 1.0
_FOLLOWED: Final = frozenset(('service',))

ReadSettings = Callable[[], Result[NodeSettings, tuple[Problem, ...]]]


class SettingsWatch:
    """Reads the settings again on SIGHUP, and when their files change.

    The service of the VM's upstream is followed at once. Addresses and keys
    stay as they were until the node is started again, and the log says so.

    :param settings: as the node was started with.
    :param path: file or folder of the settings.
    :param read: reads them again.
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
        self._asked = Event()
        self._stamp = _stamp_of(path)

    def run(self, board: Blackboard, audit: AuditTrail) -> None:
        """Watch for ever.

        :param board: where the service is written.
        :param audit: trail of changes.
        """
        gevent.signal_handler(signal.SIGHUP, self._asked.set)
        while True:
            was_asked = self._asked.wait(_POLL_S)
            self._asked.clear()
            stamp = _stamp_of(self._path)
            if was_asked or stamp != self._stamp:
                self._stamp = stamp
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
                    f'the settings in force stay: {problems[0]}',
                )


def _changed(before: NodeSettings, after: NodeSettings) -> list[str]:
    names = [each.name for each in fields(before)]
    return [
        name for name in names if getattr(before, name) != getattr(after, name)
    ]


def _cause_of(changed: list[str]) -> str:
    if not changed:
        return 'nothing has changed'
    late = [name for name in changed if name not in _FOLLOWED]
    said = f'changed: {", ".join(changed)}'
    return f'{said}; after a restart: {", ".join(late)}' if late else said


def _stamp_of(path: Path) -> Any:
    """Return what tells one state of the files from another."""
    try:
        files = sorted(path.iterdir()) if path.is_dir() else [path]
        states = [(each.name, each.stat()) for each in files]
    except OSError:
        # Files are being replaced; the next look sees their new state.
        return None
    return [(name, state.st_mtime_ns, state.st_size) for name, state in states]


__all__ = ('SettingsWatch',)
