"""Run the process of a rank's sidecar."""

from pathlib import Path

from comfreyarch_daemon.nodeprocess import NodeControls, run_node
from comfreyarch_daemon.ranknode import RankNode
from comfreyarch_daemon.ranksettings import RankAdapter


def run_sidecar(adapter: RankAdapter, path: Path) -> None:
    """Run a rank's sidecar until a signal stops it."""

    def build() -> NodeControls:
        node = RankNode(adapter, path)
        return NodeControls(
            node.log,
            node.metrics,
            node.start,
            node.close,
            node.reload,
            node.stopped,
        )

    run_node(build)
