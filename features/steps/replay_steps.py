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
_FEATURES = _ROOT / 'features'
_SEED = 1


def trace_path(site: str, name: str) -> Path:
    """Return the file of a trace."""
    return _FEATURES / 'traces' / f'{site}-{name}.jsonl.gz'


def expectation_path(site: str, name: str) -> Path:
    """Return the file of a trace's stated outcomes."""
    return _FEATURES / 'expect' / f'{site}-{name}.yaml'


def load_trace(site: str, name: str) -> Trace:
    """Return a trace."""
    return read_trace((trace_path(site, name),)).unwrap()


def load_config(site: str, rule: str = '') -> Config:
    """Return the configuration of a site, with one rule changed."""
    config = load_folder(_ROOT / 'examples' / site).unwrap().config
    if not rule:
        return config
    kind, _, name = rule.partition('=')
    return override_rules(config, {kind: name})


def replay(context: Context, site: str, name: str, rule: str) -> None:
    """Replay a trace and judge it by its stated outcomes."""
    expected = read_expectations(expectation_path(site, name)).unwrap()
    config = load_config(site, rule)
    context.result = Replay(config, load_trace(site, name), _SEED).run()
    context.findings = evaluate(context.result, expected)


@when('the trace "{name}" of "{site}" is replayed with "{rule}"')
def replay_with(context: Context, name: str, site: str, rule: str) -> None:
    """Replay with one rule changed."""
    replay(context, site, name, rule)


@when('the trace "{name}" of "{site}" is replayed with the rules of the site')
def replay_site(context: Context, name: str, site: str) -> None:
    """Replay as the site is configured."""
    replay(context, site, name, '')


@then('a bound is not met')
def check_missed(context: Context) -> None:
    """Look for a missed bound."""
    assert not all(each.is_met for each in context.findings), context.findings


@then('all bounds are met')
def check_met(context: Context) -> None:
    """Look for missed bounds."""
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
    alone = without_operations(trace, [long])
    context.result_alone = Replay(config, alone, _SEED).run()


@when('"{name}" of "{site}" is replayed with its rules and without "{long}"')
def replay_site_pair(
    context: Context,
    name: str,
    site: str,
    long: str,
) -> None:
    """Replay twice as the site is configured."""
    replay_pair(context, name, site, '', long)


def wait_ratio(context: Context, short: str, long: str) -> float:
    """Return the wait beside long work as a multiple of that without."""
    long_service = next(
        each.service
        for each in context.result.finished
        if each.operation.name == long
    )
    query = Query(service=long_service, operation=short, percentile=99)
    beside = MEASURES['wait_ms'](context.result, query)
    alone = MEASURES['wait_ms'](context.result_alone, query)
    return beside / alone


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
    """Compare the waits."""
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
    """Compare the waits."""
    ratio = wait_ratio(context, short, long)
    assert ratio <= factor, ratio


@then(
    'the p99 wait of "{service}" from {start:d} to {end:d} ms is at most '
    '{factor:f} times that from {before:d} to {until:d} ms'
)
def check_normal(
    context: Context,
    service: str,
    start: int,
    end: int,
    factor: float,
    before: int,
    until: int,
) -> None:
    """Compare the waits of two times."""
    after = wait_in(context, service, start, end)
    usual = wait_in(context, service, before, until)
    assert after <= factor * usual, (after, usual)


def wait_in(context: Context, service: str, start: int, end: int) -> float:
    """Return the p99 wait of a time."""
    query = Query(service=service, from_ms=start, to_ms=end)
    return MEASURES['wait_ms'](context.result, query)


def waits(result: ReplayResult) -> list[float]:
    """Return the p50 and the p99 wait of all requests."""
    return [
        MEASURES['wait_ms'](result, Query(percentile=percentile))
        for percentile in (50, 99)
    ]


@when('the waits of its requests are noted')
def note_wait(context: Context) -> None:
    """Keep the waits."""
    context.noted_ms = waits(context.result)


@then('no wait is above the noted one, and one is below it')
def check_wait(context: Context) -> None:
    """Compare with the waits that were kept."""
    found_ms = waits(context.result)
    pairs = list(zip(found_ms, context.noted_ms, strict=True))
    assert all(found <= noted for found, noted in pairs), pairs
    assert any(found < noted for found, noted in pairs), pairs


def without_poison_limit(service: Service) -> Service:
    """Let any number of upstreams be lost to one request."""
    return replace(service, poison=replace(service.poison, max_crashes=100))


def without_budget(service: Service) -> Service:
    """Let every request be sent again."""
    return replace(service, retry=replace(service.retry, budget_percent=100))


def without_floor(service: Service) -> Service:
    """Let all upstreams be ejected."""
    return replace(service, healthy_floor_percent=0)


def without_resends(service: Service) -> Service:
    """Send nothing that may have run again, which leaves out copies too."""
    return replace(service, retry=replace(service.retry, budget_percent=0))


_WITHOUT = {
    'a poison limit': without_poison_limit,
    'a retry budget': without_budget,
    'a healthy floor': without_floor,
    'resends': without_resends,
}


@when('the trace "{name}" of "{site}" is replayed without {mechanism}')
def replay_without(
    context: Context,
    name: str,
    site: str,
    mechanism: str,
) -> None:
    """Replay with a mechanism switched off by a setting."""
    config = load_config(site)
    services = {
        each.name: _WITHOUT[mechanism](each)
        for each in config.services.values()
    }
    expected = read_expectations(expectation_path(site, name)).unwrap()
    without = replace(config, services=services)
    context.result = Replay(without, load_trace(site, name), _SEED).run()
    context.findings = evaluate(context.result, expected)


def short_p99(result: ReplayResult) -> float:
    """Return the p99 time of short work."""
    query = Query(work_class='short', percentile=99)
    return MEASURES['latency_ms'](result, query)


@when('the p99 time of short work is noted')
def note_short(context: Context) -> None:
    """Keep the time."""
    context.noted_ms = short_p99(context.result)


@then('the p99 time of short work is below the noted one')
def check_short(context: Context) -> None:
    """Compare with the time that was kept."""
    found_ms = short_p99(context.result)
    assert found_ms < context.noted_ms, (found_ms, context.noted_ms)


@then('attempts are at most {factor:f} times the requests')
def check_attempts(context: Context, factor: float) -> None:
    """Compare the number of attempts with the budget's promise."""
    found = MEASURES['attempts_per_request'](context.result, Query())
    assert found <= factor, found


@when('the command line replays "{name}" of "{site}" twice with seed {seed:d}')
def replay_twice(context: Context, name: str, site: str, seed: int) -> None:
    """Replay by the command line."""
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
    """Compare the outputs."""
    assert context.outputs[0], context.errors
    assert context.outputs[0] == context.outputs[1]


@when('the command line replays with a faulty {what}')
def replay_faulty(context: Context, what: str) -> None:
    """Replay with one input out of order."""
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
