"""Define what the sidecars of a rank group send one another.

``rankdatagrams`` encodes these messages.
"""

from dataclasses import dataclass

from comfreyarch_core.enginestate import EngineOrder, EngineState

# Readings are numbered by the time at which they were requested, in this unit:
# a reading requested before an order may arrive after the one that shows the
# effect of the order.
READINGS_PER_S = 10_000


@dataclass(frozen=True, slots=True)
class StateReport:
    """Report the state of a rank's engine.

    :param engine: address of the engine itself.
    :param number: increases with each reading of the same engine.
    """

    engine: str
    state: EngineState
    number: int


@dataclass(frozen=True, slots=True)
class ExpertCounts:
    """Report how often a rank's requests chose each expert recently.

    :param version: version of the map in use.
    :param experts: the rank's experts under that map, by set.
    :param counts: choices of each expert since the last report, set after set.
    """

    group: str
    rank: int
    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RankOrder:
    """Request that a sidecar send its engine an order."""

    group: str
    fence: int
    rank: int
    epoch: int
    sequence: int
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class LeaderAnnouncement:
    """Announce the leader of a group."""

    group: str
    fence: int
    node: str
