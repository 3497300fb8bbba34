"""The configuration grows, and moves a route to another service."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402, F403

MACHINES = [
    ('127.0.1.1', 'desk', 'basel-a'),
    ('127.0.1.2', 'desk', 'basel-b'),
    ('127.0.1.3', 'archive', 'basel-a'),
    ('127.0.1.4', 'archive', 'basel-b'),
]
TEAMS = 100
CONFIG_S = 2.0
WATCHED_S = 8.0


def grown() -> list[dict]:
    """A service and a route for each team, with a latency target of its own."""
    resources = []
    for number in range(TEAMS):
        name = f'team-{number:03}'
        resources.append(service(name))
        target = f'{500 + 5 * number}ms'
        resources.append(route(f'r-{name}', f'/{name}/', name, target=target))
    return resources


async def case(fleet) -> bool:
    services = [service('desk'), service('archive')]
    await fleet.start(MACHINES, [route('r-reg', '/reg/', 'desk'), *services])
    await asyncio.sleep(6)
    moved = [route('r-reg', '/reg/', 'archive'), *services]
    if trouble():
        moved += grown()
    config = document(8, moved, base=7)
    size = len(json.dumps(config))
    acknowledged = time.monotonic()
    fleet.store.put('op/config', config)
    fleet.record.note(f'version 8, {size} bytes, is acknowledged')
    sent: dict[str, float] = {}
    while time.monotonic() < acknowledged + WATCHED_S:
        for ip in fleet.nodes:
            request_id = new_id()
            sent[request_id] = time.monotonic() - acknowledged
            reader, writer = await asyncio.open_connection(
                ip, fleet.ports.outbound
            )
            writer.write(request_bytes('POST', '/reg/1', b'rose', request_id))
            reply = await read_reply(reader, 2)
            writer.close()
            fleet.record.note(
                f'answer id={request_id} node={ip} status={reply.status} '
                f'{reply.error}'
            )
        await asyncio.sleep(0.2)
    late = 0
    for backend in fleet.backends.values():
        for run in backend.runs:
            at = sent[run.request_id]
            if backend.service == 'desk' and at > CONFIG_S:
                late += 1
                fleet.record.note(
                    f'id={run.request_id}, sent {at:.3f} s after the '
                    f'acknowledgement, was run by the old service'
                )
    fleet.record.note(f'{len(sent)} requests, {late} run by the old service')
    return not late


run_case(case, FOLDER)
