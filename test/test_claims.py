"""Claims of idempotency keys and the gates' logs of their attempts."""

import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.claims import Claims, shard_of
from papayalock.messages import Answer, Claim, Finish
from papayalock.result import Code


def claim(
    attempt: str,
    key: str = 'k',
    replaces: str = '',
    at_ms: int = 0,
    fingerprint: str = 'f',
    gate: str = 'g',
) -> Claim:
    return Claim(
        kind='claim',
        key=key,
        attempt=attempt,
        gate=gate,
        incarnation=1,
        fingerprint=fingerprint,
        replaces=replaces,
        at_ms=at_ms,
    )


def finish(attempt: str, code: Code, key: str = 'k') -> Finish:
    return Finish(
        kind='finish',
        key=key,
        attempt=attempt,
        code=code,
        answer=Answer(status=200),
    )


class TestClaims:
    def test_a_repeated_key_returns_the_attempt_that_holds_it(self):
        claims = Claims(10_000)
        assert claims.apply(1, claim('a')).code == Code.DONE
        held = claims.apply(2, claim('b', at_ms=400))
        assert (held.code, held.record.attempt, held.age_ms) == (
            Code.KEY_HELD,
            'a',
            400,
        )

    def test_a_resent_claim_is_granted_again(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        assert claims.apply(2, claim('a')).code == Code.DONE

    def test_a_done_attempt_is_never_replaced(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        claims.apply(2, finish('a', Code.DONE))
        held = claims.apply(3, claim('b', replaces='a'))
        assert held.code == Code.KEY_HELD
        assert held.record.code == Code.DONE

    def test_an_unknown_attempt_is_replaced_only_if_named(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        claims.apply(2, finish('a', Code.UNKNOWN_BROKEN))
        assert claims.apply(3, claim('b')).code == Code.KEY_HELD
        assert claims.apply(4, claim('b', replaces='x')).code == Code.KEY_HELD
        assert claims.apply(5, claim('b', replaces='a')).code == Code.DONE

    def test_an_attempt_that_did_not_run_frees_the_key(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        claims.apply(2, finish('a', Code.SHED))
        assert claims.apply(3, claim('b')).code == Code.DONE

    def test_an_outcome_of_a_replaced_attempt_is_ignored(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        claims.apply(2, claim('b', replaces='a'))
        assert (
            claims.apply(3, finish('a', Code.DONE)).code == Code.STALE_ATTEMPT
        )
        assert claims.records['k'].attempt == 'b'

    def test_a_key_for_another_request_is_refused(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        assert (
            claims.apply(2, claim('b', fingerprint='other')).code
            == Code.KEY_REUSED
        )

    def test_keys_are_kept_for_their_retention(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        assert claims.apply(2, claim('b', at_ms=9_999)).code == Code.KEY_HELD
        claims.apply(3, claim('z', key='other', at_ms=10_001))
        assert set(claims.records) == {'other'}

    def test_a_look_up_needs_no_gate(self):
        claims = Claims(10_000)
        assert claims.apply(1, claim('x', gate='')).code == Code.NO_SERVER
        claims.apply(2, claim('a'))
        assert claims.apply(3, claim('x', gate='')).code == Code.KEY_HELD

    def test_a_restored_copy_applies_commands_alike(self):
        claims = Claims(10_000)
        claims.apply(1, claim('a'))
        copy = Claims(10_000)
        copy.load(claims.dump())
        assert copy.apply(2, claim('b')) == claims.apply(2, claim('b'))

    def test_keys_spread_over_shards(self):
        counts = [0] * 8
        for number in range(8000):
            counts[shard_of(f'key-{number}', 8)] += 1
        assert min(counts) > 800


class TestAttemptLog:
    def test_an_attempt_runs_once(self):
        log = AttemptLog(7, 100)
        assert log.begin('a', 7, 1.0) == Code.DONE
        assert log.begin('a', 7, 1.0) == Code.UNKNOWN_ATTEMPT

    def test_an_attempt_for_an_earlier_process_is_refused(self):
        log = AttemptLog(7, 100)
        assert log.begin('a', 6, 1.0) == Code.STALE_ATTEMPT

    def test_an_attempt_resolved_as_unseen_is_refused_later(self):
        log = AttemptLog(7, 100)
        assert log.resolve('a', 7, 500, 10.0).code == Code.STALE_ATTEMPT
        assert log.begin('a', 7, 10.1) == Code.STALE_ATTEMPT

    def test_the_outcome_of_a_finished_attempt_is_returned(self):
        log = AttemptLog(7, 100)
        log.begin('a', 7, 1.0)
        assert log.resolve('a', 7, 500, 2.0).code == Code.STILL_RUNNING
        log.finish('a', Code.DONE, Answer(status=201))
        assert log.resolve('a', 7, 500, 2.0).answer.status == 201

    def test_an_attempt_of_an_earlier_process_is_unknown(self):
        assert (
            AttemptLog(7, 100).resolve('a', 6, 500, 9.0).code
            == Code.UNKNOWN_ATTEMPT
        )

    def test_an_evicted_attempt_is_unknown_and_not_unseen(self):
        log = AttemptLog(7, 10)
        for number in range(50):
            log.begin(f'a{number}', 7, 1.0 + number)
        assert log.resolve('a3', 7, 60_000, 60.0).code == Code.UNKNOWN_ATTEMPT
        assert log.resolve('fresh', 7, 500, 200.0).code == Code.STALE_ATTEMPT

    @pytest.mark.parametrize('seed', range(10))
    def test_an_attempt_that_began_is_never_resolved_as_not_run(self, seed):
        rng = random.Random(seed)
        log = AttemptLog(7, 20)
        began: dict[str, float] = {}
        now = 0.0
        for number in range(400):
            now += rng.random() * 0.2
            name = f'a{number}'
            claimed = now - rng.random() * 0.1
            if log.begin(name, 7, now) == Code.DONE:
                began[name] = claimed
            chosen = rng.choice(sorted(began))
            age_ms = int((now - began[chosen]) * 1000)
            assert not log.resolve(chosen, 7, age_ms, now).code.not_run
