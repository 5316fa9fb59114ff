"""Run a non-idempotent request at most once, by a claim on its key.

The claim is one row of the platform's table. Rows are replaced, never
deleted: each write names the version that it replaces, so a write that
takes effect late can do so only while nothing else has been written.
An attempt that is given up while its claim's fate is unclear writes a
``free`` row over the same version; once that or any other row stands,
the late claim is void.
"""

from dataclasses import dataclass, field

from comfreyarch_core.claimmessages import (
    Again,
    Ask,
    Committed,
    Conflict,
    Down,
    GiveUp,
    HandOver,
    Lost,
    Message,
    Outcome,
    Ran,
    Read,
    Reject,
    Reply,
    Row,
    RowState,
    Seen,
    Untaken,
    Write,
)
from comfreyarch_core.claimstate import Entry, Phase
from comfreyarch_core.refusals import Kind, Refusal, not_run, unknown

STORE_RETRY_S = 2.0
PROGRESS_RETRY_S = 1.0


@dataclass(slots=True)
class ClaimDesk:
    """Decide for the claims of one sidecar incarnation.

    :param holder: the sidecar's node name.
    :param incarnation: the sidecar's incarnation.
    """

    holder: str
    incarnation: str
    keys: dict[str, Entry] = field(default_factory=dict)
    by_attempt: dict[str, str] = field(default_factory=dict)

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: what happened.
        :param now: seconds; claims need no clock and ignore it.
        :returns: store operations, hand-overs and answers.
        """
        match message:
            case Ask():
                return self.ask(message)
            case Again():
                return self.again()
            case GiveUp(attempt):
                return self.give_up(attempt)
            case Ran() | Lost() | Untaken():
                return self.upstream(message)
        entry = self.keys.get(message.key)
        if entry is None:
            return []
        entry.pending = False
        return self.store(entry, message)

    def ask(self, message: Ask) -> list[Outcome]:
        """Begin a claim, or join the one at work for the same key."""
        entry = self.keys.get(message.key)
        if entry is None:
            entry = Entry(message.key, message.attempt, message.digest)
            self.keys[message.key] = entry
            self.by_attempt[message.attempt] = message.key
            return [self.claim(entry)]
        if entry.digest != message.digest:
            refusal = not_run(Kind.key_reused)
            return [Reject(message.attempt, refusal)]
        if entry.answer is not None:
            return [Reply(message.attempt, entry.answer)]
        if entry.given_up or entry.final == RowState.unknown:
            refusal = not_run(Kind.in_progress, PROGRESS_RETRY_S)
            if entry.final == RowState.unknown:
                refusal = unknown(Kind.outcome_unknown)
            return [Reject(message.attempt, refusal)]
        entry.waiting.append(message.attempt)
        return []

    def claim(self, entry: Entry) -> Outcome:
        """Write the claim over the version last seen."""
        entry.phase = Phase.claiming
        return self.write(entry, RowState.claimed)

    def write(self, entry: Entry, state: RowState) -> Write:
        """Write this sidecar's row in a state."""
        entry.pending = True
        row = Row(
            0,
            state,
            entry.attempt,
            self.holder,
            self.incarnation,
            entry.digest,
            entry.answer,
        )
        return Write(entry.key, entry.version, row)

    def read(self, entry: Entry) -> Read:
        """Read the row of a key at work."""
        entry.pending = True
        return Read(entry.key)

    def store(self, entry: Entry, message: Message) -> list[Outcome]:
        """Take an answer of the store."""
        match message:
            case Committed(_, version):
                entry.version = version
                return self.committed(entry)
            case Conflict(_, row) | Seen(_, row):
                return self.seen(entry, row)
            case Down():
                return self.down(entry)
        return self.unclear(entry)

    def committed(self, entry: Entry) -> list[Outcome]:
        """Go on after a write that took effect."""
        if entry.phase in {Phase.recording, Phase.freeing}:
            return self.close(entry)
        if entry.given_up:
            entry.phase = Phase.freeing
            return [self.write(entry, RowState.free)]
        entry.phase = Phase.running
        return [HandOver(entry.attempt)]

    def seen(self, entry: Entry, row: Row) -> list[Outcome]:
        """Go on from the row that stands in the table."""
        mine = row.attempt == entry.attempt and row.version > 0
        if entry.phase == Phase.recording:
            return self.seen_recording(entry, row)
        if entry.phase == Phase.running:
            return []
        entry.version = row.version
        if mine and row.state == RowState.claimed:
            return self.committed_late(entry)
        if mine and row.state == RowState.free:
            return self.close(entry)
        if entry.given_up:
            return self.seen_given_up(entry, row)
        if row.state == RowState.free:
            return [self.claim(entry)]
        return self.taken(entry, row)

    def seen_recording(self, entry: Entry, row: Row) -> list[Outcome]:
        """Record again unless the row already tells the outcome."""
        if row.state == entry.final:
            return self.close(entry)
        entry.version = row.version
        return [self.write(entry, entry.final)]

    def committed_late(self, entry: Entry) -> list[Outcome]:
        """Go on where a read shows that the claim took effect."""
        entry.phase = Phase.claiming
        return self.committed(entry)

    def seen_given_up(self, entry: Entry, row: Row) -> list[Outcome]:
        """Settle a given-up claim: void it, unless another row did."""
        if row.version > 0 and row.attempt != entry.attempt:
            return self.close(entry)
        entry.phase = Phase.freeing
        return [self.write(entry, RowState.free)]

    def taken(self, entry: Entry, row: Row) -> list[Outcome]:
        """Answer from a row that another attempt wrote."""
        attempts = [entry.attempt, *entry.waiting]
        answer = row.answer
        if row.digest != entry.digest:
            refusal = not_run(Kind.key_reused)
        elif answer is not None:
            self.close(entry)
            return [Reply(attempt, answer) for attempt in attempts]
        else:
            refusal = self.held(row)
        self.close(entry)
        return [Reject(attempt, refusal) for attempt in attempts]

    def held(self, row: Row) -> Refusal:
        """Refuse by a claim that has no answer yet.

        :returns: final where the holder is known to be gone.
        """
        same_node = row.holder == self.holder
        gone = same_node and row.incarnation != self.incarnation
        if row.state == RowState.unknown or gone:
            return unknown(Kind.outcome_unknown)
        return unknown(Kind.in_progress, PROGRESS_RETRY_S)

    def down(self, entry: Entry) -> list[Outcome]:
        """Refuse a claim that had no effect; keep recording."""
        if entry.phase != Phase.claiming or entry.given_up:
            return []
        refusal = not_run(Kind.store_down, STORE_RETRY_S)
        attempts = [entry.attempt, *entry.waiting]
        self.close(entry)
        return [Reject(attempt, refusal) for attempt in attempts]

    def unclear(self, entry: Entry) -> list[Outcome]:
        """Settle a lost answer by reading the row."""
        if entry.phase == Phase.claiming:
            entry.phase = Phase.unclear
        return [self.read(entry)]

    def again(self) -> list[Outcome]:
        """Try once more whatever waits for the store."""
        outcomes: list[Outcome] = []
        for entry in self.keys.values():
            if entry.pending or entry.phase == Phase.running:
                continue
            outcomes.append(self.read(entry))
        return outcomes

    def give_up(self, attempt: str) -> list[Outcome]:
        """Give an attempt up at once; its claim is settled after."""
        entry = self.keys.get(self.by_attempt.get(attempt, ''))
        if entry is None:
            return self.leave(attempt)
        if entry.given_up:
            return []
        if entry.phase not in {Phase.claiming, Phase.unclear}:
            return []
        entry.given_up = True
        refusal = not_run(Kind.deadline, STORE_RETRY_S)
        attempts = [attempt, *entry.waiting]
        entry.waiting = []
        return [Reject(one, refusal) for one in attempts]

    def leave(self, attempt: str) -> list[Outcome]:
        """Give up an attempt that waits for another's answer."""
        for entry in self.keys.values():
            if attempt in entry.waiting:
                entry.waiting.remove(attempt)
                refusal = unknown(Kind.in_progress, PROGRESS_RETRY_S)
                return [Reject(attempt, refusal)]
        return []

    def upstream(self, message: Ran | Lost | Untaken) -> list[Outcome]:
        """Take the end of a hand-over."""
        entry = self.keys.get(self.by_attempt.get(message.attempt, ''))
        if entry is None or entry.phase != Phase.running:
            return []
        attempts = [entry.attempt, *entry.waiting]
        entry.waiting = []
        match message:
            case Ran(_, answer):
                entry.answer = answer
                entry.phase = Phase.recording
                replies: list[Outcome] = [
                    Reply(one, answer) for one in attempts
                ]
                return [*replies, self.write(entry, RowState.recorded)]
            case Lost():
                entry.final = RowState.unknown
                entry.phase = Phase.recording
                refusal = unknown(Kind.outcome_unknown)
                tail = self.write(entry, RowState.unknown)
                return [*(Reject(one, refusal) for one in attempts), tail]
        entry.given_up = True
        entry.phase = Phase.freeing
        refusal = not_run(Kind.no_upstream, PROGRESS_RETRY_S)
        tail = self.write(entry, RowState.free)
        return [*(Reject(one, refusal) for one in attempts), tail]

    def close(self, entry: Entry) -> list[Outcome]:
        """Forget a settled key.

        :returns: nothing to do.
        """
        self.keys.pop(entry.key, None)
        self.by_attempt.pop(entry.attempt, None)
        return []


def make_claim_desk(holder: str, incarnation: str) -> ClaimDesk:
    """Make the claim desk of a sidecar's life.

    :returns: a desk with no key at work.
    """
    return ClaimDesk(holder, incarnation)
