"""Read index: a partitioned leader confirms no reads."""

from test.cluster import Cluster


def run_for(cluster: Cluster, seconds: float) -> None:
    cluster.run(seconds)


class TestReadIndex:
    def test_a_quorum_must_respond_after_the_read_arrived(self):
        cluster = Cluster({'a': 'z', 'b': 'z', 'c': 'z'}, seed=3)
        run_for(cluster, 2)
        replica = cluster.leader().replica
        asked = cluster.now
        assert replica.read_index(asked) is None
        run_for(cluster, 0.3)
        assert replica.read_index(asked) == replica.commit

    def test_a_partitioned_leader_confirms_nothing(self):
        cluster = Cluster({'a': 'z', 'b': 'z', 'c': 'z'}, seed=4)
        run_for(cluster, 2)
        old = cluster.leader().replica
        cluster.isolate(old.cfg.name)
        asked = cluster.now
        run_for(cluster, 2)
        assert old.read_index(asked) is None
        assert cluster.leader().replica is not old

    def test_entries_committed_before_the_read_are_covered(self):
        cluster = Cluster({'a': 'z', 'b': 'z', 'c': 'z'}, seed=5)
        run_for(cluster, 2)
        index = cluster.propose('{"kind":"noop"}')
        run_for(cluster, 0.5)
        replica = cluster.leader().replica
        asked = cluster.now
        run_for(cluster, 0.3)
        assert replica.read_index(asked) >= index
