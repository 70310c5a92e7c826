"""Discrete-event simulation of the callers, nodes and servers of a scenario.

Placement, the admission gate, the decision on retries and the retry budget are
product code. The network, the work of the servers and the callers are
simulated.
"""

import itertools
import random
from dataclasses import dataclass

import simpy

from bench.loadmodel.crashes import CrashingServer
from bench.loadmodel.results import CallResult, RunResult
from bench.loadmodel.scenario import (
    CallKind,
    Scenario,
    ServerFault,
    ServerRefusals,
)
from bench.loadmodel.servers import SimProcess, SimulatedServer
from papayalock.core.admission import Job, ServerGate
from papayalock.core.budget import ServiceBudgets, SharedBudget
from papayalock.core.directory import KnownServer
from papayalock.core.gate import Shed
from papayalock.core.hedging import (
    FREE_SLOT_SEARCH_SHARE,
    CallProgress,
    NextAction,
    SlotSearch,
    next_action,
    next_server,
)
from papayalock.core.placement import Placement
from papayalock.core.refusals import RefusedCall, RefusedCalls
from papayalock.messages import Endpoint
from papayalock.result import Code

MS_PER_S = 1000
SAME_ZONE_DELAY_S = 0.0002  # one way, to another VM of the zone
CROSS_ZONE_DELAY_S = 0.0014  # one way, to another zone
CALLER_DELAY_S = 0.003  # one way, between a caller and its node
MAX_REFUSALS = 5
REQUEST_HEADER_BYTES = 360  # from node to node
RESPONSE_HEADER_BYTES = 175  # from node to node; all of a refusal
CALLER_HEADER_BYTES = 200  # of a request or a response of a caller
MAX_RUNS = 2
BUDGET_WINDOW_MS = 10_000
BUDGET_SHARE = 0.2
BUDGET_MIN_RETRIES = 60
# A refused caller waits at most this share of the time to its deadline.
MAX_RETRY_DELAY_SHARE = 1 / 3


@dataclass(slots=True, frozen=True)
class Variant:
    """The implementations of the decisions that a run uses."""

    placement: type[Placement] = Placement
    gate: type[ServerGate] = ServerGate
    search: type[SlotSearch] = SlotSearch
    refused_calls: type[RefusedCalls] = RefusedCalls


class Node:
    """The outbound side of the node beside a server."""

    def __init__(
        self, server: SimulatedServer, variant: Variant, rng: random.Random
    ) -> None:
        """Creates a node; the caller fills its placement with endpoints."""
        self.server = server
        self.zone = server.zone
        self.placement = variant.placement(server.zone, server.name, rng)
        self.refused_calls = variant.refused_calls()
        self._new_search = variant.search
        self._budgets = ServiceBudgets(
            BUDGET_WINDOW_MS,
            BUDGET_SHARE,
            BUDGET_MIN_RETRIES,
            started_at=float('-inf'),
        )
        self._searches: dict[str, SlotSearch] = {}

    def budget(self, service: str) -> SharedBudget:
        """Returns this node's share of a service's retry budget."""
        return self._budgets.find(service)

    def search(self, service: str) -> SlotSearch:
        """Returns this node's search for free slots of a service."""
        return self._searches.setdefault(
            service, self._new_search(MAX_REFUSALS)
        )


PRODUCT_VARIANT = Variant()


