"""Save the maps that a rank was ordered to prepare.

A next leader that cannot reach all ranks finds the content of the map in use here.
"""

from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState, GroupMap, PrepareMap
from comfreyarch_core.mapplan import first_map

# Number of maps to save: the map in use is among the last few prepared.
MAX_SAVED_MAPS = 6


@dataclass(slots=True)
class SavedMaps:
    """Represent the last maps that leaders ordered a rank to prepare.

    :param by_version: maps by version.
    :param sets: number of sets, 0 until the rank's experts were read.
    """

    by_version: dict[int, GroupMap] = field(default_factory=dict)
    sets: int = 0

    def save(self, order: PrepareMap) -> None:
        """Save an ordered map, and drop the oldest ones."""
        self.by_version[order.version] = order.content
        while len(self.by_version) > MAX_SAVED_MAPS:
            self.by_version.pop(min(self.by_version))

    def find_current(self, state: EngineState, experts: int) -> GroupMap | None:
        """Return the map in use if this rank knows its whole content.

        :param state: state of the rank's engine.
        :param experts: number of experts in a set.
        :returns: None if the map was prepared before this process started.
        """
        if state.version == 0 and self.sets:
            return first_map(self.sets, experts, state.size)
        return self.by_version.get(state.version)
