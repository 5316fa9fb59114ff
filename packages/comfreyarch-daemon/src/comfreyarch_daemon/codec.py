"""Encode and decode link messages: CBOR arrays of frame maps."""

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
    """Encode frames as one message.

    :returns: the bytes of the message.
    """
    return bytes(cbor2.dumps([to_map(frame) for frame in batch]))


def decode(message: bytes) -> list[AnyFrame]:
    """Decode the frames of a message.

    :raises FrameError: if the message exceeds ``MAX_MESSAGE_BYTES`` or is
        not an array of known frames.
    """
    if len(message) > MAX_MESSAGE_BYTES:
        raise FrameError(
            f'message of {len(message)} bytes exceeds {MAX_MESSAGE_BYTES}; '
            'send smaller frames',
        )
    try:
        raw = cbor2.loads(message)
    except Exception as error:
        raise FrameError(
            f'message is not CBOR: {error}; check the version of the peer',
        ) from error
    if not isinstance(raw, list):
        raise FrameError(
            f'message is a CBOR {type(raw).__name__} instead of an array of '
            'frames; check the version of the peer',
        )
    return [from_map(frame_map) for frame_map in raw]
