"""Define what a node asks of its role."""

from typing import Protocol

from comfreyarch_core import frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_daemon.store import (
    Instance,
)
from comfreyarch_daemon.wire import Link


class Role(Protocol):
    """Be what a node does besides; entry and sidecar implement it."""

    def advanced(self, config: ConfigSet) -> None:
        """Take a new configuration."""

    def listed(self, instances: list[Instance]) -> None:
        """Take a new instance list."""

    def wanted(self) -> list[Instance]:
        """Tell which instances to keep links to."""

    def frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Take a frame that the node does not handle itself."""

    def opened(self, link: Link) -> None:
        """Take note of a new link."""

    def lost(self, link: Link) -> None:
        """Take note of a closed link."""

    def beat(self) -> frames.Beat:
        """Tell life and load."""
