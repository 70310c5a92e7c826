"""Logging: bounded, non-blocking, and reporting the number of dropped lines."""

import io
import json
import logging
import threading
import time

from papayalock.logs import BufferedHandler, JsonFormatter, LineRateLimiter


class StuckStream(io.StringIO):
    """A stream whose writes block until ``release`` is set."""

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
    def test_all_lines_are_written_in_order(self):
        stream = io.StringIO()
        writer = handler(stream, lines=100)
        for number in range(20):
            writer.emit(record(number))
        writer.close()
        assert [line['number'] for line in lines(stream)] == list(range(20))

    def test_a_blocked_reader_neither_blocks_logging_nor_grows_the_buffer(self):
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
        written = lines(stream)
        dropped = sum(line.get('dropped', 0) for line in written)
        kept = sum('number' in line for line in written)
        assert dropped + kept == 1000
        assert kept < 100

    def test_a_closed_stream_stops_the_writer_without_an_error(self):
        stream = io.StringIO()
        writer = handler(stream)
        stream.close()
        writer.emit(record(1))
        writer.close()

    def test_lines_on_calls_do_not_displace_those_on_the_state(self):
        stream = StuckStream()
        writer = handler(stream, lines=8, per_s=100)
        for number in range(50):
            call = record(number)
            call.call = 'c'
            writer.emit(call)
        writer.emit(record(99))
        stream.release.set()
        writer.close()
        written = lines(stream)
        numbers = [line['number'] for line in written if 'number' in line]
        reports = [line for line in written if 'dropped' in line]
        dropped = sum(line['dropped'] for line in reports)
        assert 99 in numbers
        assert len(numbers) + dropped == 51
        assert dropped == sum(line['dropped_calls'] for line in reports) > 30

    def test_calls_and_state_have_a_rate_each(self):
        stream = io.StringIO()
        writer = handler(stream, lines=100, per_s=2)
        for number in range(5):
            call = record(number)
            call.created = 1.0
            call.call = 'c'
            writer.emit(call)
        state = record(99)
        state.created = 1.0
        writer.emit(state)
        writer.close()
        numbers = [line['number'] for line in lines(stream) if 'number' in line]
        assert numbers == [0, 1, 99]


class TestLineRateLimiter:
    def test_lines_above_the_rate_are_counted(self):
        limiter = LineRateLimiter(3)
        assert [limiter.allow(1.0) for _ in range(5)] == [True] * 3 + [
            False
        ] * 2
        assert limiter.dropped == 2
        assert limiter.allow(2.0)

    def test_errors_are_exempt_from_the_rate(self):
        stream = io.StringIO()
        writer = handler(stream, per_s=1)
        for number in range(5):
            writer.emit(record(number, logging.ERROR))
        writer.close()
        assert len([line for line in lines(stream) if 'number' in line]) == 5
