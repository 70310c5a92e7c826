"""Restarted backend servers: new names at an address, with and without birth."""

import asyncio
import json
import logging

import pytest

from papayalock.core.directory import Directory
from papayalock.core.heartbeats import (
    BackendMonitor,
    DropReason,
    HeartbeatEffect,
)
from papayalock.core.serverstarts import (
    MAX_REPLACED,
    ServerStart,
    StartHistory,
)
from papayalock.native import NativeAnnouncements
from papayalock.node.announcements import AnnouncementHandler
from papayalock.node.http import Call, Reply
from papayalock.node.outcome import ServerResponse
from test.hostmesh import SERVICE_S, HostMesh, play
from test.test_dispatch import Writer
from test.test_endpoints import endpoint as listed, everything, make_table
from test.test_heartbeats import beat, make_monitor
from test.test_placement import endpoint
from test.wires import FakeClock


class TestNewStart:
    """A new server at the address counts its heartbeats from the beginning."""

    @pytest.mark.parametrize('born', [(0, 0), (1000, 2000), (0, 2000)])
    def test_a_restarted_server_is_used_from_its_first_heartbeat_on(self, born):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(500, born=born[0]), 0)
        first = beat(1, born=born[1], server='i-2')
        assert monitor.record_heartbeat(first, 3) is HeartbeatEffect.CHANGED
        assert monitor.serving(3).server == 'i-2'

    def test_a_restart_ends_the_drain_of_the_start_before(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(500, born=0), 0)
        monitor.record_departure('i-1', 1)
        monitor.record_heartbeat(beat(1, born=0, server='i-2'), 2)
        assert not monitor.is_draining()

    def test_a_late_departure_of_the_start_before_changes_nothing(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(500, born=0), 0)
        monitor.record_heartbeat(beat(1, born=0, server='i-2'), 2)
        assert monitor.record_departure('i-1', 3) is HeartbeatEffect.STALE
        late = beat(501, born=0, draining=True)
        assert monitor.record_heartbeat(late, 3) is HeartbeatEffect.STALE
        assert monitor.serving(3).server == 'i-2'
        assert not monitor.is_draining()

    def test_a_server_found_by_a_health_check_is_replaced_by_the_next(self):
        monitor = make_monitor()
        monitor.record_discovery(beat(0, born=0), 0)
        first = beat(1, born=0, server='i-2')
        assert monitor.record_heartbeat(first, 1) is HeartbeatEffect.CHANGED

    def test_a_server_found_by_a_health_check_goes_on_with_its_heartbeats(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(500, born=0), 0)
        monitor = make_monitor()
        monitor.record_discovery(beat(0, born=0, server='i-2'), 0)
        monitor.record_departure('i-2', 0.5)
        monitor.record_heartbeat(beat(1, born=0, server='i-2'), 1)
        assert monitor.is_draining()

    def test_an_earlier_birth_is_never_a_new_start(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1, born=2000), 0)
        late = beat(900, born=1000, server='i-0')
        assert monitor.record_heartbeat(late, 9) is HeartbeatEffect.STALE


class TestReplacedStart:
    """Heartbeats that were delayed while their server was replaced."""

    def monitor_of(self, *servers: str) -> BackendMonitor:
        monitor = make_monitor()
        for now, server in enumerate(servers):
            monitor.record_heartbeat(beat(5, born=0, server=server), now)
        return monitor

    @pytest.mark.parametrize('server', ['i-1', 'i-2'])
    def test_a_delayed_heartbeat_of_a_replaced_server_changes_nothing(
        self, server
    ):
        monitor = self.monitor_of('i-1', 'i-2', 'i-3')
        late = beat(6, born=0, server=server)
        assert monitor.record_heartbeat(late, 3) is HeartbeatEffect.STALE
        assert monitor.serving(3).server == 'i-3'
        assert monitor.dropped[DropReason.REPLACED] == 1

    def test_a_replaced_server_that_goes_on_is_used_once_the_next_is_silent(
        self,
    ):
        monitor = self.monitor_of('i-1', 'i-0')
        alive = [beat(number, born=0) for number in range(6, 12)]
        effects = [
            monitor.record_heartbeat(one, 1.5 + number)
            for number, one in enumerate(alive)
        ]
        assert effects[0] is HeartbeatEffect.STALE
        assert monitor.serving(7).server == 'i-1'

    def test_another_server_at_the_address_lets_a_replaced_one_return(self):
        monitor = self.monitor_of('i-1', 'i-0')
        monitor.expire_lease()
        monitor.record_heartbeat(beat(6, born=0), 1.5)
        assert monitor.serving(1.5).server == 'i-1'

    def test_an_old_heartbeat_does_not_bring_a_replaced_server_back(self):
        monitor = self.monitor_of('i-1', 'i-2')
        monitor.expire_lease()
        monitor.record_heartbeat(beat(5, born=0), 1.5)
        assert monitor.serving(1.5) is None

    def test_a_replaced_name_with_a_later_birth_is_a_new_start(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(5, born=1000), 0)
        monitor.record_heartbeat(beat(5, born=0, server='i-2'), 1)
        again = beat(1, born=3000)
        assert monitor.record_heartbeat(again, 2) is HeartbeatEffect.CHANGED

    def test_remembered_starts_are_bounded(self):
        history = StartHistory()
        for number in range(10 * MAX_REPLACED):
            history.record_replaced(ServerStart(f'i-{number}', 0), 1)
        assert len(history) == MAX_REPLACED


