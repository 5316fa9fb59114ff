"""Run all benchmarks, or those named on the command line."""

import sys

from bench import events, overload, path, replay, routing, slopes

BENCHES = {
    'path': path.main,
    'events': events.main,
    'slopes': slopes.main,
    'overload': overload.main,
    'routing': routing.main,
    'replay': replay.main,
}


def main() -> None:
    """Run the benchmarks named as arguments, or all without arguments."""
    names = sys.argv[1:] or list(BENCHES)
    # The replay would take the first name as its filter.
    sys.argv = sys.argv[:1]
    for name in names:
        BENCHES[name]()


main()
