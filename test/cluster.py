"""A simulated network that loses, delays, duplicates and cuts messages."""

import random

from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Replica, ReplicaConfig
from papayalock.messages import Entry, Member, PeerMessage

STEP_S = 0.01


class MemoryDisk:
    """Files in memory; a crash keeps what was written, since writes sync."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.full = False
        self.tear = 0

    def read(self, name: str) -> bytes | None:
        return self.files.get(name)

    def append(self, name: str, data: bytes) -> None:
        if self.full:
            self.files[name] = (
                self.files.get(name, b'') + data[: len(data) // 2]
            )
            raise OSError(28, 'No space left on device')
        self.files[name] = self.files.get(name, b'') + data

    def replace(self, name: str, data: bytes) -> None:
        if self.full:
            raise OSError(28, 'No space left on device')
        self.files[name] = data

    def truncate(self, name: str, size: int) -> None:
        self.files[name] = self.files[name][:size]


class Peer:
    """A replica with its disk; applied entries are kept for checks."""

    def __init__(
        self,
        name: str,
        members: list[Member],
        disk: MemoryDisk,
        seed: int,
        now: float,
    ) -> None:
        self.disk = disk
        self.storage = GroupStorage(disk, 'config')
        cfg = ReplicaConfig(
            'config', name, tick_ms=50, election_ms=300, lease_ms=600
        )
        self.replica = Replica(
            cfg, self.storage.load(members), random.Random(seed), now
        )
        self.applied: list[Entry] = []
        self.release_log: list[int] = []


class Cluster:
    """Replicas that exchange messages under seeded faults."""

    def __init__(
        self,
        zones: dict[str, str],
        seed: int,
        *,
        learners: tuple[str, ...] = (),
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.members = [
            Member(
                member=name, zone=zone, address=name, voter=name not in learners
            )
            for name, zone in zones.items()
        ]
        self.peers: dict[str, Peer] = {}
        self.disks = {name: MemoryDisk() for name in zones}
        self.in_flight: list[tuple[float, PeerMessage]] = []
        self.cut_links: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplicate = 0.0
        self.crash_before_save = 0.0
        self.delay = 0.02
        self.leaders: dict[int, str] = {}
        for name in zones:
            self.start(name)

    def start(self, name: str) -> None:
        self.peers[name] = Peer(
            name,
            self.members,
            self.disks[name],
            self.rng.randrange(1 << 30),
            self.now,
        )

    def crash(self, name: str) -> None:
        self.peers.pop(name, None)

    def isolate(self, name: str) -> None:
        self.cut_links.update(
            frozenset((name, other)) for other in self.disks if other != name
        )

    def heal(self) -> None:
        self.cut_links.clear()
        self.one_way.clear()

    def leader(self) -> Peer | None:
        leading = [
            peer for peer in self.peers.values() if peer.replica.is_leader
        ]
        return max(leading, key=lambda peer: peer.replica.term, default=None)

    def propose(self, payload: str) -> int:
        leader = self.leader()
        if leader is None:
            return 0
        index = leader.replica.propose([payload], self.now)
        self.settle(leader)
        return index

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()

    def step(self) -> None:
        self.now += STEP_S
        due = [message for at, message in self.in_flight if at <= self.now]
        self.in_flight = [pair for pair in self.in_flight if pair[0] > self.now]
        for message in due:
            self._deliver(message)
        for peer in list(self.peers.values()):
            peer.replica.tick(self.now)
            self.settle(peer)

    def settle(self, peer: Peer) -> None:
        while True:
            effects = peer.replica.take_effects()
            for message in effects.before_persist:
                self._send(message)
            if (
                effects.needs_persist
                and self.rng.random() < self.crash_before_save
            ):
                self.crash(peer.replica.cfg.name)
                return
            if effects.needs_persist:
                peer.storage.save(effects)
            for message in effects.after_persist:
                self._send(message)
            if effects.installed_snapshot is not None:
                peer.applied = [
                    Entry(
                        term=0,
                        index=effects.installed_snapshot.index,
                        payload='snapshot',
                    )
                ]
            peer.applied.extend(effects.committed)
            self._check_leader(peer)
            if (
                not effects.needs_persist
                and not effects.messages
                and not effects.committed
            ):
                return
            peer.replica.mark_persisted(self.now)

    def _check_leader(self, peer: Peer) -> None:
        if peer.replica.is_leader:
            known = self.leaders.setdefault(
                peer.replica.term, peer.replica.cfg.name
            )
            assert known == peer.replica.cfg.name, 'two leaders in one term'

    def _deliver(self, message: PeerMessage) -> None:
        peer = self.peers.get(message.receiver)
        if (
            peer is None
            or frozenset((message.sender, message.receiver)) in self.cut_links
        ):
            return
        if (message.sender, message.receiver) in self.one_way:
            return
        peer.replica.receive(message, self.now)
        self.settle(peer)

    def _send(self, message: PeerMessage) -> None:
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            self.in_flight.append(
                (self.now + self.rng.random() * self.delay, message)
            )

    def check_logs(self) -> None:
        """Asserts that all replicas applied the same entry at each index."""
        seen: dict[int, tuple[int, str]] = {}
        for peer in self.peers.values():
            for entry in peer.applied:
                if entry.payload == 'snapshot':
                    continue
                found = (entry.term, entry.payload)
                assert seen.setdefault(entry.index, found) == found
