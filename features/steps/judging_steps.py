"""Steps about judging upstreams, and about asking the store again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then

from jackdawhead.blackboard import VmList
from jackdawhead.config.model import DetectionPolicy
from jackdawhead.policy.evidence import Summary
from jackdawhead.policy.readers import retry_ms
from jackdawhead.policy.suspicion import Norm, Suspicion, suspect

if TYPE_CHECKING:
    from behave.runner import Context

_MUCH_EVIDENCE = 100.0


@given('peers without errors and a run time of {run:d} ms')
def make_norm(context: Context, run: int) -> None:
    """Make the norm of a service."""
    context.norm = Norm(0, run)


def judge(context: Context, errors: int, number: int) -> Suspicion:
    """Judge an upstream whose cumulated evidence is beyond the limit."""
    summary = Summary(number, errors / number, 20, _MUCH_EVIDENCE)
    policy = DetectionPolicy('peers', 4000, 8, 30, 3, 5000, 60_000, 5000)
    return suspect(summary, context.norm, policy)


@then(
    'an upstream with {errors:d} errors of {number:d} and old evidence of'
    ' failing is not suspect'
)
def check_not_suspect(context: Context, errors: int, number: int) -> None:
    """Judge it."""
    assert not judge(context, errors, number).severity


@then(
    'an upstream with {errors:d} errors of {number:d} and fresh evidence of'
    ' failing is suspect'
)
def check_suspect(context: Context, errors: int, number: int) -> None:
    """Judge it."""
    assert judge(context, errors, number).severity


@given('a reader that knows {what} list of VMs')
def make_reader(context: Context, what: str) -> None:
    """Make a list of one VM, or none."""
    vms = {'a': None} if what == 'the' else {}
    context.vm_list = VmList(1, vms)


@then('it asks again {wait:d} ms after its first failure')
def check_first_retry(context: Context, wait: int) -> None:
    """Look at the first wait."""
    assert retry_ms(1, context.vm_list) == wait


@then('it asks again {wait:d} ms after {failures:d} failures')
def check_retry(context: Context, wait: int, failures: int) -> None:
    """Look at a later wait."""
    assert retry_ms(failures, context.vm_list) == wait
