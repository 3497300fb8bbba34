"""A request that crashes backends, on homes with open connections."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import world as w  # noqa: E402

HOST = 'ficu95.example'
LOAD_S = 70.0
POISON_FROM_S = 8.0
POISON_EVERY_S = 4.0
BACK_S = 3.0
STABILITY_S = 3.0
MOST_RETRIES = 3
ORDERS_SHARE = 0.95
BODY = b'x' * 4000
RUN_S = 0.14
POISON_PATH = '/lohu930/crash'


async def clients(world, machine, ids, ends, answers) -> None:
    """Send lookups and orders on new connections."""
    sent = []
    while world.record.now < ends:
        request_id = f'{next(ids):016x}'
        sent.append(
            asyncio.create_task(one(world, machine, request_id, answers))
        )
        await asyncio.sleep(random.uniform(0.05, 0.12))
    await asyncio.gather(*sent)


async def one(world, machine, request_id, answers) -> None:
    if random.random() < ORDERS_SHARE:
        method, path, body = 'POST', f'/pufi791/{request_id}', BODY
    else:
        method, path, body = 'GET', f'/lohu930/{request_id}', b''
    answer = await w.call(
        machine, method, path, request_id, host=HOST, body=body
    )
    answers.append(answer)
    if answer.status != 200:
        world.record.note(f'{machine.ip} {method} {path} -> {answer.text}')


async def poison(world, ids, ends, sent) -> None:
    """Send the same request again and again, at any machine."""
    while world.record.now < ends:
        request_id = f'{next(ids):016x}'
        machine = random.choice(world.machines)
        sent.append(request_id)
        world.record.note(
            f'{machine.ip} GET {POISON_PATH} {request_id} is sent'
        )
        answer = await w.call(
            machine, 'GET', POISON_PATH, request_id, host=HOST
        )
        world.record.note(
            f'{machine.ip} GET {POISON_PATH} {request_id} -> {answer.text}'
        )
        await asyncio.sleep(POISON_EVERY_S)


async def case(record) -> int:
    zones = [zone for zone in ('za', 'zb', 'zc') for _ in range(6)]
    world, folder = await w.build_world(
        record, [(zone, 'huvo11a') for zone in zones], 61
    )
    routes = [
        w.route('r-1', '/lohu930/', 'idempotent', 'huvo11a'),
        w.route('r-2', '/pufi791/', 'non_idempotent', 'huvo11a'),
    ]
    world.store.put('op/config', w.config(7, ['huvo11a'], routes))
    crashes = []

    def crash_on(backend):
        def on_run(run, writer) -> bool:
            if run.path != POISON_PATH:
                return False
            crashes.append(record.now)
            record.note(f'{backend.id} runs {run.request_id} and crashes')
            run.state = 'crashed'
            backend.crash(BACK_S)
            return True

        return on_run

    for machine in world.machines:
        machine.backend.run_s = RUN_S
        machine.backend.on_run = crash_on(machine.backend)
    try:
        await w.start_all(world, folder)
        await asyncio.sleep(3)
        ids = itertools.count(random.randrange(16**12))
        answers, sent = [], []
        began = record.now
        tasks = [
            clients(world, machine, ids, began + LOAD_S, answers)
            for machine in world.machines
        ]
        if w.TROUBLE:
            tasks.append(late_poison(world, ids, began, sent))
        await asyncio.gather(*tasks)
    finally:
        w.end_all(world)
    served = sum(answer.status == 200 for answer in answers)
    record.note(f'{served} of {len(answers)} requests were served')
    if not served:
        return 2
    after = crashes[2] + STABILITY_S if len(crashes) > 2 else None
    retries = [at for at in crashes if after is not None and at > after]
    record.note(
        f'{len(sent)} sent; {len(crashes)} crashes, {len(retries)} of them later '
        f'than {STABILITY_S} s after the third; {MOST_RETRIES} are allowed'
    )
    return int(len(retries) > MOST_RETRIES)


async def late_poison(world, ids, began, sent) -> None:
    await asyncio.sleep(POISON_FROM_S)
    await poison(world, ids, began + LOAD_S, sent)


if __name__ == '__main__':
    w.run_case(case, __file__)
