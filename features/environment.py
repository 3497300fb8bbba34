"""Cleans up the processes and resources that scenarios start."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING, Final

from behave.model import Status

if TYPE_CHECKING:
    from behave.model import Feature, Scenario
    from behave.runner import Context

_BAD: Final = frozenset((Status.failed, Status.error, Status.hook_error))


def before_feature(context: Context, feature: Feature) -> None:
    """Create the stack of resources that a feature's scenarios share."""
    context.feature_stack = ExitStack()
    context.shared_fleets = {}


def after_feature(context: Context, feature: Feature) -> None:
    """Clean up the resources of the feature."""
    context.feature_stack.close()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create the stack of resources of one scenario."""
    context.stack = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Clean up the scenario's resources; print node logs if it failed."""
    if scenario.status in _BAD and 'fleet' in context:
        print(context.fleet.log_summary())
    context.stack.close()
