"""Define the settings and the platform adapter of a rank's sidecar."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from comfreyarch_daemon.engineapi import EngineApi
from comfreyarch_daemon.leadership import Leadership, MapRules
from comfreyarch_daemon.loadgossip import PeerDirectory


@dataclass(frozen=True, slots=True)
class RankSettings:
    """Hold the settings of a rank's sidecar.

    :param node: name of the sidecar.
    :param peers: address at which the sidecar receives datagrams.
    :param metrics: address of the metrics page.
    :param engine: address of the local engine.
    :param service: name of the engine's service.
    :param store: address of the platform's store.
    :param link_bytes_per_s: capacity of the instance's link, 0 if unknown.
    """

    node: str
    peers: str
    metrics: str
    engine: str
    service: str
    store: str
    link_bytes_per_s: float = 0


@dataclass(frozen=True, slots=True)
class RankAdapter:
    """Hold the functions that a platform provides to a rank's sidecar.

    :param read_map_rules: returns None for a service without experts.
    """

    read_settings: Callable[[Path], RankSettings]
    open_engine: Callable[[str], EngineApi]
    open_leadership: Callable[[RankSettings], Leadership]
    open_peers: Callable[[RankSettings], PeerDirectory]
    read_map_rules: Callable[[RankSettings], MapRules | None]
