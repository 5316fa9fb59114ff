"""Simulate claim managers, their table and an upstream without any I/O."""

from dataclasses import dataclass, field, replace

from comfreyarch_core import claimmessages, claims
from comfreyarch_core.claimmessages import Answer, Row, RowState
from comfreyarch_core.claims import ClaimManager
from comfreyarch_core.refusals import Ran, Refusal


@dataclass
class SimulatedClaims:
    """Simulate sidecars that share one table and one upstream.

    :param sidecars: number of sidecars.
    :param managers: the claim manager of each sidecar's incarnation.
    :param rows: the table's rows by key.
    :param writes: writes in flight to the table. Each may take effect now,
        later or never, and its answer may arrive or be lost.
    :param reads: reads in flight.
    :param dispatched: attempts that were dispatched but have not ended.
    :param runs: key and attempt of each run by the upstream.
    :param replies: answers and refusals by attempt.
    :param incarnations: number of incarnations started so far.
    """

    sidecars: int = 2
    managers: list[ClaimManager] = field(default_factory=list)
    rows: dict[str, Row] = field(default_factory=dict)
    writes: list[tuple[int, ClaimManager, claimmessages.Write]] = field(
        default_factory=list,
    )
    reads: list[tuple[int, ClaimManager, str]] = field(default_factory=list)
    dispatched: list[tuple[int, ClaimManager, str]] = field(
        default_factory=list
    )
    runs: list[tuple[str, str]] = field(default_factory=list)
    replies: dict[str, list[object]] = field(default_factory=dict)
    key_by_attempt: dict[str, str] = field(default_factory=dict)
    incarnations: int = 0

    def __post_init__(self) -> None:
        """Start all sidecars."""
        for sidecar in range(self.sidecars):
            self.managers.append(self.make_manager(sidecar))

    def make_manager(self, sidecar: int) -> ClaimManager:
        """Make the claim manager of a new incarnation."""
        self.incarnations += 1
        return claims.make_claim_manager(
            f'side-{sidecar}', f'life-{self.incarnations}'
        )

    def kill(self, sidecar: int) -> None:
        """Restart a sidecar; answers to its former incarnation are dropped."""
        self.managers[sidecar] = self.make_manager(sidecar)

    def ask(
        self, sidecar: int, attempt: str, key: str, body: str = 'b'
    ) -> None:
        """Send a caller's attempt to a sidecar."""
        self.key_by_attempt[attempt] = key
        self.send(sidecar, claimmessages.ClaimRequest(attempt, key, body))

    def send(self, sidecar: int, message: claimmessages.Message) -> None:
        """Send a message to a claim manager and collect its outcomes."""
        manager = self.managers[sidecar]
        for outcome in manager.handle(message, 0):
            match outcome:
                case claimmessages.Write():
                    self.writes.append((sidecar, manager, outcome))
                case claimmessages.Read(key):
                    self.reads.append((sidecar, manager, key))
                case claimmessages.DispatchAttempt(attempt):
                    self.dispatched.append((sidecar, manager, attempt))
                case claimmessages.Reply(attempt, answer):
                    self.replies.setdefault(attempt, []).append(answer)
                case claimmessages.Reject(attempt, refusal):
                    self.replies.setdefault(attempt, []).append(refusal)

    def is_current(self, sidecar: int, manager: ClaimManager) -> bool:
        """Check whether a manager belongs to its sidecar's incarnation."""
        return self.managers[sidecar] is manager

    def apply_write(self, write: claimmessages.Write) -> claimmessages.Message:
        """Apply a write to the table if the row has the expected version."""
        row = self.rows.get(write.key, Row())
        if row.version != write.expected_version:
            return claimmessages.WriteConflict(write.key, row)
        version = row.version + 1
        self.rows[write.key] = replace(write.row, version=version)
        return claimmessages.RowWritten(write.key, version)

    def settle_write(self, index: int, fate: str) -> None:
        """Complete a write in flight with the given fate.

        ``ok``: it takes effect or conflicts, and its answer arrives.
        ``lost answer``: the same, but its answer is lost.
        ``lost``: it has no effect and gets no answer.
        ``late``: it has no effect yet and gets no answer.
        ``down``: the store refuses it.
        """
        sidecar, manager, write = self.writes.pop(index)
        message: claimmessages.Message = claimmessages.WriteUnconfirmed(
            write.key
        )
        if fate == 'ok':
            message = self.apply_write(write)
        elif fate == 'lost answer':
            self.apply_write(write)
        elif fate == 'late':
            self.writes.append((-1, manager, write))
        elif fate == 'down':
            message = claimmessages.StoreUnavailable(write.key)
        if sidecar >= 0 and self.is_current(sidecar, manager):
            self.send(sidecar, message)

    def settle_read(self, index: int, *, up: bool = True) -> None:
        """Complete a read in flight; the store refuses it if it is not up."""
        sidecar, manager, key = self.reads.pop(index)
        if not self.is_current(sidecar, manager):
            return
        row = self.rows.get(key, Row())
        message = (
            claimmessages.RowRead(key, row)
            if up
            else claimmessages.StoreUnavailable(key)
        )
        self.send(sidecar, message)

    def run(self, index: int, fate: str) -> None:
        """Complete a dispatched attempt with the given fate.

        ``ok``: it runs and the answer arrives.
        ``lost after``: it runs, but the answer is lost.
        ``lost before``: it does not run, but the sidecar cannot know that.
        ``untaken``: it certainly did not reach the upstream.
        """
        sidecar, manager, attempt = self.dispatched.pop(index)
        if fate in {'ok', 'lost after'} and self.is_current(sidecar, manager):
            self.runs.append((self.key_by_attempt[attempt], attempt))
        if not self.is_current(sidecar, manager):
            return
        if fate == 'ok':
            answer = Answer(200, {}, f'ran {attempt}'.encode())
            self.send(sidecar, claimmessages.Ran(attempt, answer))
        elif fate == 'untaken':
            self.send(sidecar, claimmessages.NotDelivered(attempt))
        else:
            self.send(sidecar, claimmessages.UpstreamLost(attempt))

    def quiesce(self, rounds: int = 20) -> None:
        """Complete all operations without faults and retry unsettled keys."""
        for _ in range(rounds):
            while self.writes or self.reads or self.dispatched:
                if self.writes:
                    self.settle_write(0, 'ok')
                elif self.reads:
                    self.settle_read(0)
                else:
                    self.run(0, 'ok')
            for sidecar in range(self.sidecars):
                self.send(sidecar, claimmessages.RetryDue())

    def check(self) -> None:
        """Check the claims' guarantees against the runs of the upstream.

        A key runs at most once, an attempt gets at most one reply, an attempt
        refused as not run did not run, and an answer is that of the key's
        only run.
        """
        runs_by_key: dict[str, int] = {}
        for key, _ in self.runs:
            runs_by_key[key] = runs_by_key.get(key, 0) + 1
        assert all(count == 1 for count in runs_by_key.values()), self.runs
        ran = {attempt for _, attempt in self.runs}
        for attempt, replies in self.replies.items():
            assert len(replies) == 1, (attempt, replies)
            reply = replies[0]
            if isinstance(reply, Refusal) and reply.ran == Ran.not_run:
                assert attempt not in ran, (attempt, reply)
            if isinstance(reply, Answer):
                key = self.key_by_attempt[attempt]
                ran_attempts = [
                    ran_attempt
                    for ran_key, ran_attempt in self.runs
                    if ran_key == key
                ]
                assert reply.body == f'ran {ran_attempts[0]}'.encode()

    def open_claims(self) -> list[str]:
        """Return the keys whose row is neither free nor recorded."""
        return [
            key
            for key, row in self.rows.items()
            if row.state in {RowState.claimed, RowState.unknown}
        ]
