"""Steps about roles that begin and end, with the decision objects alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from behave import given, then, when

from jackdawhead.config.organisation import Organisation
from jackdawhead.policy.quota_gate import QuotaGate
from jackdawhead.policy.quota_office import QuotaOffice
from jackdawhead.policy.quota_terms import QuotaTerms
from jackdawhead.policy.quota_verdicts import Admission
from jackdawhead.wire.quota_messages import QuotaAsk

if TYPE_CHECKING:
    from behave.runner import Context

_NAME: Final = 'studio'
_RATE_PER_S: Final = 50.0
_BURST: Final = 50.0
_LISTED_AT_MS: Final = 400.0
_OWNER_SINCE_MS: Final = 10_000.0
_SOON_MS: Final = 100.0
_ENDLESS: Final = 10_000


@given(
    'a node that starts and is the owner of an organisation by its first list'
)
def start_owner(context: Context) -> None:
    """Create the gate of a node that is alone."""
    context.gate = QuotaGate('vm-0', 0)
    organisation = Organisation(
        _NAME, frozenset(), rate_per_s=_RATE_PER_S, burst=_BURST
    )
    context.gate.replace_organisations({_NAME: organisation}, 0)
    context.gate.replace_nodes(('vm-0',), _LISTED_AT_MS)


@when('a request comes {after:d} ms after that list')
def send_request(context: Context, after: int) -> None:
    """Decide one request."""
    now_ms = _LISTED_AT_MS + after
    context.gate.enter(_NAME, now_ms)
    context.verdict = context.gate.decide(_NAME, now_ms)


@then('the request is admitted')
def check_admitted(context: Context) -> None:
    """Check the verdict."""
    assert isinstance(context.verdict, Admission), context.verdict


@then('the request is refused')
def check_refused(context: Context) -> None:
    """Check that there is a verdict, and no credit."""
    assert context.verdict is not None
    assert not isinstance(context.verdict, Admission), context.verdict


@given('an office that has been the owner of a calm organisation for 10 s')
def hold_office(context: Context) -> None:
    """Create the office; its bucket is full by now."""
    terms = QuotaTerms(_RATE_PER_S, _BURST)
    context.office = QuotaOffice(terms, 0, 0)


@when('the list makes it the deputy')
def replace_owner(context: Context) -> None:
    """Change its rank."""
    context.office.replace_rank(1, _OWNER_SINCE_MS)


@then('it grants credit 100 ms later, and none beyond what it had left')
def check_left(context: Context) -> None:
    """Ask for more than there is, until it is the deputy."""
    terms = context.office.terms
    granted = 0
    now_ms = _OWNER_SINCE_MS + _SOON_MS
    while now_ms < _OWNER_SINCE_MS + 30 * _SOON_MS:
        ask = QuotaAsk(_NAME, 1, _ENDLESS, 0)
        grant = context.office.answer(ask, now_ms, is_current=True)
        granted += grant.credit
        now_ms += _SOON_MS
    left = terms.owner.capacity - terms.owner.refill(_SOON_MS)
    assert 0 < granted <= left, (granted, left)
