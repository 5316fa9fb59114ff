"""Define the messages of a map change, between coordinator and ranks.

A placement lists the experts of every rank. A step is named by epoch and
number. Every order carries the coordinator's fence.
"""

import msgspec

Placement = list[list[int]]
COMMIT = 'commit'
ABORT = 'abort'


class MapMessage(
    msgspec.Struct,
    frozen=True,
    tag_field='m',
    tag=str.lower,
    omit_defaults=True,
):
    """Be the base of every map-change message."""


class RankState(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold what a rank knows of maps and changes.

    ``step`` is the first step not yet begun. ``change`` is empty without a
    change under way. ``outcomes`` holds the outcomes taken, by change.
    ``lost`` is True after the engine lost its memory.
    """

    epoch: int = 0
    step: int = 0
    map_id: str = ''
    placement: Placement = []
    change: str = ''
    change_step: int = 0
    change_placement: Placement = []
    outcomes: dict[str, str] = {}
    lost: bool = False

    @property
    def open_change(self) -> str:
        """Name the change whose outcome this rank lacks.

        :returns: empty where there is none.
        """
        return '' if self.change in self.outcomes else self.change


class Promise(MapMessage, frozen=True):
    """Ask a rank to refuse all lower fences from now on."""

    fence: int


class Prepare(MapMessage, frozen=True):
    """Ask a rank to load a map and to wait for the outcome at a step."""

    fence: int
    change: str
    epoch: int
    step: int
    placement: Placement


class Decide(MapMessage, frozen=True):
    """Tell a rank the outcome of a change."""

    fence: int
    change: str
    outcome: str


class NewEpoch(MapMessage, frozen=True):
    """Start all ranks anew after one of them lost its memory."""

    fence: int
    epoch: int
    step: int
    map_id: str
    placement: Placement


class Promised(MapMessage, frozen=True):
    """Answer a promise, or report unasked; with all that the rank knows."""

    fence: int
    rank: int
    state: RankState


class Refused(MapMessage, frozen=True):
    """Refuse an order: a higher fence was promised."""

    fence: int
    rank: int


class Prepared(MapMessage, frozen=True):
    """Tell that a rank holds both maps and waits at the step."""

    fence: int
    rank: int
    change: str


class Unprepared(MapMessage, frozen=True):
    """Tell that a rank cannot prepare; ``step`` is where it stands."""

    fence: int
    rank: int
    change: str
    step: int


class Decided(MapMessage, frozen=True):
    """Tell that a rank took the outcome."""

    fence: int
    rank: int
    change: str


class Begun(MapMessage, frozen=True):
    """Tell that a rank is in the new epoch."""

    fence: int
    rank: int
    epoch: int


class AskOutcome(MapMessage, frozen=True):
    """Ask another rank for an outcome."""

    rank: int
    change: str
    epoch: int


class TellOutcome(MapMessage, frozen=True):
    """Tell another rank an outcome that this one has taken."""

    rank: int
    change: str
    epoch: int
    outcome: str


Order = Promise | Prepare | Decide | NewEpoch
Reply = Promised | Refused | Prepared | Unprepared | Decided | Begun
PeerMessage = AskOutcome | TellOutcome
AnyMapMessage = Order | Reply | PeerMessage
EngineOrder = Prepare | Decide | NewEpoch
EMPTY_STATE = RankState()
EMPTY_MAP: Placement = []
EMPTY_OUTCOMES: dict[str, str] = {}
EPOCHS_A_FENCE = 1024
EARLY_STEPS = 32
LATE_FACTOR = 2
MAX_EARLY_STEPS = 4096
RESEND_S = 0.5
PREPARE_TIMEOUT_S = 10.0
ASK_AFTER_S = 1.0
PEERS_ASKED = 3
FIRST_MAP = 'start'
