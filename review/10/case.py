"""The store turns the watching machines of a one-zone fleet away."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import world as w  # noqa: E402

HOST = 'ficu95.example'
SERVICES = ('huvo11a', 'wuno96b')
MACHINES = 6
MOST_TURNED_AWAY = 2
TURNED_AWAY_S = 4.5
# From the moment at which the store turns machines away.
CHANGE_AFTER_S = 0.05
CONFIG_APPLY_S = 2.0
ROUNDS = 6
ROUND_S = 13.0


class Sent:
    """A request of a client."""

    def __init__(self, at, machine, request_id) -> None:
        self.at = at
        self.machine = machine
        self.request_id = request_id


async def clients(world, machine, ids, sent, stop) -> None:
    """Send lookups on new connections until the end."""
    tasks = []
    while not stop.is_set():
        request_id = f'{next(ids):016x}'
        sent.append(Sent(world.record.now, machine, request_id))
        path = f'/lohu930/{request_id}'
        tasks.append(
            asyncio.create_task(
                w.call(machine, 'GET', path, request_id, host=HOST)
            )
        )
        await asyncio.sleep(random.uniform(0.06, 0.14))
    answers = await asyncio.gather(*tasks)
    for answer in answers:
        if answer.status != 200:
            world.record.note(f'{machine.ip} GET -> {answer.text}')


def config_of(version: int, service: str) -> bytes:
    """Return a configuration in which the lookups go to a service."""
    routes = [w.route('r-1', '/lohu930/', 'idempotent', service)]
    return w.config(version, list(SERVICES), routes)


async def case(record) -> int:
    """Run the case and return its exit code."""
    placements = [('za', SERVICES[number % 2]) for number in range(MACHINES)]
    world, folder = await w.build_world(record, placements, 65)
    world.store.put('op/config', config_of(7, SERVICES[0]))
    sent, changes = [], []
    try:
        await w.start_all(world, folder)
        ids = itertools.count(random.randrange(16**12))
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(clients(world, machine, ids, sent, stop))
            for machine in world.machines
        ]
        await asyncio.sleep(12)
        for number in range(ROUNDS):
            changes.append(await change(world, 8 + 3 * number, number))
            await asyncio.sleep(ROUND_S)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        w.end_all(world)
    return check(world, sent, changes)


async def change(world, version: int, number: int):
    """Turn the watching machines away, and change the routes."""
    store, record = world.store, world.record
    latest = sorted(store.watch_counts, key=store.watch_counts.get)
    watching = set(latest[-MOST_TURNED_AWAY:])
    store.watch_counts.clear()
    service = SERVICES[(number + 1) % 2]
    if w.TROUBLE:
        record.note(f'the store turns away {sorted(watching)}')
        store.silent |= watching
        loop = asyncio.get_running_loop()
        loop.call_later(TURNED_AWAY_S, store.silent.clear)
    else:
        watching = set()
    await asyncio.sleep(CHANGE_AFTER_S)
    store.put('op/config', config_of(version, service))
    record.note(
        f'version {version} is acknowledged: /lohu930/ goes to {service}'
    )
    return record.now, service, watching


def check(world, sent, changes) -> int:
    """Count the requests that the old service has run too late."""
    record = world.record
    services = {}
    for run in world.runs:
        services.setdefault(run.request_id, set()).add(run.service)
    late = 0
    for number, (acknowledged, service, away) in enumerate(changes):
        ages = []
        for each in sent:
            age = each.at - acknowledged
            if not CONFIG_APPLY_S < age < ROUND_S - 1:
                continue
            is_old = services.get(each.request_id, set()) - {service}
            if is_old and each.machine.ip not in away:
                ages.append(age)
                record.note(
                    f'{each.request_id} was sent to {each.machine.ip} '
                    f'{age:.3f} s after the acknowledgement of the change '
                    f'and run by {services[each.request_id]}'
                )
        late += len(ages)
        record.note(
            f'change {number}: {len(ages)} requests run by the old service '
            f'too late, the last {max(ages, default=0):.3f} s after it'
        )
    done = sum(run.state == 'done' for run in world.runs)
    record.note(
        f'{len(sent)} sent, {done} run, {late} by the old service too late'
    )
    if not done or len(changes) < ROUNDS:
        return 2
    return int(late > 0)


if __name__ == '__main__':
    w.run_case(case, __file__)
