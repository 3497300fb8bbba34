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
    """An entry asks an elector of an organisation for credit.

    :param organisation: name of the organisation.
    :param serial: number that the answer repeats.
    :param need: number of requests that wait for the answer.
    :param ahead: number of requests that the entry expects soon.
    :param lost: holder of the mandate that the entry could not reach, if any.
    """

    organisation: str
    serial: int
    need: int
    ahead: int
    lost: str


@message(23)
@dataclass(frozen=True, slots=True)
class QuotaGrant(Message):
    """Answer to an ask.

    :param organisation: name of the organisation.
    :param serial: number of the ask.
    :param credit: number of requests that the entry may admit.
    :param wait_ms: time after which there will be room for the rest.
    :param holder: node that holds the mandate, empty if it is unknown.
    :param used: requests granted to all entries in the last window, as far as
        the sender knows.
    """

    organisation: str
    serial: int
    credit: int
    wait_ms: int
    holder: str
    used: int


@message(24)
@dataclass(frozen=True, slots=True)
class QuotaClaim(Message):
    """A node claims, renews or gives up the mandate of an organisation.

    :param organisation: name of the organisation.
    :param serial: number that the answer repeats.
    :param lease_ms: how long the vote must hold, 0 to give it back.
    :param renews: whether the sender holds the mandate.
    """

    organisation: str
    serial: int
    lease_ms: int
    renews: bool


@message(25)
@dataclass(frozen=True, slots=True)
class QuotaVote(Message):
    """An elector's answer to a claim.

    :param organisation: name of the organisation.
    :param serial: number of the claim.
    :param given: whether the claimant has the vote.
    :param holder: node that has it otherwise, empty if none.
    :param quiet: whether the elector knows that nobody has granted credit for
        a whole window.
    """

    organisation: str
    serial: int
    given: bool
    holder: str
    quiet: bool


__all__ = ('QuotaAsk', 'QuotaClaim', 'QuotaGrant', 'QuotaVote')
