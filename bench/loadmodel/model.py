"""Callers, nodes and servers of a scenario, event by event.

The choice of a server, the gate, what follows a refusal and the retry budget
are the product's own code; the way between VMs, the servers' work and the
callers are simulated.
"""

import itertools
import random
from dataclasses import dataclass, field

import simpy

from bench.loadmodel.scenario import Kind, Loss, Scenario
from bench.loadmodel.servers import Process, Server
from papayalock.core.admission import Job, ServerGate
from papayalock.core.budget import SharedBudget
from papayalock.core.directory import KnownServer
from papayalock.core.gate import Shed
from papayalock.core.hedging import (
    FREE_SLOT_SEARCH_SHARE,
    CallProgress,
    NextAction,
    next_action,
    next_server,
)
from papayalock.core.placement import Placement
from papayalock.messages import Endpoint
from papayalock.result import Code

MS = 1000  # milliseconds in a second
NEAR_S = 0.0002  # one way to another VM of the zone
FAR_S = 0.0014  # one way to another zone
CALLER_S = 0.003  # one way between a caller and its node
CANDIDATES = 5
HOP_BYTES = 1200  # headers of a hop and of its answer
MOST_RUNS = 2
WINDOW_MS = 10_000
BUDGET_SHARE = 0.2
BUDGET_FLOOR = 60
RETURN_SHARE = 1 / 3  # of its time left, that a refused caller waits at most


