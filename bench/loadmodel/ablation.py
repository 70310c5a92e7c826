"""The product without one of its mechanisms: ``python -m bench.loadmodel.ablation``.

Each variant switches one decision off, so that the difference to the product
is what that decision is worth under a load.
"""

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from bench.loadmodel.bound import bound_share
from bench.loadmodel.model import PRODUCT_VARIANT, MeshSimulation, Variant
from bench.loadmodel.scenario import ServerRefusals, read_bundled_scenario
from papayalock.core.admission import Job, PriorityUsage, ServerGate
from papayalock.core.directory import KnownServer
from papayalock.core.hedging import SlotSearch
from papayalock.core.placement import Placement
from papayalock.core.refusals import RefusedCalls
from papayalock.core.routecallers import RouteCallers

LOADS = (
    ('homeswap', 1.0),
    ('homeswap-refusing', 1.0),
    ('homeswap-grown', 1.1),
    ('homeswap-grown', 1.3),
    ('qureshi', 1.4),
    ('okwuosa', 1.4),
    ('okwuosa-grown', 1.0),
)
SECONDS = 6.0
GROWN_SECONDS = 4.0


class NoSlotsKept(PriorityUsage):
    """Keeps no slots for short urgent calls."""

    def short_call_slots(
        self, priority: int, service_s: float, now: float
    ) -> float:
        """Returns none."""
        return 0.0


class UsageGate(ServerGate):
    """Keeps no slots for short urgent calls."""

    def __init__(self) -> None:
        """Starts without slots."""
        super().__init__()
        self.usage = NoSlotsKept()


class NoNestedRoutes(RouteCallers):
    """Knows no route that only servers call."""

    def is_nested(self, route: str) -> bool:
        """Returns that callers use the route."""
        return False


class FirstCallsGate(ServerGate):
    """Treats the calls of servers as those of callers."""

    def __init__(self) -> None:
        """Starts without slots."""
        super().__init__()
        self.route_callers = NoNestedRoutes()


class NewCallsGate(ServerGate):
    """Does not put returning callers first."""

    def _sort_key(self, job: Job, now: float) -> tuple[float, ...]:
        return super()._sort_key(job, now)[:3] + (job.sequence,)


class PatientGate(ServerGate):
    """Drops no queued call that can only be late."""

    def _will_miss_target(self, job: Job, now: float) -> bool:
        return False


class LateGate(ServerGate):
    """Queues every call that can end before its deadline."""

    def _should_queue(self, job: Job, now: float, wait: float) -> bool:
        service = self.service_times.expected(job.route)
        return now + wait + service <= job.deadline_at


class ForgetfulCalls(RefusedCalls):
    """Takes every call for a first one."""

    def find_first_arrival(
        self, request: str, deadline_at: float, now: float
    ) -> float | None:
        """Returns nothing."""


class FullSearch(SlotSearch):
    """Asks several servers also while hardly any has a slot."""

    @property
    def max_asks(self) -> int:
        """Servers that a new call may ask."""
        return self._most


class EagerSearch(SlotSearch):
    """Searches also where an ask takes as long as the wait."""

    def pays_off(self, wait_s: float) -> bool:
        """Returns True."""
        return True


class NoHopTimes(Placement):
    """Chooses without the delay on the path."""

    def record_hop(self, server: KnownServer, hop_s: float, now: float) -> None:
        """Records nothing."""


class NoZoneCosts(Placement):
    """Chooses without the cost of another zone."""

    def _network_cost(
        self, server: KnownServer, route: str, now: float
    ) -> float:
        return 0.0


VARIANTS = {
    'product': PRODUCT_VARIANT,
    'no slots kept for short calls': Variant(gate=UsageGate),
    'calls of servers not first': Variant(gate=FirstCallsGate),
    'returning callers not first': Variant(gate=NewCallsGate),
    'returning callers not known': Variant(refused_calls=ForgetfulCalls),
    'late calls kept in the queue': Variant(gate=PatientGate),
    'no refusal of calls that would be late': Variant(gate=LateGate),
    'several asks under overload': Variant(search=FullSearch),
    'search though asks are slow': Variant(search=EagerSearch),
    'no delay of the path in the cost': Variant(placement=NoHopTimes),
    'no cost of other zones': Variant(placement=NoZoneCosts),
}


def run_one(name: str, load: float, seed: int, variant: str) -> float:
    """Returns the share of the worth that callers get in one run."""
    refusing = name.endswith('-refusing')
    scenario = read_bundled_scenario(name.removesuffix('-refusing'))
    scenario.load = load
    scenario.seconds = GROWN_SECONDS if name.endswith('grown') else SECONDS
    if refusing:
        scenario.refusals = [
            ServerRefusals(
                at=1, service='exchanges', count=4, for_s=4, share=0.55
            )
        ]
    simulation = MeshSimulation(scenario, seed, VARIANTS[variant])
    return simulation.run().worth_share


def main() -> int:
    """Prints a row for each variant, a column for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--jobs', type=int, default=2)
    args = parser.parse_args()
    titles = [f'{name} {load}' for name, load in LOADS]
    print('; '.join(['variant', *titles]), flush=True)
    bounds = []
    for name, load in LOADS:
        scenario = read_bundled_scenario(name.removesuffix('-refusing'))
        scenario.load = load
        bounds.append(f'{bound_share(scenario):.3f}')
    print('; '.join(['upper bound', *bounds]), flush=True)
    with ProcessPoolExecutor(args.jobs) as pool:
        for variant in VARIANTS:
            cells = []
            for name, load in LOADS:
                futures = [
                    pool.submit(run_one, name, load, seed, variant)
                    for seed in range(1, args.seeds + 1)
                ]
                worths = [fut.result() for fut in futures]
                cells.append(
                    f'{statistics.mean(worths):.3f} '
                    f'± {statistics.stdev(worths):.3f}'
                )
            print('; '.join([variant, *cells]), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
