"""A call that comes late in a planned stop is passed on and cut off."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import *  # noqa: E402, F403

STOPPED = '127.0.1.1'
OTHER = '127.0.1.2'
MACHINES = [
    (STOPPED, 'desk', 'basel-a'),
    (OTHER, 'desk', 'basel-a'),
    ('127.0.1.3', 'archive', 'basel-a'),
    ('127.0.1.4', 'archive', 'basel-a'),
]
GRACE_S = 6.0
DEADLINE_MS = 9000
CALLED_AFTER_S = 3.3
# Three in a hundred requests of the sites run seven times as long as usual.
SHORT_S = 0.35
LONG_S = 7 * SHORT_S
WARM_UP = 40


async def send(
    fleet, ip: str, method: str, target: str, request_id: str, deadline_ms: int
) -> Reply:
    """Send a request on a new connection and return its answer."""
    reader, writer = await asyncio.open_connection(ip, fleet.ports.outbound)
    writer.write(
        request_bytes(method, target, b'', request_id, deadline_ms=deadline_ms)
    )
    reply = await read_reply(reader, deadline_ms / 1000 + 1)
    writer.close()
    return reply


async def case(fleet) -> bool:
    long = {'timeout': '9000ms', 'target': '800ms'}
    resources = [
        route('r-reg', '/reg/', 'desk', kind='idempotent', **long),
        route('r-fee', '/fee/', 'archive', **long),
        service('desk'),
        service('archive'),
    ]
    await fleet.start(MACHINES, resources)
    signalled = asyncio.Event()
    parent_runs = asyncio.Event()
    state = {'at': 0.0, 'parent_ends': 0.0, 'reply': None, 'id': new_id()}
    ended_at: dict[str, float] = {}

    async def run_parent(run, reader, writer) -> bool:
        """Register a name; the registration posts a fee late."""
        state['parent_ends'] = run.at + int(run.headers['deadline-ms']) / 1000
        parent_runs.set()
        await signalled.wait()
        await asyncio.sleep(state['at'] + CALLED_AFTER_S - time.monotonic())
        left_ms = int((state['parent_ends'] - time.monotonic()) * 1000)
        fleet.record.note(
            f'call id={state["id"]} sent {CALLED_AFTER_S} s after SIGTERM, '
            f'deadline {left_ms} ms'
        )
        state['reply'] = await send(
            fleet, STOPPED, 'DELETE', '/fee/long', state['id'], left_ms
        )
        state['replied_at'] = time.monotonic()
        raise OSError('the parent ends here')

    def fee(backend):
        async def handle(run, reader, writer) -> bool:
            backend.runs.append(run)
            is_long = run.target == '/fee/long'
            if is_long:
                fleet.record.note(f'id={run.request_id} runs at {backend.id}')
            await asyncio.sleep(LONG_S if is_long else SHORT_S)
            ended_at[run.request_id] = time.monotonic()
            writer.write(backend.answer(run, 200, b'done'))
            await writer.drain()
            return True

        return handle

    for ip, name, _ in MACHINES:
        if name == 'archive':
            fleet.backends[ip].handle = fee(fleet.backends[ip])

    async def refuse_parent(run, reader, writer) -> bool:
        if run.target != '/reg/parent':
            return False
        writer.write(
            f'HTTP/1.1 503 Full\r\nRequest-Id: {run.request_id}\r\n'
            'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        return True

    async def parent_at_stopped(run, reader, writer) -> bool:
        if run.target != '/reg/parent' or parent_runs.is_set():
            return await refuse_parent(run, reader, writer)
        return await run_parent(run, reader, writer)

    fleet.backends[STOPPED].handle = parent_at_stopped
    fleet.backends[OTHER].handle = refuse_parent
    await asyncio.sleep(3)
    for _ in range(WARM_UP // 4):
        await asyncio.gather(
            *(
                send(fleet, STOPPED, 'DELETE', '/fee/1', new_id(), 2000)
                for _ in range(4)
            )
        )
    parents = []
    while not parent_runs.is_set():
        parents.append(
            asyncio.create_task(
                send(fleet, OTHER, 'GET', '/reg/parent', new_id(), DEADLINE_MS)
            )
        )
        await asyncio.sleep(0.3)
    fleet.record.note(f'a registration runs beside {STOPPED}')
    state['at'] = time.monotonic()
    if trouble():
        fleet.record.note(f'{STOPPED} gets SIGTERM')
        fleet.nodes[STOPPED].signal(signal.SIGTERM)
    signalled.set()
    while state['reply'] is None:
        await asyncio.sleep(0.05)
    reply = state['reply']
    after = state['replied_at'] - state['at']
    fleet.record.note(
        f'answer to the call {after:.3f} s after SIGTERM: '
        f'status={reply.status} {reply.error} {reply.body[:80]!r}'
    )
    await asyncio.sleep(LONG_S)
    was_running = any(
        run.request_id == state['id']
        and ended_at.get(run.request_id, 1e18) > state['replied_at']
        for backend in fleet.backends.values()
        for run in backend.runs
    )
    fleet.record.note(f'its backend was still at work: {was_running}')
    is_cut = reply.status != 200 and was_running
    return not is_cut


run_case(case, FOLDER)
