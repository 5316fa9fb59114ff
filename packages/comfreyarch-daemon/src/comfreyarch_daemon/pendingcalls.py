"""State of a call that a sidecar has accepted and not yet answered."""

import hashlib
import json
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from comfreyarch_core import frames
from comfreyarch_daemon.linktransport import Link

# Bytes that a sidecar may send before the entry grants more credit.
INITIAL_CREDIT_BYTES = 262_144


@dataclass(slots=True)
class PendingCall:
    """Represent a call in progress at this sidecar.

    :param link: link to the entry that sent the call.
    :param digest: identifies the call's content, to detect calls that crash
        the upstream and the reuse of a key for another call.
    :param deadline: absolute time of the monotonic clock.
    :param admitted: whether the call holds a slot.
    :param generation: the upstream's generation when the call was dispatched.
    :param dispatched: whether the call was sent to the upstream.
    :param credit: bytes of the answer that may still be sent.
    :param credit_added: set when the entry grants credit.
    """

    call: frames.Call
    link: Link
    digest: str
    deadline: float
    admitted: bool = False
    generation: int = 0
    dispatched: bool = False
    credit: int = INITIAL_CREDIT_BYTES
    credit_added: Event = field(default_factory=Event)
    greenlet: gevent.Greenlet | None = None


def digest_call(call: frames.Call) -> str:
    """Compute the digest of a call's method, path and body.

    :returns: SHA-256 in hexadecimal.
    """
    hasher = hashlib.sha256(f'{call.method}\n{call.path}\n'.encode())
    hasher.update(call.body)
    return hasher.hexdigest()


def add_resume_point(call: frames.Call) -> bytes:
    """Add the event to resume from to the body of a chat call.

    :returns: the body to send; unchanged if the call is not resumed.
    """
    if not call.resume_from:
        return call.body
    payload = json.loads(call.body)
    payload['resume_from'] = call.resume_from
    return json.dumps(payload).encode()
