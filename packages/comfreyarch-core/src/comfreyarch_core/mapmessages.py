"""Define the map-change messages between coordinator and ranks.

A placement lists the experts of each rank. Epoch and step number together
identify a step. Every order carries the coordinator's fencing token.
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
    """Base class of all map-change messages."""


class RankState(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold a rank's current map and the state of its map changes.

    ``step`` is the first step that has not begun. ``change`` is the
    prepared change, empty if there is none; the rank waits at ``change_step``
    for its outcome. ``outcomes`` maps each change to the outcome that the
    rank accepted. ``lost`` is True after the engine lost its state.
    ``incarnation`` identifies one start of the engine; it is empty if the
    engine does not report it.
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
    incarnation: str = ''

    @property
    def open_change(self) -> str:
        """Return the prepared change whose outcome the rank lacks.

        :returns: the change, or an empty string if there is none.
        """
        return '' if self.change in self.outcomes else self.change


class Promise(MapMessage, frozen=True):
    """Ask a rank to refuse orders with a lower fence from now on."""

    fence: int


class Prepare(MapMessage, frozen=True):
    """Ask a rank to load a map and wait at ``step`` for the outcome."""

    fence: int
    change: str
    epoch: int
    step: int
    placement: Placement


class Decide(MapMessage, frozen=True):
    """Send a rank the outcome of a change."""

    fence: int
    change: str
    outcome: str


class NewEpoch(MapMessage, frozen=True):
    """Move all ranks to a new epoch after one lost its state.

    Only the engine ``incarnation`` may enter the epoch by this order. An
    engine that restarted since then would enter at a step which the others
    have passed, and the group would stand still.
    """

    fence: int
    epoch: int
    step: int
    map_id: str
    placement: Placement
    incarnation: str = ''


class Promised(MapMessage, frozen=True):
    """Acknowledge a promise, or report the rank's state unsolicited."""

    fence: int
    rank: int
    state: RankState


class Refused(MapMessage, frozen=True):
    """Refuse an order because the rank promised a higher ``fence``."""

    fence: int
    rank: int


class Prepared(MapMessage, frozen=True):
    """Confirm that a rank has both maps and will wait at the step."""

    fence: int
    rank: int
    change: str


class Unprepared(MapMessage, frozen=True):
    """Report that a rank cannot prepare; ``step`` is its current one."""

    fence: int
    rank: int
    change: str
    step: int


class Decided(MapMessage, frozen=True):
    """Confirm that a rank has accepted the outcome."""

    fence: int
    rank: int
    change: str


class Begun(MapMessage, frozen=True):
    """Confirm that a rank is in the new epoch."""

    fence: int
    rank: int
    epoch: int


class AskOutcome(MapMessage, frozen=True):
    """Ask a peer rank for the outcome of a change."""

    rank: int
    change: str
    epoch: int


class TellOutcome(MapMessage, frozen=True):
    """Send a peer rank an outcome that this rank has accepted."""

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
# Number of epochs reserved per fence, so that epochs grow with the fence.
EPOCHS_PER_FENCE = 1024
# Steps between the current step and the step at which a change applies.
INITIAL_STEP_MARGIN = 32
# Growth factor of the margin after a rank could not prepare.
STEP_MARGIN_FACTOR = 2
MAX_STEP_MARGIN = 4096
# Time after which the coordinator resends an unacknowledged order.
RESEND_INTERVAL_S = 0.5
# Time after which a change that some rank has not prepared is aborted.
PREPARE_TIMEOUT_S = 10.0
# Time for which a rank waits for an outcome before it queries peers, and
# between two queries.
OUTCOME_QUERY_DELAY_S = 1.0
# Maximum number of peers in a query.
MAX_PEERS_QUERIED = 3
# Map id of the configured placement, before any change.
INITIAL_MAP_ID = 'start'
