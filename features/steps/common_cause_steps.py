"""Steps about upstreams that fail alone, or with the whole service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.replay_steps import load_config
from jackdawhead.policy.detection import Health
from jackdawhead.policy.evidence import Summary
from jackdawhead.policy.peer_detector import PeerDetector

if TYPE_CHECKING:
    from behave.runner import Context

_OPERATION: Final = 'lookup'
_START_MS: Final = 1_000_000.0
_TICK_MS: Final = 200.0
_GOOD: Final = Summary(32, 0, 20)
_BAD: Final = Summary(32, 1, 20, 20)


def new_detector(context: Context, number: int) -> None:
    """Create the detector of a service whose upstreams have no outcomes."""
    service = load_config('helvetia').services['registry-desk']
    context.detector = PeerDetector(service)
    context.window_ms = service.detection.window_ms
    context.changes = []
    context.names = [f'vm-{each}' for each in range(number)]
    context.detector.replace_members(frozenset(context.names))
    context.now_ms = _START_MS


def report(context: Context, names: list[str], summary: Summary) -> None:
    """Report the same outcomes of several upstreams."""
    for name in names:
        context.detector.report(name, _OPERATION, summary, context.now_ms)


def tick(context: Context) -> None:
    """Let the detector judge the reports."""
    context.now_ms += _TICK_MS
    context.changes.extend(context.detector.tick(context.now_ms))


def ejected(context: Context) -> list[str]:
    """Return the upstreams that are ejected."""
    return [
        name
        for name in context.names
        if context.detector.health(name, _OPERATION) is not Health.HEALTHY
    ]


@given('a service of {number:d} upstreams, of which 2 are ejected for errors')
def make_ejected(context: Context, number: int) -> None:
    """Let two upstreams fail while all others are healthy."""
    new_detector(context, number)
    report(context, context.names[:2], _BAD)
    report(context, context.names[2:], _GOOD)
    tick(context)
    assert ejected(context) == context.names[:2], ejected(context)


@given('a service of {number:d} upstreams without outcomes')
def make_unknown(context: Context, number: int) -> None:
    """Create the detector of a service that has just started."""
    new_detector(context, number)


@when(
    'late answers of both report errors, and {number:d} other upstream has'
    ' enough outcomes, all good'
)
def report_late(context: Context, number: int) -> None:
    """Wait until all reports are too old, and report a few upstreams."""
    context.now_ms += context.window_ms + _TICK_MS
    report(context, context.names[:2], _BAD)
    report(context, context.names[2 : 2 + number], _GOOD)
    tick(context)


@when('{bad:d} upstreams fail, {good:d} have only successes, the others none')
def report_some(context: Context, bad: int, good: int) -> None:
    """Report some of the upstreams, twice, as answers in flight do."""
    for _ in range(2):
        report(context, context.names[:bad], _BAD)
        report(context, context.names[bad : bad + good], _GOOD)
        tick(context)


@when('all upstreams fail')
def report_all_bad(context: Context) -> None:
    """Report failures of all upstreams."""
    report(context, context.names, _BAD)
    tick(context)


@then('the first {number:d} upstreams are ejected, and no other')
def check_ejected(context: Context, number: int) -> None:
    """Compare the ejected upstreams."""
    assert ejected(context) == context.names[:number], ejected(context)


@then('no ejection was lifted')
def check_not_lifted(context: Context) -> None:
    """Check that no upstream became healthy again."""
    lifted = [each for each in context.changes if each.health is Health.HEALTHY]
    assert not lifted, lifted
