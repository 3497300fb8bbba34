"""Steps about outlier detection, and about retries of calls to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then

from jackdawhead.blackboard import VmList
from jackdawhead.config.model import DetectionPolicy
from jackdawhead.policy.evidence import Summary
from jackdawhead.policy.outliers import Norm, Suspicion, suspect
from jackdawhead.policy.platform_readers import platform_retry_ms

if TYPE_CHECKING:
    from behave.runner import Context

_HIGH_CUSUM = 100.0


@given('peers without errors and a run time of {run:d} ms')
def make_norm(context: Context, run: int) -> None:
    """Create the norm of a service."""
    context.norm = Norm(0, run)


def compare_with_norm(context: Context, errors: int, number: int) -> Suspicion:
    """Compare an upstream whose CUSUM exceeds the limit with the norm."""
    summary = Summary(number, errors / number, 20, _HIGH_CUSUM)
    policy = DetectionPolicy('peers', 4000, 8, 30, 3, 5000, 60_000, 5000)
    return suspect(summary, context.norm, policy)


@then(
    'an upstream with {errors:d} errors of {number:d} and old evidence of'
    ' failures is not suspect'
)
def check_not_suspect(context: Context, errors: int, number: int) -> None:
    """Check that the upstream counts as normal."""
    assert not compare_with_norm(context, errors, number).severity


@then(
    'an upstream with {errors:d} errors of {number:d} and new evidence of'
    ' failures is suspect'
)
def check_suspect(context: Context, errors: int, number: int) -> None:
    """Check that the upstream counts as an outlier."""
    assert compare_with_norm(context, errors, number).severity


@given('a reader that knows {what} list of VMs')
def make_reader(context: Context, what: str) -> None:
    """Create a VM list with one VM, or an empty one."""
    vms = {'a': None} if what == 'the' else {}
    context.vm_list = VmList(1, vms)


@then('it retries {wait:d} ms after its first failure')
def check_first_retry(context: Context, wait: int) -> None:
    """Check the backoff after the first failure."""
    assert platform_retry_ms(1, context.vm_list) == wait


@then('it retries {wait:d} ms after {failures:d} failures')
def check_retry(context: Context, wait: int, failures: int) -> None:
    """Check the backoff after several failures."""
    assert platform_retry_ms(failures, context.vm_list) == wait
