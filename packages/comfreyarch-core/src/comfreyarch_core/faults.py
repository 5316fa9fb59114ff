"""Faults that the check of a configuration reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe one fault of a configuration, its location and the remedy.

    :param object: the object as ``kind.name``.
    :param field: the field, or ``*`` for the whole object.
    :param target: the missing object of a dangling reference, if it is one.
    """

    file: str
    object: str
    field: str
    message: str
    remedy: str
    target: str = ''

    def __str__(self) -> str:
        """Format the fault in one line.

        :returns: location, message and remedy.
        """
        location = f'{self.file}: {self.object}'
        if self.field != '*':
            location = f'{location}.{self.field}'
        return f'{location}: {self.message}; {self.remedy}'
