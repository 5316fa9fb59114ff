"""Let a leader plan beside ranks whose sidecars are silent but whose engines run.

A frozen sidecar reports neither its engine's state nor its counts. The leader reads
the state from the engine, and plans without the counts.
"""

from collections.abc import Callable

from comfreyarch_core.enginestate import EngineState, GroupMap
from comfreyarch_core.groupstate import agree_on_map, are_at_rest
from comfreyarch_core.mapcontrol import MapControl
from comfreyarch_daemon.engineapi import EngineApi, EngineUnavailable
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.groupreports import RANK_TIMEOUT_S, GroupReports
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.sidecarmessages import ExpertCounts
from comfreyarch_daemon.upstreamcalls import boot_time

# Time after the start of a term in which ranks report to the new leader.
FIRST_REPORT_S = 0.25
# Interval between two readings of an engine. Each costs the engine time.
READING_INTERVAL_S = 0.25
# The same if the engine did not answer: its instance may stand still as a whole.
UNANSWERED_INTERVAL_S = 1.0
# Maximum number of engines read in one round, one after the other.
MAX_READINGS = 2
# Share of silent ranks above which nothing is planned without their counts.
MAX_SILENT_SHARE = 1 / 3


class SilentRanks:
    """Read the engines of silent sidecars for the leader of a term.

    :param open_engine: opens a connection to the engine at an address.
    :param on_state: called with a rank and the state that was read.
    :param started_at: start of the term.
    :param next_read_at: time before which a rank's engine is not read again.
    """

    __slots__ = (
        'control',
        'log',
        'metrics',
        'next_read_at',
        'on_state',
        'open_engine',
        'reports',
        'started_at',
    )

    def __init__(
        self,
        control: MapControl,
        reports: GroupReports,
        open_engine: Callable[[str], EngineApi],
        on_state: Callable[[int, EngineState], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start a term in which no rank has reported yet."""
        self.control = control
        self.reports = reports
        self.open_engine = open_engine
        self.on_state = on_state
        self.log = log
        self.metrics = metrics
        self.started_at = boot_time()
        self.next_read_at: dict[int, float] = {}

    def list_silent(self, now: float) -> list[int]:
        """List the ranks whose sidecars do not report.

        :returns: ranks other than the leader's own.
        """
        silent = []
        for rank in range(self.control.size):
            seen_at = self.reports.last_seen_at.get(rank)
            if seen_at is None:
                is_silent = now - self.started_at > FIRST_REPORT_S
            else:
                is_silent = now - seen_at > RANK_TIMEOUT_S
            if is_silent and rank != self.control.own_rank:
                silent.append(rank)
        return silent

    def read_states(self, now: float) -> None:
        """Read the engines of silent ranks that keep the group from a change.

        Nothing is read while what is known of them allows a change.
        """
        own_state = self.control.states.get(self.control.own_rank)
        if own_state is None or self.control.is_quiescent():
            return
        due = [
            rank
            for rank in self.list_silent(now)
            if rank in self.reports.engine_addresses
            and now >= self.next_read_at.get(rank, 0)
            and not is_settled(self.control.states.get(rank), own_state)
        ]
        for rank in due[:MAX_READINGS]:
            self.read_state(rank, now)

    def read_state(self, rank: int, now: float) -> None:
        """Read one engine's state."""
        self.next_read_at[rank] = now + READING_INTERVAL_S
        self.metrics.count('direct_reads')
        engine = self.open_engine(self.reports.engine_addresses[rank])
        try:
            state = engine.state()
        except EngineUnavailable as error:
            self.next_read_at[rank] = now + UNANSWERED_INTERVAL_S
            self.log.write('engine_silent', rank=rank, why=str(error))
            return
        finally:
            engine.close()
        if state is not None and state.rank == rank:
            self.log.write('engine_read', rank=rank, version=state.version)
            self.on_state(rank, state)

    def stand_in(self, content: GroupMap, now: float) -> None:
        """Enter empty counts of silent ranks, so that the others are used.

        :param content: the map in use.
        """
        own_state = self.control.states.get(self.control.own_rank)
        silent = self.list_silent(now)
        if own_state is None:
            return
        if len(silent) > MAX_SILENT_SHARE * self.control.size:
            return
        experts = self.reports.experts_per_set * len(content)
        for rank in silent:
            known = len(self.reports.recent_counts.get(rank, ()))
            missing = self.reports.counts_needed - known
            if not self.reports.has_current_experts(rank, own_state):
                missing = max(1, missing)
            held = tuple(ranks[rank] for ranks in content)
            counts = ExpertCounts(
                own_state.group,
                rank,
                own_state.epoch,
                own_state.version,
                held,
                (0,) * experts,
            )
            for _ in range(missing):
                self.reports.handle_counts(counts)


def is_settled(state: EngineState | None, own_state: EngineState) -> bool:
    """Check whether a rank's known state allows a change.

    :param own_state: state of the leader's own engine.
    :returns: False if it is unknown, or another map is in use, armed or held.
    """
    if state is None:
        return False
    return agree_on_map({0: state, 1: own_state}) and are_at_rest({0: state})
