"""Structured logging: JSON lines on standard output, without blocking.

Lines are buffered in memory and written in batches by a separate thread, so
that a slow reader of the output doesn't delay calls. New lines are dropped
while the buffer is full or the rate limit is exceeded; a line then reports how
many were dropped. Lines on single calls, which have the field ``call``, have a
limit of their own, so that they cannot displace those on the process's state.
"""

import json
import logging
import sys
import threading
import time
from collections import deque
from typing import TextIO

_STANDARD_FIELDS = frozenset(logging.makeLogRecord({}).__dict__)
_OMITTED_FIELDS = frozenset(('message', 'asctime', 'taskName', 'color_message'))
WRITE_INTERVAL_S = 0.1  # how often buffered lines are written
CLOSE_TIMEOUT_S = 0.3  # maximum wait for the last lines at process exit
CALL_SHARE = 0.75  # of the buffer that lines on calls may fill


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object, including ``extra`` fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as JSON text."""
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
            if key not in _STANDARD_FIELDS and key not in _OMITTED_FIELDS:
                line[key] = extra
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class LineRateLimiter:
    """Limits the lines per second and counts the lines that exceed it."""

    __slots__ = ('_remaining', '_per_s', '_second', 'dropped')

    def __init__(self, per_s: int) -> None:
        """Creates a limiter with a full allowance.

        :param per_s: maximum number of lines per second
        """
        self.dropped = 0
        self._per_s = per_s
        self._remaining = per_s
        self._second = 0

    def allow(self, now: float) -> bool:
        """Returns whether a line may be written now; counts it if not.

        :param now: time in seconds
        """
        if int(now) != self._second:
            self._second = int(now)
            self._remaining = self._per_s
        if self._remaining > 0:
            self._remaining -= 1
            return True
        self.dropped += 1
        return False

    def take_dropped(self) -> int:
        """Returns the lines dropped since the last time it was asked."""
        dropped = self.dropped
        self.dropped -= dropped
        return dropped


class BufferedHandler(logging.Handler):
    """Buffers lines and writes them from a separate thread."""

    def __init__(self, stream: TextIO, lines: int, per_s: int) -> None:
        """Starts the writer thread.

        :param lines: maximum number of buffered lines
        :param per_s: maximum number of lines per second below level ERROR,
            on calls and on the state each
        """
        super().__init__()
        self.rate_limiter = LineRateLimiter(per_s)
        self.call_limiter = LineRateLimiter(per_s)
        self._stream = stream
        self._lines: deque[str] = deque()
        self._max_lines = lines
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._write_until_stopped, name='logs', daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line, or counts it as dropped.

        Errors are exempt from the rate limit, but not from the buffer size.
        """
        is_call = hasattr(record, 'call')
        limiter = self.call_limiter if is_call else self.rate_limiter
        is_error = record.levelno >= logging.ERROR
        if not is_error and not limiter.allow(record.created):
            return
        share = CALL_SHARE if is_call else 1.0
        if len(self._lines) >= self._max_lines * share:
            limiter.dropped += 1
            return
        self._lines.append(self.format(record))

    def close(self) -> None:
        """Writes the buffered lines and stops, unless the reader is too slow."""
        self._stop.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _write_until_stopped(self) -> None:
        while not self._stop.wait(WRITE_INTERVAL_S):
            self._write()
        self._write()

    def _write(self) -> None:
        calls = self.call_limiter.take_dropped()
        dropped = calls + self.rate_limiter.take_dropped()
        if dropped:
            self._lines.append(self.format(_dropped_record(dropped, calls)))
        batch = [self._lines.popleft() for _ in range(len(self._lines))]
        if not batch:
            return
        try:
            self._stream.write('\n'.join((*batch, '')))
            self._stream.flush()
        except (OSError, ValueError):
            self._stop.set()


def _dropped_record(count: int, calls: int) -> logging.LogRecord:
    record = logging.makeLogRecord(
        {
            'name': __name__,
            'levelno': logging.WARNING,
            'levelname': 'WARNING',
            'msg': 'lines dropped',
        }
    )
    record.dropped = count
    record.dropped_calls = calls
    return record


def start_logging(
    level: str, name: str, *, lines: int = 4096, per_s: int = 200
) -> BufferedHandler:
    """Sends all logs of this process to standard output.

    :param level: lowest level that is written
    :param name: process name, added to every line
    :param lines: maximum number of buffered lines
    :param per_s: maximum number of lines per second below level ERROR
    :returns: the handler, to be closed when the process ends
    """
    handler = BufferedHandler(sys.stdout, lines, per_s)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(_ProcessNameFilter(name))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler


class _ProcessNameFilter(logging.Filter):
    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def filter(self, record: logging.LogRecord) -> bool:
        record.process_name = self._process
        return True
