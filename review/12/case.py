"""The configuration changes just after the store came back from a copy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    CONFIG_APPLY_S,
    HELD,
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

COPY_AGE_S = 5.0
AWAY_S = 1.0
# An unstable core stretches the bound by so much.
MAX_SKEW_S = 5.0
WATCHED_S = 20.0
SERVICES = ('desk', 'ledger')
PLACES = (
    ('basel-a', 'desk'),
    ('basel-b', 'desk'),
    ('basel-a', 'ledger'),
    ('basel-b', 'ledger'),
)


async def play(record: Record) -> int:
    machines = [
        Machine(f'127.0.42.{number}', zone, service)
        for number, (zone, service) in enumerate(PLACES, 1)
    ]
    fleet = Deployment(record, '127.0.42.100', machines)
    try:
        return await play_on(record, fleet)
    finally:
        fleet.close()


def document(version: int) -> dict:
    """Return a version; the tenth moves the look-ups to the other service."""
    lookups = 'ledger' if version >= 10 else 'desk'
    routes = [
        route('lookup', '/lookup/', 'idempotent', lookups),
        route('register', '/register/', 'non_idempotent', 'desk'),
    ]
    if version >= 8:
        routes.append(route('post', '/post/', 'non_idempotent', 'ledger'))
    if version >= 9:
        routes.append(route('bundle', '/bundle/', 'download', 'ledger'))
    return config(version, routes, SERVICES)


async def play_on(record: Record, fleet: Deployment) -> int:
    store = fleet.store
    runs: list = []
    await store.start()
    expiry = asyncio.create_task(store.expire())
    store.put('op/config', document(7))
    for number, machine in enumerate(fleet.machines, 1):
        backend = Backend(
            store, machine.ip, fleet.ports['app'], machine.service,
            machine.zone, f'i-{number}', runs,
        )
        await backend.start()
    for machine in fleet.machines:
        fleet.start_node(machine)
    await fleet.await_ready()
    await asyncio.sleep(4)
    record.say('traffic begins')
    replies: dict = {}
    clients = [
        asyncio.create_task(use(record, fleet, machine, replies))
        for machine in fleet.machines
    ]
    await asyncio.sleep(2)
    copy = store.copy()
    for version in (8, 9):
        store.put('op/config', document(version))
        record.say(f'configuration {version} acknowledged')
        await asyncio.sleep((COPY_AGE_S - AWAY_S) / 2)
    if TROUBLE:
        record.say('store: away')
        store.stop()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        await store.start()
        # What the operator wrote is written again, and its next change follows.
        store.put('op/config', document(9))
    else:
        await asyncio.sleep(AWAY_S)
    store.put('op/config', document(10))
    acknowledged_s = record.now()
    record.say('configuration 10 acknowledged')
    await asyncio.sleep(WATCHED_S)
    for client in (*clients, expiry):
        client.cancel()
    return judge(record, fleet, replies, runs, acknowledged_s)


async def use(record, fleet, machine, replies) -> None:
    """Send a request every 100 ms to the node of a machine."""
    number = 0
    while True:
        number += 1
        asyncio.create_task(ask(record, fleet, machine, number, replies))
        await asyncio.sleep(0.1)


async def ask(record, fleet, machine, number, replies) -> None:
    request_id = f'{machine.ip.split(".")[3]}{number:06d}'
    request = request_text(
        'GET', '/lookup/x', 'office.example', request_id, 1500
    )
    record.note(f'client: sends {request_id} GET /lookup/x to {machine.ip}')
    reply = await send(
        record, machine.ip, fleet.ports['outbound'], request, 1.6
    )
    record.note(f'client: {request_id} gets {reply.status} {reply.error}')
    replies[request_id] = reply


def judge(record, fleet, replies, runs, acknowledged_s) -> int:
    bound_s = acknowledged_s + CONFIG_APPLY_S + MAX_SKEW_S
    late = [
        each
        for each in runs
        if each.request_id in replies
        and replies[each.request_id].sent_s > bound_s
    ]
    old = [each for each in late if each.instance in {'i-1', 'i-2'}]
    record.say(f'nodes that have ended: {fleet.check_alive() or "none"}')
    record.say(
        f'of {len(late)} look-ups sent later than '
        f'{CONFIG_APPLY_S + MAX_SKEW_S:.0f} s after the acknowledgement of '
        f'configuration 10, {len(old)} were run by the old service'
    )
    if not late:
        record.say('no look-up was run')
        return 2
    return BROKEN if old else HELD


main(Path(__file__).resolve().parent, play)
