"""Define the settings of a direct entry."""

from dataclasses import dataclass

from comfreyarch_core.retryshare import RetryLimits


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Hold the immutable settings of a direct entry.

    Addresses are ``host:port``, times are in seconds.

    :param grace_s: time from a stop signal to the forced end of the process.
    """

    node: str
    availability_zone: str
    callers: str
    readiness: str
    metrics: str
    peers: str
    store: str
    retries: RetryLimits
    grace_s: float
    seed: int
