"""Hold an attempt at work in a sidecar."""

import hashlib
import json
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from comfreyarch_core import frames
from comfreyarch_daemon.wire import Link

WINDOW_BYTES = 262_144


@dataclass(slots=True)
class Work:
    """Hold one attempt at work in this sidecar."""

    call: frames.Call
    link: Link
    digest: str
    deadline: float
    admitted: bool = False
    life: int = 0
    handed: bool = False
    credit: int = WINDOW_BYTES
    credited: Event = field(default_factory=Event)
    greenlet: gevent.Greenlet | None = None


def digest_of(call: frames.Call) -> str:
    """Digest what a call asks of the upstream.

    :returns: a SHA-256 in hex.
    """
    hasher = hashlib.sha256(f'{call.method}\n{call.path}\n'.encode())
    hasher.update(call.body)
    return hasher.hexdigest()


def resumed_body(call: frames.Call) -> bytes:
    """Add the point to resume from to a chat body.

    :returns: the body to send.
    """
    if not call.resume_from:
        return call.body
    asked = json.loads(call.body)
    asked['resume_from'] = call.resume_from
    return json.dumps(asked).encode()
