"""Define what a claim desk is told and what it decides."""

import enum
from dataclasses import dataclass

from comfreyarch_core.refusals import Refusal


class RowState(enum.StrEnum):
    """Name the states of a claim row."""

    free = 'free'
    claimed = 'claimed'
    recorded = 'recorded'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold a whole answer of an upstream."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Row:
    """Hold a claim row; ``version`` is 0 where there is none."""

    version: int = 0
    state: RowState = RowState.free
    attempt: str = ''
    holder: str = ''
    incarnation: str = ''
    digest: str = ''
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask to run ``attempt`` for a row key with the body's digest."""

    attempt: str
    key: str
    digest: str


@dataclass(frozen=True, slots=True)
class Committed:
    """Tell that the pending write took effect at ``version``."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Tell that the row stood at another version: ``row``."""

    key: str
    row: Row


@dataclass(frozen=True, slots=True)
class Unclear:
    """Tell that a write's answer was lost."""

    key: str


@dataclass(frozen=True, slots=True)
class Down:
    """Tell that the store refused or could not be reached: no effect."""

    key: str


@dataclass(frozen=True, slots=True)
class Seen:
    """Tell what a read found."""

    key: str
    row: Row


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Withdraw an attempt: its caller or its deadline is gone."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Ran:
    """Tell that the upstream answered whole."""

    attempt: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class Lost:
    """Tell that the upstream broke after the hand-over."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Untaken:
    """Tell that the hand-over certainly did not reach the upstream."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Again:
    """Let time pass: unsettled rows are tried again."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write ``row`` where the key stands at ``expected``."""

    key: str
    expected: int
    row: Row


@dataclass(frozen=True, slots=True)
class Read:
    """Read the row of a key."""

    key: str


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand the attempt to the upstream, now and once."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Give an attempt its answer."""

    attempt: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class Reject:
    """Give an attempt its refusal."""

    attempt: str
    refusal: Refusal


Message = (
    Ask
    | Committed
    | Conflict
    | Unclear
    | Down
    | Seen
    | GiveUp
    | Ran
    | Lost
    | Untaken
    | Again
)
Outcome = Write | Read | HandOver | Reply | Reject
