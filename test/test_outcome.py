"""The outcome reported after several tries."""

from papayalock.node.outcome import NoResponse, ServerResponse, final_outcome
from papayalock.result import Code

GOOD = ServerResponse(200, [], b'')
BAD = ServerResponse(500, [], b'')
REFUSED = NoResponse(Code.SHED, 'no room')
UNKNOWN = NoResponse(Code.UNKNOWN_TIMEOUT, 'silent')


class TestFinalOutcome:
    def test_a_refusal_never_hides_a_try_that_may_have_run(self):
        assert final_outcome(REFUSED, UNKNOWN) is UNKNOWN
        assert final_outcome(UNKNOWN, REFUSED) is UNKNOWN

    def test_a_response_takes_precedence_over_none(self):
        assert final_outcome(UNKNOWN, GOOD) is GOOD
        assert final_outcome(BAD, UNKNOWN) is BAD
        assert final_outcome(BAD, REFUSED) is BAD

    def test_the_newer_response_is_reported(self):
        assert final_outcome(BAD, GOOD) is GOOD

    def test_the_newer_refusal_is_reported(self):
        newer = NoResponse(Code.NO_SERVER, 'none')
        assert final_outcome(REFUSED, newer) is newer
