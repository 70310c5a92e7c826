"""Proved reads: a leader that was cut off proves nothing."""

from test.cluster import Cluster


def settle(cluster: Cluster, seconds: float) -> None:
    cluster.run(seconds)


class TestConfirmedIndex:
    def test_a_quorum_must_answer_after_the_question(self):
        cluster = Cluster({'a': 'z', 'b': 'z', 'c': 'z'}, seed=3)
        settle(cluster, 2)
        replica = cluster.leader().replica
        asked = cluster.now
        assert replica.read_index(asked) is None
        settle(cluster, 0.3)
        assert replica.read_index(asked) == replica.commit

    def test_a_leader_that_is_cut_off_proves_nothing(self):
        cluster = Cluster({'a': 'z', 'b': 'z', 'c': 'z'}, seed=4)
        settle(cluster, 2)
        old = cluster.leader().replica
        cluster.isolate(old.cfg.name)
        asked = cluster.now
        settle(cluster, 2)
        assert old.read_index(asked) is None
        assert cluster.leader().replica is not old

    def test_what_was_committed_before_the_question_is_covered(self):
        cluster = Cluster({'a': 'z', 'b': 'z', 'c': 'z'}, seed=5)
        settle(cluster, 2)
        index = cluster.propose('{"kind":"noop"}')
        settle(cluster, 0.5)
        replica = cluster.leader().replica
        asked = cluster.now
        settle(cluster, 0.3)
        assert replica.read_index(asked) >= index
