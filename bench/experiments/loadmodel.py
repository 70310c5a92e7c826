"""Both deployments under load: present decisions against a plain baseline."""

from bench.loadmodel.__main__ import play
from bench.loadmodel.scenario import named

LOADS = (1.0, 1.4, 1.8)
SECONDS = 15.0


def run(seed: int) -> dict[str, float]:
    """Returns the worth got, as a share, by deployment, load and variant."""
    figures: dict[str, float] = {}
    for name in ('okwuosa', 'qureshi'):
        for load in LOADS:
            scenario = named(name)
            scenario.load = load
            scenario.seconds = SECONDS
            for variant in ('present', 'lot, fifo'):
                played = play(scenario, seed, variant)
                figures[f'{name} {load} {variant}'] = played.worth
    return figures
