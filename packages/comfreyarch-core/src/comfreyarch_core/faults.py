"""Describe a fault of a configuration set."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Point at one fault of a set and say how to mend it."""

    file: str
    object: str
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Show the fault in one line.

        :returns: place, message and remedy.
        """
        place = f'{self.file}: {self.object}.{self.field}'
        return f'{place}: {self.message}; {self.remedy}'
