"""Hypothesis search for sequences of faults that take a node back."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from test.test_release import LEARNERS, ZONES, Mesh

NAMES = st.sampled_from(sorted(ZONES))
NODES = st.integers(0, 4)


class ReleaseMachine(RuleBasedStateMachine):
    """Faults in any order; ``Node.apply_index`` asserts that none goes back."""

    def __init__(self) -> None:
        super().__init__()
        self.mesh = Mesh(11)
        self.mesh.cluster.run(1.5)

    @rule(steps=st.integers(1, 40))
    def let_time_pass(self, steps: int) -> None:
        for _ in range(steps):
            self.mesh.cluster.step()
            self.mesh.continue_fencing()

    @rule()
    def accept(self) -> None:
        for _ in range(3):
            self.mesh.cluster.propose('{"kind":"noop"}')
            self.mesh.cluster.step()

    @rule(numbers=st.lists(NODES, min_size=5, max_size=20))
    def poll(self, numbers: list[int]) -> None:
        for number in numbers:
            self.mesh.poll(self.mesh.nodes[number])
            self.mesh.cluster.step()

    @rule(numbers=st.lists(NODES, min_size=2, max_size=5))
    def restart_nodes(self, numbers: list[int]) -> None:
        for number in numbers:
            self.mesh.nodes[number].restart()
            self.mesh.poll(self.mesh.nodes[number])

    @rule(name=NAMES)
    def crash(self, name: str) -> None:
        self.mesh.cluster.crash(name)

    @rule()
    def start_all(self) -> None:
        for name in sorted(set(ZONES) - set(self.mesh.cluster.peers)):
            self.mesh.cluster.start(name)

    @rule(name=NAMES)
    def isolate(self, name: str) -> None:
        self.mesh.cluster.isolate(name)

    @rule()
    def heal(self) -> None:
        self.mesh.cluster.heal()

    @rule(name=st.sampled_from(LEARNERS))
    def fence(self, name: str) -> None:
        self.mesh.fence(name)

    @rule(name=st.sampled_from(LEARNERS))
    def unfence(self, name: str) -> None:
        self.mesh.change('unfence', name)

    @invariant()
    def logs_agree(self) -> None:
        self.mesh.cluster.check_logs()


ReleaseMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=80,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class TestReleaseMachine(ReleaseMachine.TestCase):
    pass