@dataclass(slots=True)
class Outcome:
    """How one attempt of a call ended."""

    good: bool
    refused: bool = False
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Tally:
    """What callers of one kind and zone got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    owed: float = 0.0


@dataclass(slots=True)
class Figures:
    """What all callers got, and what it took."""

    by_kind: dict[str, Tally] = field(default_factory=dict)
    by_zone: dict[str, Tally] = field(default_factory=dict)
    by_second: dict[int, Tally] = field(default_factory=dict)
    far_bytes: int = 0
    asks: int = 0  # servers asked, with or without success
    idle_refusals: int = 0  # refusals while a server of the service was idle

    def tallies(self, kind: str, zone: str, second: int) -> list[Tally]:
        """Returns the tallies that a call counts in."""
        return [
            self.by_kind.setdefault(kind, Tally()),
            self.by_zone.setdefault(zone, Tally()),
            self.by_second.setdefault(second, Tally()),
        ]

    @property
    def worth(self) -> float:
        """The worth got, as a share of that owed."""
        owed = sum(one.owed for one in self.by_kind.values())
        return sum(one.worth for one in self.by_kind.values()) / owed


@dataclass(slots=True, frozen=True)
class Decisions:
    """The decisions that a run tries out."""

    placement: type[Placement] = Placement
    gate: type[ServerGate] = ServerGate


class Node:
    """The calling side of one VM."""

    def __init__(self, server: Server, placement: Placement) -> None:
        """Knows every server from the start."""
        self.server = server
        self.zone = server.zone
        self.placement = placement
        self._budgets: dict[str, SharedBudget] = {}

    def budget(self, service: str) -> SharedBudget:
        """Returns this node's share of a service's budget."""
        return self._budgets.setdefault(
            service, SharedBudget(WINDOW_MS, BUDGET_SHARE, BUDGET_FLOOR)
        )


PRESENT = Decisions()


class Mesh:
    """One run of a scenario."""

    def __init__(
        self, scenario: Scenario, seed: int, decisions: Decisions = PRESENT
    ) -> None:
        """Places servers and nodes; nothing happens yet."""
        self._decisions = decisions
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.figures = Figures()
        self._scenario = scenario
        self._kinds = {one.name: one for one in scenario.kinds}
        self.servers = self._place()
        self.nodes = [
            Node(one, decisions.placement(one.zone, one.name, self.rng))
            for one in self.servers
        ]
        for node in self.nodes:
            for one in self.servers:
                node.placement.upsert(_endpoint(one), 0.0)

    def run(self) -> Figures:
        """Plays the scenario to its end."""
        for zone in self._scenario.zones:
            for kind in self._scenario.kinds:
                if kind.per_s:
                    self.env.process(self._arrivals(kind, zone))
        for loss in self._scenario.losses:
            self.env.process(self._lose(loss))
        self.env.run(self._scenario.seconds + 5)
        return self.figures

    def _place(self) -> list[Server]:
        servers = []
        for service in self._scenario.services:
            speeds = itertools.cycle(service.speeds)
            for zone, count in service.servers.items():
                for number in range(count):
                    name = f'{service.name}-{zone}-{number}'
                    server = Server(
                        self.env,
                        name,
                        service.name,
                        zone,
                        self._gate(service.slots),
                        next(speeds),
                    )
                    servers.append(server)
        return servers

    def _gate(self, slots: int) -> ServerGate:
        gate = self._decisions.gate()
        gate.slots = slots
        return gate

    # What happens by itself.

    def _arrivals(self, kind: Kind, zone: str) -> Process:
        nodes = [one for one in self.nodes if one.zone == zone]
        while self.env.now < self._scenario.seconds:
            rate = kind.per_s * self._scenario.load * self._pressure()
            yield self.env.timeout(self.rng.expovariate(rate))
            node = self.rng.choice(nodes)
            self.env.process(self._caller(kind, node))

    def _pressure(self) -> float:
        now = self.env.now
        return max(
            (
                one.times
                for one in self._scenario.bursts
                if one.at <= now < one.at + one.for_s
            ),
            default=1.0,
        )

    def _lose(self, loss: Loss) -> Process:
        yield self.env.timeout(loss.at)
        hit = [one for one in self.servers if one.service == loss.service]
        for server in hit[: loss.count]:
            server.slower = loss.slower
        yield self.env.timeout(loss.for_s)
        for server in hit[: loss.count]:
            server.slower = 1.0

    # Callers.

    def _caller(self, kind: Kind, node: Node) -> Process:
        """One caller: an attempt, and another one after a refusal."""
        began = self.env.now
        deadline = began + kind.deadline_ms / MS
        target = began + kind.target_ms / MS
        outcome = yield from self._attempt(kind, node, target, deadline)
        if outcome.refused:
            left = deadline - self.env.now
            yield self.env.timeout(
                min(outcome.retry_after_s, left * RETURN_SHARE)
            )
            again = self.rng.choice(
                [one for one in self.nodes if one.zone == node.zone]
            )
            outcome = yield from self._attempt(
                kind, again, target, deadline, returning=True
            )
        self._count(kind, node.zone, began, target, outcome)

    def _count(
        self,
        kind: Kind,
        zone: str,
        began: float,
        target: float,
        outcome: Outcome,
    ) -> None:
        in_time = outcome.good and self.env.now <= target
        for one in self.figures.tallies(kind.name, zone, int(began)):
            one.asked += 1
            one.owed += kind.worth
            one.in_time += in_time
            one.late += outcome.good and not in_time
            one.refused += outcome.refused
            one.failed += not outcome.good and not outcome.refused
            if outcome.good:
                one.worth += kind.worth if in_time else kind.late_worth

    # Nodes.

    def _attempt(
        self,
        kind: Kind,
        node: Node,
        target: float,
        deadline: float,
        *,
        returning: bool = False,
    ) -> Process:
        yield self.env.timeout(CALLER_S)
        outcome = yield from self._tries(
            kind, node, target, deadline, returning=returning
        )
        yield self.env.timeout(CALLER_S)
        return outcome

    def _tries(
        self,
        kind: Kind,
        node: Node,
        target: float,
        deadline: float,
        *,
        returning: bool,
    ) -> Process:
        """Asks servers in turn, as the node's outbound side does."""
        budget = node.budget(kind.service)
        budget.record_call(self.env.now)
        course = CallProgress(
            kind.repeatable,
            MOST_RUNS,
            CANDIDATES,
            deadline,
            self.env.now + FREE_SLOT_SEARCH_SHARE * kind.target_ms / MS,
        )
        tried: frozenset[str] = frozenset()
        outcome = Outcome(good=False, refused=True, retry_after_s=0.3)
        step = NextAction.ASK_ANOTHER
        while step is not NextAction.GIVE_UP:
            peer = next_server(
                node.placement,
                course,
                kind.service,
                kind.name,
                tried,
                self.env.now,
            )
            if peer is None:
                break
            tried |= {peer.endpoint.server}
            course.try_started()
            job = Job(
                kind.name,
                kind.rank,
                self.env.now,
                target,
                deadline,
                returning=returning,
                may_wait=course.may_queue,
            )
            outcome, code, arrived = yield from self._try(kind, node, peer, job)
            if outcome.good:
                break
            course.try_ended(code, arrived=arrived, unresponsive=False)
            step = next_action(
                course,
                code,
                arrived=arrived,
                has_untried=node.placement.has_untried(kind.service, tried),
                now=self.env.now,
                service_s=kind.target_ms / MS / 2,
                budget=budget,
                nodes=len(self.nodes),
            )
            course.may_queue = course.may_queue or step is NextAction.WAIT
        self._note_idle(kind, outcome)
        return outcome

    def _try(
        self, kind: Kind, node: Node, peer: KnownServer, job: Job
    ) -> Process:
        server = self._named(peer.endpoint.server)
        node.placement.call_started(peer)
        outcome, code, arrived = yield from self._hop(kind, node, server, job)
        node.placement.call_finished(peer, code, self.env.now)
        node.placement.record_load(peer, server.gate.load(), self.env.now)
        if outcome.good:
            node.placement.record_response_size(kind.name, kind.answer_bytes)
        elif arrived:
            code = Code.UNKNOWN_BROKEN
        return outcome, code, arrived

    def _hop(self, kind: Kind, node: Node, server: Server, job: Job) -> Process:
        """Goes to a server's gate and back; returns how the try ended."""
        away = 0.0
        far = server.zone != node.zone
        if server is not node.server:
            away = FAR_S if far else NEAR_S
            away += self.rng.expovariate(MS / self._scenario.hop_ms)
        yield self.env.timeout(away)
        self.figures.asks += 1
        self.figures.far_bytes += far * HOP_BYTES
        job.arrived = self.env.now
        shed: Shed | None = yield from server.enter(job)
        if shed is not None:
            yield self.env.timeout(away)
            retry = shed.retry_after_ms / MS
            return Outcome(False, True, retry), shed.code, False
        good = yield from self._work(kind, server, job)
        job.served = good
        server.leave(job)
        server.gate.record_outcome(failed=not good)
        self.figures.far_bytes += far * kind.answer_bytes
        yield self.env.timeout(away)
        return Outcome(good), Code.DONE, True

    def _work(self, kind: Kind, server: Server, job: Job) -> Process:
        """Runs a call on a server; its own calls come first."""
        for inner in kind.inner:
            if self.rng.random() >= inner.share:
                continue
            good = yield from self._inner(inner.kind, inner.times, server, job)
            if not good:
                return False
        taken = server.taken(kind, self.rng)
        left = job.deadline_at - self.env.now
        yield self.env.timeout(max(0.0, min(taken, left)))
        return taken <= left

    def _inner(
        self, name: str, times: int, server: Server, job: Job
    ) -> Process:
        kind = self._kinds[name]
        node = next(one for one in self.nodes if one.server is server)
        now = self.env.now
        deadline = min(job.deadline_at, now + kind.deadline_ms / MS)
        target = now + kind.target_ms / MS
        calls = [
            self.env.process(
                self._tries(kind, node, target, deadline, returning=False)
            )
            for _ in range(times)
        ]
        ended = yield simpy.AllOf(self.env, calls)
        return all(one.good for one in ended.values())

    def _note_idle(self, kind: Kind, outcome: Outcome) -> None:
        if not outcome.refused:
            return
        self.figures.idle_refusals += any(
            not one.gate.running
            for one in self.servers
            if one.service == kind.service and not one.disturbed
        )

    def _named(self, name: str) -> Server:
        return next(one for one in self.servers if one.name == name)


def _endpoint(server: Server) -> Endpoint:
    return Endpoint(
        server=server.name,
        service=server.service,
        zone=server.zone,
        address=server.name,
        incarnation=1,
        slots=server.gate.slots,
    )
