"""A backend drains after the store has come back from an older copy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    DRAIN_S,
    HELD,
    STABILITY_S,
    TROUBLE,
    Backend,
    Deployment,
    Machine,
    Record,
    config,
    main,
    request_text,
    route,
    send,
)

COPY_AGE_S = 6.0
AWAY_S = 1.0
SERVES_ON_S = 8.0
ZONES = ('basel-a', 'basel-b')
SERVICE = 'desk'


async def play(record: Record) -> int:
    machines = [
        Machine(f'127.0.41.{number}', ZONES[number % 2], SERVICE)
        for number in range(1, 7)
    ]
    fleet = Deployment(record, '127.0.41.100', machines)
    try:
        return await play_on(record, fleet)
    finally:
        fleet.close()


async def play_on(record: Record, fleet: Deployment) -> int:
    store = fleet.store
    runs: list = []
    backends = [
        Backend(
            store, each.ip, fleet.ports['app'], SERVICE, each.zone,
            f'i-{number}', runs, run_s=0.3,
        )
        for number, each in enumerate(fleet.machines, 1)
    ]
    routes = [
        route('lookup', '/lookup/', 'idempotent', SERVICE),
        route('register', '/register/', 'non_idempotent', SERVICE),
    ]
    await store.start()
    expiry = asyncio.create_task(store.expire())
    store.put('op/config', config(7, routes, (SERVICE,)))
    for backend in backends:
        await backend.start()
    for machine in fleet.machines:
        fleet.start_node(machine)
    await fleet.await_ready()
    await asyncio.sleep(4)
    record.say('traffic begins')
    replies: list = []
    # The machine of the first backend to leave is stopped with it.
    clients = [
        asyncio.create_task(use(record, fleet, machine, replies))
        for machine in fleet.machines[:5]
    ]
    await asyncio.sleep(2)
    copy = store.copy()
    await planned_work(record, store, fleet, backends[5], routes)
    await asyncio.sleep(max(0, copy.at_s + COPY_AGE_S - record.now() - AWAY_S))
    if TROUBLE:
        record.say('store: away')
        store.stop()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        await store.start()
        # What the operator wrote is written again; backends do so themselves.
        store.put('op/config', config(9, routes, (SERVICE,)))
    else:
        await asyncio.sleep(AWAY_S)
    # Entries of backends that are gone expire, and the store is calm.
    await asyncio.sleep(2 * STABILITY_S)
    leaving = backends[4]
    acknowledged_s = await leaving.drain()
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    late = [
        each
        for each in runs
        if each.instance == leaving.instance
        and each.at_s > acknowledged_s + DRAIN_S
    ]
    await leaving.leave()
    await asyncio.sleep(2)
    for client in (*clients, expiry):
        client.cancel()
    return judge(record, fleet, replies, runs, late, acknowledged_s)


async def planned_work(record, store, fleet, backend, routes) -> None:
    """Two configurations, and a backend that leaves with its machine."""
    await backend.drain()
    store.put('op/config', config(8, routes, (SERVICE,)))
    await asyncio.sleep(DRAIN_S + 0.5)
    await backend.leave()
    machine = fleet.machines.pop(5)
    machine.process.terminate()
    store.put('op/config', config(9, routes, (SERVICE,)))
    record.say('two configurations acknowledged')
    await asyncio.to_thread(machine.process.wait, 10)


async def use(record, fleet, machine, replies) -> None:
    """Send a request every 250 ms to the node of a machine."""
    number = 0
    while True:
        number += 1
        asyncio.create_task(ask(record, fleet, machine, number, replies))
        await asyncio.sleep(0.25)


async def ask(record, fleet, machine, number, replies) -> None:
    request_id = f'{machine.ip.split(".")[3]}{number:06d}'
    method, path = ('GET', '/lookup/x') if number % 2 else ('POST', '/register/x')
    request = request_text(method, path, 'office.example', request_id, 1500)
    record.note(f'client: sends {request_id} {method} {path} to {machine.ip}')
    reply = await send(
        record, machine.ip, fleet.ports['outbound'], request, 1.6
    )
    record.note(f'client: {request_id} gets {reply.status} {reply.error}')
    replies.append(reply)


def judge(record, fleet, replies, runs, late, acknowledged_s) -> int:
    ended = fleet.check_alive()
    served = sum(each.status == 200 for each in replies)
    record.say(f'{len(replies)} requests ended, {served} served, {len(runs)} runs')
    record.say(f'nodes that have ended by themselves: {ended or "none"}')
    record.say(
        f'{len(late)} requests reached the leaving backend later than '
        f'{DRAIN_S:.0f} s after the acknowledgement, the last '
        f'{max((each.at_s for each in late), default=acknowledged_s) - acknowledged_s:.1f} s after it'
    )
    return BROKEN if late else HELD


main(Path(__file__).resolve().parent, play)
