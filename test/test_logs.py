"""Logs: bounded, never blocking, and honest about what was dropped."""

import io
import json
import logging
import threading
import time

from papayalock.logs import BufferedHandler, JsonFormatter, LineBudget


class StuckStream(io.StringIO):
    """A reader that takes nothing until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.release = threading.Event()

    def write(self, text: str) -> int:
        self.release.wait(10)
        return super().write(text)


def handler(stream, lines: int = 10, per_s: int = 1000) -> BufferedHandler:
    made = BufferedHandler(stream, lines, per_s)
    made.setFormatter(JsonFormatter())
    return made


def record(number: int, level: int = logging.INFO) -> logging.LogRecord:
    made = logging.LogRecord('n', level, 'f', 1, 'm', (), None)
    made.number = number
    return made


def lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestBufferedHandler:
    def test_every_line_is_written_whole_and_in_order(self):
        stream = io.StringIO()
        writer = handler(stream, lines=100)
        for number in range(20):
            writer.emit(record(number))
        writer.close()
        assert [one['number'] for one in lines(stream)] == list(range(20))

    def test_a_reader_that_is_stuck_delays_nothing_and_bounds_memory(self):
        stream = StuckStream()
        writer = handler(stream, lines=5)
        emitted = threading.Event()

        def emit_all() -> None:
            for number in range(1000):
                writer.emit(record(number))
            emitted.set()

        threading.Thread(target=emit_all, daemon=True).start()
        assert emitted.wait(10)
        stream.release.set()
        writer.close()
        while 'dropped' not in stream.getvalue():
            time.sleep(0.01)
        told = lines(stream)
        dropped = sum(one.get('dropped', 0) for one in told)
        kept = sum('number' in one for one in told)
        assert dropped + kept == 1000
        assert kept < 100

    def test_a_closed_reader_ends_the_writing_quietly(self):
        stream = io.StringIO()
        writer = handler(stream)
        stream.close()
        writer.emit(record(1))
        writer.close()


class TestLineBudget:
    def test_lines_beyond_the_rate_are_counted(self):
        budget = LineBudget(3)
        assert [budget.take(1.0) for _ in range(5)] == [True] * 3 + [False] * 2
        assert budget.dropped == 2
        assert budget.take(2.0)

    def test_errors_are_always_written(self):
        stream = io.StringIO()
        writer = handler(stream, per_s=1)
        for number in range(5):
            writer.emit(record(number, logging.ERROR))
        writer.close()
        assert len([one for one in lines(stream) if 'number' in one]) == 5
