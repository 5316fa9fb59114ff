"""Run a non-idempotent request at most once, by a claim on its key.

The claim is one row of the platform's table. Rows are replaced, never
deleted. Each write names the version that it replaces, so a delayed write
takes effect only if nothing else has been written since.

An attempt may be cancelled while it is unknown whether its claim took
effect. A ``free`` row is then written over the same version; once that or
any other row is in the table, the delayed claim can no longer take effect.
"""

from dataclasses import dataclass, field

from comfreyarch_core.claimmessages import (
    CancelAttempt,
    ClaimRequest,
    DispatchAttempt,
    Message,
    NotDelivered,
    Outcome,
    Ran,
    Read,
    Reject,
    Reply,
    RetryDue,
    Row,
    RowRead,
    RowState,
    RowWritten,
    StoreUnavailable,
    UpstreamLost,
    Write,
    WriteConflict,
)
from comfreyarch_core.claimstate import KeyState, Phase
from comfreyarch_core.refusals import Kind, Refusal, not_run, unknown

# Seconds after which a caller may retry an attempt that did not run, because
# the store was unreachable or the attempt was cancelled.
STORE_RETRY_S = 2.0
# Seconds after which a caller may retry while another attempt is in progress
# or no upstream took the attempt.
PROGRESS_RETRY_S = 1.0


