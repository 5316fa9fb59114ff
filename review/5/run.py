"""A stream breaks off after its first event, and its client resumes it."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import world as w  # noqa: E402

EVENTS = 12
STREAMS = 4


async def read_stream(world, entry, last_id, kill_after):
    """Request a stream and read it.

    :param last_id: id of the last event that the client has, None for none.
    :param kill_after: kill the entry after this many events, 0 for never.
    :returns: the ids received, and whether the stream ended as complete.
    """
    attempt = f'{random.getrandbits(64):016x}'
    headers = {
        'Host': w.HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': 8000,
        'Authorization': f'Bearer {w.KEY}', 'X-Model': 'm',
        'X-Token-Counts': '60,60', 'Content-Length': 4,
    }  # fmt: skip
    if last_id is not None:
        headers['Last-Event-Id'] = last_id
    world.record.write(
        'sent', request=attempt, entry=entry.name, last_event_id=last_id
    )
    reader, writer = await asyncio.open_connection(entry.host, 8227)
    lines = [f'POST /words/{EVENTS} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + b'work')
    ids = []
    complete = False
    try:
        words, _ = await w.read_head(reader)
        if words[1] != '200':
            raise w.CannotRun(f'status {words[1]}')
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                complete = True
                break
            for line in chunk.decode().split('\n'):
                if line.startswith('id: '):
                    ids.append(int(line[4:]))
            if kill_after and len(ids) >= kill_after:
                entry.signal(signal.SIGKILL)
                kill_after = 0
    except (OSError, EOFError):
        pass
    finally:
        writer.close()
    world.record.write('received', request=attempt, ids=ids, complete=complete)
    return ids, complete


async def play(record, trouble):
    world = w.World(record)
    server = world.add_server('models')
    world.add_route('/words/', 'streaming', 'models', resumable=True)
    breaches = []
    try:
        await world.start()
        first, second = world.entries
        for number in range(STREAMS):
            kill_after = 1 if trouble else 0
            # The last stream breaks off later, to compare.
            if trouble and number == STREAMS - 1:
                kill_after = 4
            ids, complete = await read_stream(world, first, None, kill_after)
            if not complete:
                more, complete = await read_stream(
                    world, second, ids[-1] if ids else None, 0
                )
                ids += more
                first.process.wait()
                first.start()
                await world.wait_ready()
                await asyncio.sleep(w.CONTACT_S)
            expected = list(range(EVENTS))
            world.record.write('stream', number=number, ids=ids)
            if complete and ids != expected:
                breaches.append(f'ORDER: stream {number} gave the events {ids}')
    finally:
        await world.close()
    return breaches


if __name__ == '__main__':
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Path(os.environ.get('RECORD', HERE / 'record.txt'))
    w.main(play, trouble, record)
