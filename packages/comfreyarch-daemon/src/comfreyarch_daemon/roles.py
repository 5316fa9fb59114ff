"""Define the interface between a node and its role."""

from typing import Protocol

from comfreyarch_core import frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.store import (
    Instance,
)


class Role(Protocol):
    """Handle the events of a node; entries and sidecars implement it."""

    def apply_config(self, config: ConfigSet) -> None:
        """Apply a new configuration."""

    def update_instances(self, instances: list[Instance]) -> None:
        """Apply a new instance list."""

    def wanted_peers(self) -> list[Instance]:
        """Return the instances to keep links to."""

    def handle_frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Handle a frame other than those that the node handles."""

    def link_opened(self, link: Link) -> None:
        """Handle the opening of a link."""

    def link_lost(self, link: Link) -> None:
        """Handle the closing of a link."""

    def make_heartbeat(self) -> frames.Beat:
        """Create a heartbeat with the current load."""
