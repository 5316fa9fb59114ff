"""Write structured logs of state changes, one JSON object per line."""

import json
import logging as standard_logging
import sys

from absl import logging

from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.supervision import FailureReporter, format_trace

LEVELS = {
    'error': logging.ERROR,
    'warning': logging.WARNING,
    'info': logging.INFO,
    'debug': logging.DEBUG,
}


class JsonFormatter(standard_logging.Formatter):
    """Format a record as one line of JSON."""

    def __init__(self, node: str) -> None:
        """Format records of ``node``, which is a field of every line."""
        super().__init__()
        self.node = node

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format one record.

        :returns: a line without the newline.
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


def configure_logging(node: str, level: str) -> None:
    """Configure absl to log JSON lines to standard error.

    :param level: ``error``, ``warning``, ``info`` or ``debug``.
    """
    logging.use_absl_handler()
    absl_handler = logging.get_absl_handler()
    absl_handler.python_handler.stream = sys.stderr
    absl_handler.setFormatter(JsonFormatter(node))
    logging.set_verbosity(LEVELS.get(level, logging.INFO))


def log_change(event: str, **fields: object) -> None:
    """Log a change of state.

    :param event: what changed, as a constant text.
    :param fields: details, added to the line as fields.
    """
    logging.get_absl_logger().info(event, extra={'facts': fields})


def log_error(event: str, **fields: object) -> None:
    """Log an unexpected failure.

    :param event: what failed, as a constant text.
    :param fields: details, added to the line as fields.
    """
    logging.get_absl_logger().error(event, extra={'facts': fields})


def make_log_reporter(metrics: Metrics) -> FailureReporter:
    """Create a reporter of unexpected errors that logs and counts them.

    :returns: the reporter, for ``supervision.failure_reports.report``.
    """

    def report(name: str, error: Exception) -> None:
        log_error('part failed', part=name, why=format_trace(error))
        metrics.count('part_failures', part=name)

    return report
