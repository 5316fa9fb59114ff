"""All entries are killed at once after a request was barred that crashes servers."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib2'))
from poison import POISON, CrashingServer, check  # noqa: E402
from standins import (  # noqa: E402
    BOUNDS, Client, Node, Store, attempt_id, configuration, main, new_host, route,
)

HOST = 'ficu95.example'
ENTRIES, SERVERS = 4, 8
CRASH_AFTER_S = 0.05
RESTART_DELAY_S = 0.5
USUAL_PER_S = 12
# The request comes again this often, at all entries at once, and only while they
# are in touch.
RETURNS, RETURN_S = 3, 2.0
PHASES = 2


async def case(record, trouble, nodes, scratch):
    store = Store(new_host())
    await store.start()
    await store.put('op', 'config', configuration(
        3, [route('r1', HOST, '/lohu930/', 'models', 'idempotent'),
            route('r2', HOST, '/puxa403/', 'models', 'non_idempotent', attempts=1)],
        [{'name': 'models'}]))
    for _ in range(SERVERS):
        server = CrashingServer(store, record, 'models', new_host(), work_s=0.2)
        server.crash_after_s = CRASH_AFTER_S
        await server.start()
    started = []
    for number in range(ENTRIES):
        nodes.append(Node(store, 'entry', scratch, number))
    results = {POISON: [], b'{"usual": 1}': []}

    async def start_all():
        started.append(record.now())
        for entry in nodes:
            entry.start()
        for entry in nodes:
            if not await entry.ready():
                raise RuntimeError('an entry did not become ready')

    async def ask(entry, path, body):
        attempt = attempt_id()
        try:
            client = await Client(entry, record).open()
        except OSError:
            return
        answer = await client.ask('POST', HOST, path, {
            'X-Attempt-Id': attempt, 'X-Deadline-Ms': '2533'}, body, timeout_s=5)
        client.close()
        results[body].append(answer and answer[0])

    async def usual():
        number = 0
        while True:
            number += 1
            path = '/puxa403/2f' if number % 2 else '/lohu930/2f'
            asks.append(asyncio.create_task(ask(nodes[number % ENTRIES], path, b'{"usual": 1}')))
            await asyncio.sleep(1 / USUAL_PER_S)

    asks = []
    await start_all()
    background = asyncio.create_task(usual())
    for phase in range(PHASES):
        while record.now() < started[-1] + BOUNDS['contactMs'] / 1000 + 1.0:
            await asyncio.sleep(0.05)
        for _ in range(RETURNS):
            # The same path, caller and body, at any machine.
            for entry in nodes:
                asks.append(asyncio.create_task(ask(entry, '/lohu930/2f', POISON)))
            await asyncio.sleep(RETURN_S)
        if phase < PHASES - 1 and trouble:
            record.write('all entries are killed', how='SIGKILL')
            for entry in nodes:
                entry.signal(signal.SIGKILL)
            for entry in nodes:
                entry.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await start_all()
            record.write('all entries are back')
    background.cancel()
    await asyncio.gather(*asks)
    record.write('answers', poison=results[POISON],
                 usual_ok=results[b'{"usual": 1}'].count(200), usual=len(results[b'{"usual": 1}']))

    def in_touch(time):
        last = max(at for at in started if at <= time)
        return time > last + BOUNDS['contactMs'] / 1000

    return check(record, in_touch) > 3


# What was sent, answered and run goes to record.txt in this folder.
main(case, HERE / 'record.txt', trouble=os.environ.get('TROUBLE', '1') != '0')
