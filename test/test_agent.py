"""The node agent's polls: applying, rejecting and requesting versions."""

import asyncio
import random

import msgspec

from papayalock.core.distribute import DeltaSource, held_config
from papayalock.core.routing import Balancer
from papayalock.httpclient import TransportError
from papayalock.messages import (
    Announcement,
    Endpoint,
    EndpointDelta,
    SyncReq,
    SyncRes,
)
from papayalock.node.agent import Agent
from papayalock.result import Code
from test.inventories import LedgerDriver, example, with_slots
from test.wires import FakeClock

OKWUOSA = example('okwuosa')


class FakeControl:
    """Answers polls from a real ledger, after any scripted responses."""

    def __init__(self) -> None:
        self.driver = LedgerDriver()
        self.driver.submit(OKWUOSA)
        self.driver.set_existing('auction-floor', 'lot-catalogue', 'valuation')
        self.source = DeltaSource(self.driver.ledger)
        self.scripted: list[SyncRes | None] = []
        self.requests: list[SyncReq] = []
        self.addresses: list[str] = []

    async def exchange(self, address, req, timeout_ms, limit, *, total_ms=None):
        sent = msgspec.json.decode(req.body, type=SyncReq)
        self.requests.append(sent)
        self.addresses.append(address)
        res = self.scripted.pop(0) if self.scripted else self.answer(sent)
        if res is None:
            raise TransportError(Code.UNREACHABLE, address, sent=False)
        return 200, msgspec.json.encode(res)

    def answer(self, sent: SyncReq) -> SyncRes:
        held = held_config(sent)
        info = self.driver.ledger.version_info(self.driver.ledger.version)
        base = self.source.base_scope(held)
        if (
            base is not None
            and self.source.target_scope(held, info).digest == base.digest
            and sent.version == info.version
        ):
            return SyncRes(code=0)
        delta = msgspec.json.decode(
            self.source.encoded_delta(held, info), type=type(None) | dict
        )
        return msgspec.convert({'code': 0, 'delta': delta}, SyncRes)

    def close_idle(self, address: str) -> None:
        return


def make_agent(control: FakeControl) -> Agent:
    balancer = Balancer(
        'z', random.Random(1), ramp_ms=0, eject_ms=1, eject_percent=50
    )
    agent = Agent(
        'n',
        'z',
        'n:1',
        ['c1', 'c2'],
        balancer,
        control,
        FakeClock(),
        random.Random(2),
        poll_ms=100,
        extra_services=4,
        announce_lease_ms=1000,
    )
    agent.handle_announcement(
        Announcement(server='s', service='lot-catalogue', address='127.0.0.1:1')
    )
    return agent


def poll(agent: Agent, times: int = 1) -> None:
    async def scenario() -> None:
        for _ in range(times):
            await agent._poll(wait_ms=0)

    asyncio.run(scenario())


class TestVersions:
    def test_the_newest_version_is_applied(self):
        control = FakeControl()
        agent = make_agent(control)
        poll(agent)
        assert agent.configuration.version == 2
        control.driver.submit(with_slots(OKWUOSA, 3))
        poll(agent, 2)
        assert agent.configuration.version == 3
        assert control.requests[-1].version == 3

    def test_a_bad_delta_is_followed_by_a_snapshot_request(self):
        control = FakeControl()
        agent = make_agent(control)
        poll(agent)
        control.driver.submit(with_slots(OKWUOSA, 3))
        bad = control.answer(agent._request(0))
        bad.delta.digest = 'wrong'
        control.scripted = [bad]
        poll(agent)
        assert agent.configuration.version == 2
        poll(agent)
        assert control.requests[-1].digest == ''
        assert agent.configuration.version == 3

    def test_a_bad_snapshot_is_reported_and_the_old_version_kept(self):
        control = FakeControl()
        agent = make_agent(control)
        poll(agent)
        before = agent.configuration.parts
        control.driver.submit(with_slots(OKWUOSA, 3))
        request = agent._request(0)
        request.digest = ''
        bad = control.answer(request)
        bad.delta.digest = 'wrong'
        control.scripted = [bad]
        poll(agent, 2)
        assert control.requests[-1].rejected == 3
        assert control.requests[-1].reject_code == Code.WRONG_DIGEST
        assert before['lot-catalogue'].slots == 6

    def test_a_restarted_node_requests_from_version_zero(self):
        control = FakeControl()
        poll(make_agent(control))
        poll(make_agent(control))
        assert control.requests[-1].version == 0


class TestControlVms:
    def test_after_a_failed_poll_the_next_control_vm_is_polled(self):
        control = FakeControl()
        agent = make_agent(control)
        control.scripted = [None]
        poll(agent, 2)
        assert control.addresses[0] != control.addresses[1]
        assert agent.configuration.version == 2

    def test_after_a_response_without_lease_the_next_is_polled(self):
        control = FakeControl()
        agent = make_agent(control)
        control.scripted = [SyncRes(code=0, leased=False)]
        poll(agent, 2)
        assert control.addresses[0] != control.addresses[1]

    def test_a_redirect_is_followed_once(self):
        control = FakeControl()
        agent = make_agent(control)
        control.scripted = [
            SyncRes(code=Code.NOT_PROVABLY_NEWEST, redirect='c9')
        ]
        poll(agent, 3)
        assert control.addresses[1] == 'c9'
        assert control.addresses[2] != 'c9'


class TestEndpoints:
    def test_changes_are_merged_and_departed_servers_removed(self):
        control = FakeControl()
        agent = make_agent(control)
        first = [
            Endpoint(
                server=name,
                service='valuation',
                zone='z',
                address=name,
                incarnation=1,
            )
            for name in 'ab'
        ]
        control.scripted = [
            SyncRes(
                code=0,
                endpoints=EndpointDelta(
                    epoch='e', cursor=4, full=True, endpoints=first
                ),
            ),
            SyncRes(
                code=0,
                endpoints=EndpointDelta(
                    epoch='e',
                    cursor=5,
                    endpoints=[msgspec.structs.replace(first[0], state='left')],
                ),
            ),
        ]
        poll(agent, 3)
        assert set(agent._endpoint_store.servers) == {'b'}
        assert (control.requests[-1].epoch, control.requests[-1].cursor) == (
            'e',
            5,
        )

    def test_a_server_without_announcements_is_reported_as_departed(self):
        control = FakeControl()
        agent = make_agent(control)
        poll(agent)
        assert control.requests[-1].endpoint.state == 'ready'
        agent._clock.now += 2
        agent._check_backend_lease()
        poll(agent)
        assert control.requests[-1].endpoint.state == 'left'
        assert agent.backend.serving is None

    def test_a_drain_is_reported(self):
        control = FakeControl()
        agent = make_agent(control)
        agent.set_draining(draining=True)
        poll(agent)
        assert control.requests[-1].endpoint.state == 'draining'


class TestSubscription:
    def test_a_subscribed_service_comes_into_scope(self):
        async def scenario():
            control = FakeControl()
            agent = make_agent(control)
            await agent._poll(wait_ms=0)
            waiting = asyncio.create_task(agent.subscribe('valuation', 5))
            await asyncio.sleep(0)
            await agent._poll(wait_ms=0)
            return await waiting, set(agent.routes.parts)

        found, parts = asyncio.run(scenario())
        assert found
        assert parts == {'lot-catalogue', 'valuation'}
