"""A machine of the system is stopped while clients read downloads slowly."""

import asyncio
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Backend,
    Deployment,
    Machine,
    Record,
    answer,
    config,
    main,
    request_text,
    route,
)

SERVICE = 'recetario'
MACHINES = 6
ZONES = ('altos-a', 'altos-b')
# Of card-pdf on the sheet of quetzal-kits-grown.
DEADLINE_S = 5.378
TARGET = '2302ms'
ANSWER_BYTES = 540_000
RUN_S = 0.297
SLOTS = 4
# A slow client has the whole answer within its deadline.
READ_S = 5.1
GRACE_S = 6.0
ROUNDS = 3


@dataclass(frozen=True)
class End:
    """How a download ended at its client.

    :param why: ``whole``, ``refused``, ``deadline``, ``closed`` or an error.
    """

    request_id: str
    status: int
    why: str
    sent_s: float
    ended_s: float
    size: int


class Downloads(Backend):
    """Answers with a large body, and notes when it has written all of it."""

    written_s: dict[str, float] = {}

    def on_written(self, head) -> None:
        request_id = head.get('request-id')
        self.written_s[request_id] = self.store.record.now()
        self.store.record.note(f'{self.instance}: has answered {request_id}')

    async def _run(self, head, request_id: str) -> bytes:
        await super()._run(head, request_id)
        headers = {
            'Request-Id': request_id,
            'Response-Seal': f'seal.{self.instance}.{request_id}',
        }
        return answer('200 OK', headers, b'p' * ANSWER_BYTES)


async def play(record: Record) -> int:
    machines = [
        Machine(f'127.0.44.{number + 1}', ZONES[number % 2], SERVICE)
        for number in range(MACHINES)
    ]
    fleet = Deployment(record, '127.0.44.100', machines)
    try:
        return await play_on(record, fleet)
    finally:
        fleet.close()


def download_route() -> dict:
    found = route('pdf', '/pdf/', 'download', SERVICE)
    found['spec'].update(
        timeout=f'{round(DEADLINE_S * 1000)}ms', targetLatency=TARGET
    )
    return found


async def play_on(record: Record, fleet: Deployment) -> int:
    store = fleet.store
    runs: list = []
    await store.start()
    expiry = asyncio.create_task(store.expire())
    store.put('op/config', config(7, [download_route()], (SERVICE,)))
    for number, machine in enumerate(fleet.machines, 1):
        backend = Downloads(
            store, machine.ip, fleet.ports['app'], SERVICE, machine.zone,
            f'i-{number}', runs, run_s=RUN_S, slots=SLOTS,
        )
        await backend.start()
    for machine in fleet.machines:
        fleet.start_node(machine)
    await fleet.await_ready()
    await asyncio.sleep(6)
    record.say('traffic begins')
    ends: list = []
    fast = [
        asyncio.create_task(use(record, fleet, machine, ends))
        for machine in fleet.machines
    ]
    await asyncio.sleep(6)
    signals_s = []
    for number in range(ROUNDS):
        signals_s.append(record.now())
        await one_round(record, fleet, fleet.machines[number], number, ends)
    for task in (*fast, expiry):
        task.cancel()
    return judge(record, ends, signals_s)


async def one_round(record, fleet, machine, number, ends) -> None:
    """Stop a machine's node, with four slow downloads just after the signal."""
    if TROUBLE:
        record.say(f'SIGTERM for the node of {machine.ip}')
        machine.process.terminate()
    signal_s = record.now()
    tasks = []
    for step in range(4):
        # One missed check of the readiness isn't yet a reason to leave.
        await asyncio.sleep(0.4)
        request_id = f'slow{number}{step}'
        tasks.append(
            asyncio.create_task(
                download(record, fleet, machine, request_id, READ_S, ends)
            )
        )
    if TROUBLE:
        ended_s = await ended(machine, signal_s + GRACE_S, record)
        record.say(f'the node has ended {ended_s - signal_s:.1f} s after it')
        fleet.start_node(machine)
    await asyncio.gather(*tasks)
    await asyncio.sleep(4)


async def ended(machine, kill_at_s: float, record) -> float:
    while machine.process.poll() is None:
        if record.now() > kill_at_s:
            machine.process.kill()
        await asyncio.sleep(0.02)
    return record.now()


async def use(record, fleet, machine, ends) -> None:
    """Download something fast every half second, unless the node stops."""
    number = 0
    while True:
        number += 1
        if await fleet.is_ready(machine):
            request_id = f'{machine.ip.split(".")[3]}{number:05d}'
            asyncio.create_task(
                download(record, fleet, machine, request_id, 0, ends)
            )
        await asyncio.sleep(0.5)


async def download(
    record, fleet, machine, request_id: str, read_s: float, ends: list
) -> None:
    """Send one request and read the answer evenly in a time."""
    loop = asyncio.get_running_loop()
    sent_s = record.now()
    record.note(f'client: sends {request_id} to {machine.ip}')
    got, status, why = b'', 0, 'whole'
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(DEADLINE_S):
                address = (machine.ip, fleet.ports['outbound'])
                await loop.sock_connect(sock, address)
                await loop.sock_sendall(
                    sock,
                    request_text(
                        'GET', '/pdf/x', 'office.example', request_id,
                        round(DEADLINE_S * 1000),
                    ),
                )
                while len(got) < ANSWER_BYTES:
                    data = await loop.sock_recv(sock, 16_384)
                    if not data:
                        why = 'closed'
                        break
                    got += data
                    status = status or int(got.split(b' ')[1])
                    if status != 200:
                        why = 'refused'
                        break
                    due_s = sent_s + read_s * len(got) / ANSWER_BYTES
                    await asyncio.sleep(max(0, due_s - record.now()))
        except TimeoutError:
            why = 'deadline'
        except OSError as error:
            why = type(error).__name__
    ended_s = record.now()
    record.note(
        f'client: {request_id} status {status}, {len(got)} bytes, {why} after '
        f'{ended_s - sent_s:.2f} s'
    )
    ends.append(
        End(request_id, status, why, sent_s, ended_s, len(got))
    )


def judge(record, ends, signals_s) -> int:
    """Count the slow downloads that were cut, as the rule counts them.

    One whose backend was still at work in the last sixth of the grace period,
    or that had reached its deadline, doesn't count.
    """
    slow = [each for each in ends if each.request_id.startswith('slow')]
    cut = []
    for each in slow:
        signal_s = signals_s[int(each.request_id[4])]
        written_s = Downloads.written_s.get(each.request_id, record.now())
        is_done = written_s < signal_s + GRACE_S * 5 / 6
        took_s = each.ended_s - each.sent_s
        if each.status == 200 and each.why not in {'whole', 'deadline'}:
            if is_done and took_s < DEADLINE_S:
                cut.append(each)
        record.say(
            f'{each.request_id}: sent {each.sent_s - signal_s:.1f} s after the '
            f'signal, answered by its backend {written_s - signal_s:.1f} s '
            f'after it, {each.status} {each.why} after {took_s:.2f} s, '
            f'{each.size} bytes'
        )
    whole = sum(each.why == 'whole' for each in ends)
    record.say(
        f'{len(ends)} downloads ended, {whole} whole; {len(cut)} of '
        f'{len(slow)} slow ones were cut off before their deadline'
    )
    if not slow:
        return NOT_RUN
    return BROKEN if cut else HELD


main(Path(__file__).resolve().parent, play)
