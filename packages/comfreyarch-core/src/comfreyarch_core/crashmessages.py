"""Messages and notices of the crash guard."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """Name the service and the route of a request."""

    service: str
    route: str


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """Report that a connection broke before the upstream began to answer.

    :param traits: traits of the request, the most general one first.
    """

    target: Target
    traits: tuple[str, ...]
    upstream: str


@dataclass(frozen=True, slots=True)
class RequestSent:
    """Report that a request is sent to an upstream."""

    target: Target
    traits: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """Report that an upstream survived the begin of an answer."""

    target: Target
    traits: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """Report that an upstream refuses connections or is no longer listed."""

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamAlive:
    """Report that an upstream accepts connections."""

    upstream: str


@dataclass(frozen=True, slots=True)
class PeerCrash:
    """Report a crash that another entry observed.

    :param traits: traits of the requests that were lost there.
    :param age_s: seconds since the crash.
    """

    target: Target
    upstream: str
    traits: tuple[str, ...]
    age_s: float


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Report that another entry received an answer to a suspect."""

    trait: str


@dataclass(frozen=True, slots=True)
class PeerBar:
    """Report a bar of another entry.

    :param age_s: seconds since it began.
    :param left_s: seconds until its end.
    """

    trait: str
    age_s: float
    left_s: float


@dataclass(frozen=True, slots=True)
class Lift:
    """Lift a bar, by order of an operator or another entry."""

    trait: str


@dataclass(frozen=True, slots=True)
class CrashObserved:
    """Request that peers are told of a crash.

    :param traits: traits of this entry's requests that were lost there.
    """

    target: Target
    upstream: str
    traits: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SuspectAnswered:
    """Request that peers are told of an answer to a suspect."""

    trait: str


@dataclass(frozen=True, slots=True)
class TraitBarred:
    """Request that peers are told of a new bar, and that it is enforced.

    :param crashes: number of crashes on record that it explains.
    """

    trait: str
    crashes: int


@dataclass(frozen=True, slots=True)
class TraitCleared:
    """Request that peers are told that a bar is lifted."""

    trait: str


Message = (
    RequestSent
    | ConnectionBroken
    | RequestAnswered
    | UpstreamDied
    | UpstreamAlive
    | Lift
)
PeerMessage = PeerCrash | PeerAnswer | PeerBar | Lift
Notice = CrashObserved | SuspectAnswered | TraitBarred | TraitCleared
