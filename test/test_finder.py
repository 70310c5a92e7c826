"""Discovery of the backend server by a node that has just started."""

import asyncio
from types import SimpleNamespace

import pytest

from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.placement import Placement
from papayalock.httpclient import TransportError
from papayalock.messages import Endpoint, NodeNotice, ServerNotice
from papayalock.native import LEAVING_HEADER, LIMIT_HEADER, NativeCalls
from papayalock.node.backendnotices import BackendNotices
from papayalock.node.finder import BackendFinder
from papayalock.result import Code


class HealthyServer:
    """Answers a health check as a pooled connection would."""

    def __init__(self, status=200, headers=()):
        self.status = status
        self.headers = [(b'papayalock-server', b's-1'), *headers]
        self.closed = False

    async def acquire(self, address):
        return self

    async def call(self, req, timeout_ms):
        if self.status is None:
            raise TransportError(Code.NOT_CONNECTED, 'no server', sent=False)
        return self

    async def read_all(self, limit):
        return b''

    def close(self):
        self.closed = True


class Node:
    def __init__(self, state='', status=200, headers=()):
        self.monitor = BackendMonitor(4000, 2000)
        self.placement = Placement('zone', '10.0.0.1:1', None)
        if state:
            endpoint = Endpoint('s-1', 'a', 'zone', '10.0.0.1:1', 1, 1, state)
            self.placement.upsert(endpoint, 0.0)
        self.changes = 0
        self.server = HealthyServer(status, headers)
        clock = SimpleNamespace(monotonic=lambda: 0.0)
        self.agent = SimpleNamespace(
            backend_monitor=self.monitor,
            placement=self.placement,
            configuration=SimpleNamespace(version=1),
            host_table=SimpleNamespace(
                policies={'a': SimpleNamespace(health_path='/health')}
            ),
            backend_changed=self.count_change,
        )
        self.finder = BackendFinder(
            self.agent,
            BackendNotices(self.monitor, NativeCalls(), clock),
            NativeCalls(),
            self.server,
            clock,
            SimpleNamespace(service='a', backend='10.0.0.1:2'),
        )

    def count_change(self):
        self.changes += 1


class TestBackendFinder:
    @pytest.mark.parametrize('state', ['', 'ready'])
    def test_registers_a_server_that_takes_calls(self, state):
        node = Node(state)
        asyncio.run(node.finder.run())
        assert node.monitor.announcement.server == 's-1'
        assert node.changes == 1

    def test_does_not_register_a_server_listed_as_draining(self):
        node = Node('draining')
        asyncio.run(node.finder.run())
        assert node.monitor.announcement is None
        assert node.changes == 0

    def test_learns_what_the_response_states(self):
        node = Node(headers=[(LIMIT_HEADER, b'7.5'), (LEAVING_HEADER, b'1')])
        asyncio.run(node.finder.run())
        assert node.monitor.limit == 7.5
        assert node.monitor.is_draining()

    def test_a_response_without_a_limit_leaves_it_to_other_nodes(self):
        node = Node()
        asyncio.run(node.finder.run())
        told = NodeNotice('s-1', 5, ServerNotice(limit=7.5))
        assert node.monitor.adopt_limit(told, 1.0)

    def test_a_late_copy_of_the_response_finds_no_open_connection(self):
        node = Node()
        asyncio.run(node.finder.run())
        assert node.server.closed

    @pytest.mark.parametrize('status', [503, None])
    def test_registers_no_server_without_a_healthy_response(self, status):
        node = Node(status=status)
        asyncio.run(node.finder.run())
        assert node.monitor.announcement is None