class TestServerStart:
    def test_a_start_without_a_known_birth_may_be_the_same(self):
        assert ServerStart('i-1', 0).is_same(ServerStart('i-1', 1000))
        assert not ServerStart('i-1', 2000).is_same(ServerStart('i-1', 1000))
        assert not ServerStart('i-1', 0).is_same(ServerStart('i-2', 0))


class TestEndpoints:
    """What control VMs and other nodes know of the start before."""

    def at_one_node(self, server: str, **changes):
        known = listed(server, **changes)
        known.address = '10.0.0.1:1'
        return known

    def test_the_endpoint_of_the_start_before_ends_with_the_new_one(self):
        table = make_table()
        table.attach(self.at_one_node('i-1'), 0)
        cursor = table.cursor
        table.attach(self.at_one_node('i-2'), 1)
        changed = table.delta(table.epoch, cursor, everything).endpoints
        states = {one.server: one.state for one in changed}
        assert states == {'i-1': 'left', 'i-2': 'ready'}

    def test_an_endpoint_of_an_earlier_node_process_ends_nothing(self):
        table = make_table()
        table.attach(self.at_one_node('i-2', incarnation=2), 0)
        table.attach(self.at_one_node('i-1', incarnation=1), 1)
        assert {one.server for one in table.endpoints()} >= {'i-2'}

    def test_a_drain_of_another_birth_is_not_kept(self):
        table = make_table()
        drained = listed('i-1', state='draining')
        drained.born_ms, drained.heartbeat = 1000, 50
        table.attach(drained, 0)
        restarted = listed('i-1')
        restarted.born_ms, restarted.heartbeat = 2000, 1
        table.attach(restarted, 1)
        assert table.endpoints()[0].state == 'ready'

    def test_failures_of_the_start_before_are_forgotten(self):
        directory = Directory()
        directory.upsert(endpoint('i-1', born_ms=1000), 0)
        directory.servers['i-1'].failures = 3
        directory.upsert(endpoint('i-1', born_ms=2000), 1)
        assert directory.servers['i-1'].failures == 0

    def test_failures_are_kept_when_only_the_birth_becomes_known(self):
        directory = Directory()
        directory.upsert(endpoint('i-1', born_ms=0), 0)
        directory.servers['i-1'].failures = 3
        directory.upsert(endpoint('i-1', born_ms=2000), 1)
        assert directory.servers['i-1'].failures == 3


class TestNode:
    """A whole node in memory, whose server is replaced."""

    async def restarted(self, born_ms: int = 0) -> HostMesh:
        mesh = HostMesh(1, born_ms=born_ms)
        for sequence in range(2, 500):
            mesh.nodes[0].beat(sequence, born_ms)
        mesh.start_server(0, 'i-new')
        mesh.nodes[0].beat(1, born_ms and born_ms + 1)
        return mesh

    @pytest.mark.parametrize('born_ms', [0, 1000])
    def test_calls_reach_a_restarted_server_at_once(self, born_ms):
        async def scene():
            mesh = await self.restarted(born_ms)
            return await mesh.call(0)

        assert isinstance(play(scene()), ServerResponse)

    def test_calls_that_ran_at_the_former_start_end_and_free_their_slots(self):
        async def scene():
            mesh = HostMesh(1, born_ms=0)
            mesh.servers[0].hangs = True
            calls = [asyncio.ensure_future(mesh.call(0)) for _ in range(6)]
            await asyncio.sleep(0.05)
            mesh.start_server(0, 'i-new')
            mesh.nodes[0].beat(1, 0)
            began = asyncio.get_running_loop().time()
            outcomes = await asyncio.gather(*calls)
            took_s = asyncio.get_running_loop().time() - began
            return took_s, outcomes, len(mesh.nodes[0].gate.running)

        took_s, outcomes, running = play(scene())
        assert all(isinstance(one, ServerResponse) for one in outcomes)
        assert took_s < 2 * SERVICE_S
        assert running == 0

    def test_the_failing_share_of_the_former_start_is_forgotten(self):
        async def scene():
            mesh = HostMesh(1, born_ms=0)
            mesh.nodes[0].gate.failing = 0.9
            mesh.start_server(0, 'i-new')
            mesh.nodes[0].beat(1, 0)
            return mesh.nodes[0].gate.failing

        assert play(scene()) == 0


class TestDroppedHeartbeats:
    def handler(self, monitor: BackendMonitor) -> AnnouncementHandler:
        return AnnouncementHandler(
            NativeAnnouncements(),
            monitor,
            None,
            FakeClock(),
            '10.0.0.1:80',
            'floor',
        )

    def test_a_dropped_heartbeat_is_counted_and_logged_once(self, caplog):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(5, born=0), 0)
        handler = self.handler(monitor)
        message = {
            'server': 'i-1',
            'service': 'floor',
            'address': '10.0.0.1:80',
            'sequence': 4,
        }
        call = Call(b'POST', b'/announce', [], json.dumps(message).encode())
        with caplog.at_level(logging.INFO):
            for _ in range(9):
                asyncio.run(handler.handle(call, Reply(Writer(), True)))
        assert monitor.dropped[DropReason.LATE] == 9
        lines = [one for one in caplog.messages if 'heartbeat' in one]
        assert lines == ['heartbeat dropped']
