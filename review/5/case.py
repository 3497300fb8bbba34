"""A machine loses the store, then its peers, while a backend leaves."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402, F403

MACHINES = [(f'127.0.1.{number}', 'desk', 'basel-a') for number in range(1, 7)]
NEW = '127.0.1.7'  # its backend joins during the day
DRAIN_S = 2.0
# Seconds after the start of the first cut.
STORE_BACK_S = 5.5
PEERS_CUT_S = 1.0
JOINS_S = 1.5
REMOVED_S = 3.0
PEERS_BACK_S = 6.5
SERVES_ON_S = 7.0  # how long a backend serves after its entry is removed
CLIENTS = 3
GAP_S = 0.02
WORK_S = 0.15


async def client(fleet, ip: str, sent: dict, until) -> None:
    """Send requests through one node, each on a new connection."""
    while time.monotonic() < until():
        request_id = new_id()
        sent[request_id] = (time.monotonic(), ip)
        try:
            reader, writer = await asyncio.open_connection(
                ip, fleet.ports.outbound
            )
            writer.write(request_bytes('POST', '/reg/1', b'rose', request_id))
            reply = await read_reply(reader, 2)
            writer.close()
        except OSError as error:
            reply = Reply(error=str(error))
        fleet.record.note(
            f'answer id={request_id} node={ip} status={reply.status} '
            f'{reply.error}'
        )
        await asyncio.sleep(GAP_S)


async def watcher(fleet) -> str:
    """Return a listed machine that watches the store."""
    since = time.monotonic()
    while True:
        await asyncio.sleep(0.2)
        for ip, _, _ in MACHINES:
            if fleet.store.doors[ip].watches(since) >= 2:
                return ip


async def case(fleet) -> bool:
    resources = [route('r-reg', '/reg/', 'desk'), service('desk')]
    spare = ((NEW, 'desk', 'basel-a'),)
    await fleet.start(MACHINES, resources, spare=spare, has_paths=True)
    await fleet.nodes[NEW].start()
    await fleet.nodes[NEW].wait_ready()
    for backend in fleet.backends.values():
        backend.work_s = WORK_S
    cut = await watcher(fleet)
    others = [ip for ip, _, _ in MACHINES if ip != cut]
    new, leaving = fleet.backends[NEW], fleet.backends[others[0]]
    ends = [time.monotonic() + 60]
    sent: dict[str, tuple[float, str]] = {}
    clients = [
        asyncio.create_task(client(fleet, ip, sent, lambda: ends[0]))
        for ip in others
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(1)
    began = time.monotonic()
    door = fleet.store.doors[cut].listener
    acknowledged = 0.0

    def remove() -> None:
        nonlocal acknowledged
        fleet.store.remove(f'servers/{leaving.id}')
        acknowledged = time.monotonic()

    def warm_up(cold_ms: int) -> None:
        new.seq += 1
        fleet.list(new, cold_ms)

    steps = [
        (JOINS_S, f'{new.id} joins', lambda: fleet.list(new, 6000)),
        (REMOVED_S, f'the entry of {leaving.id} is removed', remove),
        (4.0, 'its coldRemaining changes', lambda: warm_up(3000)),
        (5.0, 'its coldRemaining changes', lambda: warm_up(2000)),
    ]
    if trouble():
        steps += [
            (0.0, f'{cut} is cut off from the store', door.cut),
            (
                PEERS_CUT_S,
                f'{cut} is cut off from all machines',
                lambda: fleet.paths.cut_off(cut),
            ),
            (STORE_BACK_S, f'{cut} reaches the store again', door.heal),
            (
                PEERS_BACK_S,
                f'{cut} reaches all machines again',
                lambda: fleet.paths.heal(),
            ),
        ]
    for at_s, text, step in sorted(steps, key=lambda each: each[0]):
        await asyncio.sleep(max(0, began + at_s - time.monotonic()))
        fleet.record.note(text)
        step()
    ends[0] = acknowledged + SERVES_ON_S
    await asyncio.gather(*clients)
    late = [run for run in leaving.runs if run.at > acknowledged + DRAIN_S]
    for run in late:
        at, node = sent[run.request_id]
        fleet.record.note(
            f'id={run.request_id}, sent to {node} {at - acknowledged:.3f} s '
            f'after the acknowledgement, reached {leaving.id} '
            f'{run.at - acknowledged:.3f} s after it'
        )
    fleet.record.note(f'{len(sent)} requests, {len(late)} reached it too late')
    return not late


run_case(case, FOLDER)
