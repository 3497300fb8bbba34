"""Responses to requests that the fleet itself refuses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import falcon

from ...outcome import Outcome
from ...reasons import Reason

if TYPE_CHECKING:
    from falcon import Response

    from ...config.model import CallerPolicy, HeaderNames
    from .requests import Refused

_MS_PER_S: Final = 1000
_STATUS_OF_REASON: Final = {
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.OVER_QUOTA: 429,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_CUT: 400,
    Reason.DEADLINE: 504,
    Reason.TICKET_GONE: 409,
    Reason.TICKET_REFUSED: 400,
}
_STATUS_NOT_RUN: Final = 503
_STATUS_UNKNOWN: Final = 502


def fill_refusal(
    response: Response,
    refused: Refused,
    names: HeaderNames,
    policy: CallerPolicy,
) -> None:
    """Fill in the response for a refusal.

    :param response: falcon's response.
    :param refused: why and with which outcome the request is refused.
    :param names: names of the headers.
    :param policy: statuses of some reasons.
    """
    response.status = _status_of(refused, policy)
    response.content_type = falcon.MEDIA_JSON
    if refused.reason is Reason.UNKNOWN_KEY:
        set_optional_header(
            response, 'WWW-Authenticate', names.credential_scheme
        )
    set_optional_header(response, names.outcome, refused.outcome.value)
    after_ms = refused.retry_after_ms
    if after_ms:
        whole_s = -(-after_ms // _MS_PER_S)
        is_exact = policy.fractional_retry_after
        after_s = after_ms / _MS_PER_S if is_exact else whole_s
        response.set_header('Retry-After', str(after_s))
        set_optional_header(response, names.retry_after_ms, str(after_ms))
    response.media = {
        'outcome': refused.outcome.value,
        'reason': refused.reason.value,
        'retry_after_ms': after_ms,
    }


def _status_of(refused: Refused, policy: CallerPolicy) -> int:
    is_not_run = refused.outcome is Outcome.NOT_RUN
    if is_not_run and refused.reason is Reason.QUARANTINED:
        return policy.quarantined_status
    if is_not_run and refused.reason is Reason.DEADLINE:
        return policy.expired_status
    default = _STATUS_NOT_RUN if is_not_run else _STATUS_UNKNOWN
    return _STATUS_OF_REASON.get(refused.reason, default)


def set_optional_header(response: Response, name: str, text: str) -> None:
    """Set a header of a response, unless it is turned off.

    :param response: falcon's response.
    :param name: name of the header, empty if it is turned off.
    :param text: value of the header.
    """
    if name:
        response.set_header(name, text)


__all__ = ('fill_refusal', 'set_optional_header')
