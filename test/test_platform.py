"""The adapter: what it reads, what it says, and that no word of it leaks."""

import json
import re
import sys
from pathlib import Path

import pytest

from papayalock.dialect import BackendTerms, Departure
from papayalock.messages import Announcement
from papayalock.node.http import Call
from papayalock.result import Code, PapayalockError

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / 'platform'))

from fleet.announcements import FleetAnnouncements  # noqa: E402
from fleet.calls import FleetCalls  # noqa: E402
from fleet.operator import FleetOperator  # noqa: E402

WORDS = re.compile(
    'x-server-stamp|x-target-instance|x-not-executed|x-caller-service'
    '|x-request-deadline|x-instance-id|heartbeat_address|traffic_split'
    '|route_type|path_prefix|cold_remaining|control_plane|local_node'
    '|max_header_bytes|base_version|/v1/config|/v1/instances',
    re.IGNORECASE,
)
CONFIG = {
    'version': 7,
    'base_version': 5,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'path_prefix': '/p/',
            'route_type': 'unsafe',
            'timeout': '800ms',
            'target_latency': '0.4s',
            'priority': 1,
            'service': 's1',
            'max_attempts': 2,
        },
        {
            'name': 'r-2',
            'host': 'a.example',
            'path_prefix': '/q/',
            'route_type': 'safe',
            'timeout': '1200ms',
            'target_latency': '300ms',
            'priority': 2,
            'traffic_split': [
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
            'max_attempts': 2,
        },
    ],
    'services': [
        {'name': 's1', 'health_check': '/health', 'max_connections': 120},
        {'name': 's2', 'health_check': '/health', 'max_connections': 120},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 100,
        'header_timeout': '3000ms',
        'idle_timeout': '15s',
    },
}


class TestWords:
    def test_no_platform_word_stands_outside_the_adapter(self):
        leaks = [
            path.name
            for path in (ROOT / 'papayalock').rglob('*')
            if path.suffix in {'.py', '.toml', '.json'}
            and WORDS.search(path.read_text())
        ]
        assert not leaks

    def test_the_folder_does_not_shadow_the_standard_library(self):
        assert not (ROOT / 'platform' / '__init__.py').exists()


class TestOperator:
    def read(self, config: object):
        return FleetOperator().read(json.dumps(config).encode())

    def test_a_configuration_is_read_whole(self):
        routes = self.read(CONFIG)
        assert (routes.label, routes.base) == (7, 5)
        first, second = routes.routes
        assert (first.repeatable, first.timeout_ms, first.target_ms) == (
            False,
            800,
            400,
        )
        assert [one.weight for one in second.shares] == [90, 10]
        assert routes.limits.idle_timeout_ms == 15000

    def test_it_is_shown_as_it_was_sent(self):
        body = json.dumps(CONFIG, indent=1).encode()
        adapter = FleetOperator()
        assert adapter.show(adapter.read(body)) == body

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'\xff\xfe',
            json.dumps(CONFIG).encode()[:-20],
            b'[]',
            json.dumps({**CONFIG, 'version': 'seven'}).encode(),
            json.dumps({**CONFIG, 'routes': [{'name': 'r'}]}).encode(),
            json.dumps(CONFIG).replace('"800ms"', '"soon"').encode(),
            json.dumps(CONFIG).replace('"800ms"', '800').encode(),
            b'{"version":' + b'[' * 5000,
        ],
    )
    def test_what_cannot_be_read_is_invalid(self, body):
        adapter = FleetOperator()
        with pytest.raises(PapayalockError) as caught:
            adapter.read(body)
        assert adapter.refused(caught.value.code) == 400

    def test_a_missing_leader_is_no_fault_of_the_operator(self):
        assert FleetOperator().refused(Code.NO_LEADER) == 503


HEARTBEAT = {
    'address': '10.0.0.9:80',
    'info': {'service': 's1', 'version': 'v1', 'zone': 'z', 'slots': 6},
    'status': {'state': 'ready', 'sequence': 4, 'cold_remaining': '1.5s'},
    'born': 1700000000000,
}


