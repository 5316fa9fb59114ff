"""Pass on whole events of a stream, each once and in order.

An upstream may stop in the middle of an event. What a caller gets ends at
an event's end, so that another upstream can go on after the last event.
"""

from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


@dataclass(slots=True)
class EventCutter:
    """Cut the bytes of a stream into events.

    :param last_id: id of the last event passed on; -1 before the first.
    :param gap: an event was missing; the stream cannot go on.
    """

    last_id: int = -1
    rest: bytes = b''
    gap: bool = False

    def restart(self) -> None:
        """Forget a partial event: another upstream goes on."""
        self.rest = b''

    def feed(self, received: bytes) -> bytes:
        """Take bytes and give the events that are complete.

        Events that were passed on before are left out.

        :returns: whole events, empty while one is incomplete.
        """
        whole, end, rest = (self.rest + received).rpartition(EVENT_END)
        self.rest = rest
        if not end:
            return b''
        parts = (whole + end).split(EVENT_END)[:-1]
        return b''.join(part + EVENT_END for part in parts if self.takes(part))

    def takes(self, event: bytes) -> bool:
        """Tell whether an event is the next one.

        :returns: False for one that was passed on before.
        """
        number = event_id(event)
        if number is None:
            return True
        if number <= self.last_id:
            return False
        if self.last_id >= 0 and number != self.last_id + 1:
            self.gap = True
        self.last_id = number
        return not self.gap


def event_id(event: bytes) -> int | None:
    """Read the id of one event.

    :returns: the number, or None for an event without one.
    """
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
