"""Where and how a home runs a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...config.model import HeaderNames, Operation
    from ...config.settings import Address
    from ...policy.retries import HomeResendBudget
    from .connections import ConnectionPool


@dataclass(frozen=True, slots=True)
class Target:
    """Where and how to run a request.

    :param instance: identity of the upstream's instance that must run it.
    :param expected_ms: expected run time of the operation.
    :param resends: budget of resends to the same upstream.
    :param is_leaving: whether the upstream takes no new work.
    """

    address: Address
    pool: ConnectionPool
    operation: Operation
    names: HeaderNames
    instance: str
    expected_ms: float
    resends: HomeResendBudget
    is_leaving: Callable[[], bool]

    def may_resend(self) -> bool:
        """Return whether work may be sent to the upstream once more."""
        return not self.is_leaving() and self.resends.may_resend()


__all__ = ('Target',)
