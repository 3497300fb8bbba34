"""A backend leaves just before machines reach the store again."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import world as w  # noqa: E402

HOST = 'ficu95.example'
SERVICE = 'huvo11a'
TURNED_AWAY_S = 6.0
# From the time at which the store turns machines away.
DRAINING_AFTER_S = 3.0
# Before the store serves them again.
LEAVES_BEFORE_S = 0.15
DRAIN_S = 2.0
SERVES_ON_S = 8.0
ROUNDS = 4


async def clients(world, machine, ids, taken_by, stop) -> None:
    """Send lookups on new connections until the end."""
    tasks = []
    while not stop.is_set():
        request_id = f'{next(ids):016x}'
        taken_by[request_id] = machine
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


async def case(record) -> int:
    """Run the case and return its exit code."""
    placements = [
        (zone, SERVICE) for zone in ('za', 'zb', 'zc') for _ in range(2)
    ]
    world, folder = await w.build_world(record, placements, 63)
    routes = [w.route('r-1', '/lohu930/', 'idempotent', SERVICE)]
    world.store.put('op/config', w.config(7, [SERVICE], routes))
    for machine in world.machines:
        machine.backend.run_s = 0.14
    taken_by, left = {}, []
    try:
        await w.start_all(world, folder)
        ids = itertools.count(random.randrange(16**12))
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(clients(world, machine, ids, taken_by, stop))
            for machine in world.machines
        ]
        await asyncio.sleep(10)
        for number in range(ROUNDS):
            left.append(await leave(world, number))
            await asyncio.sleep(4)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        w.end_all(world)
    return check(world, taken_by, left)


async def leave(world, number: int):
    """Let two backends leave while the machines of a zone lack the store."""
    store, record = world.store, world.record
    away = [each for each in world.machines if each.zone == 'za']
    calm = [each for each in world.machines if each.zone != 'za']
    leaver = calm[number % len(calm)].backend
    drainer = calm[(number + 2) % len(calm)].backend
    if w.TROUBLE:
        store.refused |= {each.ip for each in away}
        record.note(f'the store turns away {sorted(store.refused)}')
    await asyncio.sleep(DRAINING_AFTER_S)
    drainer.drain()
    record.note(f'{drainer.id} reports that it is draining')
    await asyncio.sleep(TURNED_AWAY_S - DRAINING_AFTER_S - LEAVES_BEFORE_S)
    gone, at = leaver.id, record.now
    leaver.leave()
    record.note(f'the entry of {gone} is removed; it serves on')
    await asyncio.sleep(LEAVES_BEFORE_S)
    store.refused.clear()
    record.note('the store serves all machines')
    await asyncio.sleep(SERVES_ON_S)
    await asyncio.gather(leaver.replace(), drainer.replace())
    return gone, at, leaver.machine


def check(world, taken_by, left) -> int:
    """Count the requests that reached a backend too late after it had left."""
    record = world.record
    late = 0
    for gone, at, _ in left:
        ages = []
        for run in world.runs:
            machine = taken_by[run.request_id]
            age = run.at - at
            if run.backend != gone or age <= DRAIN_S or machine.zone == 'za':
                continue
            ages.append(age)
            record.note(
                f'{run.request_id}, taken by {machine.ip} in {machine.zone}, '
                f'reached {gone} {age:.3f} s after the removal of its entry'
            )
        late += len(ages)
        record.note(
            f'{gone}: {len(ages)} requests reached it later than {DRAIN_S} s '
            f'after its removal, the last {max(ages, default=0):.3f} s'
        )
    done = sum(run.state == 'done' for run in world.runs)
    record.note(f'{len(taken_by)} sent, {done} run, {late} too late')
    if not done or len(left) < ROUNDS:
        return 2
    return int(late > 0)


if __name__ == '__main__':
    w.run_case(case, __file__)
