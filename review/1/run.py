"""An unreadable row among the servers, then a kill of all entries."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import world as w  # noqa: E402

REQUESTS = 40
DOWN_S = 1.2
# 1,500 bytes that are no entry of a server; a row may have 65,536.
UNREADABLE = b'[' * 1500


async def serve_share(world):
    """Send requests and return the share that is served."""
    replies = []
    for number in range(REQUESTS):
        entry = world.entries[number % len(world.entries)]
        replies.append(
            asyncio.create_task(
                world.call(entry, '/plain/30', 'GET', deadline_ms=4000)
            )
        )
        await asyncio.sleep(0.1)
    done = await asyncio.gather(*replies)
    served = [
        reply
        for reply in done
        if reply.status == 200 and 'x-server-signature' in reply.headers
    ]
    return len(served) / len(done)


async def play(record, trouble):
    world = w.World(record)
    for _ in range(3):
        world.add_server('app')
    world.add_route('/plain/', 'idempotent', 'app', timeout_ms=2000)
    try:
        await world.start()
        before = await serve_share(world)
        world.record.write('share_served', when='before', share=before)
        if trouble:
            world.store.put('servers', 'i-5d0c1b77', UNREADABLE)
            world.record.write('unreadable_row', key='i-5d0c1b77')
            await asyncio.sleep(1)
            row_share = await serve_share(world)
            world.record.write('share_served', when='row', share=row_share)
        # The final fault: all processes are killed right after a change of
        # the configuration was acknowledged.
        world.configure()
        for entry in world.entries:
            entry.signal(signal.SIGKILL)
            entry.process.wait()
        await asyncio.sleep(DOWN_S)
        for entry in world.entries:
            entry.start()
        back_at = time.monotonic()
        await asyncio.sleep(w.BOUNDS['recoveryS'] + 1)
        after = await serve_share(world)
        world.record.write(
            'share_served',
            when='after',
            share=after,
            since_back_s=round(time.monotonic() - back_at, 1),
        )
    finally:
        await world.close()
    print(f'served before {before:.2f}, after {after:.2f}')
    if before >= 0.25 and after < 0.25:
        return [f'RECOVER: {after:.2f} served later than recoveryS']
    return []


if __name__ == '__main__':
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Path(os.environ.get('RECORD', HERE / 'record.txt'))
    w.main(play, trouble, record)
