"""Time of each step of a change of all routes, against their number.

The slope is the exponent by which the time grows from the smallest to the
largest number of split routes: 1 for linear work.
"""

import math
import sys
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from bench.routesets import SERVICES, as_logged, split_routes
from papayalock.commands import encode_command
from papayalock.core.apply import Configuration
from papayalock.core.distribute import DeltaSource, HeldConfig
from papayalock.core.ledger import Ledger
from papayalock.core.routesets import validate_route_set
from papayalock.core.textedit import diff_text
from papayalock.messages import Delta

COUNTS = (300, 1000, 3000, 10_000)
WARM_UP = 3  # changes before the one that is measured
REPEATS = 5
MS_PER_S = 1000
Result = TypeVar('Result')


class Stopwatch:
    """Keeps the shortest time of each step in ms."""

    def __init__(self) -> None:
        """Starts without steps."""
        self.times: dict[str, float] = {}

    def time(self, step: str, func: Callable[[], Result]) -> Result:
        """Calls a function and records how long it took."""
        began = time.perf_counter()
        result = func()
        took_ms = (time.perf_counter() - began) * MS_PER_S
        self.times[step] = min(took_ms, self.times.get(step, took_ms))
        return result


def run(seed: int) -> dict[str, float]:
    """Measures each number of routes; prints the steps and their slopes."""
    by_count = {count: _measure(count) for count in COUNTS}
    smallest, largest = by_count[COUNTS[0]], by_count[COUNTS[-1]]
    growth = math.log(COUNTS[-1] / COUNTS[0])
    figures: dict[str, float] = {}
    for step, took_ms in largest.items():
        slope = math.log(took_ms / smallest[step]) / growth
        row = ' '.join(f'{by_count[count][step]:8.1f}' for count in COUNTS)
        sys.stdout.write(f'{step:10} {row}  slope {slope:.2f}\n')
        figures[f'{step}_ms'] = took_ms
        figures[f'{step}_slope'] = slope
    return figures


def _measure(count: int) -> dict[str, float]:
    ledger = Ledger(history=200, audit_records=1000)
    source = DeltaSource(ledger)
    node = Configuration()
    watch = Stopwatch()
    for label in range(1, WARM_UP + REPEATS + 1):
        if label == WARM_UP:
            watch = Stopwatch()
        _change(ledger, source, node, watch, label, count)
    return watch.times


def _change(
    ledger: Ledger,
    source: DeltaSource,
    node: Configuration,
    watch: Stopwatch,
    label: int,
    count: int,
) -> None:
    routes = split_routes(label, count)
    current = ledger.route_sets.current
    old_text = current.source if current else ''
    watch.time('validate', lambda: validate_route_set(routes))
    watch.time('diff', lambda: diff_text(old_text, routes.source))
    command = watch.time(
        'command', lambda: ledger.route_sets.publish_command(routes)
    )
    watch.time('encode', lambda: encode_command(command))
    logged = watch.time('decode', lambda: as_logged(command))
    watch.time('prepare', lambda: ledger.prepare(logged))
    watch.time('apply', lambda: ledger.apply(label, logged))
    newest = ledger.history.newest
    if newest is None:
        raise RuntimeError('the change was not accepted')
    held = HeldConfig(
        SERVICES[0], (), node.version, node.digest, SERVICES[0], ()
    )
    watch.time('scope', lambda: source.target_scope(held, newest))
    delta = watch.time('delta', lambda: source.encoded_delta(held, newest))
    decoded = msgspec.json.decode(delta, type=Delta)
    watch.time('node', lambda: node.apply(decoded))
    watch.time('dump', ledger.dump)
