"""Write and read the messages of a link: CBOR arrays of frame maps."""

from collections.abc import Sequence

import cbor2

from comfreyarch_core.frames import (
    AnyFrame,
    Frame,
    FrameError,
    from_map,
    to_map,
)

MAX_MESSAGE_BYTES = 8_000_000


def encode(batch: Sequence[Frame]) -> bytes:
    """Write frames into one message.

    :returns: the message's bytes.
    """
    return bytes(cbor2.dumps([to_map(frame) for frame in batch]))


def decode(message: bytes) -> list[AnyFrame]:
    """Read the frames of a message.

    :raises FrameError: if it is no array of known frames.
    """
    if len(message) > MAX_MESSAGE_BYTES:
        raise FrameError('message too large; send smaller frames')
    try:
        raw = cbor2.loads(message)
    except Exception as error:
        raise FrameError(f'not CBOR: {error}; check the peer') from error
    if not isinstance(raw, list):
        raise FrameError('not an array of frames; check the peer')
    return [from_map(one) for one in raw]
