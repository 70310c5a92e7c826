"""Logs as JSON lines on standard error."""

import json
import logging
import time

_STANDARD = frozenset(logging.makeLogRecord({}).__dict__)


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object; ``extra`` fields are kept."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the JSON text of a record."""
        line: dict[str, object] = {
            'time': time.strftime(
                '%Y-%m-%dT%H:%M:%S', time.gmtime(record.created)
            )
            + f'.{int(record.msecs):03d}Z',
            'level': record.levelname,
            'logger': record.name,
            'message': record.getMessage(),
        }
        for key, extra in record.__dict__.items():
            if key not in _STANDARD and key not in {
                'message',
                'asctime',
                'taskName',
            }:
                line[key] = extra
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def start_logging(level: str, name: str) -> None:
    """Sends all logs of this process to standard error.

    :param level: lowest level that is written
    :param name: name of the process, in every line
    """
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter())
    handler.addFilter(_NameFilter(name))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


class _NameFilter(logging.Filter):
    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def filter(self, record: logging.LogRecord) -> bool:
        record.process_name = self._process
        return True
