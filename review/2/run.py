"""An entry is stopped as planned while all slots of a service are in use."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import world as w  # noqa: E402

SERVERS = 2
SLOTS = 4
LOSS_SLACK_S = w.BOUNDS['lossSlackMs'] / 1000
# Times after SIGTERM.
SECOND_STREAM_AT_S = 2.9
LONG_STREAMS_AT_S = 4.5
LONG_STREAM_GAP_S = 0.05
SHORT_STREAMS_AT_S = (5.0, 5.3, 5.6, 5.7, 5.8, 5.9, 6.0, 6.1)
END_S = w.BOUNDS['gracePeriodS'] + 1
# An event holds 5 tokens and comes 50 ms after the one before.
TOKENS_PER_EVENT = 5
# Events of the site's longest streams.
LONGEST = 69


class KeptConnection:
    """A client's connection that is kept for several requests."""

    def __init__(self, world, entry):
        self.world, self.entry = world, entry
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.host, 8227
        )

    async def request(self, events):
        """Request a stream.

        :returns: the reply, and whether the whole request was sent.
        """
        reply = w.Reply(f'{random.getrandbits(64):016x}')
        lines = [
            f'POST /words/{events} HTTP/1.1', f'Host: {w.HOST}',
            f'X-Attempt-Id: {reply.attempt}', 'X-Deadline-Ms: 8050',
            f'Authorization: Bearer {w.KEY}', 'X-Model: m',
            f'X-Token-Counts: 60,{events * TOKENS_PER_EVENT}',
            'Content-Length: 4', '', '',
        ]  # fmt: skip
        self.world.record.write(
            'sent', request=reply.attempt, entry=self.entry.name, events=events
        )
        is_sent = False
        try:
            self.writer.write('\r\n'.join(lines).encode() + b'work')
            await self.writer.drain()
            reply.sent_at = time.monotonic()
            is_sent = True
            words, reply.headers = await w.read_head(self.reader)
            reply.status = int(words[1])
            await w.read_answer_body(self.reader, reply)
        except (OSError, EOFError):
            pass
        reply.ended_at = time.monotonic()
        self.world.record.write(
            'answered', request=reply.attempt, entry=self.entry.name,
            status=reply.status, complete=reply.complete,
            took=round(reply.ended_at - reply.sent_at, 3),
        )  # fmt: skip
        return reply, is_sent

    def close(self):
        self.writer.close()


async def at(begin, offset_s):
    await asyncio.sleep(max(0, begin + offset_s - time.monotonic()))


async def play(record, trouble):
    world = w.World(record)
    for _ in range(SERVERS):
        world.add_server('models', SLOTS)
    world.add_route('/words/', 'streaming', 'models', resumable=True)
    breaches = []
    connections = []
    try:
        await world.start()
        stopped, other = world.entries
        slots = SERVERS * SLOTS
        for _ in SHORT_STREAMS_AT_S:
            connection = KeptConnection(world, stopped)
            await connection.open()
            await connection.request(4)
            connections.append(connection)
        # Two streams that end before the entry does.
        early = [KeptConnection(world, stopped) for _ in range(2)]
        for connection in early:
            await connection.open()
            await connection.request(4)
            connections.append(connection)
        tasks = [asyncio.create_task(early[0].request(LONGEST))]
        await asyncio.sleep(0.2)
        begin = time.monotonic()
        if trouble:
            stopped.signal(signal.SIGTERM)
        await at(begin, SECOND_STREAM_AT_S)
        tasks.append(asyncio.create_task(early[1].request(LONGEST)))
        for number in range(slots - 1):
            await at(begin, LONG_STREAMS_AT_S + LONG_STREAM_GAP_S * number)
            connection = KeptConnection(world, other)
            await connection.open()
            connections.append(connection)
            tasks.append(asyncio.create_task(connection.request(60)))
        short = []
        for connection, offset_s in zip(connections, SHORT_STREAMS_AT_S):
            await at(begin, offset_s)
            short.append(asyncio.create_task(connection.request(4)))
        await at(begin, END_S)
        await asyncio.gather(*tasks, *short)
        if trouble:
            print(f'exit status {stopped.process.wait()}')
        for task in [*tasks[:2], *short]:
            reply, is_sent = task.result()
            passed_on = any(
                run['request'] == reply.attempt for run in world.runs
            )
            took_s = reply.ended_at - reply.sent_at
            if is_sent and not reply.complete and (
                passed_on or took_s > LOSS_SLACK_S
            ):
                breaches.append(
                    f'LOST: request {reply.attempt}, sent'
                    f' {reply.sent_at - begin:.2f} s after SIGTERM, has no'
                    f' complete answer: status {reply.status}, closed'
                    f' {took_s:.2f} s later'
                    f'{", passed on" if passed_on else ""}'
                )
    finally:
        for connection in connections:
            connection.close()
        await world.close()
    return breaches


if __name__ == '__main__':
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Path(os.environ.get('RECORD', HERE / 'record.txt'))
    w.main(play, trouble, record)
