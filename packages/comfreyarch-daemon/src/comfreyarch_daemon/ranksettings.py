"""Hold the settings of a rank's sidecar, and what an adapter provides."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from comfreyarch_daemon.engineapi import EngineApi
from comfreyarch_daemon.leadership import Leadership, MapRules
from comfreyarch_daemon.peerload import Peers


@dataclass(frozen=True, slots=True)
class RankSettings:
    """Hold the settings of a rank's sidecar.

    :param engine: address of the engine beside it.
    """

    node: str
    peers: str
    metrics: str
    engine: str
    service: str
    store: str


@dataclass(frozen=True, slots=True)
class RankAdapter:
    """Hold what a platform's adapter provides to a rank's sidecar."""

    read_settings: Callable[[Path], RankSettings]
    open_engine: Callable[[str], EngineApi]
    open_leadership: Callable[[RankSettings], Leadership]
    open_peers: Callable[[RankSettings], Peers]
    map_rules: Callable[[RankSettings], MapRules | None]
