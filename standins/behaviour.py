"""Behaviour of a stand-in upstream, which can change at run time."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

_RUN_TIME_SPREAD: Final = 0.25
_STRAGGLER_FACTOR: Final = 8.0
_MS_PER_S: Final = 1000


@dataclass(slots=True)
class Behaviour:
    """Settings that ``POST /_control`` changes.

    :param run_ms: run time in milliseconds by path prefix.
    :param fail_share: share of requests answered with 500, 0 to 1.
    :param fail_prefix: only paths with this prefix fail or slow down.
    :param slow_factor: factor applied to the run time.
    :param flap_ms: half period of alternating between faulty and healthy,
        0 for a permanent fault.
    :param straggler_share: share of requests that run eight times as long.
    :param silent: connections that carried work before this was set get no
        more answers; new connections work.
    :param draining: refuse new work with a draining header.
    :param shed: refuse new work as not run.
    :param lose_share: share of requests that run, but whose connection is
        reset instead of an answer.
    :param shed_after_loss: refuse new work once an answer has been lost.
    :param endless: kind of bytes sent in place of an answer until the
        connection is closed, none by default; see ``standins.endless``.
    :param early: answer a POST before its body is read, and leave the body
        unread.
    :param cold_ms: time after a start during which work runs slower.
    :param cold_factor: factor applied to the run time during ``cold_ms``.
    :param restart_ms: time until the upstream is back after a crash.
    :param answer_bytes: size of the answer's body, 0 for a JSON answer.
    """

    run_ms: dict[str, float] = field(default_factory=dict)
    fail_share: float = 0
    fail_prefix: str = ''
    slow_factor: float = 1
    flap_ms: float = 0
    straggler_share: float = 0
    silent: bool = False
    draining: bool = False
    shed: bool = False
    lose_share: float = 0
    shed_after_loss: bool = False
    endless: str = ''
    early: bool = False
    cold_ms: float = 0
    cold_factor: float = 5
    restart_ms: float = 500
    answer_bytes: int = 0

    def update(self, fields: dict[str, Any]) -> None:
        """Change some settings.

        :param fields: new values by name.
        :raises KeyError: if a name is unknown.
        """
        for name, setting in fields.items():
            if name not in self.__dataclass_fields__:
                raise KeyError(name)
            setattr(self, name, setting)

    def is_fault_active(self) -> bool:
        """Return whether faults are active; they alternate when flapping."""
        if not self.flap_ms:
            return True
        phase = time.monotonic() * _MS_PER_S / self.flap_ms
        return math.floor(phase) % 2 == 0

    def affects(self, path: str) -> bool:
        """Return whether failures and delays currently apply to a path."""
        return path.startswith(self.fail_prefix) and self.is_fault_active()

    def should_fail(self, path: str, rng: Random) -> bool:
        """Decide at random whether to answer a request with an error."""
        return self.affects(path) and rng.random() < self.fail_share

    def should_lose_answer(self, rng: Random) -> bool:
        """Decide at random whether the answer to a request gets lost."""
        is_lost = rng.random() < self.lose_share
        if is_lost and self.shed_after_loss:
            self.shed = True
        return is_lost

    def run_time_ms(self, path: str, age_ms: float, rng: Random) -> float:
        """Draw the run time of a request in milliseconds.

        :param age_ms: time since the upstream started.
        """
        base_ms = next(
            (
                ms
                for prefix, ms in self.run_ms.items()
                if path.startswith(prefix)
            ),
            0,
        )
        factor = 1 + _RUN_TIME_SPREAD * (2 * rng.random() - 1)
        run_ms = base_ms * factor
        if self.affects(path):
            run_ms *= self.slow_factor
        if rng.random() < self.straggler_share:
            run_ms *= _STRAGGLER_FACTOR
        if age_ms < self.cold_ms:
            run_ms *= self.cold_factor
        return run_ms


__all__ = ('Behaviour',)
