"""Define the claim manager's input messages and outcomes."""

import enum
from dataclasses import dataclass

from comfreyarch_core.refusals import Refusal


class RowState(enum.StrEnum):
    """Name the states of a claim row.

    ``free``: no attempt has a claim on the key.
    ``claimed``: an attempt has the claim; its outcome is not recorded yet.
    ``recorded``: the attempt ran, and the row holds its answer.
    ``unknown``: the attempt may have run, and its answer is lost.
    """

    free = 'free'
    claimed = 'claimed'
    recorded = 'recorded'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold an upstream's complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Row:
    """Hold a claim row.

    :param version: 0 if the table has no row for the key.
    :param attempt: the attempt on whose behalf the row was written.
    :param holder: node name of the sidecar that wrote the row.
    :param incarnation: that sidecar's incarnation.
    :param digest: digest of the request's body.
    :param answer: the upstream's response, in a ``recorded`` row only.
    """

    version: int = 0
    state: RowState = RowState.free
    attempt: str = ''
    holder: str = ''
    incarnation: str = ''
    digest: str = ''
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request to run ``attempt`` under a claim on a key.

    :param key: key of the claim row.
    :param digest: digest of the request's body.
    """

    attempt: str
    key: str
    digest: str


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Report that the pending write took effect at ``version``."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Report that a write failed: the table holds another version, ``row``."""

    key: str
    row: Row


@dataclass(frozen=True, slots=True)
class WriteUnconfirmed:
    """Report that the store's answer to a write was lost.

    The write may or may not have taken effect.
    """

    key: str


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Report that the store refused an operation or was unreachable.

    The operation had no effect.
    """

    key: str


@dataclass(frozen=True, slots=True)
class RowRead:
    """Report the row that a read returned."""

    key: str
    row: Row


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt: its caller left or its deadline passed."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Ran:
    """Report that the upstream returned a complete response."""

    attempt: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """Report that the upstream failed after it was sent the attempt.

    The attempt may have run.
    """

    attempt: str


@dataclass(frozen=True, slots=True)
class NotDelivered:
    """Report that the attempt certainly did not reach the upstream."""

    attempt: str


@dataclass(frozen=True, slots=True)
class RetryDue:
    """Retry the store operations of all unsettled keys."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write ``row`` if the key's row has the version ``expected_version``."""

    key: str
    expected_version: int
    row: Row


@dataclass(frozen=True, slots=True)
class Read:
    """Read the row of a key."""

    key: str


@dataclass(frozen=True, slots=True)
class DispatchAttempt:
    """Dispatch an attempt to the upstream now; issued once per attempt."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer an attempt with the upstream's response."""

    attempt: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer an attempt with a refusal."""

    attempt: str
    refusal: Refusal


Message = (
    ClaimRequest
    | RowWritten
    | WriteConflict
    | WriteUnconfirmed
    | StoreUnavailable
    | RowRead
    | CancelAttempt
    | Ran
    | UpstreamLost
    | NotDelivered
    | RetryDue
)
Outcome = Write | Read | DispatchAttempt | Reply | Reject
