"""Hand attempts to the upstream and pass its answers on."""

from collections.abc import Callable

from geventhttpclient.response import HTTPSocketPoolResponse

from comfreyarch_core import frames
from comfreyarch_core.claimmessages import Answer
from comfreyarch_daemon.upstreaming import (
    UpstreamCaller,
    head_of,
    read_events,
    read_whole,
    release,
)
from comfreyarch_daemon.works import Work, resumed_body


class Relay:
    """Run works against one upstream.

    :param on_hand: called just before a work reaches the upstream.
    """

    __slots__ = ('caller', 'on_hand')

    def __init__(
        self,
        caller: UpstreamCaller,
        on_hand: Callable[[Work], None],
    ) -> None:
        """Hold the caller of the upstream."""
        self.caller = caller
        self.on_hand = on_hand

    def close(self) -> None:
        """Close the connections."""
        self.caller.close()

    def whole_answer(self, work: Work) -> Answer:
        """Call the upstream and read the whole answer.

        :raises NotTaken: if the call did not reach it.
        :raises CallLost: if it broke.
        """
        self.on_hand(work)
        response = self.caller.open(work.call)
        try:
            body = read_whole(response)
        finally:
            release(response)
        status, headers = head_of(response)
        return Answer(status, headers, body)

    def stream(self, work: Work) -> None:
        """Pass an answer on as it comes.

        :raises NotTaken: if the call did not reach the upstream.
        :raises CallLost: if it broke.
        """
        self.on_hand(work)
        call = work.call
        sent = frames.Call(
            call.attempt,
            call.request,
            call.team,
            call.method,
            call.path,
            call.headers,
            resumed_body(call),
            call.deadline_ms,
        )
        response = self.caller.open(sent)
        try:
            self.pass_on(work, response)
        finally:
            release(response)

    def pass_on(self, work: Work, response: HTTPSocketPoolResponse) -> None:
        """Send head, chunks and end of a response.

        :raises CallLost: if it breaks.
        """
        attempt = work.call.attempt
        status, headers = head_of(response)
        work.link.send(frames.Head(attempt, status, headers))
        offset = 0
        if work.call.stream:
            for event in read_events(response):
                self.send_part(work, offset, event)
                offset += len(event)
        else:
            body = read_whole(response)
            self.send_part(work, 0, body)
            offset = len(body)
        work.link.send(frames.End(attempt, offset))

    def send_part(self, work: Work, offset: int, body: bytes) -> None:
        """Send a chunk once the entry has room for it."""
        while work.credit <= 0:
            work.credited.clear()
            work.credited.wait()
        work.credit -= len(body)
        work.link.send(frames.Chunk(work.call.attempt, offset, body))
