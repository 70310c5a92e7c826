"""Times written with their unit."""

import math
import re

UNITS_MS = {'ms': 1, 's': 1000, 'min': 60_000}
_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s|min)')


def parse_duration_ms(text: str) -> int:
    """Returns a time such as ``1500ms`` or ``2.5s`` in ms, rounded up.

    :raises ValueError: for anything else
    """
    found = _DURATION.fullmatch(text.strip())
    if found is None:
        raise ValueError(f'{text!r} is no time with a unit (ms, s or min)')
    return math.ceil(float(found[1]) * UNITS_MS[found[2]])