class MeshSimulation:
    """One run of a scenario with one seed."""

    def __init__(
        self, scenario: Scenario, seed: int, variant: Variant = PRODUCT_VARIANT
    ) -> None:
        """Creates the servers and a node beside each."""
        self._variant = variant
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.result = RunResult()
        self._scenario = scenario
        self._kinds = {kind.name: kind for kind in scenario.kinds}
        self.servers = self._create_servers()
        self.nodes = [
            Node(server, variant, self.rng) for server in self.servers
        ]
        for node in self.nodes:
            for server in self.servers:
                node.placement.upsert(_endpoint(server), 0.0)

    def run(self) -> RunResult:
        """Runs the simulation to the end of the scenario."""
        for zone in self._scenario.zones:
            for kind in self._scenario.kinds:
                if kind.per_s:
                    self.env.process(self._generate_calls(kind, zone))
        for fault in self._scenario.losses:
            self.env.process(self._apply_fault(fault))
        for refusals in self._scenario.refusals:
            self.env.process(self._apply_refusals(refusals))
        for crash in self._scenario.crashes:
            for server in self._servers_of(crash.service)[: crash.count]:
                process = CrashingServer(
                    self.env, server, crash, self._scenario.seconds
                )
                self.env.process(process.run())
        self.env.run(self._scenario.seconds + 5)
        return self.result

    def _create_servers(self) -> list[SimulatedServer]:
        servers = []
        for service in self._scenario.services:
            speeds = itertools.cycle(service.speeds)
            for zone, count in service.servers.items():
                for number in range(count):
                    name = f'{service.name}-{zone}-{number}'
                    server = SimulatedServer(
                        self.env,
                        name,
                        service.name,
                        zone,
                        self._create_gate(service.slots),
                        next(speeds),
                        self._scenario.link_mbps,
                    )
                    servers.append(server)
        return servers

    def _create_gate(self, slots: int) -> ServerGate:
        gate = self._variant.gate()
        gate.slots = slots
        return gate

    # Arrivals and faults.

    def _generate_calls(self, kind: CallKind, zone: str) -> SimProcess:
        nodes = [node for node in self.nodes if node.zone == zone]
        while self.env.now < self._scenario.seconds:
            rate = kind.per_s * self._scenario.load * self._burst_factor()
            yield self.env.timeout(self.rng.expovariate(rate))
            node = self.rng.choice(nodes)
            self.env.process(self._run_caller(kind, node))

    def _burst_factor(self) -> float:
        now = self.env.now
        return max(
            (
                burst.times
                for burst in self._scenario.bursts
                if burst.at <= now < burst.at + burst.for_s
            ),
            default=1.0,
        )

    def _apply_fault(self, fault: ServerFault) -> SimProcess:
        yield self.env.timeout(fault.at)
        affected = self._servers_of(fault.service)
        for server in affected[: fault.count]:
            server.slowdown = fault.slower
        yield self.env.timeout(fault.for_s)
        for server in affected[: fault.count]:
            server.slowdown = 1.0

    def _apply_refusals(self, refusals: ServerRefusals) -> SimProcess:
        affected = self._servers_of(refusals.service)[: refusals.count]
        yield self.env.timeout(refusals.at)
        for server in affected:
            server.refused_share = refusals.share
        yield self.env.timeout(refusals.for_s)
        for server in affected:
            server.refused_share = 0.0

    def _servers_of(self, service: str) -> list[SimulatedServer]:
        return [server for server in self.servers if server.service == service]

    # Callers.

    def _run_caller(self, kind: CallKind, node: Node) -> SimProcess:
        """Sends a call; repeats it after a delay, if it is refused."""
        started = self.env.now
        impatience = self._scenario.impatience * self.rng.random()
        limit_s = (kind.limit_ms or kind.deadline_ms) / MS_PER_S
        limit_at = started + limit_s * (1 - impatience)
        target = started + kind.target_ms / MS_PER_S
        request = f'{self.rng.getrandbits(64):016x}'
        for retries_left in range(kind.retries, -1, -1):
            outcome = yield from self._send_to_node(
                kind, node, request, limit_at
            )
            if not (outcome.refused and retries_left):
                break
            time_left = limit_at - self.env.now
            if time_left <= 0:
                break
            yield self.env.timeout(
                min(outcome.retry_after_s, time_left * MAX_RETRY_DELAY_SHARE)
            )
        self._count_call(kind, node.zone, started, target, outcome)

    def _count_call(
        self,
        kind: CallKind,
        zone: str,
        started: float,
        target: float,
        outcome: CallResult,
    ) -> None:
        in_time = outcome.good and self.env.now <= target
        for tally in self.result.tallies(kind.name, zone, int(started)):
            tally.calls += 1
            tally.max_worth += kind.worth
            tally.in_time += in_time
            tally.late += outcome.good and not in_time
            tally.refused += outcome.refused
            tally.failed += not outcome.good and not outcome.refused
            if outcome.good:
                tally.worth += kind.worth if in_time else kind.late_worth

    # Nodes.

    def _send_to_node(
        self, kind: CallKind, node: Node, request: str, limit_at: float
    ) -> SimProcess:
        yield self.env.timeout(CALLER_DELAY_S)
        yield node.server.link_in.send(kind.request_bytes + CALLER_HEADER_BYTES)
        now = self.env.now
        first = node.refused_calls.find_first_arrival(request, limit_at, now)
        first_arrived = now if first is None else first
        outcome = yield from self._route_call(
            kind,
            node,
            first_arrived + kind.target_ms / MS_PER_S,
            min(limit_at, now + kind.deadline_ms / MS_PER_S),
            returning=first is not None,
        )
        if not outcome.good:
            node.refused_calls.remember(
                RefusedCall(request, first_arrived, limit_at)
            )
        answer_bytes = kind.answer_bytes if outcome.good else 0
        yield node.server.link_out.send(answer_bytes + CALLER_HEADER_BYTES)
        yield self.env.timeout(CALLER_DELAY_S)
        return outcome

    def _route_call(
        self,
        kind: CallKind,
        node: Node,
        target: float,
        deadline: float,
        *,
        returning: bool,
    ) -> SimProcess:
        """Tries servers in turn, as the outbound side of a node does."""
        budget = node.budget(kind.service)
        budget.record_call(self.env.now)
        progress = CallProgress(
            kind.repeatable,
            MAX_RUNS,
            MAX_REFUSALS,
            deadline,
            node.search(kind.service),
            self.env.now + FREE_SLOT_SEARCH_SHARE * kind.target_ms / MS_PER_S,
        )
        tried: frozenset[str] = frozenset()
        outcome = CallResult(good=False, refused=True, retry_after_s=0.3)
        action = NextAction.ASK_ANOTHER
        while action is not NextAction.GIVE_UP:
            peer = next_server(
                node.placement,
                progress,
                kind.service,
                kind.name,
                tried,
                self.env.now,
            )
            if peer is None:
                break
            tried |= {peer.endpoint.server}
            progress.try_started()
            started = self.env.now
            job = Job(
                kind.name,
                kind.rank,
                self.env.now,
                target,
                deadline,
                returning=returning,
                caller=node.server.service,
                may_wait=progress.may_queue,
            )
            outcome, code, arrived = yield from self._try_server(
                kind, node, peer, job
            )
            progress.try_ended(
                code,
                arrived=arrived,
                unresponsive=False,
                took_s=self.env.now - started,
            )
            if outcome.good:
                break
            action = next_action(
                progress,
                code,
                arrived=arrived,
                has_untried=node.placement.has_untried(kind.service, tried),
                now=self.env.now,
                service_s=kind.target_ms / MS_PER_S / 2,
                budget=budget,
                nodes=len(self.nodes),
            )
            progress.may_queue = progress.may_queue or action is NextAction.WAIT
        self._count_idle_refusal(kind, outcome)
        return outcome

    def _try_server(
        self, kind: CallKind, node: Node, peer: KnownServer, job: Job
    ) -> SimProcess:
        node.placement.call_started(peer)
        outcome, code, arrived = yield from self._forward(kind, node, peer, job)
        node.placement.call_finished(peer, code, self.env.now)
        load = self._server_by_name(peer.endpoint.server).gate.load()
        node.placement.record_load(peer, load, self.env.now)
        if outcome.good:
            node.placement.record_response_size(kind.name, kind.answer_bytes)
        elif arrived and not outcome.refused:
            code = Code.UNKNOWN_BROKEN
        return outcome, code, arrived

    def _forward(
        self, kind: CallKind, node: Node, peer: KnownServer, job: Job
    ) -> SimProcess:
        """Sends a try through the gate of a server.

        Returns the result, the code, and whether the server ran the call.
        """
        server = self._server_by_name(peer.endpoint.server)
        sent = self.env.now
        yield from self._cross(
            kind.request_bytes + REQUEST_HEADER_BYTES, node.server, server
        )
        self.result.tries += 1
        job.arrived = self.env.now
        outcome, code, arrived = yield from self._run_at(kind, server, job)
        took_s = self.env.now - job.arrived
        answer_bytes = kind.answer_bytes if arrived and outcome.good else 0
        yield from self._cross(
            answer_bytes + RESPONSE_HEADER_BYTES, server, node.server
        )
        if server is not node.server:
            node.placement.record_hop(
                peer, self.env.now - sent - took_s, self.env.now
            )
        return outcome, code, arrived

    def _cross(
        self, size: int, sender: SimulatedServer, receiver: SimulatedServer
    ) -> SimProcess:
        """Carries a message from the node of one server to that of another."""
        if sender is receiver:
            return
        cross_zone = sender.zone != receiver.zone
        self.result.cross_zone_bytes += cross_zone * size
        delay_s = CROSS_ZONE_DELAY_S if cross_zone else SAME_ZONE_DELAY_S
        delay_s += self.rng.expovariate(MS_PER_S / self._scenario.hop_ms)
        yield sender.link_out.send(size)
        yield self.env.timeout(delay_s)
        yield receiver.link_in.send(size)

    def _run_at(
        self, kind: CallKind, server: SimulatedServer, job: Job
    ) -> SimProcess:
        """Runs a try at its server, once the gate lets it."""
        shed: Shed | None = yield from server.acquire_slot(job)
        if shed is not None:
            retry_after_s = shed.retry_after_ms / MS_PER_S
            return CallResult(False, True, retry_after_s), shed.code, False
        if self.rng.random() < server.refused_share:
            server.release_slot(job)
            server.gate.record_outcome(failed=True)
            return CallResult(False, True), Code.SHED, True
        good = yield from self._execute(kind, server, job)
        job.served = good
        server.release_slot(job)
        server.gate.record_outcome(failed=not good)
        return CallResult(good), Code.DONE, True

    def _execute(
        self, kind: CallKind, server: SimulatedServer, job: Job
    ) -> SimProcess:
        """Runs a call on a server, which first makes the inner calls.

        Returns whether the call ended before its deadline.
        """
        for inner in kind.inner:
            if self.rng.random() >= inner.share:
                continue
            good = yield from self._run_inner_calls(
                inner.kind, inner.times, server, job
            )
            if not good:
                return False
        work_s = server.random_work_s(kind, self.rng)
        time_left = job.deadline_at - self.env.now
        end = self.env.timeout(max(0.0, min(work_s, time_left)))
        yield end | server.crashed
        return end.processed and work_s <= time_left

    def _run_inner_calls(
        self, name: str, times: int, server: SimulatedServer, job: Job
    ) -> SimProcess:
        kind = self._kinds[name]
        node = next(node for node in self.nodes if node.server is server)
        now = self.env.now
        deadline = min(job.deadline_at, now + kind.deadline_ms / MS_PER_S)
        target = now + kind.target_ms / MS_PER_S
        calls = [
            self.env.process(
                self._route_call(kind, node, target, deadline, returning=False)
            )
            for _ in range(times)
        ]
        results = yield simpy.AllOf(self.env, calls)
        return all(outcome.good for outcome in results.values())

    def _count_idle_refusal(self, kind: CallKind, outcome: CallResult) -> None:
        if not outcome.refused:
            return
        self.result.refused_with_idle_server += any(
            not server.gate.running
            for server in self.servers
            if server.service == kind.service and not server.degraded
        )

    def _server_by_name(self, name: str) -> SimulatedServer:
        return next(server for server in self.servers if server.name == name)


def _endpoint(server: SimulatedServer) -> Endpoint:
    return Endpoint(
        server=server.name,
        service=server.service,
        zone=server.zone,
        address=server.name,
        incarnation=1,
        slots=server.gate.slots,
    )
