"""Define the settings of a direct entry."""

from dataclasses import dataclass

from comfreyarch_core.coldupstreams import ColdBound
from comfreyarch_core.retryshare import RetryLimits


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Hold the immutable settings of a direct entry.

    Addresses are ``host:port``, times are in seconds.

    :param node: name of the entry.
    :param callers: address at which the entry accepts callers.
    :param readiness: address of the readiness page.
    :param metrics: address of the metrics page.
    :param peers: address at which the entry receives datagrams.
    :param store: address of the platform's store.
    :param retries: limits of the retry budget, which all entries share.
    :param grace_s: time from a stop signal to the forced end of the process.
    :param seed: seed of the entry's random choices.
    :param link_bytes_per_s: capacity of the instance's link, 0 if unknown.
    :param evacuation_s: time within which the evacuation of a zone must be in
        force, 0 if there is no such rule.
    :param cold_bound: bound of the requests to a cold upstream.
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
    link_bytes_per_s: float = 0
    evacuation_s: float = 0
    cold_bound: ColdBound = ColdBound()
