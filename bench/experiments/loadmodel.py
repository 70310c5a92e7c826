"""Value of the calls answered in both deployments, against a baseline.

Compares the present placement and gates (``present``) with random placement
and first-in, first-out gates (``lot, fifo``) at several loads.
"""

from bench.loadmodel.__main__ import run_seed
from bench.loadmodel.scenario import read_bundled_scenario

LOAD_FACTORS = (1.0, 1.4, 1.8)
DURATION_S = 15.0


def run(seed: int) -> dict[str, float]:
    """Returns the share of the attainable value that was earned.

    Keys name the deployment, load and variant.
    """
    figures: dict[str, float] = {}
    for name in ('okwuosa', 'qureshi'):
        for load in LOAD_FACTORS:
            scenario = read_bundled_scenario(name)
            scenario.load = load
            scenario.seconds = DURATION_S
            for variant in ('present', 'lot, fifo'):
                played = run_seed(scenario, seed, variant)
                figures[f'{name} {load} {variant}'] = played.worth_share
    return figures
