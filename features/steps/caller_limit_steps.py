"""Steps about limits for callers that the platform sets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from behave import then, when

from jackdawhead.platform.config_translation import ResourceTranslator
from jackdawhead.platform.machine_limits import (
    caller_connections,
    caller_memory_bytes,
)

if TYPE_CHECKING:
    from behave.runner import Context


@when("the operator's limits are {spec}")
def translate(context: Context, spec: str) -> None:
    """Translate a resource with limits."""
    fields = {
        'resourceType': 'limits',
        'metadata': {'name': 'limits'},
        'spec': json.loads(spec),
    }
    part = ResourceTranslator({}, 'target').translate(
        json.dumps(fields).encode()
    )
    context.limits = part.entry


@then("the node's limits are {limits}")
def check_limits(context: Context, limits: str) -> None:
    """Compare the limits by field of the caller policy."""
    assert context.limits == json.loads(limits), context.limits


@when('the VM has "{memory}" MB and "{descriptors}" descriptors')
def set_machine(context: Context, memory: str, descriptors: str) -> None:
    """Set the fields of the settings file."""
    context.fields = {
        'limits.memoryMb': memory,
        'limits.maxFds': descriptors,
    }


@when('the VM has "{memory}" MB and "" descriptors')
def set_memory(context: Context, memory: str) -> None:
    """Set one of the fields."""
    context.fields = {'limits.memoryMb': memory}


@then('callers may have {connections:d} connections and {size:d} bytes')
def check_bounds(context: Context, connections: int, size: int) -> None:
    """Compare the bounds."""
    assert caller_connections(context.fields) == connections
    assert caller_memory_bytes(context.fields) == size
