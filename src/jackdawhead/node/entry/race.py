"""Two copies of one request: the first good answer wins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...wire.messages import Head, Refusal

if TYPE_CHECKING:
    from ...policy.loads import UpstreamLoad
    from .attempts import Attempt, Attempts

_GRACE_MS: Final = 50
_SERVER_ERROR: Final = 500


@dataclass(frozen=True, slots=True)
class Copy:
    """One sending of a request.

    :param load: upstream it was sent to.
    """

    attempt: Attempt
    load: UpstreamLoad


@dataclass(frozen=True, slots=True)
class Heard:
    """What was heard first of a copy.

    :param first: head or refusal, or nothing when time was up.
    """

    copy: Copy
    first: Head | Refusal | None


def race(
    attempts: Attempts,
    copies: tuple[Copy, Copy],
    left_ms: float,
) -> Heard:
    """Return the first good answer, and withdraw the other copy.

    If neither is good, the last one heard is returned.

    :param copies: the earlier and the later one; twins.
    :param left_ms: time left for the request.
    """
    ends_ms = monotonic_ms() + left_ms + _GRACE_MS
    earlier, later = copies
    message = earlier.attempt.any_first(ends_ms - monotonic_ms())
    if message is None:
        attempts.cancel(later.attempt)
        return Heard(earlier, None)
    is_earlier = message.request_id == earlier.attempt.request_id
    heard, other = (earlier, later) if is_earlier else (later, earlier)
    if _is_good(message):
        attempts.cancel(other.attempt)
        return Heard(heard, message)
    attempts.cancel(heard.attempt)
    return Heard(other, other.attempt.first(ends_ms - monotonic_ms()))


def _is_good(message: Head | Refusal) -> bool:
    return isinstance(message, Head) and message.status < _SERVER_ERROR


__all__ = ('Copy', 'Heard', 'race')
