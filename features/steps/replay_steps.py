"""Steps that replay traces."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from behave import then, when

from features.steps.cli_steps import new_folder, run_command
from jackdawhead.config.load import load_folder
from jackdawhead.replay.engine import Replay, override_rules
from jackdawhead.replay.expectations import evaluate, read_expectations
from jackdawhead.replay.measures import MEASURES, Query
from jackdawhead.trace.reader import read_trace, without_operations

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.config.model import Config, Service
    from jackdawhead.replay.result import ReplayResult
    from jackdawhead.trace.reader import Trace

_ROOT = Path(__file__).resolve().parent.parent.parent
_FEATURES_FOLDER = _ROOT / 'features'
_SEED = 1


def trace_path(site: str, name: str) -> Path:
    """Return the path of a trace file."""
    return _FEATURES_FOLDER / 'traces' / f'{site}-{name}.jsonl.gz'


def expectation_path(site: str, name: str) -> Path:
    """Return the path of the file with the expectations for a trace."""
    return _FEATURES_FOLDER / 'expect' / f'{site}-{name}.yaml'


def load_trace(site: str, name: str) -> Trace:
    """Read a trace."""
    return read_trace((trace_path(site, name),)).unwrap()


def load_config(site: str, rule: str = '') -> Config:
    """Load the configuration of a site, optionally with one rule overridden.

    :param rule: ``kind=name``, or empty to keep all rules.
    """
    config = load_folder(_ROOT / 'examples' / site).unwrap().config
    if not rule:
        return config
    kind, _, name = rule.partition('=')
    return override_rules(config, {kind: name})


def replay(context: Context, site: str, name: str, rule: str) -> None:
    """Replay a trace and check its expectations."""
    expected = read_expectations(expectation_path(site, name)).unwrap()
    config = load_config(site, rule)
    context.result = Replay(config, load_trace(site, name), _SEED).run()
    context.findings = evaluate(context.result, expected)


@when('the trace "{name}" of "{site}" is replayed with "{rule}"')
def replay_with(context: Context, name: str, site: str, rule: str) -> None:
    """Replay with one rule overridden."""
    replay(context, site, name, rule)


@when('the trace "{name}" of "{site}" is replayed with the site\'s rules')
def replay_site(context: Context, name: str, site: str) -> None:
    """Replay with the configuration of the site."""
    replay(context, site, name, '')


@then('a bound is not met')
def check_missed(context: Context) -> None:
    """Check that at least one expectation is not met."""
    assert not all(each.is_met for each in context.findings), context.findings


@then('all bounds are met')
def check_met(context: Context) -> None:
    """Check that all expectations are met."""
    missed = [each for each in context.findings if not each.is_met]
    assert not missed, missed


@when('"{name}" of "{site}" is replayed with "{rule}" and without "{long}"')
def replay_pair(
    context: Context,
    name: str,
    site: str,
    rule: str,
    long: str,
) -> None:
    """Replay twice, the second time without an operation."""
    trace = load_trace(site, name)
    config = load_config(site, rule)
    context.result = Replay(config, trace, _SEED).run()
    without_long = without_operations(trace, [long])
    context.result_without_long = Replay(config, without_long, _SEED).run()


@when('"{name}" of "{site}" is replayed with its rules and without "{long}"')
def replay_site_pair(
    context: Context,
    name: str,
    site: str,
    long: str,
) -> None:
    """Replay with the site's rules, with and without an operation."""
    replay_pair(context, name, site, '', long)


def wait_ratio(context: Context, short: str, long: str) -> float:
    """Return the p99 wait time with long work, divided by that without it."""
    long_service = next(
        each.service
        for each in context.result.finished
        if each.operation.name == long
    )
    query = Query(service=long_service, operation=short, percentile=99)
    with_long = MEASURES['wait_ms'](context.result, query)
    without_long = MEASURES['wait_ms'](context.result_without_long, query)
    return with_long / without_long


@then(
    'the p99 wait of "{short}" with "{long}" is above {factor:f} times '
    'that without'
)
def check_ratio_above(
    context: Context,
    short: str,
    long: str,
    factor: float,
) -> None:
    """Check the lower bound of the ratio."""
    ratio = wait_ratio(context, short, long)
    assert ratio > factor, ratio


@then(
    'the p99 wait of "{short}" with "{long}" is at most {factor:f} times '
    'that without'
)
def check_ratio(
    context: Context,
    short: str,
    long: str,
    factor: float,
) -> None:
    """Check the upper bound of the ratio."""
    ratio = wait_ratio(context, short, long)
    assert ratio <= factor, ratio


@then(
    'the p99 wait of "{service}" from {start:d} to {end:d} ms is at most '
    '{factor:f} times that from {before:d} to {until:d} ms'
)
def check_wait_window(
    context: Context,
    service: str,
    start: int,
    end: int,
    factor: float,
    before: int,
    until: int,
) -> None:
    """Compare the p99 wait times of two time windows."""
    after = wait_in(context, service, start, end)
    baseline_ms = wait_in(context, service, before, until)
    assert after <= factor * baseline_ms, (after, baseline_ms)


