"""What an upstream's answer says beside its content."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from ...outcome import Outcome

if TYPE_CHECKING:
    from ...config.model import HeaderNames
    from .answer_reader import Answer

_SUCCESS: Final = 2
_STATUS_CLASS: Final = 100
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_DEFAULT_AVOID_MS: Final = 100
_MS_PER_S: Final = 1000


class Judgement(Enum):
    """Why an answer is not passed on."""

    NONE = auto()
    LATE = auto()
    UNSEALED = auto()
    OTHER_START = auto()
    DRAINING = auto()
    SHED = auto()


def judge_answer(
    answer: Answer,
    names: HeaderNames,
    instance: str,
    *,
    is_late: bool,
) -> Judgement:
    """Recognise an upstream's own refusal, a proof of 'not run'.

    Its own time-out at the deadline is no answer either, and is told like
    that of the home, whichever comes first.

    :param instance: identity of the start that the request was meant for.
    :param is_late: whether the deadline of the request is reached.
    """
    status = answer.status
    if status == _GATEWAY_TIMEOUT and is_late:
        return Judgement.LATE
    is_success = status // _STATUS_CLASS == _SUCCESS
    if is_success and names.seal and not _has(answer, names.seal):
        return Judgement.UNSEALED
    if instance and status == _MISDIRECTED:
        return Judgement.OTHER_START
    if status == _UNAVAILABLE and _has(answer, names.draining):
        return Judgement.DRAINING
    return Judgement.SHED if _is_proof(answer, names) else Judgement.NONE


def avoid_ms_of(answer: Answer) -> int:
    """Return the time of a Retry-After header in seconds (RFC 9110)."""
    try:
        return int(float(answer.get('Retry-After') or '') * _MS_PER_S)
    except ValueError:
        return _DEFAULT_AVOID_MS


def _is_proof(answer: Answer, names: HeaderNames) -> bool:
    if _has(answer, names.not_run):
        return True
    if answer.status != _UNAVAILABLE or not names.outcome:
        return False
    return answer.get(names.outcome) == Outcome.NOT_RUN.value


def _has(answer: Answer, name: str) -> bool:
    return bool(name) and answer.get(name) is not None


__all__ = ('Judgement', 'avoid_ms_of', 'judge_answer')
