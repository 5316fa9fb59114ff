"""Split an event stream into whole events, each passed on once and in order.

An upstream may stop in the middle of an event. Callers only receive whole
events, so that another upstream can resume after the last one.
"""

from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
# Id of the last event before the first one; ids begin with 0 or later.
NO_EVENT = -1
# Longest text that is read as an id: every such id fits into 64 bits.
MAX_EVENT_ID_DIGITS = 18


@dataclass(slots=True)
class EventSplitter:
    """Split the bytes of a stream into events.

    :param last_id: id of the last event passed on, ``NO_EVENT`` before the
        first.
    :param incomplete: bytes of an incomplete event.
    :param has_gap: whether an event is missing, so that the stream cannot
        continue.
    """

    last_id: int = NO_EVENT
    incomplete: bytes = b''
    has_gap: bool = False

    def restart(self) -> None:
        """Discard an incomplete event: another upstream resumes the stream."""
        self.incomplete = b''

    def feed(self, received: bytes) -> bytes:
        """Process received bytes and return the events that are complete.

        Events that were passed on before are left out.

        :returns: whole events, empty if none is complete.
        """
        whole, end, incomplete = (self.incomplete + received).rpartition(
            EVENT_END
        )
        self.incomplete = incomplete
        if not end:
            return b''
        events = (whole + end).split(EVENT_END)[:-1]
        return b''.join(
            event + EVENT_END for event in events if self.accept(event)
        )

    def accept(self, event: bytes) -> bool:
        """Check that an event is the next one, and record its id.

        An event without a numeric id is always accepted.

        :returns: False for an event that was passed on before or follows a
            gap.
        """
        event_id = parse_event_id(event)
        if event_id is None:
            return True
        if event_id <= self.last_id:
            return False
        if self.last_id != NO_EVENT and event_id != self.last_id + 1:
            self.has_gap = True
        self.last_id = event_id
        return not self.has_gap


def parse_event_id(event: bytes) -> int | None:
    """Parse the id of an event.

    :returns: the id, or None if the event has no numeric one.
    """
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            if len(text) > MAX_EVENT_ID_DIGITS:
                return None
            return int(text) if text.isdigit() else None
    return None
