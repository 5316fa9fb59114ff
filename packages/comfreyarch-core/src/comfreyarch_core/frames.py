"""Frames that entries and sidecars exchange.

A frame is sent as a CBOR map; the key ``t`` holds its type. Times are in
milliseconds, sizes in bytes. Unknown keys are ignored, so that newer
versions can add keys.
"""

from typing import Any, get_args

import msgspec

from comfreyarch_core.mapmessages import AnyMapMessage

PROTOCOL_VERSION = 1
TAG_FIELD = 't'


class Frame(
    msgspec.Struct,
    frozen=True,
    tag_field=TAG_FIELD,
    tag=str.lower,
    omit_defaults=True,
):
    """Base class of all frames."""


class Hello(Frame, frozen=True):
    """Start the handshake: the connecting node and a fresh nonce."""

    version: int
    node: str
    role: str
    incarnation: str
    revision: int
    nonce: bytes


class Challenge(Frame, frozen=True):
    """Answer a hello: the accepting node, its nonce and its proof.

    The proof shows that the node holds the fleet key.
    """

    version: int
    node: str
    role: str
    incarnation: str
    revision: int
    nonce: bytes
    proof: bytes


class Proof(Frame, frozen=True):
    """Complete the handshake: the connecting node's proof of the key."""

    proof: bytes


class Call(Frame, frozen=True):
    """Send one attempt at a request to a sidecar.

    ``attempt`` is unique in the fleet. ``deadline_ms`` is the time that
    remains. ``key`` is the idempotency key, empty for requests that may run
    more than once. ``resume_from`` is the number of stream events that the
    caller already has. ``cost`` is the expected work and ``weight`` the team's
    share, both for fair queueing. A ``suspect`` request may have crashed an
    upstream, so it runs alone.
    """

    attempt: str
    request: str
    team: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_ms: int
    key: str = ''
    stream: bool = False
    resume_from: int = 0
    cost: float = 1
    weight: float = 1
    suspect: bool = False


class Head(Frame, frozen=True):
    """Start an answer with the upstream's status and headers."""

    attempt: str
    status: int
    headers: dict[str, str]


class Chunk(Frame, frozen=True):
    """Carry a part of an answer's body that starts at byte ``offset``."""

    attempt: str
    offset: int
    body: bytes


class End(Frame, frozen=True):
    """End an answer whose body has ``length`` bytes in total."""

    attempt: str
    length: int


class Refused(Frame, frozen=True):
    """Refuse an attempt, with the fields of a ``Refusal``.

    ``crashed`` is True if the upstream crashed while it ran the attempt.
    """

    attempt: str
    kind: str
    ran: str
    retry_after_ms: int = 0
    detail: str = ''
    crashed: bool = False


class Cancel(Frame, frozen=True):
    """Cancel an attempt: its caller disconnected or uses another attempt."""

    attempt: str


class Window(Frame, frozen=True):
    """Allow the sender of an answer to send ``credit`` more bytes."""

    attempt: str
    credit: int


class Beat(Frame, frozen=True):
    """Report a node's liveness and load, at once when its state changes.

    ``ready`` is False while a sidecar's upstream is down. ``leaving`` is True
    while the node drains. ``wait_ms`` is the predicted queueing time of a new
    request, ``service_ms`` its service time and ``step_ms`` the last step
    time of the rank. ``share`` is the fraction of an even share of the
    requests that the rank should get.
    """

    node: str
    incarnation: str
    revision: int
    leaving: bool = False
    ready: bool = True
    queued: int = 0
    running: int = 0
    slots: int = 0
    wait_ms: float = 0
    service_ms: float = 0
    step_ms: float = 0
    share: float = 1


class Pull(Frame, frozen=True):
    """Request the configuration changes after revision ``after`` from a peer.

    ``listing`` requests its instance list too.
    """

    after: int
    listing: bool = False


class Pushed(Frame, frozen=True):
    """Send configuration: ``snapshot`` at revision ``base``, then deltas.

    Each delta is a map of its revision, token, puts and deletes. ``instances``
    is the sender's instance list, for a node that has none yet.
    """

    base: int
    snapshot: dict[str, Any] | None
    deltas: list[dict[str, Any]]
    instances: list[dict[str, Any]] = []


class ShareAsk(Frame, frozen=True):
    """Ask a team's home entry for a share of the team's limits.

    ``want`` is the demand in requests per second, ``open`` the demand in open
    requests. ``level`` is empty if an entry asks and ``zone`` if the home of
    an availability zone does. ``asked_ms`` is the time of the ask by the clock of
    its sender, which the grant repeats.
    """

    team: str
    want: float
    open: int
    level: str = ''
    asked_ms: int = 0


class ShareGrant(Frame, frozen=True):
    """Grant a share of a team's limits for ``ttl_ms`` from ``asked_ms`` on.

    ``rate`` is in requests per second, ``open`` in open requests. ``asked_ms`` is
    0 from earlier releases; the share then counts from its arrival.
    """

    team: str
    rate: float
    open: float
    ttl_ms: int
    level: str = ''
    asked_ms: int = 0


class Accused(Frame, frozen=True):
    """Report the crash count of a request digest; 0 clears the digest."""

    digest: str
    crashes: int


class MapFrame(Frame, frozen=True):
    """Carry a map-change message between sidecars of a group."""

    group: str
    message: AnyMapMessage


class RankShare(Frame, frozen=True):
    """Set a rank's share of its group's requests; 1 is an even share."""

    group: str
    share: float


class RankReport(Frame, frozen=True):
    """Report a rank's step time, and its tokens per step by expert.

    ``requests`` is the number of running requests. ``loads`` is keyed by
    expert; experts are numbered over all layers.
    """

    group: str
    rank: int
    step: int
    step_ms: float
    requests: float
    loads: dict[int, float]
    map_id: str = ''


AnyFrame = (
    Hello
    | Challenge
    | Proof
    | Call
    | Head
    | Chunk
    | End
    | Refused
    | Cancel
    | Window
    | Beat
    | Pull
    | Pushed
    | ShareAsk
    | ShareGrant
    | Accused
    | MapFrame
    | RankShare
    | RankReport
)


# Frame types by tag: msgspec converts to a single class many times faster
# than to the union.
FRAME_TYPES: dict[str, type[AnyFrame]] = {
    frame_type.__name__.lower(): frame_type for frame_type in get_args(AnyFrame)
}


class FrameError(ValueError):
    """Raised for a frame that cannot be decoded; the link is closed."""


def to_map(frame: Frame) -> dict[str, Any]:
    """Convert a frame to the map that the codec encodes.

    :returns: a map of plain values; bytes stay bytes.
    """
    plain: dict[str, Any] = msgspec.to_builtins(frame, builtin_types=(bytes,))
    return plain


def from_map(raw: object) -> AnyFrame:
    """Validate a decoded map and convert it to its frame.

    :param raw: the value that the codec decoded.
    :returns: the typed frame.
    :raises FrameError: if the type is unknown or a field is invalid.
    """
    tag = raw.get(TAG_FIELD) if isinstance(raw, dict) else None
    frame_type = FRAME_TYPES.get(tag) if isinstance(tag, str) else None
    if frame_type is None:
        raise FrameError(f'unknown frame type {tag!r}; upgrade the older node')
    try:
        frame: AnyFrame = msgspec.convert(raw, frame_type)
    except msgspec.ValidationError as error:
        raise FrameError(
            f'invalid {tag!r} frame: {error}; '
            'run the same version on both nodes',
        ) from error
    return frame
