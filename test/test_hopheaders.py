"""Headers between nodes: the long form and the short one."""

import pytest

from papayalock.messages import HopOrder, ServerLoad
from papayalock.node.hopheaders import LOADS, ORDERS, HeaderError, is_short

ORDER = HopOrder(
    call='c1',
    service='floor',
    server='i-1',
    route='r',
    repeatable=True,
    rank=2,
    remaining_ms=900,
    target_ms=-20,
    caller='desk',
    returning=True,
    may_wait=False,
    request='5f0c',
)


class TestHeaderCodec:
    @pytest.mark.parametrize('short', [True, False])
    def test_decoded_message_is_the_one_that_was_encoded(self, short):
        header = ORDERS.encode(ORDER, short=short)
        assert is_short(header) == short
        assert ORDERS.decode(header) == ORDER

    def test_missing_fields_of_an_earlier_version_have_their_defaults(self):
        assert LOADS.decode(b'[3,7,12.5]') == ServerLoad(3, 7, 12.5)

    def test_further_fields_of_a_later_version_are_passed_over(self):
        assert LOADS.decode(b'[3,7,12.5,0.1,"new"]').failing == 0.1

    @pytest.mark.parametrize(
        'header',
        [b'', b'[', b'[]', b'[1]', b'["3",7,1.0]', b'{}', b'[{"jobs":1}]'],
    )
    def test_header_that_is_no_message_is_an_error(self, header):
        with pytest.raises(HeaderError):
            LOADS.decode(header)

    def test_order_of_the_fields_stays_since_they_are_sent_without_names(self):
        assert HopOrder.__struct_fields__[:15] == (
            'call',
            'service',
            'server',
            'route',
            'repeatable',
            'rank',
            'remaining_ms',
            'target_ms',
            'caller',
            'customer',
            'key',
            'returning',
            'may_wait',
            'request',
            'crash_status',
        )
        assert ServerLoad.__struct_fields__[:4] == (
            'jobs',
            'slots',
            'pace_ms',
            'failing',
        )
