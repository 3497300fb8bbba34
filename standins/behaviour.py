"""How a stand-in upstream behaves; switched at run time."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

_SPREAD: Final = 0.25
_STRAGGLER_FACTOR: Final = 8.0
_MS_PER_S: Final = 1000


@dataclass(slots=True)
class Behaviour:
    """Settings that ``POST /_control`` changes.

    :param run_ms: run time by path prefix.
    :param fail_share: share of requests answered with 500, 0 to 1.
    :param fail_prefix: only paths with this prefix fail or slow down.
    :param slow_factor: multiple of the run time.
    :param flap_ms: half period of switching between sick and well, 0 for none.
    :param straggler_share: share of requests that run much longer.
    :param silent: connections that carried work before this was set get no
        answer any more; new ones work.
    :param draining: new work is refused with a draining header.
    :param shed: new work is refused as not run.
    :param lose_share: share of requests that are run and whose answer is lost
        with the connection.
    :param shed_after_loss: new work is refused once an answer was lost.
    :param endless: kind of bytes that are sent in place of an answer until
        the connection is closed, none by default; see ``standins.endless``.
    :param early: an answer to a request with a body is given before the body is
        read, which then stays unread.
    :param cold_ms: time after a start during which work runs slower.
    :param restart_ms: time that a crash takes the upstream away.
    :param answer_bytes: size of the answer's filling.
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

        :param fields: names and new values; unknown names raise.
        """
        for name, setting in fields.items():
            if name not in self.__dataclass_fields__:
                raise KeyError(name)
            setattr(self, name, setting)

    def is_sick(self) -> bool:
        """Return whether a flapping upstream is in its sick phase."""
        if not self.flap_ms:
            return True
        phase = time.monotonic() * _MS_PER_S / self.flap_ms
        return math.floor(phase) % 2 == 0

    def concerns(self, path: str) -> bool:
        """Return whether failures and delays concern a path now."""
        return path.startswith(self.fail_prefix) and self.is_sick()

    def fails(self, path: str, rng: Random) -> bool:
        """Return whether a request is answered with an error."""
        return self.concerns(path) and rng.random() < self.fail_share

    def loses(self, rng: Random) -> bool:
        """Return whether the answer to a request is lost."""
        is_lost = rng.random() < self.lose_share
        if is_lost and self.shed_after_loss:
            self.shed = True
        return is_lost

    def run_time_ms(self, path: str, age_ms: float, rng: Random) -> float:
        """Return how long a request runs.

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
        spread = 1 + _SPREAD * (2 * rng.random() - 1)
        run_ms = base_ms * spread
        if self.concerns(path):
            run_ms *= self.slow_factor
        if rng.random() < self.straggler_share:
            run_ms *= _STRAGGLER_FACTOR
        if age_ms < self.cold_ms:
            run_ms *= self.cold_factor
        return run_ms


__all__ = ('Behaviour',)
