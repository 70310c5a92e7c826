"""Elections, replication and member changes of a Raft group."""

import pytest

from papayalock.commands import encode_command
from papayalock.messages import Member, SetMember
from test.cluster import Cluster

ZONES = {'a': 'z1', 'b': 'z2', 'c': 'z3'}
NOOP = '{"kind":"noop"}'


class TestElection:
    def test_one_leader_is_elected(self):
        cluster = Cluster(ZONES, seed=1)
        cluster.run(2)
        assert (
            sum(peer.replica.is_leader for peer in cluster.peers.values()) == 1
        )

    def test_restarted_group_elects_within_one_election_timeout(self):
        """Two of three VMs restart; the network drops their first pre-votes."""
        without_leader = 0
        for seed in range(40):
            cluster = Cluster(ZONES, seed)
            cluster.run(2)
            for name in list(cluster.peers):
                cluster.crash(name)
                cluster.isolate(name)
            for name in list(ZONES)[:2]:
                cluster.start(name)
            cluster.run(0.25)
            cluster.heal()
            cluster.run(0.3)
            without_leader += cluster.leader() is None
        assert without_leader <= 10  # elections with split votes

    def test_no_leader_without_a_quorum(self):
        cluster = Cluster(ZONES, seed=2)
        cluster.crash('b')
        cluster.crash('c')
        cluster.run(3)
        assert cluster.leader() is None
        assert cluster.peers['a'].replica.term == 0

    def test_partitioned_leader_steps_down_by_check_quorum(self):
        cluster = Cluster(ZONES, seed=3)
        cluster.run(2)
        old = cluster.leader().replica
        cluster.isolate(old.cfg.name)
        cluster.run(2)
        assert not old.is_leader
        assert not old.has_lease(cluster.now)
        assert cluster.leader().replica.cfg.name != old.cfg.name

    def test_returning_replica_does_not_depose_the_leader(self):
        cluster = Cluster(ZONES, seed=4)
        cluster.run(2)
        leader = cluster.leader().replica
        other = next(name for name in ZONES if name != leader.cfg.name)
        cluster.isolate(other)
        cluster.run(5)
        term = leader.term
        cluster.heal()
        cluster.run(2)
        assert leader.is_leader
        assert leader.term == term

    def test_term_survives_a_crash(self):
        cluster = Cluster(ZONES, seed=5)
        cluster.run(2)
        before = {
            name: peer.replica.term for name, peer in cluster.peers.items()
        }
        for name in ZONES:
            cluster.crash(name)
        for name in ZONES:
            cluster.start(name)
        assert {
            name: peer.replica.term for name, peer in cluster.peers.items()
        } == before


class TestReplication:
    def test_committed_entry_survives_the_loss_of_its_leader(self):
        cluster = Cluster(ZONES, seed=6)
        cluster.run(2)
        index = cluster.propose(NOOP)
        cluster.run(1)
        cluster.crash(cluster.leader().replica.cfg.name)
        cluster.run(3)
        leader = cluster.leader()
        assert leader.replica.commit >= index
        cluster.check_logs()

    def test_lagging_replica_catches_up_by_snapshot(self):
        cluster = Cluster(ZONES, seed=7)
        cluster.run(2)
        leader = cluster.leader()
        other = next(name for name in ZONES if name != leader.replica.cfg.name)
        cluster.crash(other)
        for _ in range(300):
            cluster.propose(NOOP)
            cluster.step()
        cluster.run(1)
        leader.storage.save_snapshot(
            leader.replica.compact('{}', leader.replica.applied), []
        )
        cluster.start(other)
        cluster.run(3)
        assert cluster.peers[other].replica.commit == leader.replica.commit
        assert cluster.peers[other].replica.log.snapshot.index > 0

    @pytest.mark.parametrize('seed', range(12))
    def test_logs_agree_under_faults(self, seed):
        cluster = Cluster(ZONES, seed=seed)
        cluster.loss = 0.1
        cluster.duplicate = 0.1
        cluster.delay = 0.1
        cluster.crash_before_save = 0.01
        for round_number in range(40):
            fault = cluster.rng.randrange(5)
            name = cluster.rng.choice(sorted(ZONES))
            if fault == 0 and len(cluster.peers) == 3:
                cluster.crash(name)
            elif fault == 1:
                restart_all(cluster)
            elif fault == 2:
                cluster.isolate(name)
            elif fault == 3:
                cluster.heal()
            cluster.propose(f'{{"kind":"noop","round":{round_number}}}')
            cluster.run(0.3)
            cluster.check_logs()
        cluster.heal()
        cluster.crash_before_save = 0.0
        restart_all(cluster)
        cluster.run(5)
        assert (
            len({peer.replica.commit for peer in cluster.peers.values()}) == 1
        )


def restart_all(cluster: Cluster) -> None:
    for name in set(ZONES) - set(cluster.peers):
        cluster.start(name)


def change(action: str, member: str, zone: str = 'z1') -> str:
    command = SetMember(
        kind='member',
        request='',
        action=action,
        member=Member(member=member, zone=zone, address=member),
    )
    return encode_command(command)


class TestMemberChanges:
    def test_vm_that_lost_its_disk_rejoins_as_learner_and_is_promoted(self):
        cluster = Cluster(ZONES, seed=8)
        cluster.run(2)
        lost_vm = next(
            name for name in ZONES if name != cluster.leader().replica.cfg.name
        )
        cluster.crash(lost_vm)
        index = cluster.propose(NOOP)
        cluster.run(1)
        cluster.disks['d'] = type(cluster.disks[lost_vm])()
        cluster.members = []
        cluster.start('d')
        cluster.propose(change('add', 'd', ZONES[lost_vm]))
        cluster.run(1)
        joined = cluster.peers['d'].replica
        assert not joined.own_member.voter
        assert joined.log.members == cluster.leader().replica.log.members
        assert cluster.peers['d'].replica.commit >= index
        cluster.propose(change('promote', 'd'))
        cluster.run(1)
        cluster.propose(change('remove', lost_vm))
        cluster.run(1)
        assert sorted(
            peer.member
            for peer in cluster.leader().replica.log.members
            if peer.voter
        ) == sorted({*ZONES, 'd'} - {lost_vm})
        second = cluster.leader().replica.cfg.name
        cluster.crash(second)
        cluster.run(3)
        assert cluster.leader().replica.commit >= index
        cluster.check_logs()

    def test_learner_never_votes(self):
        cluster = Cluster(ZONES, seed=9, learners=('c',))
        cluster.run(2)
        cluster.crash(
            next(
                name
                for name in 'ab'
                if name != cluster.leader().replica.cfg.name
            )
        )
        cluster.run(3)
        assert cluster.leader() is None
