"""Owns what the scenarios start, so that all of it ends."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING, Final

from behave.model import Status

if TYPE_CHECKING:
    from behave.model import Feature, Scenario
    from behave.runner import Context

_BAD: Final = frozenset((Status.failed, Status.error, Status.hook_error))


def before_feature(context: Context, feature: Feature) -> None:
    """Open the stack of what all scenarios of a feature share."""
    context.feature_stack = ExitStack()
    context.shared_fleets = {}


def after_feature(context: Context, feature: Feature) -> None:
    """End what the feature has started."""
    context.feature_stack.close()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Open the stack of one scenario."""
    context.stack = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End what the scenario has started; tell of a failure's processes."""
    if scenario.status in _BAD and 'fleet' in context:
        print(context.fleet.report())
    context.stack.close()
