"""Describe a fault of a configuration set."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Point at one fault of a set and say how to mend it.

    :param field: the field, or ``*`` for the whole object.
    :param target: the object that a broken reference names, if any.
    """

    file: str
    object: str
    field: str
    message: str
    remedy: str
    target: str = ''

    def __str__(self) -> str:
        """Show the fault in one line.

        :returns: place, message and remedy.
        """
        place = f'{self.file}: {self.object}'
        if self.field != '*':
            place = f'{place}.{self.field}'
        return f'{place}: {self.message}; {self.remedy}'