class TestAnnouncements:
    def read(self, body: bytes, path: str = '/v1/instances/i-1', method=b'PUT'):
        return FleetAnnouncements().read(Call(method, path.encode(), [], body))

    def test_a_heartbeat(self):
        found = self.read(json.dumps(HEARTBEAT).encode())
        assert isinstance(found, Announcement)
        assert (found.server, found.slots, found.cold_ms) == ('i-1', 6, 1500)
        assert (found.born_ms, found.sequence) == (1700000000000, 4)

    def test_a_departure(self):
        assert self.read(b'', method=b'DELETE') == Departure('i-1')

    @pytest.mark.parametrize(
        'change',
        [
            {'status': {**HEARTBEAT['status'], 'state': 'asleep'}},
            {'status': {**HEARTBEAT['status'], 'sequence': '4'}},
            {'info': {**HEARTBEAT['info'], 'slots': 0}},
            {'info': {**HEARTBEAT['info'], 'service': ''}},
            {'address': 'here'},
            {'born': 'today'},
            {'info': None},
        ],
    )
    def test_a_forged_heartbeat_is_refused(self, change):
        body = json.dumps({**HEARTBEAT, **change}).encode()
        with pytest.raises(PapayalockError) as caught:
            self.read(body)
        assert caught.value.code == Code.BAD_MESSAGE

    @pytest.mark.parametrize('body', [b'', b'\x00\xff', b'{"address":'])
    def test_bytes_that_cannot_be_read_are_refused(self, body):
        with pytest.raises(PapayalockError):
            self.read(body)

    @pytest.mark.parametrize(
        'path', ['/v1/instances/', '/other', '/v1/instances/a/b']
    )
    def test_another_path_is_refused(self, path):
        with pytest.raises(PapayalockError):
            self.read(json.dumps(HEARTBEAT).encode(), path)


class TestCalls:
    CALLS = FleetCalls()

    def test_what_the_system_sets_is_replaced(self):
        headers = self.CALLS.to_backend(
            [
                (b'x-caller-service', b'forged'),
                (b'x-request-deadline', b'9999'),
                (b'x-request-id', b'1'),
            ],
            BackendTerms('1', 'i-1', 's1', 250),
        )
        assert headers.count((b'x-caller-service', b's1')) == 1
        assert (b'x-request-deadline', b'250') in headers
        assert (b'x-target-instance', b'i-1') in headers
        assert len(headers) == 4

    def test_only_a_promise_says_not_run(self):
        assert self.CALLS.refusal(Code.SHED, 250).status == 503
        assert self.CALLS.refusal(Code.NOT_CONFIGURED, 0).status == 503
        assert self.CALLS.refusal(Code.NO_ROUTE, 0).status == 404
        assert self.CALLS.refusal(Code.UNKNOWN_TIMEOUT, 0).status == 504
        assert self.CALLS.refusal(Code.UNKNOWN_BROKEN, 0).status == 502
        assert self.CALLS.refusal(Code.INCOMPLETE_ANSWER, 0).status == 502

    def test_the_time_to_come_back_is_in_seconds(self):
        refusal = self.CALLS.refusal(Code.SHED, 250)
        assert (b'retry-after', b'0.250') in refusal.headers

    def test_answers_are_told_from_refusals_and_foreign_ones(self):
        stamp = (b'x-server-stamp', b's')
        fault = self.CALLS.fault
        assert fault(200, [stamp]) == Code.DONE
        assert fault(500, [stamp]) == Code.DONE
        assert fault(503, [(b'x-not-executed', b'1')]) == Code.SHED
        assert fault(421, [(b'x-instance-id', b'i')]) == Code.OTHER_SERVER
        assert fault(200, []) == Code.FOREIGN_ANSWER
        coded = [stamp, (b'content-encoding', b'gzip')]
        assert fault(200, coded) == Code.FOREIGN_ANSWER

    def test_an_answer_without_an_id_is_no_answer_of_a_call(self):
        belongs = self.CALLS.belongs
        assert belongs([(b'x-request-id', b'1')], '1')
        assert not belongs([(b'x-request-id', b'2')], '1')
        assert not belongs([(b'x-server-stamp', b's')], '1')
        assert belongs([(b'x-not-executed', b'1')], '1')

    def test_a_server_is_known_by_its_good_health_answer(self):
        named = [(b'x-instance-id', b'i-1')]
        assert self.CALLS.identity(200, named) == 'i-1'
        assert self.CALLS.identity(503, named) == ''