@dataclass(slots=True)
class ClaimManager:
    """Manage the claims of one sidecar incarnation.

    :param holder: the sidecar's node name.
    :param incarnation: the sidecar's incarnation.
    :param keys: unsettled keys.
    :param key_by_attempt: the key of each attempt that claims one; attempts
        that wait for another's answer are not included.
    """

    holder: str
    incarnation: str
    keys: dict[str, KeyState] = field(default_factory=dict)
    key_by_attempt: dict[str, str] = field(default_factory=dict)

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message and return the resulting operations.

        :param message: a request, an event or a result of the store.
        :param now: ignored, as claims need no clock.
        :returns: store operations, dispatched attempts and answers.
        """
        match message:
            case ClaimRequest():
                return self.claim_or_wait(message)
            case RetryDue():
                return self.read_unsettled()
            case CancelAttempt(attempt):
                return self.cancel(attempt)
            case Ran() | UpstreamLost() | NotDelivered():
                return self.handle_run_end(message)
        key_state = self.keys.get(message.key)
        if key_state is None:
            return []
        key_state.pending = False
        return self.handle_store_result(key_state, message)

    def claim_or_wait(self, message: ClaimRequest) -> list[Outcome]:
        """Start a claim, or join the attempt that claims the key here.

        A joining attempt waits for that attempt's answer, or gets it at once
        if it is known. It is refused if its body differs, or if that attempt
        was cancelled or has an unknown outcome.
        """
        key_state = self.keys.get(message.key)
        if key_state is None:
            key_state = KeyState(message.key, message.attempt, message.digest)
            self.keys[message.key] = key_state
            self.key_by_attempt[message.attempt] = message.key
            return [self.write_claim(key_state)]
        if key_state.digest != message.digest:
            refusal = not_run(Kind.key_reused)
            return [Reject(message.attempt, refusal)]
        if key_state.answer is not None:
            return [Reply(message.attempt, key_state.answer)]
        if key_state.cancelled or key_state.final_state == RowState.unknown:
            refusal = not_run(Kind.in_progress, PROGRESS_RETRY_S)
            if key_state.final_state == RowState.unknown:
                refusal = unknown(Kind.outcome_unknown)
            return [Reject(message.attempt, refusal)]
        key_state.waiting.append(message.attempt)
        return []

    def write_claim(self, key_state: KeyState) -> Outcome:
        """Write the claim over the row version last read."""
        key_state.phase = Phase.claiming
        return self.write_row(key_state, RowState.claimed)

    def write_row(self, key_state: KeyState, row_state: RowState) -> Write:
        """Write the key's row with this sidecar as its holder."""
        key_state.pending = True
        row = Row(
            0,
            row_state,
            key_state.attempt,
            self.holder,
            self.incarnation,
            key_state.digest,
            key_state.answer,
        )
        return Write(key_state.key, key_state.version, row)

    def read_row(self, key_state: KeyState) -> Read:
        """Read the row of an unsettled key."""
        key_state.pending = True
        return Read(key_state.key)

    def handle_store_result(
        self, key_state: KeyState, message: Message
    ) -> list[Outcome]:
        """Process the result of a store operation."""
        match message:
            case RowWritten(_, version):
                key_state.version = version
                return self.handle_written(key_state)
            case WriteConflict(_, row) | RowRead(_, row):
                return self.handle_row(key_state, row)
            case StoreUnavailable():
                return self.handle_store_unavailable(key_state)
        return self.read_unconfirmed(key_state)

    def handle_written(self, key_state: KeyState) -> list[Outcome]:
        """Take the next step after a write took effect."""
        if key_state.phase in {Phase.recording, Phase.releasing}:
            return self.forget(key_state)
        if key_state.cancelled:
            key_state.phase = Phase.releasing
            return [self.write_row(key_state, RowState.free)]
        key_state.phase = Phase.running
        return [DispatchAttempt(key_state.attempt)]

    def handle_row(self, key_state: KeyState, row: Row) -> list[Outcome]:
        """Take the next step after the key's row was read."""
        is_same_attempt = row.attempt == key_state.attempt and row.version > 0
        if key_state.phase == Phase.recording:
            return self.finish_recording(key_state, row)
        if key_state.phase == Phase.running:
            return []
        key_state.version = row.version
        if is_same_attempt and row.state == RowState.claimed:
            return self.handle_late_claim(key_state)
        if is_same_attempt and row.state == RowState.free:
            return self.forget(key_state)
        if key_state.cancelled:
            return self.void_cancelled_claim(key_state, row)
        if row.state == RowState.free:
            return [self.write_claim(key_state)]
        return self.answer_from_row(key_state, row)

    def finish_recording(self, key_state: KeyState, row: Row) -> list[Outcome]:
        """Write the outcome again unless the row already records it."""
        if row.state == key_state.final_state:
            return self.forget(key_state)
        key_state.version = row.version
        return [self.write_row(key_state, key_state.final_state)]

    def handle_late_claim(self, key_state: KeyState) -> list[Outcome]:
        """Take the next step after a read showed that the claim took effect."""
        key_state.phase = Phase.claiming
        return self.handle_written(key_state)

    def void_cancelled_claim(
        self, key_state: KeyState, row: Row
    ) -> list[Outcome]:
        """Void a cancelled claim, unless another attempt's row did so."""
        if row.version > 0 and row.attempt != key_state.attempt:
            return self.forget(key_state)
        key_state.phase = Phase.releasing
        return [self.write_row(key_state, RowState.free)]

    def answer_from_row(self, key_state: KeyState, row: Row) -> list[Outcome]:
        """Answer all attempts of a key whose row another attempt wrote."""
        attempts = [key_state.attempt, *key_state.waiting]
        answer = row.answer
        if row.digest != key_state.digest:
            refusal = not_run(Kind.key_reused)
        elif answer is not None:
            self.forget(key_state)
            return [Reply(attempt, answer) for attempt in attempts]
        else:
            refusal = self.make_open_claim_refusal(row)
        self.forget(key_state)
        return [Reject(attempt, refusal) for attempt in attempts]

    def make_open_claim_refusal(self, row: Row) -> Refusal:
        """Make the refusal for a claim that has no answer yet.

        :returns: an unknown outcome if the outcome was lost or the holder
            is a former incarnation of this sidecar, else "in progress".
        """
        same_node = row.holder == self.holder
        is_former_incarnation = (
            same_node and row.incarnation != self.incarnation
        )
        if row.state == RowState.unknown or is_former_incarnation:
            return unknown(Kind.outcome_unknown)
        return unknown(Kind.in_progress, PROGRESS_RETRY_S)

    def handle_store_unavailable(self, key_state: KeyState) -> list[Outcome]:
        """Refuse a claim that had no effect; ``RetryDue`` retries the rest."""
        if key_state.phase != Phase.claiming or key_state.cancelled:
            return []
        refusal = not_run(Kind.store_down, STORE_RETRY_S)
        attempts = [key_state.attempt, *key_state.waiting]
        self.forget(key_state)
        return [Reject(attempt, refusal) for attempt in attempts]

    def read_unconfirmed(self, key_state: KeyState) -> list[Outcome]:
        """Read the row to learn whether a write took effect."""
        if key_state.phase == Phase.claiming:
            key_state.phase = Phase.unconfirmed
        return [self.read_row(key_state)]

    def read_unsettled(self) -> list[Outcome]:
        """Read the rows of all keys with no store operation in flight."""
        outcomes: list[Outcome] = []
        for key_state in self.keys.values():
            if key_state.pending or key_state.phase == Phase.running:
                continue
            outcomes.append(self.read_row(key_state))
        return outcomes

    def cancel(self, attempt: str) -> list[Outcome]:
        """Refuse an attempt at once; its claim is settled afterwards.

        An attempt that was dispatched or answered is not cancelled.
        """
        key_state = self.keys.get(self.key_by_attempt.get(attempt, ''))
        if key_state is None:
            return self.cancel_waiting(attempt)
        if key_state.cancelled:
            return []
        if key_state.phase not in {Phase.claiming, Phase.unconfirmed}:
            return []
        key_state.cancelled = True
        refusal = not_run(Kind.deadline, STORE_RETRY_S)
        attempts = [attempt, *key_state.waiting]
        key_state.waiting = []
        return [Reject(rejected, refusal) for rejected in attempts]

    def cancel_waiting(self, attempt: str) -> list[Outcome]:
        """Cancel an attempt that waits for another attempt's answer."""
        for key_state in self.keys.values():
            if attempt in key_state.waiting:
                key_state.waiting.remove(attempt)
                refusal = unknown(Kind.in_progress, PROGRESS_RETRY_S)
                return [Reject(attempt, refusal)]
        return []

    def handle_run_end(
        self, message: Ran | UpstreamLost | NotDelivered
    ) -> list[Outcome]:
        """Answer all attempts of a key and record the outcome of the run."""
        key_state = self.keys.get(self.key_by_attempt.get(message.attempt, ''))
        if key_state is None or key_state.phase != Phase.running:
            return []
        attempts = [key_state.attempt, *key_state.waiting]
        key_state.waiting = []
        match message:
            case Ran(_, answer):
                key_state.answer = answer
                key_state.phase = Phase.recording
                replies: list[Outcome] = [
                    Reply(attempt, answer) for attempt in attempts
                ]
                return [*replies, self.write_row(key_state, RowState.recorded)]
            case UpstreamLost():
                key_state.final_state = RowState.unknown
                key_state.phase = Phase.recording
                refusal = unknown(Kind.outcome_unknown)
                row_write = self.write_row(key_state, RowState.unknown)
                return [
                    *(Reject(attempt, refusal) for attempt in attempts),
                    row_write,
                ]
        key_state.cancelled = True
        key_state.phase = Phase.releasing
        refusal = not_run(Kind.no_upstream, PROGRESS_RETRY_S)
        row_write = self.write_row(key_state, RowState.free)
        return [*(Reject(attempt, refusal) for attempt in attempts), row_write]

    def forget(self, key_state: KeyState) -> list[Outcome]:
        """Remove a settled key.

        :returns: an empty list, as no operation follows.
        """
        self.keys.pop(key_state.key, None)
        self.key_by_attempt.pop(key_state.attempt, None)
        return []


def make_claim_manager(holder: str, incarnation: str) -> ClaimManager:
    """Make the claim manager of a sidecar incarnation.

    :returns: a manager without unsettled keys.
    """
    return ClaimManager(holder, incarnation)
