"""Watches the platform; only a few nodes of each zone do so."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import gevent
from returns.result import Failure, Success

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..config.sources import SourceFile
from ..policy.platform_readers import (
    fallback_poll_interval_ms,
    platform_retry_ms,
)
from .reader_controller import LONG_POLL_MS

if TYPE_CHECKING:
    from random import Random

    from .parts import NodeParts
    from .platform_client import PlatformSource, PublishedValue

CONFIG_KEY: Final = 'config'
VMS_KEY: Final = 'vms'
_BATCH_DELAY_MS: Final = 200
# Gives nodes that start at the same time as this one time to be listed.
_START_DELAY_MS: Final = 3000


class PlatformWatch:
    """Polls one value of the platform.

    The readers of a zone use long polls and announce each change to other
    nodes. All other nodes poll at long intervals, in case an announcement
    does not reach them, and take over when the readers are not heard of.

    :param key: name of the value, ``config`` or ``vms``.
    :param client: client of the platform.
    :param parts: controllers of this node.
    :param rng: source of jitter for the delays between calls.
    """

    def __init__(
        self,
        key: str,
        client: PlatformSource,
        parts: NodeParts,
        rng: Random,
    ) -> None:
        self._key = key
        self._client = client
        self._parts = parts
        self._rng = rng
        self._consecutive_failures = 0

    def read_once(self, wait_ms: int = 0) -> bool:
        """Read the value and pass it to its controller.

        :param wait_ms: longest wait for a change, in milliseconds.
        :returns: whether the platform answered.
        """
        match self._client.read(self._key, self._known_version(), wait_ms):
            case Success(published):
                self._note_answer()
                if published is not None:
                    self._offer(published)
                return True
            case Failure(message):
                self._note_failure(str(message))
        return False

    def run(self) -> None:
        """Poll the value forever."""
        self._sleep_with_jitter(_START_DELAY_MS)
        if self._key == VMS_KEY:
            self._parts.readers.begin()
        while True:
            self._run_once()

    def _run_once(self) -> None:
        readers = self._parts.readers
        if not readers.must_read():
            vm_list = self._parts.board.vm_list.read()
            interval_ms = self._with_jitter(fallback_poll_interval_ms(vm_list))
            if not readers.await_duty(interval_ms):
                self.read_once()
            return
        started_ms = monotonic_ms()
        # The first call shows at once what was missed, and that it is answered.
        wait_ms = LONG_POLL_MS if readers.is_reading else 0
        if not self.read_once(wait_ms):
            vm_list = self._parts.board.vm_list.read()
            self._sleep_with_jitter(
                platform_retry_ms(self._consecutive_failures, vm_list)
            )
        elif monotonic_ms() - started_ms < LONG_POLL_MS - _BATCH_DELAY_MS:
            # Changes often arrive in bursts; read a burst in one call.
            gevent.sleep(seconds(_BATCH_DELAY_MS))

    def _known_version(self) -> int:
        board = self._parts.board
        if self._key == CONFIG_KEY:
            return board.config.read().version
        return board.vm_list.read().version

    def _offer(self, published: PublishedValue) -> None:
        if self._key == CONFIG_KEY:
            sources = _sources(published.content)
            self._parts.config.offer(published.version, sources, 'platform')
        else:
            text = json.dumps(published.content)
            self._parts.membership.offer(
                published.version, text, generation=published.generation
            )

    def _note_answer(self) -> None:
        if self._key == VMS_KEY:
            self._parts.readers.note_answer()
        if self._consecutive_failures:
            self._consecutive_failures = 0
            self._parts.audit.record(
                AuditKind.PLATFORM_BACK,
                self._key,
                'answers again',
            )

    def _note_failure(self, message: str) -> None:
        if self._key == VMS_KEY:
            self._parts.readers.note_failure()
        if not self._consecutive_failures:
            self._parts.audit.record(
                AuditKind.PLATFORM_LOST,
                self._key,
                message,
            )
        self._consecutive_failures += 1

    def _sleep_with_jitter(self, duration_ms: float) -> None:
        gevent.sleep(seconds(self._with_jitter(duration_ms)))

    def _with_jitter(self, duration_ms: float) -> float:
        return duration_ms * (0.5 + self._rng.random())


def _sources(plain: Any) -> tuple[SourceFile, ...]:
    if not isinstance(plain, dict):
        return ()
    return tuple(
        SourceFile(str(name), str(text)) for name, text in plain.items()
    )


__all__ = ('CONFIG_KEY', 'VMS_KEY', 'PlatformWatch')
