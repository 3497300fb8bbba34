"""Result of an execution."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...policy.run_result import RunResult
    from ...wire.messages import Message


@dataclass(frozen=True, slots=True)
class ExecutionResult:
    """Result of an execution.

    :param final: last message to the entry, not delivered yet.
    :param run_ms: run time, without the time spent waiting for the caller.
    :param avoid_ms: time for which the upstream asked to get no work.
    :param found_silent: whether a pooled connection had gone silent.
    :param resent: whether the request was sent on a second connection.
    """

    ending: RunResult
    final: Message
    run_ms: float
    avoid_ms: int = 0
    found_silent: bool = False
    resent: bool = False


__all__ = ('ExecutionResult',)
