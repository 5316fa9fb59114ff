"""Order what a store says, also after it was restored from an older copy.

A store that is restored gives out versions again, so a version alone does not
say which of two answers is newer. Its era rises by one with each restoration.
A position holds both in one integer, ordered by era first; it can be compared,
logged and sent like a version, and equals it in era 0. Fences are positions of
leader rows, so they never go down.
"""

# A store that makes 10,000 transactions a second reaches this many versions
# after more than three years.
VERSION_BITS = 40
MAX_VERSION = (1 << VERSION_BITS) - 1


def make_position(era: int, version: int) -> int:
    """Combine an era and a version.

    :returns: the position.
    :raises ValueError: if one of them is out of range.
    """
    if era < 0 or not 0 <= version <= MAX_VERSION:
        raise ValueError(
            f'era {era} and version {version} of the store must not be'
            f' negative, nor the version above {MAX_VERSION}; check the'
            ' version of the store'
        )
    return era << VERSION_BITS | version


def era_of(position: int) -> int:
    """Return the era of a position.

    :returns: 0 for a store that was never restored, and before the first read.
    """
    return max(0, position) >> VERSION_BITS


def version_of(position: int) -> int:
    """Return the version of a position.

    :returns: the store's version.
    """
    return position & MAX_VERSION
