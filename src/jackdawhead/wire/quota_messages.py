"""Messages about the quotas of organisations.

They are sent only while an organisation with a quota has traffic, so that nodes
of earlier builds, which close a stream with an unknown code, never get one
unless the configuration has organisations.
"""

from __future__ import annotations

from dataclasses import dataclass

from .base import Message, message


@message(22)
@dataclass(frozen=True, slots=True)
class QuotaAsk(Message):
    """An entry asks the owner or the deputy of an organisation for credit.

    :param organisation: name of the organisation.
    :param serial: number that the answer repeats.
    :param need: number of requests that wait for the answer.
    :param ahead: number of requests that the entry expects soon.
    """

    organisation: str
    serial: int
    need: int
    ahead: int


@message(23)
@dataclass(frozen=True, slots=True)
class QuotaGrant(Message):
    """Answer to an ask.

    :param organisation: name of the organisation.
    :param serial: number of the ask.
    :param credit: number of requests that the entry may admit.
    :param wait_ms: time after which there will be room for the rest.
    :param grants: whether the sender grants credit now, by its own list.
    :param used: requests that the sender has granted in the last window.
    """

    organisation: str
    serial: int
    credit: int
    wait_ms: int
    grants: bool
    used: int


__all__ = ('QuotaAsk', 'QuotaGrant')
