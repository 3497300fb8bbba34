"""One proper request whose body comes in many small chunks."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402, F403

MACHINES = [(f'127.0.1.{number}', 'desk', 'basel-a') for number in (1, 2)]
SMALL_CHUNKS = 43_688
# A trailer field whose value quotes a request, after 13 bytes of its own.
TRAILER = b'Note: quoted '


async def case(fleet) -> bool:
    resources = [route('r-reg', '/reg/', 'desk'), service('desk')]
    await fleet.start(MACHINES, resources)
    await asyncio.sleep(4)
    node = next(iter(fleet.nodes))
    outer_id, inner_id = new_id(), new_id()
    inner = request_bytes('GET', '/reg/inner', b'', inner_id)
    body = b'b' * SMALL_CHUNKS
    chunks = b'1\r\nb\r\n' * SMALL_CHUNKS + b'0\r\n' + TRAILER + inner
    head = request_bytes('POST', '/reg/1', b'', outer_id, deadline_ms=5000)
    if trouble():
        head = head.replace(b'Content-Length: 0', b'Transfer-Encoding: chunked')
        payload = chunks
    else:
        head = head.replace(
            b'Content-Length: 0', b'Content-Length: %d' % len(body)
        )
        payload = body
    reader, writer = await asyncio.open_connection(node, fleet.ports.outbound)
    writer.write(head + payload)
    fleet.record.note(
        f'sent one request, id={outer_id}, with a body of {len(body)} bytes'
    )
    for number in (1, 2):
        reply = await read_reply(reader, 4)
        fleet.record.note(
            f'answer {number}: status={reply.status} '
            f'id={reply.headers.get("request-id")} {reply.error}'
        )
    writer.close()
    held = True
    for backend in fleet.backends.values():
        for run in backend.runs:
            fleet.record.note(
                f'run at {backend.id}: id={run.request_id} {run.method} '
                f'{run.target}, {len(run.body)} bytes'
            )
            is_sent = run.request_id == outer_id and run.body == body
            held = held and is_sent
    return held


run_case(case, FOLDER)
