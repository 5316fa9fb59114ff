"""Define the state that a sidecar keeps for a key until it is settled.

A key is settled once its row needs no further operation by this sidecar.
"""

import enum
from dataclasses import dataclass, field

from comfreyarch_core.claimmessages import (
    Answer,
    RowState,
)


class Phase(enum.Enum):
    """Name the phases of a key in this sidecar.

    ``initial``: nothing is written yet.
    ``claiming``: the claim is being written.
    ``unconfirmed``: the claim's write may or may not have taken effect.
    ``running``: the attempt is with the upstream.
    ``recording``: the outcome is being written.
    ``releasing``: a ``free`` row is being written over the claim.
    """

    initial = 'initial'
    claiming = 'claiming'
    unconfirmed = 'unconfirmed'
    running = 'running'
    recording = 'recording'
    releasing = 'releasing'


@dataclass(slots=True)
class KeyState:
    """Hold the state of an unsettled key in this sidecar.

    :param attempt: the attempt that claims the key.
    :param digest: digest of the request's body.
    :param version: version of the row that the next write replaces.
    :param cancelled: whether the claim is cancelled: its attempts have been
        refused as not run, but its row may still have to be released.
    :param answer: the upstream's response, once the attempt has run.
    :param final_state: state of the row that records the outcome.
    :param waiting: attempts with the same key that wait for the answer.
    :param pending: whether a store operation is in flight.
    """

    key: str
    attempt: str
    digest: str
    phase: Phase = Phase.initial
    version: int = 0
    cancelled: bool = False
    answer: Answer | None = None
    final_state: RowState = RowState.recorded
    waiting: list[str] = field(default_factory=list)
    pending: bool = False
