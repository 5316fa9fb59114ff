"""Decode JSON that another process wrote."""

from typing import Any

import msgspec

# Errors of reading fields of decoded JSON that are missing, of another type or
# out of range.
FIELD_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


class JsonError(ValueError):
    """Report that bytes are not JSON, or not of the expected type."""


def decode_json(document: bytes | str, kind: Any = Any) -> Any:
    """Decode a JSON document.

    :param kind: the type that it must have, as for ``msgspec.json.decode``.
    :returns: the decoded value.
    :raises JsonError: if the document is malformed, is nested too deeply or
        does not have the type.
    """
    try:
        return msgspec.json.decode(document, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise JsonError(str(error)) from error
