"""Classifies an upstream's answer by its status and headers."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from ...outcome import Outcome
from ...wire.header_numbers import retry_after_ms

if TYPE_CHECKING:
    from ...config.model import HeaderNames
    from .answer_reader import Answer

_SUCCESS_CLASS: Final = 2
_STATUSES_PER_CLASS: Final = 100
_MISDIRECTED_REQUEST: Final = 421
_SERVICE_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
# Callers take these as a promise that their work has not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_DEFAULT_RETRY_AFTER_MS: Final = 100


class Rejection(Enum):
    """Why an upstream's answer is not passed on to the entry.

    ``LATE``: timeout of the upstream at the deadline; ``UNSEALED``: success
    without the configured seal header; ``UNPROVED``: a status by which callers
    are told that their work did not run, without an id or a header that says
    so; ``OTHER_START``: another instance of the upstream answered;
    ``DRAINING`` and ``SHED``: the upstream refused.
    """

    NONE = auto()
    LATE = auto()
    UNSEALED = auto()
    UNPROVED = auto()
    OTHER_START = auto()
    DRAINING = auto()
    SHED = auto()


def is_own(
    answer: Answer,
    names: HeaderNames,
    request_id: str | None,
    *,
    is_first: bool,
) -> bool:
    """Return whether an answer belongs to a request, by the echoed id.

    An answer without an id is accepted as the first one on its connection. On a
    connection that has carried an answer, the bytes may be behind that one and
    belong to no request. There only a refusal is accepted, since upstreams may
    refuse work without an id; it proves nothing, see `is_proof`.

    :param answer: the answer, of which status and headers are used.
    :param names: configured names of the headers.
    :param request_id: id of the request, if it has one.
    :param is_first: whether the connection has carried no answer before.
    """
    echoed = _echoed_id(answer, names)
    if echoed is not None:
        return echoed == request_id
    return not request_id or is_first or _is_refusal(answer, names)


def is_proof(answer: Answer, names: HeaderNames, *, is_first: bool) -> bool:
    """Return whether a refusal is surely that of the request.

    :param answer: the refusal, of which the headers are used.
    :param names: configured names of the headers.
    :param is_first: whether the connection has carried no answer before.
    """
    return is_first or is_identified(answer, names)


def is_identified(answer: Answer, names: HeaderNames) -> bool:
    """Return whether a copy of an answer would be known by its echoed id.

    An upstream may send a second copy at the point where the next answer is
    expected. If no echoed id is configured, this cannot be known.

    :param answer: the answer, of which the headers are used.
    :param names: configured names of the headers.
    """
    return not names.echoed_id or _echoed_id(answer, names) is not None


def rejection_of(
    answer: Answer,
    names: HeaderNames,
    instance: str,
    *,
    is_late: bool,
) -> Rejection:
    """Return why an answer is not passed on, or ``NONE`` if it is.

    An upstream's own refusal proves that the request did not run. Its timeout
    at the deadline is treated like the timeout of the home, so that the
    caller sees the same result whichever comes first.

    :param answer: the answer, of which status and headers are used.
    :param names: configured names of the headers.
    :param instance: identity of the upstream's instance that the request was
        sent for, empty if it does not matter.
    :param is_late: whether the deadline of the request is reached.
    """
    status = answer.status
    if status == _GATEWAY_TIMEOUT and is_late:
        return Rejection.LATE
    is_success = status // _STATUSES_PER_CLASS == _SUCCESS_CLASS
    if is_success and names.seal and not _has_header(answer, names.seal):
        return Rejection.UNSEALED
    if instance and status == _MISDIRECTED_REQUEST:
        return Rejection.OTHER_START
    return _refusal_in(answer, names)


def retry_after_ms_of(answer: Answer) -> int:
    """Return the delay of a ``Retry-After`` header, 100 ms without one.

    :param answer: the answer, of which the headers are used.
    """
    asked_ms = retry_after_ms(answer.get('Retry-After') or '')
    return _DEFAULT_RETRY_AFTER_MS if asked_ms is None else asked_ms


def _refusal_in(answer: Answer, names: HeaderNames) -> Rejection:
    if _is_draining(answer, names):
        return Rejection.DRAINING
    if _says_not_run(answer, names):
        return Rejection.SHED
    is_promise = answer.status in _NOT_RUN_STATUSES
    if is_promise and not is_identified(answer, names):
        return Rejection.UNPROVED
    return Rejection.NONE


def _is_refusal(answer: Answer, names: HeaderNames) -> bool:
    is_misdirected = answer.status == _MISDIRECTED_REQUEST
    is_draining = _is_draining(answer, names)
    return is_misdirected or is_draining or _says_not_run(answer, names)


def _is_draining(answer: Answer, names: HeaderNames) -> bool:
    is_unavailable = answer.status == _SERVICE_UNAVAILABLE
    return is_unavailable and _has_header(answer, names.draining)


def _says_not_run(answer: Answer, names: HeaderNames) -> bool:
    if _has_header(answer, names.not_run):
        return True
    if answer.status != _SERVICE_UNAVAILABLE or not names.outcome:
        return False
    return answer.get(names.outcome) == Outcome.NOT_RUN.value


def _echoed_id(answer: Answer, names: HeaderNames) -> str | None:
    return answer.get(names.echoed_id) if names.echoed_id else None


def _has_header(answer: Answer, name: str) -> bool:
    return bool(name) and answer.get(name) is not None


__all__ = (
    'Rejection',
    'is_identified',
    'is_own',
    'is_proof',
    'rejection_of',
    'retry_after_ms_of',
)
