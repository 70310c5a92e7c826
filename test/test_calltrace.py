"""The trace of a call from logs: joined, in causal order, with clock skew."""

import json

from papayalock.calltrace import explain_outcome, read_lines, trace_call
from papayalock.ui.trace import trace_lines


def log_line(second: float, process: str, message: str, **fields) -> str:
    time = f'2026-01-01T00:00:{second:06.3f}Z'
    return json.dumps(
        {'time': time, 'message': message, 'process_name': process, **fields}
    )


REFUSED = [
    log_line(9.0, 'node-a', 'version applied', version=7),
    log_line(9.990, 'node-b', 'call not admitted', call='c1', jobs=34, slots=9),
    log_line(
        10.0,
        'node-a',
        'call refused',
        call='c1',
        code='SHED',
        took_ms=20.0,
        tries=[{'server': 's1', 'code': 'SHED', 'took_ms': 3.0}],
    ),
    log_line(10.0, 'node-c', 'call refused', call='c2', code='NO_ROUTE'),
]


def traced(call: str, texts: list[str]):
    return trace_call(call, read_lines(texts))


class TestCallTrace:
    def test_lines_of_all_processes_are_joined_in_causal_order(self):
        trace = traced('c1', REFUSED)
        assert [line.process for line in trace.lines] == ['node-b', 'node-a']
        assert explain_outcome(trace).startswith('103 SHED')
        assert 'was not run' in explain_outcome(trace)

    def test_a_call_abandoned_at_a_gate_is_explained_by_its_ingress_node(self):
        texts = [
            *REFUSED,
            log_line(10.1, 'node-b', 'call abandoned', call='c1'),
        ]
        assert traced('c1', texts).outcome_line.process == 'node-a'

    def test_context_is_limited_to_processes_that_took_part(self):
        texts = [
            *REFUSED,
            log_line(9.5, 'node-z', 'version applied', version=8),
        ]
        assert [line.process for line in traced('c1', texts).context] == [
            'node-a'
        ]

    def test_context_has_only_the_nearest_lines_of_a_kind(self):
        updates = [
            log_line(
                second, 'node-a', 'version applied', version=int(second * 10)
            )
            for second in (8.0, 8.5, 9.5, 10.2, 10.6)
        ]
        trace = traced('c1', [*REFUSED[1:], *updates])
        assert [line.fields['version'] for line in trace.context] == [95, 102]

    def test_clock_skew_is_reported(self):
        texts = [
            REFUSED[2],
            log_line(12.5, 'node-b', 'call not admitted', call='c1'),
        ]
        trace = traced('c1', texts)
        assert round(trace.skews['node-b'], 1) == 2.5
        assert any(
            'node-b differs by +2500 ms' in text for text in trace_lines(trace)
        )

    def test_text_that_is_not_a_log_line_is_skipped(self):
        texts = ['', 'noise', '{"time": "yesterday"}', '{"time"', *REFUSED]
        assert len(traced('c1', texts).lines) == 2

    def test_a_prefix_before_a_log_line_is_skipped(self):
        texts = [f'  10.0 node-a {text}' for text in REFUSED]
        assert len(traced('c1', texts).lines) == 2

    def test_a_failure_of_a_nested_call_is_reported(self):
        texts = [
            log_line(1, 'n', 'call answered by a failure', call='c', status=500)
        ]
        assert (
            explain_outcome(traced('c', texts)) == 'answered 500 by the server'
        )
        texts = [
            log_line(
                1,
                'n',
                'call answered by a failure',
                call='c',
                status=500,
                callee_failed=True,
            )
        ]
        assert 'itself made failed' in explain_outcome(traced('c', texts))

    def test_each_try_is_listed(self):
        texts = list(trace_lines(traced('c1', REFUSED)))
        assert any('try 1: s1' in text for text in texts)
