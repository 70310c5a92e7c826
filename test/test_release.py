"""No node applies an older version after any restart or partition."""

import pytest

from papayalock.commands import encode_command
from papayalock.core.release import (
    NoLease,
    Offer,
    Redirect,
    Refusal,
    RestartedNodeRequest,
    offer_without_lease,
    zone_report,
)
from papayalock.messages import Member, SetMember, ZoneReport
from test.cluster import Cluster

ZONES = {'a': 'z1', 'b': 'z1', 'c': 'z2', 'd': 'z2', 'e': 'z3'}
LEARNERS = ('b', 'd')


class Node:
    """A node without a disk; ``highest`` is kept only for the assertion."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.applied_index = 0  # 0 after a restart
        self.highest = 0
        self.request: tuple[str, RestartedNodeRequest] | None = None

    def restart(self) -> None:
        self.applied_index = 0
        self.request = None

    def apply_index(self, index: int) -> None:
        if index <= self.applied_index:
            return
        assert index >= self.highest, (
            f'went back from {self.highest} to {index}'
        )
        self.applied_index = index
        self.highest = index


class Mesh:
    """A cluster with nodes that poll any control VM of their zone."""

    def __init__(self, seed: int) -> None:
        self.cluster = Cluster(ZONES, seed=seed, learners=LEARNERS)
        self.rng = self.cluster.rng
        self.nodes = [Node(zone) for zone in ('z1', 'z1', 'z2', 'z2', 'z3')]
        self.requested = 0
        self.offered = 0
        self.fencing: tuple[str, float] | None = None

    def poll(self, node: Node) -> None:
        names = [name for name, zone in ZONES.items() if zone == node.zone]
        name = self.rng.choice(names)
        peer = self.cluster.peers.get(name)
        if peer is None:
            node.request = None
            return
        replica = peer.replica
        released = min(replica.releases.get(node.zone, 0), replica.applied)
        if node.applied_index:
            node.apply_index(released)
            return
        self._poll_restarted(node, name)

    def _poll_restarted(self, node: Node, name: str) -> None:
        replica = self.cluster.peers[name].replica
        if node.request is None or node.request[0] != name:
            node.request = (name, RestartedNodeRequest(node.zone, replica))
            self.requested += 1
        answer = node.request[1].check(replica, self.cluster.now)
        if isinstance(answer, NoLease):
            node.request = None
            answer = self._ask_zone(node.zone, name)
        if isinstance(answer, Offer):
            replica.releases[node.zone] = max(
                answer.index, replica.releases.get(node.zone, 0)
            )
            self.offered += 1
            node.apply_index(answer.index)

    def _ask_zone(self, zone: str, name: str):
        peers = self.cluster.peers
        reports = [
            zone_report(peers[other].replica, zone)
            for other, other_zone in ZONES.items()
            if other_zone == zone
            and other in peers
            and frozenset((name, other)) not in self.cluster.cut_links
        ]
        return offer_without_lease(name, zone, reports)

    def fence(self, name: str) -> None:
        leader = self.cluster.leader()
        if (
            leader is None
            or self.fencing
            or not leader.replica.can_change_members()
        ):
            return
        leader.replica.stop_leases(name)
        self.fencing = (name, leader.replica.term)

    def change(self, action: str, name: str) -> None:
        leader = self.cluster.leader()
        if leader is None or not leader.replica.can_change_members():
            return
        command = SetMember(
            kind='member',
            request='',
            action=action,
            member=Member(member=name, zone=ZONES[name], address=name),
        )
        leader.replica.propose([encode_command(command)], self.cluster.now)
        self.cluster.settle(leader)

    def continue_fencing(self) -> None:
        if self.fencing is None:
            return
        name, term = self.fencing
        leader = self.cluster.leader()
        if leader is None or leader.replica.term != term:
            self.fencing = None
        elif self.cluster.now >= leader.replica.fence_allowed_at(name):
            self.change('fence', name)
            leader.replica.resume_leases(name)
            self.fencing = None

    def run_round(self) -> None:
        self.inject_fault()
        self.cluster.propose('{"kind":"noop"}')
        for _ in range(20):
            self.cluster.step()
            self.continue_fencing()
            node = self.rng.choice(self.nodes)
            if self.rng.random() < 0.05:
                node.restart()
            self.poll(node)

    def inject_fault(self) -> None:
        cluster = self.cluster
        name = self.rng.choice(sorted(ZONES))
        kind = self.rng.randrange(8)
        if kind == 0 and len(cluster.peers) > 4:
            cluster.crash(name)
        elif kind == 1:
            for stopped in set(ZONES) - set(cluster.peers):
                cluster.start(stopped)
        elif kind == 2:
            cluster.isolate(name)
        elif kind == 3:
            inside = {
                member for member, zone in ZONES.items() if zone == ZONES[name]
            }
            cluster.cut_links.update(
                frozenset((member, other))
                for member in inside
                for other in set(ZONES) - inside
            )
        elif kind in {4, 5}:
            cluster.heal()
        elif kind == 6:
            self.fence(self.rng.choice(LEARNERS))
        else:
            self.change('unfence', self.rng.choice(LEARNERS))


class TestNoOlderIndex:
    @pytest.mark.parametrize('seed', range(40))
    def test_no_node_applies_an_older_index(self, seed):
        mesh = Mesh(seed)
        mesh.cluster.run(1.5)
        mesh.cluster.loss = 0.05
        for _ in range(60):
            mesh.run_round()
        assert mesh.offered > 10
        assert max(node.highest for node in mesh.nodes) > 10

    def test_restarted_node_waits_for_the_release(self):
        mesh = Mesh(1)
        mesh.cluster.run(2)
        replica = mesh.cluster.leader().replica
        zone = ZONES[replica.cfg.name]
        request = RestartedNodeRequest(zone, replica)
        replica.durable_commit += 1
        later_request = RestartedNodeRequest(zone, replica)
        assert isinstance(request.check(replica, mesh.cluster.now), Offer)
        assert not isinstance(
            later_request.check(replica, mesh.cluster.now), Offer
        )

    def test_request_without_a_lease_does_not_wait_for_one(self):
        mesh = Mesh(7)
        replica = mesh.cluster.peers['b'].replica
        request = RestartedNodeRequest('z1', replica)
        assert isinstance(request.check(replica, mesh.cluster.now), NoLease)

    def test_partitioned_fenced_vm_offers_no_older_index(self):
        mesh = Mesh(2)
        cluster = mesh.cluster
        cluster.run(2)
        cluster.isolate('b')
        node = next(node for node in mesh.nodes if node.zone == 'z1')
        while mesh.fencing is None:
            mesh.fence('b')
            cluster.step()
        for _ in range(300):
            cluster.step()
            mesh.continue_fencing()
        cluster.propose('{"kind":"noop"}')
        cluster.run(1)
        ahead = cluster.peers['a'].replica.releases['z1']
        behind = cluster.peers['b'].replica.releases['z1']
        assert ahead > behind
        node.apply_index(ahead)
        node.restart()
        mesh._poll_restarted(node, 'b')
        assert node.applied_index == 0

    def test_fencing_before_lease_expiry_takes_a_node_back(self):
        """Counterexample: the VM is fenced before its lease has expired."""
        mesh = Mesh(3)
        cluster = mesh.cluster
        cluster.run(2)
        assert cluster.peers['b'].replica.has_lease(cluster.now)
        cluster.isolate('b')
        mesh.change('fence', 'b')
        cluster.run(0.2)
        cluster.propose('{"kind":"noop"}')
        cluster.run(0.2)
        node = next(node for node in mesh.nodes if node.zone == 'z1')
        node.apply_index(cluster.peers['a'].replica.releases['z1'])
        node.restart()
        with pytest.raises(AssertionError, match='went back'):
            mesh._poll_restarted(node, 'b')


class TestLease:
    def test_a_fenced_leader_has_no_lease(self):
        mesh = Mesh(4)
        mesh.cluster.run(2)
        replica = mesh.cluster.leader().replica
        assert replica.has_lease(mesh.cluster.now)
        mesh.change('fence', replica.cfg.name)
        mesh.cluster.run(0.05)
        assert replica.is_leader
        assert not replica.has_lease(mesh.cluster.now)

    def test_a_vm_that_missed_a_member_change_gets_no_lease(self):
        mesh = Mesh(5)
        cluster = mesh.cluster
        cluster.run(2)
        leader = cluster.leader().replica
        cluster.isolate('b')
        mesh.change('fence', 'd')
        cluster.run(1)
        progress = leader.peers['b']
        assert progress.commit < leader.log.member_set_index
        granted = progress.lease_granted_at
        cluster.run(0.5)
        assert progress.lease_granted_at == granted

    def test_a_new_leader_waits_out_the_leases_of_its_predecessor(self):
        mesh = Mesh(6)
        cluster = mesh.cluster
        cluster.run(2)
        cluster.isolate(cluster.leader().replica.cfg.name)
        cluster.run(2)
        replica = cluster.leader().replica
        waited = replica.fence_allowed_at('d') - replica.elected_at
        assert waited > (replica.cfg.election_ms + replica.cfg.lease_ms) / 1000


def report(
    member: str,
    commit: int,
    released: int = 0,
    *,
    view: int = 0,
    members: list[Member] | None = None,
) -> ZoneReport:
    known = (
        members
        if members is not None
        else [Member(member=name, zone='z1', address=name) for name in 'ab']
    )
    return ZoneReport(
        member=member,
        durable_commit=commit,
        released=released,
        view_index=view,
        members=known,
    )


class TestOfferWithoutLease:
    def test_offer_is_the_index_that_all_vms_hold(self):
        assert offer_without_lease(
            'a', 'z1', [report('a', 9), report('b', 7)]
        ) == Offer(7)

    def test_offer_covers_the_newest_known_release(self):
        assert offer_without_lease(
            'a', 'z1', [report('a', 9, 8), report('b', 9, 5)]
        ) == Offer(9)

    def test_a_missing_report_is_refused(self):
        assert isinstance(
            offer_without_lease('a', 'z1', [report('a', 9)]), Refusal
        )

    def test_a_fenced_vm_redirects(self):
        fenced = [
            Member(member='a', zone='z1', address='a', fenced=True),
            Member(member='b', zone='z1', address='b'),
        ]
        answer = offer_without_lease(
            'a',
            'z1',
            [report('a', 4), report('b', 9, 9, view=6, members=fenced)],
        )
        assert answer == Redirect('b')

    def test_a_vm_that_lacks_the_newest_member_set_refuses(self):
        unfenced = [
            Member(member=name, zone='z1', address=name) for name in 'ab'
        ]
        answer = offer_without_lease(
            'a',
            'z1',
            [report('a', 4), report('b', 9, 9, view=6, members=unfenced)],
        )
        assert isinstance(answer, Refusal)

    def test_a_zone_with_one_vm_needs_no_other_report(self):
        alone = [Member(member='e', zone='z1', address='e')]
        assert offer_without_lease(
            'e', 'z1', [report('e', 5, members=alone)]
        ) == Offer(5)

    def test_an_adopting_vm_serves_the_adopted_zone(self):
        members = [
            Member(member='a', zone='z1', address='a', fenced=True),
            Member(member='c', zone='z2', address='c', adopts=['z1']),
        ]
        assert offer_without_lease(
            'c', 'z1', [report('c', 5, members=members)]
        ) == Offer(5)
