"""The platform adapter, and that its vocabulary stays out of papayalock."""

import json
import re
import sys
from pathlib import Path

import pytest

from papayalock.dialect import BackendMetadata, Departure
from papayalock.messages import (
    Announcement,
    Rollout,
    RolloutRes,
    ServerNotice,
)
from papayalock.node.http import Call
from papayalock.result import Code, PapayalockError

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / 'platform'))

from fleet.announcements import FleetAnnouncements  # noqa: E402
from fleet.calls import FleetCalls  # noqa: E402
from fleet.operator import FleetOperator  # noqa: E402

PLATFORM_WORDS = re.compile(
    'x-server-stamp|x-target-instance|x-not-executed|x-caller-service'
    '|x-request-deadline|x-instance-id|server-limit|server-leaving'
    '|heartbeat_address|traffic_split'
    '|route_type|path_prefix|cold_remaining|control_plane|local_node'
    '|max_header_bytes|base_version|/v1/config|/v1/instances'
    '|x-tenant-id|api_keys|rate_per_s|target_version|/v1/rollouts',
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


class TestVocabulary:
    def test_no_platform_word_is_used_outside_the_adapter(self):
        leaks = [
            path.name
            for path in (ROOT / 'papayalock').rglob('*')
            if path.suffix in {'.py', '.toml', '.json'}
            and PLATFORM_WORDS.search(path.read_text())
        ]
        assert not leaks

    def test_the_folder_does_not_shadow_the_standard_library(self):
        assert not (ROOT / 'platform' / '__init__.py').exists()


class TestOperator:
    def read(self, config: object):
        return FleetOperator().read(json.dumps(config).encode(), str.upper)

    def test_a_configuration_is_decoded(self):
        routes = self.read(CONFIG)
        assert (routes.label, routes.base) == (7, 5)
        first, second = routes.routes
        assert (first.repeatable, first.timeout_ms, first.target_ms) == (
            False,
            800,
            400,
        )
        assert [share.weight for share in second.shares] == [90, 10]
        assert routes.limits.idle_timeout_ms == 15000

    def test_a_configuration_is_rendered_as_it_was_sent(self):
        body = json.dumps(CONFIG, indent=1).encode()
        adapter = FleetOperator()
        assert adapter.render(adapter.read(body, str.upper)) == body

    def test_large_responses_are_repeatable_and_public_routes_known(self):
        download = {
            **CONFIG['routes'][1],
            'route_type': 'download',
            'public': True,
        }
        route = self.read({**CONFIG, 'routes': [download]}).routes[0]
        assert (route.repeatable, route.large, route.public) == (
            True,
            True,
            True,
        )

    def test_an_unknown_route_type_is_not_repeated_and_is_logged(self, caplog):
        stream = {**CONFIG['routes'][1], 'route_type': 'stream'}
        route = self.read({**CONFIG, 'routes': [stream]}).routes[0]
        assert not route.repeatable
        assert caplog.records[-1].types == ['stream']

    def test_customers_keep_every_field_but_the_keys_themselves(self):
        tenants = [
            {
                'name': 'c1',
                'api_keys': ['secret1', 'secret2'],
                'priority': 1,
                'rate_per_s': 201,
                'burst': 20,
            },
            {'name': 'c2', 'api_keys': [], 'rate_per_s': None},
        ]
        first, second = self.read({**CONFIG, 'tenants': tenants}).customers
        assert (first.keys, first.rank, first.rate, first.burst) == (
            ['SECRET1', 'SECRET2'],
            1,
            201,
            20,
        )
        assert (second.rank, second.rate, second.burst) == (None, 0, 0)

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
    def test_a_malformed_configuration_is_invalid(self, body):
        adapter = FleetOperator()
        with pytest.raises(PapayalockError) as caught:
            adapter.read(body, str.upper)
        assert adapter.error_status(caught.value.code) == 400

    @pytest.mark.parametrize(
        'change',
        [
            {'service': 'floor'},
            {'traffic_split': []},
            {'traffic_split': [], 'service': ''},
        ],
    )
    def test_a_route_with_both_or_neither_of_service_and_split_is_invalid(
        self, change
    ):
        split = next(
            one for one in CONFIG['routes'] if one.get('traffic_split')
        )
        config = {**CONFIG, 'routes': [{**split, **change}]}
        with pytest.raises(PapayalockError) as caught:
            FleetOperator().read(json.dumps(config).encode(), str.upper)
        assert caught.value.code == Code.INVALID
        assert split['name'] in str(caught.value)

    def test_a_missing_leader_is_a_server_error(self):
        assert FleetOperator().error_status(Code.NO_LEADER) == 503


HEARTBEAT = {
    'address': '10.0.0.9:80',
    'info': {'service': 's1', 'version': 'v1', 'zone': 'z', 'slots': 6},
    'status': {'state': 'ready', 'sequence': 4, 'cold_remaining': '1.5s'},
    'born': 1700000000000,
}


class TestAnnouncements:
    def read(self, body: bytes, path: str = '/v1/instances/i-1', method=b'PUT'):
        return FleetAnnouncements().read(Call(method, path.encode(), [], body))

    def test_a_heartbeat_is_decoded(self):
        announcement = self.read(json.dumps(HEARTBEAT).encode())
        assert isinstance(announcement, Announcement)
        assert (
            announcement.server,
            announcement.slots,
            announcement.cold_ms,
        ) == ('i-1', 6, 1500)
        assert (announcement.born_ms, announcement.sequence) == (
            1700000000000,
            4,
        )

    def test_a_departure_is_decoded(self):
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
    def test_an_invalid_heartbeat_is_rejected(self, change):
        body = json.dumps({**HEARTBEAT, **change}).encode()
        with pytest.raises(PapayalockError) as caught:
            self.read(body)
        assert caught.value.code == Code.BAD_MESSAGE

    @pytest.mark.parametrize('body', [b'', b'\x00\xff', b'{"address":'])
    def test_a_malformed_heartbeat_is_rejected(self, body):
        with pytest.raises(PapayalockError):
            self.read(body)

    @pytest.mark.parametrize(
        'path', ['/v1/instances/', '/other', '/v1/instances/a/b']
    )
    def test_an_unknown_path_is_rejected(self, path):
        with pytest.raises(PapayalockError):
            self.read(json.dumps(HEARTBEAT).encode(), path)


class TestCalls:
    CALLS = FleetCalls()

    def test_headers_from_the_caller_are_overwritten(self):
        headers = self.CALLS.backend_headers(
            [
                (b'x-caller-service', b'forged'),
                (b'x-request-deadline', b'9999'),
                (b'x-request-id', b'1'),
            ],
            BackendMetadata('1', 'i-1', 's1', 250),
        )
        assert headers.count((b'x-caller-service', b's1')) == 1
        assert (b'x-request-deadline', b'250') in headers
        assert (b'x-target-instance', b'i-1') in headers
        assert len(headers) == 4

    def test_the_api_key_is_read_and_the_customer_set(self):
        key = (b'authorization', b'Bearer k1')
        call = Call(b'GET', b'/', [key, (b'x-tenant-id', b'forged')])
        assert self.CALLS.read_metadata(call).api_key == 'k1'
        assert 'k1' not in repr(self.CALLS.read_metadata(call))
        assert key not in self.CALLS.without_api_key(call.headers)
        metadata = BackendMetadata('1', 'i-1', 's1', 250, 'c1')
        headers = self.CALLS.backend_headers(call.headers, metadata)
        customers = [text for name, text in headers if name == b'x-tenant-id']
        assert customers == [b'c1']
        assert self.CALLS.error_response(Code.UNKNOWN_API_KEY, 0).status == 401

    def test_only_a_not_run_code_gives_a_retryable_status(self):
        assert self.CALLS.error_response(Code.SHED, 250).status == 503
        assert self.CALLS.error_response(Code.NOT_CONFIGURED, 0).status == 503
        assert self.CALLS.error_response(Code.NO_ROUTE, 0).status == 404
        assert self.CALLS.error_response(Code.UNKNOWN_TIMEOUT, 0).status == 504
        assert self.CALLS.error_response(Code.UNKNOWN_BROKEN, 0).status == 502
        assert (
            self.CALLS.error_response(Code.INCOMPLETE_ANSWER, 0).status == 502
        )

    def test_retry_after_is_in_seconds(self):
        response = self.CALLS.error_response(Code.SHED, 250)
        assert (b'retry-after', b'0.250') in response.headers

    def test_rejections_and_foreign_responses_are_recognized(self):
        stamp = (b'x-server-stamp', b's')
        classify = self.CALLS.classify_response
        assert classify(200, [stamp]) == Code.DONE
        assert classify(500, [stamp]) == Code.DONE
        assert classify(503, [(b'x-not-executed', b'1')]) == Code.SHED
        assert classify(421, [(b'x-instance-id', b'i')]) == Code.OTHER_SERVER
        assert classify(200, []) == Code.FOREIGN_ANSWER
        compressed = [stamp, (b'content-encoding', b'gzip')]
        assert classify(200, compressed) == Code.FOREIGN_ANSWER

    def test_a_response_names_its_call_by_the_echoed_id(self):
        assert self.CALLS.names_call([(b'x-request-id', b'1')])
        assert not self.CALLS.names_call([(b'x-not-executed', b'1')])

    def test_only_a_rejection_may_lack_the_call_id(self):
        matches = self.CALLS.matches_call
        assert matches([(b'x-request-id', b'1')], '1')
        assert not matches([(b'x-request-id', b'2')], '1')
        assert not matches([(b'x-server-stamp', b's')], '1')
        assert matches([(b'x-not-executed', b'1')], '1')

    def test_a_notice_states_a_limit_and_whether_the_server_leaves(self):
        read = self.CALLS.read_notice
        assert read([]) == ServerNotice()
        assert read([(b'server-limit', b'7.5')]) == ServerNotice(limit=7.5)
        assert read([(b'server-limit', b'0')]) == ServerNotice(limit=0)
        assert read([(b'server-leaving', b'1')]) == ServerNotice(leaving=True)
        assert read([(b'server-leaving', b'0')]) == ServerNotice()

    @pytest.mark.parametrize(
        'limit', [b'-1', b'nan', b'inf', b'1e9', b'x', b'1,5', b'9' * 40]
    )
    def test_a_limit_that_is_no_decimal_number_is_an_error(self, limit):
        with pytest.raises(PapayalockError):
            self.CALLS.read_notice([(b'server-limit', limit)])

    def test_the_server_name_is_read_from_a_successful_health_check(self):
        headers = [(b'x-instance-id', b'i-1')]
        assert self.CALLS.read_server_name(200, headers) == 'i-1'
        assert self.CALLS.read_server_name(503, headers) == ''


class TestRollouts:
    def test_an_order_is_decoded(self):
        body = b'{"service":"s1","target_version":"v2","duration":"12s"}'
        order = FleetOperator().read_rollout(body)
        assert (order.service, order.target, order.duration_ms) == (
            's1',
            'v2',
            12_000,
        )

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{"service":"s1"}',
            b'{"service":"s1","target_version":"v2","duration":"soon"}',
            b'{"service":1,"target_version":"v2","duration":"12s"}',
        ],
    )
    def test_a_malformed_order_is_invalid(self, body):
        with pytest.raises(PapayalockError) as caught:
            FleetOperator().read_rollout(body)
        assert FleetOperator().error_status(caught.value.code) == 400

    def test_the_state_is_rendered(self):
        rollout = Rollout(
            order=3, target='v2', duration_ms=1, state='completed'
        )
        assert json.loads(FleetOperator().render_rollout(rollout)) == {
            'state': 'completed',
            'target_version': 'v2',
        }

    def test_another_order_than_the_one_in_progress_is_no_409(self):
        adapter = FleetOperator()
        assert adapter.rollout_status(RolloutRes(Code.DONE)) == 200
        assert adapter.rollout_status(RolloutRes(Code.CONFLICT)) == 422
