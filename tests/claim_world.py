"""Put claim desks, a table and a ledger together without any input."""

from dataclasses import dataclass, field, replace

from comfreyarch_core import claimmessages, claims
from comfreyarch_core.claimmessages import Answer, Row, RowState
from comfreyarch_core.claims import ClaimDesk
from comfreyarch_core.refusals import Ran, Refusal


@dataclass
class ClaimWorld:
    """Hold sidecars, the table's rows and what the upstream ran.

    ``writes`` holds writes on their way to the table: each may take effect
    now, later, or never, and its answer may come or be lost.
    """

    sidecars: int = 2
    desks: list[ClaimDesk] = field(default_factory=list)
    rows: dict[str, Row] = field(default_factory=dict)
    writes: list[tuple[int, ClaimDesk, claimmessages.Write]] = field(
        default_factory=list,
    )
    reads: list[tuple[int, ClaimDesk, str]] = field(default_factory=list)
    handed: list[tuple[int, ClaimDesk, str]] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)
    replies: dict[str, list[object]] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    lives: int = 0

    def __post_init__(self) -> None:
        """Start all sidecars."""
        for number in range(self.sidecars):
            self.desks.append(self.fresh(number))

    def fresh(self, number: int) -> ClaimDesk:
        """Make a desk of a new life."""
        self.lives += 1
        return claims.make_claim_desk(f'side-{number}', f'life-{self.lives}')

    def kill(self, number: int) -> None:
        """Kill a sidecar: answers to its former life reach nobody."""
        self.desks[number] = self.fresh(number)

    def ask(self, number: int, attempt: str, key: str, body: str = 'b') -> None:
        """Let a caller's attempt reach a sidecar."""
        self.keys[attempt] = key
        self.tell(number, claimmessages.Ask(attempt, key, body))

    def tell(self, number: int, message: claimmessages.Message) -> None:
        """Give a desk a message and take what it decides."""
        desk = self.desks[number]
        for outcome in desk.handle(message, 0):
            match outcome:
                case claimmessages.Write():
                    self.writes.append((number, desk, outcome))
                case claimmessages.Read(key):
                    self.reads.append((number, desk, key))
                case claimmessages.HandOver(attempt):
                    self.handed.append((number, desk, attempt))
                case claimmessages.Reply(attempt, answer):
                    self.replies.setdefault(attempt, []).append(answer)
                case claimmessages.Reject(attempt, refusal):
                    self.replies.setdefault(attempt, []).append(refusal)

    def alive(self, number: int, desk: ClaimDesk) -> bool:
        """Tell whether a life still goes on."""
        return self.desks[number] is desk

    def effect(self, write: claimmessages.Write) -> claimmessages.Message:
        """Let a write reach the table."""
        row = self.rows.get(write.key, Row())
        if row.version != write.expected:
            return claimmessages.Conflict(write.key, row)
        version = row.version + 1
        self.rows[write.key] = replace(write.row, version=version)
        return claimmessages.Committed(write.key, version)

    def settle_write(self, index: int, fate: str) -> None:
        """Let a pending write meet its fate.

        ``ok``, ``lost answer`` (takes effect), ``lost`` (no effect, nobody
        knows), ``late`` (no effect yet, nobody knows), ``down``.
        """
        number, desk, write = self.writes.pop(index)
        message: claimmessages.Message = claimmessages.Unclear(write.key)
        if fate == 'ok':
            message = self.effect(write)
        elif fate == 'lost answer':
            self.effect(write)
        elif fate == 'late':
            self.writes.append((-1, desk, write))
        elif fate == 'down':
            message = claimmessages.Down(write.key)
        if number >= 0 and self.alive(number, desk):
            self.tell(number, message)

    def settle_read(self, index: int, *, up: bool = True) -> None:
        """Let a pending read be answered."""
        number, desk, key = self.reads.pop(index)
        if not self.alive(number, desk):
            return
        row = self.rows.get(key, Row())
        message = (
            claimmessages.Seen(key, row) if up else claimmessages.Down(key)
        )
        self.tell(number, message)

    def run(self, index: int, fate: str) -> None:
        """Let a hand-over meet its fate.

        ``ok``, ``lost after`` (ran, answer lost), ``lost before`` (did not
        run, nobody knows), ``untaken`` (certainly did not reach it).
        """
        number, desk, attempt = self.handed.pop(index)
        if fate in {'ok', 'lost after'} and self.alive(number, desk):
            self.runs.append((self.keys[attempt], attempt))
        if not self.alive(number, desk):
            return
        if fate == 'ok':
            answer = Answer(200, {}, f'ran {attempt}'.encode())
            self.tell(number, claimmessages.Ran(attempt, answer))
        elif fate == 'untaken':
            self.tell(number, claimmessages.Untaken(attempt))
        else:
            self.tell(number, claimmessages.Lost(attempt))

    def quiesce(self, rounds: int = 20) -> None:
        """Let everything pending go well, and unsettled rows be tried."""
        for _ in range(rounds):
            while self.writes or self.reads or self.handed:
                if self.writes:
                    self.settle_write(0, 'ok')
                elif self.reads:
                    self.settle_read(0)
                else:
                    self.run(0, 'ok')
            for number in range(self.sidecars):
                self.tell(number, claimmessages.Again())

    def check(self) -> None:
        """Check the promises against the ledger."""
        by_key: dict[str, int] = {}
        for key, _ in self.runs:
            by_key[key] = by_key.get(key, 0) + 1
        assert all(count == 1 for count in by_key.values()), self.runs
        ran = {attempt for _, attempt in self.runs}
        for attempt, replies in self.replies.items():
            assert len(replies) == 1, (attempt, replies)
            last = replies[0]
            if isinstance(last, Refusal) and last.ran == Ran.not_run:
                assert attempt not in ran, (attempt, last)
            if isinstance(last, Answer):
                key = self.keys[attempt]
                owners = [one for of, one in self.runs if of == key]
                assert last.body == f'ran {owners[0]}'.encode()

    def open_claims(self) -> list[str]:
        """List the keys whose row is neither free nor recorded."""
        return [
            key
            for key, row in self.rows.items()
            if row.state in {RowState.claimed, RowState.unknown}
        ]
