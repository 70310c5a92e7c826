"""Distribution by any control VM, with and without a quorum's proof."""

import asyncio
import random

import msgspec

from papayalock.control.anyzone import AnyZoneDistributor
from papayalock.core.distribute import SnapshotLimiter, WakeCoalescer
from papayalock.core.endpoints import EndpointTable
from papayalock.core.retention import RetentionBudget
from papayalock.messages import Endpoint, Publish, ServicePolicy, SyncReq
from papayalock.result import Code, PapayalockError
from test.cluster import MemoryDisk
from test.test_group import make_group, run, start_leading, stop
from test.test_routesets import route, route_set
from test.wires import LoopClock


class NoJournal:
    """A version journal that records nothing."""

    def __init__(self) -> None:
        self.history = self

    def record_applied(self, *_facts) -> None:
        return

    def record_release(self, *_facts) -> None:
        return


class AdvancedClock(LoopClock):
    """A clock that a test can advance."""

    offset_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.offset_s


class DistributorHarness:
    """An any-zone distributor on a group with one replica."""

    def __init__(self) -> None:
        self.group = make_group(MemoryDisk())
        self.clock = AdvancedClock()
        self.read_count = 0
        self.quorum = True
        self.distributor = AnyZoneDistributor(
            'z1',
            self.group,
            self.group.machine,
            EndpointTable('e', 'a', 6000),
            NoJournal(),
            SnapshotLimiter(100, 50, random.Random(1), 0),
            self.clock,
            0,
            None,
            RetentionBudget(),
        )
        self.distributor.read_index = self.read_index

    async def read_index(self) -> int:
        self.read_count += 1
        if not self.quorum:
            raise PapayalockError(Code.NO_LEADER, 'no quorum is reachable')
        return self.group.replica.commit

    async def sync(self, **changes):
        fields = {
            'node': 'n',
            'zone': 'z9',
            'service': '',
            'incarnation': 1,
            **changes,
        }
        return await self.distributor.sync(SyncReq(**fields))


def run_with_distributor(scenario):
    async def run_scenario():
        harness = DistributorHarness()
        task = await start_leading(harness.group)
        await harness.group.propose(Publish(route_set=route_set(3, 0)))
        await asyncio.sleep(0.1)
        answer = await scenario(harness)
        await stop(task)
        return answer

    return run(run_scenario())


def attach_servers(harness: DistributorHarness, *services: str) -> None:
    """Has the distributor know one server of each service."""
    for service in services:
        server = Endpoint(
            server=f'i-{service}',
            service=service,
            zone='z1',
            address=f'n-{service}:1',
            incarnation=1,
        )
        harness.distributor.table.attach(server, 0)


class TestRestartedNodes:
    def test_a_node_of_any_zone_gets_the_newest_version_after_a_proof(self):
        async def scenario(harness):
            reply = await harness.sync()
            return reply.code, bool(reply.delta), harness.read_count

        assert run_with_distributor(scenario) == (Code.DONE, True, 1)

    def test_without_a_proof_it_is_refused_with_a_list_of_peers(self):
        async def scenario(harness):
            harness.quorum = False
            harness.clock.offset_s = 10.0
            reply = await harness.sync()
            return reply.code, reply.delta, reply.peers[0].address

        assert run_with_distributor(scenario) == (
            Code.NOT_PROVABLY_NEWEST,
            None,
            'a',
        )

    def test_a_control_vm_that_just_started_waits_for_a_first_leader(self):
        async def scenario(harness):
            harness.quorum = False
            poll = asyncio.create_task(harness.sync())
            await asyncio.sleep(0.2)
            waiting = not poll.done()
            harness.quorum = True
            reply = await poll
            return waiting, reply.code

        assert run_with_distributor(scenario) == (True, Code.DONE)

    def test_a_control_vm_that_is_not_a_member_refuses_at_once(self):
        async def scenario(harness):
            harness.quorum = False
            harness.group.replica.cfg.name = 'stranger'
            reply = await harness.sync()
            return reply.code, harness.read_count

        assert run_with_distributor(scenario) == (Code.NOT_PROVABLY_NEWEST, 1)

    def test_a_node_that_accepts_an_unproven_version_gets_one(self):
        async def scenario(harness):
            harness.quorum = False
            reply = await harness.sync(unproven=True)
            return reply.code, bool(reply.delta)

        assert run_with_distributor(scenario) == (Code.DONE, True)


class TestRunningNodes:
    def test_a_running_node_needs_no_proof(self):
        async def scenario(harness):
            await harness.sync(version=1, digest='', wait_ms=0)
            return harness.read_count

        assert run_with_distributor(scenario) == 0

    def test_a_new_version_wakes_a_pending_poll(self):
        async def scenario(harness):
            info = harness.group.machine.history.newest
            scope = harness.distributor._source.scope(info.version, '', ())
            poll = asyncio.create_task(
                harness.sync(
                    version=1, digest=scope.digest, epoch='e', wait_ms=5000
                )
            )
            await asyncio.sleep(0.05)
            waiting = not poll.done()
            change = Publish(route_set=route_set(4, 3, route('new')))
            await harness.group.propose(change)
            reply = await poll
            return waiting, b'"version":2' in bytes(reply.delta)

        assert run_with_distributor(scenario) == (True, True)

    def poll_after(self, change):
        """Returns the reply to a node that holds version 1 and its endpoints.

        :param change: a route set that replaces the one of version 1
        """

        async def scenario(harness):
            attach_servers(harness, 'floor', 'spare')
            info = harness.group.machine.history.newest
            scope = harness.distributor._source.scope(info.version, '', ())
            await harness.group.propose(Publish(route_set=change))
            await asyncio.sleep(0.1)
            return await harness.sync(
                version=1,
                digest=scope.digest,
                epoch='e',
                cursor=harness.distributor.table.cursor,
            )

        return run_with_distributor(scenario)

    def test_a_new_route_does_not_send_known_endpoints_again(self):
        reply = self.poll_after(route_set(4, 3, route(), route('new')))
        assert reply.delta
        assert reply.endpoints is None

    def test_the_endpoints_of_a_new_service_are_sent(self):
        change = route_set(4, 3)
        change.services.append(ServicePolicy('spare'))
        sent = self.poll_after(change).endpoints
        assert sent.full
        assert {endpoint.service for endpoint in sent.endpoints} == {
            'floor',
            'spare',
        }

    def test_only_endpoints_of_routed_services_are_sent(self):
        async def scenario(harness):
            attach_servers(harness, 'floor', 'unrouted')
            reply = await harness.sync()
            return [endpoint.server for endpoint in reply.endpoints.endpoints]

        assert run_with_distributor(scenario) == ['i-floor']

    # Guards against a poll that asks for parts that are no longer kept.
    def test_a_notified_version_that_was_dropped_is_replaced(self):
        async def scenario(harness):
            harness.distributor._coalescer = WakeCoalescer(60_000)
            harness.distributor._coalescer.record_wake(
                harness.clock.monotonic()
            )
            harness.group.machine.history.max_versions = 2
            for label in range(4, 8):
                change = route_set(label, label - 1, route(timeout_ms=label))
                await harness.group.propose(Publish(route_set=change))
            kept = harness.group.machine.version_info(1)
            reply = await harness.sync(version=1, digest='unknown')
            return kept, reply.code, msgspec.json.decode(reply.delta)['version']

        assert run_with_distributor(scenario) == (None, Code.DONE, 5)
