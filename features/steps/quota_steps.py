"""Steps about quotas of the whole fleet, without a network."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.quota_fleet import (
    WINDOW_MS,
    SimulatedFleet,
    rule_bound,
)
from jackdawhead.wire.codec import encode

if TYPE_CHECKING:
    from behave.runner import Context

# Quotas of the users' deployments, in units of the usual load.
_QUOTA_RATIO: Final = 1.6
# Callers come some time after the nodes have started.
_CALM_START_MS: Final = 8000
_SETTLE_MS: Final = 1000
_CHECK_MS: Final = 100
_MS_PER_S: Final = 1000


def _start(
    context: Context,
    nodes: int,
    delay_ms: float,
    usual: float,
    **options: float,
) -> None:
    seed = int(options.get('seed', 1))
    context.quota = _QUOTA_RATIO * usual
    context.usual = usual
    context.quotas = SimulatedFleet(
        nodes, Random(seed), delay_ms, options.get('loss', 0)
    )
    context.quotas.set_quota(context.quota, context.quota)
    context.quotas.run_until(_CALM_START_MS)


@given(
    'a simulated fleet of {nodes:d} nodes, messages that take up to {delay:d} '
    'ms, and {usual:g} requests per second as usual'
)
def quota_fleet(context: Context, nodes: int, delay: int, usual: float) -> None:
    """Start nodes that know an organisation with a quota."""
    _start(context, nodes, delay, usual)


@given(
    'a simulated fleet of {nodes:d} nodes, messages that take up to {delay:d} '
    'ms with {loss:g} lost, and {usual:g} requests per second as usual, '
    'seed {seed:d}'
)
def lossy_quota_fleet(
    context: Context,
    nodes: int,
    delay: int,
    loss: float,
    usual: float,
    seed: int,
) -> None:
    """Start nodes whose messages are lost at times."""
    _start(context, nodes, delay, usual, loss=loss, seed=seed)


def _send(
    context: Context, ratio: float, duration_s: float, skew: float = 0
) -> None:
    context.sent_ms = duration_s * _MS_PER_S
    context.quotas.send_requests(ratio * context.usual, context.sent_ms, skew)


def _run(context: Context) -> None:
    context.quotas.run_until(_CALM_START_MS + context.sent_ms + _SETTLE_MS)


@when(
    'callers send {ratio:g} times the usual for {duration_s:g} s, '
    'with skew {skew:g}'
)
def send_with_skew(
    context: Context, ratio: float, duration_s: float, skew: float
) -> None:
    """Send at random nodes, some of which get more than others."""
    _send(context, ratio, duration_s, skew)
    _run(context)


class Faults:
    """Faults that come again and again.

    :param fleet: the simulated fleet.
    """

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet

    def schedule(self, fault: str, end_ms: float) -> None:
        """Plan a kind of fault, at random moments until some time."""
        fleet = self._fleet
        at_ms = fleet.now_ms + _SETTLE_MS
        while at_ms < end_ms:
            fleet.at(at_ms, partial(self._inject, fault))
            at_ms += fleet.rng.uniform(300, 3000)

    def kill_owners(self) -> None:
        """Kill the owners; they start again soon."""
        for name in self._fleet.owners():
            self._kill(name)

    def cut_owners(self) -> None:
        """Cut the owners off, or heal the fleet."""
        owners = self._fleet.owners()
        self._fleet.cut({name: 1 for name in owners})

    def cut_parts(self) -> None:
        """Cut the fleet into one to three parts."""
        rng = self._fleet.rng
        parts = rng.randint(1, 3)
        names = self._fleet.names
        self._fleet.cut({name: rng.randrange(parts) for name in names})

    def kill_many(self) -> None:
        """Kill every third node; they start again soon."""
        for name in self._fleet.names:
            if (
                name not in self._fleet.dead
                and self._fleet.rng.random() < 1 / 3
            ):
                self._kill(name)

    def _inject(self, fault: str) -> None:
        if fault == 'all of these happen':
            fault = self._fleet.rng.choice(tuple(_FAULTS))
        _FAULTS[fault](self)

    def _kill(self, name: str) -> None:
        self._fleet.kill(name)
        back_at_ms = self._fleet.now_ms + self._fleet.rng.uniform(100, 4000)
        self._fleet.at(back_at_ms, lambda: self._fleet.restart(name))


_FAULTS: Final = {
    'the owner is killed and restarted': Faults.kill_owners,
    'the owner is cut off': Faults.cut_owners,
    'the fleet is cut into random parts': Faults.cut_parts,
    'many nodes are killed and restarted': Faults.kill_many,
}


@when(
    'callers send {ratio:g} times the usual for {duration_s:g} s, while {fault}'
)
def send_in_faults(
    context: Context, ratio: float, duration_s: float, fault: str
) -> None:
    """Send while something fails again and again."""
    _send(context, ratio, duration_s)
    end_ms = _CALM_START_MS + context.sent_ms
    Faults(context.quotas).schedule(fault, end_ms)
    context.most_owners = 0
    at_ms = float(_CALM_START_MS)
    while at_ms < end_ms:
        at_ms += _CHECK_MS
        context.quotas.run_until(at_ms)
        owners = len(context.quotas.owners())
        context.most_owners = max(context.most_owners, owners)
    _run(context)


@when(
    'callers send {ratio:g} times the usual for {duration_s:g} s, '
    'and the owner is {lost} once'
)
def lose_owner(
    context: Context, ratio: float, duration_s: float, lost: str
) -> None:
    """Lose the owner in the middle."""
    _send(context, ratio, duration_s)
    fleet = context.quotas
    fleet.run_until(_CALM_START_MS + WINDOW_MS)
    context.first_owner = fleet.owners()[0]
    if lost == 'killed':
        fleet.kill(context.first_owner)
    elif lost == 'isolated':
        fleet.isolate(context.first_owner)
    elif lost == 'cut off':
        fleet.cut({context.first_owner: 1})
    else:
        fleet.retire(context.first_owner)
    _run(context)


@when(
    'callers send {ratio:g} times the usual for {duration_s:g} s, '
    'and the fleet is cut in two for {cut_s:d} s'
)
def cut_in_two(
    context: Context, ratio: float, duration_s: float, cut_s: int
) -> None:
    """Cut the fleet into halves for a time."""
    _send(context, ratio, duration_s)
    fleet = context.quotas
    fleet.run_until(_CALM_START_MS + WINDOW_MS)
    half = fleet.rng.sample(fleet.names, len(fleet.names) // 2)
    fleet.cut({name: 1 for name in half})
    fleet.run_until(fleet.now_ms + cut_s * _MS_PER_S)
    fleet.cut({})
    context.healed_at_ms = fleet.now_ms
    _run(context)


@when(
    'callers send {ratio:g} times the usual for {duration_s:g} s, and the '
    'quota falls to a tenth after {after_s:d} s, in force everywhere '
    '{spread_s:d} s later'
)
def lower_quota(
    context: Context,
    ratio: float,
    duration_s: float,
    after_s: int,
    spread_s: int,
) -> None:
    """Publish a smaller quota in the middle."""
    _send(context, ratio, duration_s)
    fleet = context.quotas
    fleet.run_until(_CALM_START_MS + after_s * _MS_PER_S)
    context.quota /= 10
    fleet.set_quota(context.quota, context.quota, spread_s * _MS_PER_S)
    context.in_force_at_ms = fleet.now_ms + spread_s * _MS_PER_S
    _run(context)


@when(
    'callers send {ratio:g} times the usual for {duration_s:g} s, of which '
    'half do not run and say so within {delay:d} ms'
)
def send_unrun(
    context: Context, ratio: float, duration_s: float, delay: int
) -> None:
    """Send requests that upstreams refuse at times."""
    context.quotas.unrun_share = 0.5
    context.quotas.unrun_delay_ms = delay
    _send(context, ratio, duration_s)
    _run(context)


@when('nobody sends for {duration_s:d} s')
def nobody_sends(context: Context, duration_s: int) -> None:
    """Let time pass."""
    context.sent_ms = duration_s * _MS_PER_S
    _run(context)


@then('no window exceeds the bound')
def check_bound(context: Context) -> None:
    """Compare the fullest window with the rule."""
    most = context.quotas.most_in_a_window()
    assert most <= rule_bound(context.quota, context.quota), most


@then('no window that begins a window after that exceeds the new bound')
def check_new_bound(context: Context) -> None:
    """Compare the fullest of the later windows with the rule."""
    since_ms = context.in_force_at_ms + WINDOW_MS
    most = context.quotas.most_in_a_window(since_ms)
    assert most <= rule_bound(context.quota, context.quota), most


@then('at least {share:g} of the quota was admitted while they sent')
def check_admitted(context: Context, share: float) -> None:
    """Compare what was admitted with the rate of the quota."""
    end_ms = _CALM_START_MS + context.sent_ms
    admitted = sum(each <= end_ms for each in context.quotas.admitted)
    owed = context.quota * context.sent_ms / _MS_PER_S
    assert admitted >= share * owed, (admitted, owed)


@then(
    'the refused come back at no more than {ratio:g} times the quota '
    'and {more:d}'
)
def check_returns(context: Context, ratio: float, more: int) -> None:
    """Count in each window those that come back when they were told to."""
    returns = sorted(
        at_ms + retry_after_ms
        for at_ms, retry_after_ms in context.quotas.refused
    )
    most = max(
        bisect_left(returns, start + WINDOW_MS) - bisect_left(returns, start)
        for start in returns
    )
    window_quota = context.quota * WINDOW_MS / _MS_PER_S + context.quota
    assert most <= ratio * window_quota + more, (most, window_quota)


def _refused_below_quota(context: Context, since_ms: float = 0) -> int:
    """Count refusals at which the last window holds no more than the quota.

    Those of a node that was cut off on its own are left out.
    """
    fleet = context.quotas
    arrived = sorted((*fleet.admitted, *(at_ms for at_ms, _ in fleet.refused)))
    window_quota = context.quota * WINDOW_MS / _MS_PER_S + context.quota
    count = 0
    for (at_ms, _), node in zip(fleet.refused, fleet.refused_by, strict=True):
        first = bisect_right(arrived, at_ms - WINDOW_MS)
        in_window = bisect_right(arrived, at_ms) - first
        is_connected = node not in fleet.side_of or len(fleet.side_of) > 1
        if at_ms >= since_ms and in_window <= window_quota and is_connected:
            count += 1
    return count


@then('no request below the quota was refused')
def check_none_refused(context: Context) -> None:
    """Check that all that was owed was admitted."""
    assert context.quotas.admitted
    refused = _refused_below_quota(context)
    assert not refused, refused


@then('at most {most:d} requests below the quota were refused')
def check_few_refused(context: Context, most: int) -> None:
    """Bound what was owed and refused."""
    refused = _refused_below_quota(context)
    assert refused <= most, refused


@then(
    'at most {lost_s:g} s of the usual load and {more:d} were refused below it'
)
def check_lost_time(context: Context, lost_s: float, more: int) -> None:
    """Bound what was owed and refused by a time."""
    refused = _refused_below_quota(context)
    assert refused <= lost_s * context.usual + more, refused


@then('none of them {later_s:d} s after that or later')
def check_late_refusals(context: Context, later_s: int) -> None:
    """Check that another node has taken over by then."""
    lost_at_ms = _CALM_START_MS + WINDOW_MS
    refused = _refused_below_quota(context, lost_at_ms + later_s * _MS_PER_S)
    assert not refused, refused


@then('after the cut no request below the quota is refused')
def check_after_cut(context: Context) -> None:
    """Check the time from the moment when answers can pass again."""
    refused = _refused_below_quota(context, context.healed_at_ms + _SETTLE_MS)
    assert not refused, refused


@then('{percent:d} of 100 requests wait at most {most_ms:d} ms')
def check_waits(context: Context, percent: int, most_ms: int) -> None:
    """Check how long requests wait for credit."""
    waits = sorted(context.quotas.waits_ms)
    wait_ms = waits[len(waits) * percent // 100]
    assert wait_ms <= most_ms, wait_ms


@then('at no time were two nodes owners')
def check_one_owner(context: Context) -> None:
    """Check the number of owners at all steps of time."""
    assert context.most_owners == 1, context.most_owners


@then('another node is the owner')
def check_new_owner(context: Context) -> None:
    """Check that another node has taken over."""
    owners = set(context.quotas.owners()) - {context.first_owner}
    assert len(owners) == 1, owners


@then('no message was sent')
def check_no_message(context: Context) -> None:
    """Check that all nodes are silent."""
    assert not context.quotas.sent, len(context.quotas.sent)


@then('no node sends and receives more than {most:d} bytes per second for it')
def check_bytes(context: Context, most: int) -> None:
    """Add up the frames of each node while callers send."""
    totals: Counter[str] = Counter()
    for _, source, target, message in context.quotas.sent:
        frame_bytes = len(encode(message))
        totals[source] += frame_bytes
        totals[target] += frame_bytes
    per_s = max(totals.values()) * _MS_PER_S / (context.sent_ms + _SETTLE_MS)
    assert per_s <= most, per_s