def wait_in(context: Context, service: str, start: int, end: int) -> float:
    """Return the p99 wait time in a time window of virtual time."""
    query = Query(service=service, from_ms=start, to_ms=end)
    return MEASURES['wait_ms'](context.result, query)


def waits(result: ReplayResult) -> list[float]:
    """Return the p50 and the p99 wait time of all requests."""
    return [
        MEASURES['wait_ms'](result, Query(percentile=percentile))
        for percentile in (50, 99)
    ]


@when('the wait times are recorded')
def record_waits(context: Context) -> None:
    """Record the wait times for a later comparison."""
    context.recorded_ms = waits(context.result)


@then('no wait time is above the recorded one, and at least one is below it')
def check_wait(context: Context) -> None:
    """Compare with the recorded wait times."""
    found_ms = waits(context.result)
    pairs = list(zip(found_ms, context.recorded_ms, strict=True))
    assert all(found <= noted for found, noted in pairs), pairs
    assert any(found < noted for found, noted in pairs), pairs


def without_poison_limit(service: Service) -> Service:
    """Raise the limit of crashes per poison request out of reach."""
    return replace(service, poison=replace(service.poison, max_crashes=100))


def without_budget(service: Service) -> Service:
    """Allow a retry for every request."""
    return replace(service, retry=replace(service.retry, budget_percent=100))


def without_floor(service: Service) -> Service:
    """Allow the ejection of all upstreams."""
    return replace(service, healthy_floor_percent=0)


def without_retries(service: Service) -> Service:
    """Disable retries of requests that may have run, and with them hedges."""
    return replace(service, retry=replace(service.retry, budget_percent=0))


_DISABLE = {
    'a poison limit': without_poison_limit,
    'a retry budget': without_budget,
    'a healthy floor': without_floor,
    'retries': without_retries,
}


@when('the trace "{name}" of "{site}" is replayed without {mechanism}')
def replay_without(
    context: Context,
    name: str,
    site: str,
    mechanism: str,
) -> None:
    """Replay with a mechanism disabled in the configuration."""
    config = load_config(site)
    services = {
        each.name: _DISABLE[mechanism](each)
        for each in config.services.values()
    }
    expected = read_expectations(expectation_path(site, name)).unwrap()
    without = replace(config, services=services)
    context.result = Replay(without, load_trace(site, name), _SEED).run()
    context.findings = evaluate(context.result, expected)


def short_p99(result: ReplayResult) -> float:
    """Return the p99 latency of short work."""
    query = Query(work_class='short', percentile=99)
    return MEASURES['latency_ms'](result, query)


@when('the p99 latency of short work is recorded')
def record_short_latency(context: Context) -> None:
    """Record the latency for a later comparison."""
    context.recorded_ms = short_p99(context.result)


@then('the p99 latency of short work is below the recorded one')
def check_short(context: Context) -> None:
    """Compare with the recorded latency."""
    found_ms = short_p99(context.result)
    assert found_ms < context.recorded_ms, (found_ms, context.recorded_ms)


@then('there are at most {factor:f} attempts per request')
def check_attempts(context: Context, factor: float) -> None:
    """Check that the retry budget is kept."""
    found = MEASURES['attempts_per_request'](context.result, Query())
    assert found <= factor, found


@when('the command line replays "{name}" of "{site}" twice with seed {seed:d}')
def replay_twice(context: Context, name: str, site: str, seed: int) -> None:
    """Run the replay command twice and keep both outputs."""
    context.outputs = []
    for _ in range(2):
        run_command(
            context,
            'replay',
            str(trace_path(site, name)),
            '--config',
            str(_ROOT / 'examples' / site),
            '--expect',
            str(expectation_path(site, name)),
            '--seed',
            str(seed),
            '--format',
            'json',
        )
        context.outputs.append(context.output)


@then('both outputs are equal and not empty')
def check_equal(context: Context) -> None:
    """Compare both outputs."""
    assert context.outputs[0], context.errors
    assert context.outputs[0] == context.outputs[1]


@when('the command line replays with a faulty {what}')
def replay_faulty(context: Context, what: str) -> None:
    """Run the replay command with one faulty or missing input."""
    folder = new_folder(context)
    trace = trace_path('helvetia', 'steady')
    expectation = expectation_path('helvetia', 'steady')
    if what == 'trace':
        trace = folder / 'trace.jsonl'
        trace.write_text('["x",1]\n')
    elif what == 'trace file':
        trace = folder / 'none.jsonl'
    else:
        expectation = folder / 'expect.yaml'
        expectation.write_text('expect: [{measure: guess, max: 1}]\n')
    run_command(
        context,
        'replay',
        str(trace),
        '--config',
        str(_ROOT / 'examples' / 'helvetia'),
        '--expect',
        str(expectation),
    )
