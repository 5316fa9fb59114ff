"""A request crashes servers; all processes are killed twice meanwhile."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import world as w  # noqa: E402

KILLS = 2
DOWN_S = 1.5
# Time between two retries of the request, and their number in each phase.
RETRY_S = 2.5
RETRIES = 6
ALLOWED = 3


async def send_sound_requests(world):
    """Send sound requests without end."""
    number = 0
    while True:
        number += 1
        entry = world.entries[number % len(world.entries)]
        asyncio.create_task(
            world.call(entry, f'/plain/{20 + number % 20}', 'GET', 4000)
        )
        await asyncio.sleep(0.3)


async def retry(world):
    """Send the request that crashes servers again, at any machine."""
    for number in range(RETRIES):
        entry = world.entries[number % len(world.entries)]
        await world.call(entry, '/plain/crash/30', 'GET', 4000)
        await asyncio.sleep(RETRY_S)


async def herd_kill(world):
    for entry in world.entries:
        entry.signal(signal.SIGKILL)
        entry.process.wait()
    await asyncio.sleep(DOWN_S)
    for entry in world.entries:
        entry.start()
    await world.wait_ready()


async def play(folder, trouble):
    world = w.World(folder, entries=3)
    for _ in range(6):
        world.add_server('app')
    world.add_route('/plain/', 'idempotent', 'app', timeout_ms=2000)
    sound = None
    started = []
    try:
        await world.start()
        started.append(time.monotonic() - w.CONTACT_S)
        sound = asyncio.create_task(send_sound_requests(world))
        await retry(world)
        for _ in range(KILLS):
            if trouble:
                await herd_kill(world)
                started.append(time.monotonic())
            # Machines are in touch again contactMs after their start.
            await asyncio.sleep(w.CONTACT_S + 1)
            await retry(world)
    finally:
        if sound is not None:
            sound.cancel()
        await world.close()
    if len(world.crashes) < 3:
        return []
    third_at = world.crashes[2]
    late = [
        run['request']
        for run in world.runs
        if 'crash' in run['path']
        and run['at'] > third_at + w.CONTACT_S
        and all(
            not start <= run['at'] < start + w.CONTACT_S for start in started
        )
    ]
    # Copies that an entry sends of one client attempt count once.
    retries = len(set(late))
    print(
        f'{len(world.crashes)} crashes; {len(late)} copies of {retries} retries'
        f' reached servers later than contactMs after the third,'
        f' {ALLOWED} retries are allowed'
    )
    world.record.write('late_retries', copies=len(late), retries=retries)
    if retries > ALLOWED:
        return [f'BUDGET: {retries} retries reached servers']
    return []


if __name__ == '__main__':
    w.main(HERE, play)
