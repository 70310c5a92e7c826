"""Structured logs: JSON lines on standard output that never delay a call.

Lines are collected in memory and written by a thread of their own, several at
a time. When the reader is slow the newest lines are dropped, and a line says
how many; the same holds for more lines a second than the settings allow.
"""

import json
import logging
import sys
import threading
import time
from collections import deque
from typing import TextIO

_STANDARD = frozenset(logging.makeLogRecord({}).__dict__)
_SKIPPED = frozenset(('message', 'asctime', 'taskName', 'color_message'))
WRITE_S = 0.1  # interval at which collected lines are written
LAST_WAIT_S = 0.3  # longest wait for the last lines when the process ends


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
            if key not in _STANDARD and key not in _SKIPPED:
                line[key] = extra
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class LineBudget:
    """Bounds the lines of a second; what lies beyond is counted."""

    __slots__ = ('_left', '_per_s', '_second', 'dropped')

    def __init__(self, per_s: int) -> None:
        """Starts with a whole second's lines.

        :param per_s: lines a second
        """
        self.dropped = 0
        self._per_s = per_s
        self._left = per_s
        self._second = 0

    def take(self, now: float) -> bool:
        """Whether one more line fits into the second of ``now``."""
        if int(now) != self._second:
            self._second = int(now)
            self._left = self._per_s
        if self._left > 0:
            self._left -= 1
            return True
        self.dropped += 1
        return False


class BufferedHandler(logging.Handler):
    """Collects lines, and writes them from a thread of its own."""

    def __init__(self, stream: TextIO, lines: int, per_s: int) -> None:
        """Starts the thread.

        :param lines: lines kept in memory while the reader is slow
        :param per_s: lines a second below the level of errors
        """
        super().__init__()
        self.budget = LineBudget(per_s)
        self._stream = stream
        self._lines: deque[str] = deque()
        self._most = lines
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._write_on, name='logs', daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line, or counts it as dropped."""
        urgent = record.levelno >= logging.ERROR
        if not urgent and not self.budget.take(record.created):
            return
        if len(self._lines) >= self._most:
            self.budget.dropped += 1
            return
        self._lines.append(self.format(record))

    def close(self) -> None:
        """Writes what is left, unless the reader is too slow."""
        self._stop.set()
        self._thread.join(LAST_WAIT_S)
        super().close()

    def _write_on(self) -> None:
        while not self._stop.wait(WRITE_S):
            self._write()
        self._write()

    def _write(self) -> None:
        dropped = self.budget.dropped
        if dropped:
            self.budget.dropped -= dropped
            self._lines.append(self.format(_dropped_record(dropped)))
        taken = [self._lines.popleft() for _ in range(len(self._lines))]
        if not taken:
            return
        try:
            self._stream.write('\n'.join((*taken, '')))
            self._stream.flush()
        except (OSError, ValueError):
            self._stop.set()


def _dropped_record(count: int) -> logging.LogRecord:
    record = logging.makeLogRecord(
        {
            'name': __name__,
            'levelno': logging.WARNING,
            'levelname': 'WARNING',
            'msg': 'lines dropped',
        }
    )
    record.dropped = count
    return record


def start_logging(
    level: str, name: str, *, lines: int = 4096, per_s: int = 200
) -> BufferedHandler:
    """Sends all logs of this process to standard output.

    :param level: lowest level that is written
    :param name: name of the process, in every line
    :param lines: lines kept in memory while the reader is slow
    :param per_s: lines a second below the level of errors
    :returns: the handler, to be closed when the process ends
    """
    handler = BufferedHandler(sys.stdout, lines, per_s)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(_NameFilter(name))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler


class _NameFilter(logging.Filter):
    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def filter(self, record: logging.LogRecord) -> bool:
        record.process_name = self._process
        return True
