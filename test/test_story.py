"""The story of a call from logs: joined, ordered, and honest about clocks."""

import json

from papayalock.story import cause_of, read_lines, tell
from papayalock.ui.trace import trace_lines


def line(second: float, process: str, message: str, **fields) -> str:
    time = f'2026-01-01T00:00:{second:06.3f}Z'
    return json.dumps(
        {'time': time, 'message': message, 'process_name': process, **fields}
    )


REFUSED = [
    line(9.0, 'node-a', 'version applied', version=7),
    line(9.990, 'node-b', 'call not admitted', call='c1', jobs=34, slots=9),
    line(
        10.0,
        'node-a',
        'call refused',
        call='c1',
        code='SHED',
        took_ms=20.0,
        tries=[{'server': 's1', 'code': 'SHED', 'took_ms': 3.0}],
    ),
    line(10.0, 'node-c', 'call refused', call='c2', code='NO_ROUTE'),
]


def story(call: str, texts: list[str]):
    return tell(call, read_lines(texts))


class TestStory:
    def test_lines_of_all_processes_are_joined_in_order_of_cause(self):
        told = story('c1', REFUSED)
        assert [one.process for one in told.lines] == ['node-b', 'node-a']
        assert cause_of(told).startswith('103 SHED')
        assert 'was not run' in cause_of(told)

    def test_a_call_taken_back_at_a_gate_is_still_told_from_its_own_node(self):
        texts = [*REFUSED, line(10.1, 'node-b', 'call abandoned', call='c1')]
        assert story('c1', texts).entry.process == 'node-a'

    def test_changes_on_the_way_are_shown_those_elsewhere_are_not(self):
        texts = [*REFUSED, line(9.5, 'node-z', 'version applied', version=8)]
        assert [one.process for one in story('c1', texts).context] == ['node-a']

    def test_of_many_versions_only_the_nearest_are_shown(self):
        storm = [
            line(second, 'node-a', 'version applied', version=int(second * 10))
            for second in (8.0, 8.5, 9.5, 10.2, 10.6)
        ]
        told = story('c1', [*REFUSED[1:], *storm])
        assert [one.fields['version'] for one in told.context] == [95, 102]

    def test_clocks_that_disagree_are_told(self):
        texts = [
            REFUSED[2],
            line(12.5, 'node-b', 'call not admitted', call='c1'),
        ]
        told = story('c1', texts)
        assert round(told.skews['node-b'], 1) == 2.5
        assert any(
            'node-b differs by +2500 ms' in one for one in trace_lines(told)
        )

    def test_what_is_no_log_line_is_passed_over(self):
        texts = ['', 'noise', '{"time": "yesterday"}', '{"time"', *REFUSED]
        assert len(story('c1', texts).lines) == 2

    def test_lines_behind_a_prefix_are_read(self):
        texts = [f'  10.0 node-a {text}' for text in REFUSED]
        assert len(story('c1', texts).lines) == 2

    def test_an_answer_that_failed_below_says_so(self):
        texts = [
            line(1, 'n', 'call answered by a failure', call='c', status=500)
        ]
        assert cause_of(story('c', texts)) == 'answered 500 by the server'
        texts = [
            line(
                1,
                'n',
                'call answered by a failure',
                call='c',
                status=500,
                callee_failed=True,
            )
        ]
        assert 'itself made failed' in cause_of(story('c', texts))

    def test_each_try_is_told(self):
        texts = list(trace_lines(story('c1', REFUSED)))
        assert any('try 1: s1' in one for one in texts)
