"""Both deployments under load: present decisions against a plain baseline."""

from bench.loadmodel.__main__ import run_seed
from bench.loadmodel.scenario import read_bundled_scenario

LOADS = (1.0, 1.4, 1.8)
SECONDS = 15.0


def run(seed: int) -> dict[str, float]:
    """Returns the worth got, as a share, by deployment, load and variant."""
    figures: dict[str, float] = {}
    for name in ('okwuosa', 'qureshi'):
        for load in LOADS:
            scenario = read_bundled_scenario(name)
            scenario.load = load
            scenario.seconds = SECONDS
            for variant in ('present', 'lot, fifo'):
                played = run_seed(scenario, seed, variant)
                figures[f'{name} {load} {variant}'] = played.worth_share
    return figures
