"""The store turns the readers away while a backend leaves."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    DRAIN_S,
    HELD,
    TROUBLE,
    Backend,
    CannotRun,
    Deployment,
    Machine,
    Record,
    StoreGate,
    config,
    main,
    request_text,
    route,
    send,
)

ZONES = ('basel-a', 'basel-b')
MACHINES = 12
# The nodes of two zones that watch the store: 4 of 12 machines.
READERS = 4
# A watch of the store lasts 2 s.
LATEST_WATCH_S = 2.5
AWAY_S = 9.0
PAUSE_S = 8.0
ROUNDS = 3
DESK, LEDGER = 'desk', 'ledger'
# Machines with a backend of the service that all clients call, none of them
# among the first readers.
LEDGER_MACHINES = frozenset((2, 3, 8, 9))


async def play(record: Record) -> int:
    machines = [
        Machine(
            f'127.0.45.{number}',
            ZONES[(number - 1) % 2],
            LEDGER if number in LEDGER_MACHINES else DESK,
            has_store_gate=True,
        )
        for number in range(1, MACHINES + 1)
    ]
    fleet = Deployment(record, '127.0.45.100', machines)
    try:
        return await play_on(record, fleet)
    finally:
        fleet.close()


async def play_on(record: Record, fleet: Deployment) -> int:
    store = fleet.store
    runs: list = []
    routes = [
        route('lookup', '/lookup/', 'idempotent', LEDGER),
        route('register', '/register/', 'non_idempotent', LEDGER),
    ]
    await store.start()
    expiry = asyncio.create_task(store.expire())
    store.put('op/config', config(7, routes, (DESK, LEDGER)))
    backends, gates = {}, {}
    for number, machine in enumerate(fleet.machines, 1):
        backends[machine.ip] = Backend(
            store, machine.ip, fleet.ports['app'], machine.service,
            machine.zone, f'i-{number}', runs, run_s=0.02,
        )
        await backends[machine.ip].start()
        gates[machine.ip] = StoreGate(
            record, ('127.0.45.100', fleet.store_port)
        )
        await gates[machine.ip].start(machine.ip, fleet.ports['store'])
    started_s = record.now()
    for machine in fleet.machines:
        fleet.start_node(machine)
    await fleet.await_ready()
    # Each node that doesn't watch the store reads it once in 10 to 30 s, for the
    # first time 10 s after the start. Before that no such read interferes.
    await asyncio.sleep(started_s + 8 - record.now())
    record.say('traffic begins')
    replies: dict = {}
    clients = {
        machine.ip: asyncio.create_task(use(record, fleet, machine, replies))
        for machine in fleet.machines
    }
    late: list = []
    rounds = 0
    for version in range(8, 8 + ROUNDS):
        await asyncio.sleep(0.2)
        readers = watching(record, gates)
        if len(readers) == READERS:
            rounds += 1
            late += await one_round(
                record, fleet, gates, backends, clients, runs, readers,
                config(version, routes, (DESK, LEDGER)),
            )
        await asyncio.sleep(PAUSE_S)
    for client in (*clients.values(), expiry):
        client.cancel()
    for gate in gates.values():
        gate.close()
    if not rounds:
        raise CannotRun('more machines watch the store than expected')
    return judge(record, fleet, runs, late)


def watching(record, gates) -> list:
    """Return the machines that watch the store."""
    readers = [
        ip
        for ip, gate in gates.items()
        if gate.watched_at_s > record.now() - LATEST_WATCH_S
    ]
    record.say(f'the machines that watch the store: {readers}')
    return readers


async def one_round(
    record, fleet, gates, backends, clients, runs, readers, document
) -> list:
    """Turn the readers away while a backend leaves; return its late runs."""
    fleet.store.put('op/config', document)
    record.say(f'configuration {document["version"]} acknowledged')
    await asyncio.sleep(0.1)
    if TROUBLE:
        record.say('the store turns the four machines away, without a response')
        for ip in readers:
            gates[ip].turn_away()
    await asyncio.sleep(0.1)
    ip = next(
        ip
        for ip, backend in backends.items()
        if backend.service == LEDGER and ip not in readers
    )
    leaving = backends.pop(ip)
    acknowledged_s = await leaving.drain()
    await asyncio.sleep(AWAY_S)
    for gate in gates.values():
        gate.admit()
    await leaving.leave()
    clients[ip].cancel()
    machine = next(each for each in fleet.machines if each.ip == ip)
    fleet.machines.remove(machine)
    machine.process.terminate()
    await asyncio.to_thread(machine.process.wait, 10)
    # Only what machines took that the store served counts.
    away = {f'{int(each.split(".")[3]):02d}' for each in readers}
    late = [
        each
        for each in runs
        if each.instance == leaving.instance
        and each.at_s > acknowledged_s + DRAIN_S
        and each.request_id[:2] not in away
    ]
    last_s = max((each.at_s for each in late), default=acknowledged_s)
    record.say(
        f'{len(late)} requests that machines in touch took reached '
        f'{leaving.instance} later than {DRAIN_S:.0f} s after the '
        f'acknowledgement, the last {last_s - acknowledged_s:.1f} s after it'
    )
    return late


async def use(record, fleet, machine, replies) -> None:
    """Send a request every 100 ms to the node of a machine."""
    number = 0
    while True:
        number += 1
        asyncio.create_task(ask(record, fleet, machine, number, replies))
        await asyncio.sleep(0.1)


async def ask(record, fleet, machine, number, replies) -> None:
    request_id = f'{int(machine.ip.split(".")[3]):02d}{number:06d}'
    method, path = ('GET', '/lookup/x') if number % 2 else ('POST', '/register/x')
    request = request_text(method, path, 'office.example', request_id, 1500)
    record.note(f'client: sends {request_id} {method} {path} to {machine.ip}')
    reply = await send(
        record, machine.ip, fleet.ports['outbound'], request, 1.6
    )
    record.note(f'client: {request_id} gets {reply.status} {reply.error}')
    replies[request_id] = reply


def judge(record, fleet, runs, late) -> int:
    record.say(f'nodes that have ended: {fleet.check_alive() or "none"}')
    record.say(
        f'{len(runs)} runs; {len(late)} requests that machines in touch took '
        f'reached leaving backends later than {DRAIN_S:.0f} s after the '
        f'acknowledgement'
    )
    return BROKEN if late else HELD


main(Path(__file__).resolve().parent, play)
