"""Define the frames between comfreyarch's own processes.

A frame travels as a CBOR map; the key ``t`` holds its kind. Times are in
milliseconds, sizes in bytes. Unknown keys are ignored, so that a newer
process may add some.
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
    """Be the base of every frame."""


class Hello(Frame, frozen=True):
    """Open a link: who connects, with a fresh nonce."""

    version: int
    node: str
    role: str
    incarnation: str
    revision: int
    nonce: bytes


class Challenge(Frame, frozen=True):
    """Answer a hello: who accepts, its nonce and its proof of the key."""

    version: int
    node: str
    role: str
    incarnation: str
    revision: int
    nonce: bytes
    proof: bytes


class Proof(Frame, frozen=True):
    """Close the handshake: the connecting end's proof of the key."""

    proof: bytes


class Call(Frame, frozen=True):
    """Hand one attempt at a request to a sidecar.

    ``attempt`` is unique over the fleet. ``deadline_ms`` is the time left.
    ``key`` is empty for what may be repeated. ``resume_from`` is the count
    of events that the caller already has.
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
    """Begin an answer: the upstream's status and headers."""

    attempt: str
    status: int
    headers: dict[str, str]


class Chunk(Frame, frozen=True):
    """Carry a part of an answer; ``offset`` counts the bytes before it."""

    attempt: str
    offset: int
    body: bytes


class End(Frame, frozen=True):
    """End an answer of ``length`` bytes in all."""

    attempt: str
    length: int


class Refused(Frame, frozen=True):
    """Give up an attempt; fields as of a refusal, ``crashed`` if it did."""

    attempt: str
    kind: str
    ran: str
    retry_after_ms: int = 0
    detail: str = ''
    crashed: bool = False


class Cancel(Frame, frozen=True):
    """Withdraw an attempt: its caller is gone or follows another."""

    attempt: str


class Window(Frame, frozen=True):
    """Allow ``credit`` further bytes of an answer."""

    attempt: str
    credit: int


class Beat(Frame, frozen=True):
    """Tell a node's life and load; sent at once when its state changes.

    ``ready`` is False while a sidecar's upstream is down.
    ``wait_ms`` is the predicted wait of a new request, ``service_ms`` the
    time one takes, ``step_ms`` the rank's last step time, ``share`` the
    part of an even share of requests that the rank should get.
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
    """Ask a peer for the configuration after revision ``after``.

    ``listing`` asks for its instance list too.
    """

    after: int
    listing: bool = False


class Pushed(Frame, frozen=True):
    """Give configuration: ``snapshot`` at ``base`` first, then deltas.

    Each delta is a map of its revision, puts and deletes. ``instances``
    is the sender's instance list, for a node that has none yet.
    """

    base: int
    snapshot: dict[str, Any] | None
    deltas: list[dict[str, Any]]
    instances: list[dict[str, Any]] = []


class ShareAsk(Frame, frozen=True):
    """Ask a team's home for a share; ``want`` is requests a second.

    ``level`` is empty for an entry's ask, ``zone`` for a zone home's.
    """

    team: str
    want: float
    open: int
    level: str = ''


class ShareGrant(Frame, frozen=True):
    """Grant a share of a team's limits for ``ttl_ms``."""

    team: str
    rate: float
    open: float
    ttl_ms: int
    level: str = ''


class Accused(Frame, frozen=True):
    """Spread a digest that crashed upstreams, with the crash count."""

    digest: str
    crashes: int


class MapFrame(Frame, frozen=True):
    """Carry a map-change message between sidecars of a group."""

    group: str
    message: AnyMapMessage


class RankShare(Frame, frozen=True):
    """Give a rank its share of the group's requests; 1 is an even one."""

    group: str
    share: float


class RankReport(Frame, frozen=True):
    """Report a rank's step time and tokens a step by expert.

    ``loads`` is keyed by the expert's number, layers counted in.
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


# Converting to one class is many times quicker than to the union.
SHAPES: dict[str, type[AnyFrame]] = {
    shape.__name__.lower(): shape for shape in get_args(AnyFrame)
}


class FrameError(ValueError):
    """Report a frame that cannot be read; the link is closed."""


def to_map(frame: Frame) -> dict[str, Any]:
    """Turn a frame into the map that a codec writes.

    :param frame: the frame.
    :returns: a map of plain values, bytes kept as bytes.
    """
    built: dict[str, Any] = msgspec.to_builtins(frame, builtin_types=(bytes,))
    return built


def from_map(raw: object) -> AnyFrame:
    """Check a decoded map and turn it into its frame.

    :param raw: what the codec read.
    :returns: the typed frame.
    :raises FrameError: if the map is of no known frame.
    """
    tag = raw.get(TAG_FIELD) if isinstance(raw, dict) else None
    shape = SHAPES.get(tag) if isinstance(tag, str) else None
    if shape is None:
        raise FrameError(f'unknown frame {tag!r}; upgrade the older node')
    try:
        read: AnyFrame = msgspec.convert(raw, shape)
    except msgspec.ValidationError as error:
        raise FrameError(
            f'frame refused: {error}; run the same version on both ends',
        ) from error
    return read
