"""Parses durations that are written with a unit."""

import math
import re

UNITS_MS = {'ms': 1, 's': 1000, 'min': 60_000}
_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s|min)')


def parse_duration_ms(text: str) -> int:
    """Parses a duration such as ``1500ms`` or ``2.5s``.

    :returns: milliseconds, rounded up
    :raises ValueError: if the text is not a number with the unit ms, s or min
    """
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError(
            f'{text!r} is not a duration with a unit (ms, s or min)'
        )
    return math.ceil(float(match[1]) * UNITS_MS[match[2]])
