"""Two machines are lost; then a backend of a third one drains."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402, F403

MACHINES = [(f'127.0.1.{number}', 'desk', 'basel-a') for number in range(1, 7)]
DRAIN_S = 2.0
HEARTBEAT_S = 1.5
SERVES_ON_S = 8.0
GAP_S = 0.1


async def client(fleet, node, sent, until) -> None:
    """Send requests through one node, each on a new connection."""
    while time.monotonic() < until():
        request_id = new_id()
        reply = Reply()
        sent[request_id] = (time.monotonic(), node.ip, reply)
        try:
            reader, writer = await asyncio.open_connection(
                node.ip, fleet.ports.outbound
            )
            writer.write(request_bytes('POST', '/reg/1', b'rose', request_id))
            reply = await read_reply(reader, 2)
            writer.close()
        except OSError as error:
            reply = Reply(error=str(error))
        sent[request_id] = (sent[request_id][0], node.ip, reply)
        fleet.record.note(
            f'answer id={request_id} node={node.ip} status={reply.status} '
            f'{reply.error}'
        )
        await asyncio.sleep(GAP_S)


async def readers_of(fleet) -> list[str]:
    """Wait until two machines watch the store, and return them."""
    since = time.monotonic()
    while True:
        await asyncio.sleep(0.2)
        found = [
            name
            for name, door in fleet.store.doors.items()
            if door.watches(since) >= 2
        ]
        if len(found) >= 2:
            return found


async def expire(fleet, lost: list[str]) -> None:
    """Remove the entries of lost backends after three heartbeats."""
    await asyncio.sleep(3 * HEARTBEAT_S)
    for ip in lost:
        fleet.record.note(f'the entry of the backend of {ip} expires')
        fleet.store.remove(f'servers/{fleet.backends[ip].id}')


def busiest(fleet, ips: list[str]) -> Backend:
    """Return the backend that has run most requests."""
    return max(
        (fleet.backends[ip] for ip in ips), key=lambda each: len(each.runs)
    )


async def case(fleet) -> bool:
    resources = [route('r-reg', '/reg/', 'desk'), service('desk')]
    await fleet.start(MACHINES, resources)
    readers = await readers_of(fleet)
    fleet.record.note(f'machines that watch the store: {readers}')
    others = [ip for ip, _, _ in MACHINES if ip not in readers]
    ends = [time.monotonic() + 60]
    sent: dict = {}
    clients = [
        asyncio.create_task(
            client(fleet, fleet.nodes[ip], sent, lambda: ends[0])
        )
        for ip in others
    ]
    await asyncio.sleep(1)
    lost = readers if trouble() else []
    for ip in lost:
        fleet.record.note(f'machine {ip} is lost')
        fleet.nodes[ip].process.kill()
        await fleet.backends[ip].stop()
    expiry = asyncio.create_task(expire(fleet, lost))
    await asyncio.sleep(1)
    leaving = busiest(fleet, others)
    leaving.state = 'draining'
    leaving.seq += 1
    fleet.list(leaving)
    acknowledged = time.monotonic()
    fleet.record.note(f'{leaving.id} is acknowledged as draining')
    ends[0] = acknowledged + SERVES_ON_S
    await asyncio.gather(expiry, *clients)
    late = [run for run in leaving.runs if run.at > acknowledged + DRAIN_S]
    for run in late:
        at, node, reply = sent[run.request_id]
        fleet.record.note(
            f'id={run.request_id}, sent to {node} {at - acknowledged:.3f} s '
            f'after the acknowledgement, reached {leaving.id} '
            f'{run.at - acknowledged:.3f} s after it'
        )
    fleet.record.note(f'{len(sent)} requests, {len(late)} reached it too late')
    return not late


run_case(case, FOLDER)
