"""Hold what a sidecar knows of a key at work."""

import enum
from dataclasses import dataclass, field

from comfreyarch_core.claimmessages import (
    Answer,
    RowState,
)


class Phase(enum.Enum):
    """Name where a key stands in this sidecar."""

    looking = 'looking'
    claiming = 'claiming'
    unclear = 'unclear'
    running = 'running'
    recording = 'recording'
    freeing = 'freeing'


@dataclass(slots=True)
class Entry:
    """Hold what this sidecar knows of a key at work."""

    key: str
    attempt: str
    digest: str
    phase: Phase = Phase.looking
    version: int = 0
    given_up: bool = False
    answer: Answer | None = None
    final: RowState = RowState.recorded
    waiting: list[str] = field(default_factory=list)
    pending: bool = False
