"""Send calls to the upstream and relay its answers to the entry."""

from collections.abc import Callable

from geventhttpclient.response import HTTPSocketPoolResponse

from comfreyarch_core import frames
from comfreyarch_core.claimmessages import Answer
from comfreyarch_daemon.pendingcalls import PendingCall, add_resume_point
from comfreyarch_daemon.upstreamclient import (
    UpstreamClient,
    close_response,
    read_head,
)


class UpstreamRelay:
    """Relay calls and answers between entries and one upstream.

    :param before_dispatch: invoked just before a call is sent to the upstream.
    """

    __slots__ = ('before_dispatch', 'client')

    def __init__(
        self,
        client: UpstreamClient,
        before_dispatch: Callable[[PendingCall], None],
    ) -> None:
        """Store the upstream's client and the callback."""
        self.client = client
        self.before_dispatch = before_dispatch

    def close(self) -> None:
        """Close the connections to the upstream."""
        self.client.close()

    def fetch_answer(self, pending: PendingCall) -> Answer:
        """Send a call and read the complete answer.

        :raises CallNotSent: if the call did not reach the upstream.
        :raises CallLost: if the connection broke before the answer was
            complete.
        """
        self.before_dispatch(pending)
        response = self.client.open(pending.call)
        try:
            body = b''.join(self.client.read_body(pending.call, response))
        finally:
            close_response(response)
        status, headers = read_head(response)
        return Answer(status, headers, body)

    def stream(self, pending: PendingCall) -> None:
        """Send a call and relay its answer as it arrives.

        :raises CallNotSent: if the call did not reach the upstream.
        :raises CallLost: if the connection broke before the answer was
            complete.
        """
        self.before_dispatch(pending)
        call = pending.call
        sent = frames.Call(
            call.attempt,
            call.request,
            call.team,
            call.method,
            call.path,
            call.headers,
            add_resume_point(call),
            call.deadline_ms,
        )
        response = self.client.open(sent)
        try:
            self.relay_response(pending, response)
        finally:
            close_response(response)

    def relay_response(
        self, pending: PendingCall, response: HTTPSocketPoolResponse
    ) -> None:
        """Send the head, chunks and end of a response to the entry.

        :raises CallLost: if the connection breaks.
        """
        attempt = pending.call.attempt
        status, headers = read_head(response)
        pending.link.send(frames.Head(attempt, status, headers))
        offset = 0
        for part in self.client.read_body(pending.call, response):
            self.send_chunk(pending, offset, part)
            offset += len(part)
        pending.link.send(frames.End(attempt, offset))

    def send_chunk(
        self, pending: PendingCall, offset: int, body: bytes
    ) -> None:
        """Send a chunk once the entry has granted credit for it."""
        while pending.credit <= 0:
            pending.credit_added.clear()
            pending.credit_added.wait()
        pending.credit -= len(body)
        pending.link.send(frames.Chunk(pending.call.attempt, offset, body))
