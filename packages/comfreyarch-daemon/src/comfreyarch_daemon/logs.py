"""Write structured logs: one JSON object a line, changes of state only."""

import json
import logging as standard_logging
import sys

from absl import logging

LEVELS = {
    'error': logging.ERROR,
    'warning': logging.WARNING,
    'info': logging.INFO,
    'debug': logging.DEBUG,
}


class JsonFormatter(standard_logging.Formatter):
    """Format a record as one line of JSON."""

    def __init__(self, node: str) -> None:
        """Name the node that every line carries."""
        super().__init__()
        self.node = node

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format one record.

        :returns: a line without its end.
        """
        line: dict[str, object] = {
            'at': self.formatTime(record),
            'level': record.levelname.lower(),
            'node': self.node,
            'event': record.msg if record.args is None else record.getMessage(),
        }
        extra = getattr(record, 'facts', None)
        if isinstance(extra, dict):
            line.update(extra)
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def start_logs(node: str, level: str) -> None:
    """Send absl's log to standard error as JSON lines.

    :param level: ``error``, ``warning``, ``info`` or ``debug``.
    """
    logging.use_absl_handler()
    sink = logging.get_absl_handler()
    sink.python_handler.stream = sys.stderr
    sink.setFormatter(JsonFormatter(node))
    logging.set_verbosity(LEVELS.get(level, logging.INFO))


def log_change(event: str, **facts: object) -> None:
    """Log a change of state.

    :param event: what changed, in a few fixed words.
    :param facts: the values that belong to it.
    """
    logging.get_absl_logger().info(event, extra={'facts': facts})


def log_error(event: str, **facts: object) -> None:
    """Log a failure that the node did not expect.

    :param event: what failed.
    :param facts: the values that belong to it.
    """
    logging.get_absl_logger().error(event, extra={'facts': facts})
