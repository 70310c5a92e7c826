"""State of a Raft replica that its follower, candidate and leader share."""

from typing import Any, Literal

from papayalock.core.raftlog import RaftLog
from papayalock.messages import Entry, Member, PeerMessage, Snapshot
from papayalock.ports import Random

MS_PER_S = 1000
PERCENT = 100
PRE_VOTE_DELAY_SHARE = 0.25  # smallest share of the election timeout
SNAPSHOT_WANTED_INDEX = -1  # in an append response: a snapshot is needed
PeerKind = Literal[
    'pre_vote',
    'pre_vote_res',
    'vote',
    'vote_res',
    'append',
    'append_res',
    'snapshot',
    'timeout_now',
]


LEADER_MESSAGE_KINDS = frozenset(('append', 'snapshot'))


class HardState:
    """State that must survive a restart besides the log, as Raft requires."""

    __slots__ = ('commit', 'term', 'vote')

    def __init__(self, term: int = 0, vote: str = '', commit: int = 0) -> None:
        """Sets the term, the vote cast in it and the durable commit index."""
        self.term = term
        self.vote = vote
        self.commit = commit


class RestoredState:
    """What storage held when the replica started."""

    __slots__ = ('entries', 'hard_state', 'snapshot')

    def __init__(
        self, hard_state: HardState, snapshot: Snapshot, entries: list[Entry]
    ) -> None:
        """Bundles hard state, snapshot and the log entries after it."""
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries


class ReplicaConfig:
    """Identity and timing of one replica; times in milliseconds."""

    __slots__ = (
        'append_entries',
        'drift_percent',
        'eager_commit',
        'election_ms',
        'group',
        'lease_ms',
        'name',
        'tick_ms',
    )

    def __init__(
        self,
        group: str,
        name: str,
        *,
        tick_ms: int = 50,
        election_ms: int = 500,
        lease_ms: int = 1000,
        drift_percent: int = 5,
        append_entries: int = 256,
        eager_commit: bool = True,
    ) -> None:
        """Sets the identity and the timing.

        :param tick_ms: heartbeat interval
        :param election_ms: minimum election timeout, also the check-quorum window
        :param lease_ms: length of a serving lease
        :param drift_percent: clock drift that lease expiry allows for
        :param append_entries: maximum entries in one append message
        :param eager_commit: whether the leader announces a new commit index at
            once, as releasing a version needs, or with its next append or
            heartbeat
        """
        self.group = group
        self.name = name
        self.tick_ms = tick_ms
        self.election_ms = election_ms
        self.lease_ms = lease_ms
        self.drift_percent = drift_percent
        self.append_entries = append_entries
        self.eager_commit = eager_commit


class Effects:
    """Work for the driver, in this order: persist, send, apply."""

    __slots__ = (
        'committed',
        'elected',
        'entries',
        'hard_state',
        'installed_snapshot',
        'messages',
        'truncate_from',
    )

    def __init__(self) -> None:
        """Starts empty."""
        self.hard_state: HardState | None = None
        self.elected = False
        self.truncate_from = 0
        self.entries: list[Entry] = []
        self.messages: list[PeerMessage] = []
        self.committed: list[Entry] = []
        self.installed_snapshot: Snapshot | None = None

    @property
    def before_persist(self) -> list[PeerMessage]:
        """Messages that may be sent before the rest is durable.

        A leader's own disk is one vote of the quorum, so the leader sends
        entries while it writes them; but not before the term in which it was
        elected is durable.
        """
        if self.elected:
            return []
        return [
            msg for msg in self.messages if msg.kind in LEADER_MESSAGE_KINDS
        ]

    @property
    def after_persist(self) -> list[PeerMessage]:
        """Messages that must wait until the rest is durable."""
        if self.elected:
            return self.messages
        return [
            msg for msg in self.messages if msg.kind not in LEADER_MESSAGE_KINDS
        ]

    @property
    def needs_persist(self) -> bool:
        """Whether something must be durable before messages are sent."""
        return bool(
            self.hard_state
            or self.entries
            or self.truncate_from
            or self.installed_snapshot
        )


class Progress:
    """A leader's view of one peer: replication, acknowledged rounds, lease."""

    __slots__ = (
        'acked_round',
        'acked_sent_at',
        'commit',
        'lease_granted_at',
        'match_index',
        'next_index',
        'round_sent_at',
        'snapshot_sent_at',
    )

    def __init__(self, next_index: int) -> None:
        """Starts with an unknown match index."""
        self.next_index = next_index
        self.match_index = 0
        self.commit = 0
        self.acked_round = 0
        # When the newest acknowledged heartbeat round was sent.
        self.acked_sent_at = float('-inf')
        self.lease_granted_at = float('-inf')
        self.snapshot_sent_at = float('-inf')
        self.round_sent_at: dict[int, float] = {}


class ReplicaState:
    """Raft state of one replica and the queries that hold in every role."""

    def __init__(
        self,
        cfg: ReplicaConfig,
        restored: RestoredState,
        rng: Random,
        now: float,
    ) -> None:
        """Starts as a follower from the restored state.

        :param now: monotonic seconds
        """
        self.cfg = cfg
        self.log = RaftLog(restored.snapshot, restored.entries)
        self.term = restored.hard_state.term
        self.vote = restored.hard_state.vote
        self.commit = max(restored.hard_state.commit, restored.snapshot.index)
        self.applied = restored.snapshot.index
        self.durable_commit = self.commit
        self.role = 'follower'
        self.leader = ''
        self.releases: dict[str, int] = {}
        self.lease_until = float('-inf')
        self.elected_at = float('-inf')
        self.peers: dict[str, Progress] = {}
        self._rng = rng
        self._votes: set[str] = set()
        self._leader_contact_at = float('-inf')
        self._round_received_at: dict[int, float] = {}
        self._heartbeat_round = 0
        self._term_start_index = 0
        self._lease_denied: set[str] = set()
        self._own_match_index = 0
        self._taken_commit_index = self.commit
        self._taken_last_index = self.log.last_index
        self._hard_state_changed = False
        self._effects = Effects()
        self._election_due_at = now + self._pre_vote_delay()
        self._next_heartbeat_at = now

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its group."""
        return self.role == 'leader'

    @property
    def own_member(self) -> Member | None:
        """This replica's own member record in the newest member set."""
        return next(
            (vm for vm in self.log.members if vm.member == self.cfg.name),
            None,
        )

    def has_lease(self, now: float) -> bool:
        """Whether this control VM holds a serving lease.

        A leader holds one for as long as check quorum passes. A fenced VM has
        none, even when it leads: its own commit index no longer bounds what
        the nodes of its zone were offered.
        """
        own = self.own_member
        if own is None or own.fenced:
            return False
        if self.is_leader:
            return self._quorum_is_active(now)
        return now < self.lease_until

    def fence_allowed_at(self, member: str) -> float:
        """Returns the monotonic time by which a member's lease has expired.

        A new leader counts from its election, since its predecessor may have
        granted leases until its own check quorum failed.
        """
        drift_s_per_ms = (PERCENT + self.cfg.drift_percent) / PERCENT / MS_PER_S
        predecessor_expiry = (
            self.elected_at
            + (self.cfg.election_ms + self.cfg.lease_ms) * drift_s_per_ms
        )
        progress = self.peers.get(member)
        if progress is None:
            return predecessor_expiry
        return max(
            predecessor_expiry,
            progress.lease_granted_at + self.cfg.lease_ms * drift_s_per_ms,
        )

    def stop_leases(self, member: str) -> None:
        """Grants a control VM no lease until :meth:`resume_leases`."""
        self._lease_denied.add(member)

    def resume_leases(self, member: str) -> None:
        """Grants a control VM leases again, unless it is fenced."""
        self._lease_denied.discard(member)

    def expedite_heartbeat(self, now: float) -> None:
        """Makes the next heartbeat due now."""
        self._next_heartbeat_at = min(self._next_heartbeat_at, now)

    def read_index(self, arrived_at: float) -> int | None:
        """Returns the read index for a read, or None if it is not proven yet.

        The commit index covers every commit before ``arrived_at`` once an
        entry of the leader's own term is committed and a quorum has
        acknowledged a heartbeat that was sent at ``arrived_at`` or later.

        :param arrived_at: monotonic seconds at which the read arrived
        """
        if not self.leads_current_log:
            return None
        acked = [
            name
            for name in self._voters()
            if self._acked_since(name, arrived_at)
        ]
        return self.commit if len(acked) >= self._majority() else None

    @property
    def leads_current_log(self) -> bool:
        """Whether this VM leads and has applied all that was committed before.

        A leader has once an entry of its own term is applied.
        """
        return self.is_leader and self.applied >= self._term_start_index

    def can_change_members(self) -> bool:
        """Whether a single-member change may be proposed now.

        The previous change and an entry of the leader's own term must be
        committed first.
        """
        return self.is_leader and self.commit >= max(
            self.log.member_set_index, self._term_start_index
        )

    def take_effects(self, apply_limit: int | None = None) -> Effects:
        """Returns the effects of all inputs since the last call.

        :param apply_limit: newest index that may be applied now; None for all
            committed entries
        """
        effects = self._effects
        self._effects = Effects()
        self._taken_commit_index = self.commit
        self._taken_last_index = self.log.last_index
        if self._hard_state_changed:
            effects.hard_state = HardState(self.term, self.vote, self.commit)
            self._hard_state_changed = False
        limit = self.commit if apply_limit is None else apply_limit
        if self.applied < limit:
            effects.committed = self.log.entries_between(
                self.applied + 1, limit, limit
            )
            self.applied = limit
        return effects

    def _pre_vote_delay(self) -> float:
        """Returns the seconds from a start or a pre-vote to the next pre-vote.

        It is shorter than an election timeout: a pre-vote disturbs no leader,
        so a group of which all VMs restarted need not wait for as long as one
        that lost its leader.
        """
        share = PRE_VOTE_DELAY_SHARE * (1 + self._rng.random())
        return self.cfg.election_ms * share / MS_PER_S

    def _reset_election_timer(self, now: float) -> None:
        timeout_ms = self.cfg.election_ms * (1 + self._rng.random())
        self._election_due_at = now + timeout_ms / MS_PER_S

    def _leader_is_live(self, now: float) -> bool:
        if self.is_leader:
            return self._quorum_is_active(now)
        return now - self._leader_contact_at < self.cfg.election_ms / MS_PER_S

    def _quorum_is_active(self, now: float) -> bool:
        limit = now - self.cfg.election_ms / MS_PER_S
        acked = [
            name for name in self._voters() if self._acked_since(name, limit)
        ]
        return len(acked) >= self._majority()

    def _acked_since(self, name: str, limit: float) -> bool:
        if name == self.cfg.name:
            return True
        return name in self.peers and self.peers[name].acked_sent_at >= limit

    def _is_voter(self, name: str) -> bool:
        return any(vm.member == name and vm.voter for vm in self.log.members)

    def _voters(self) -> list[str]:
        return [vm.member for vm in self.log.members if vm.voter]

    def _majority(self) -> int:
        return len(self._voters()) // 2 + 1

    def _append(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._effects.entries.extend(entries)

    def _set_term(self, term: int, *, vote: str) -> None:
        self._hard_state_changed = (
            self._hard_state_changed or term != self.term or vote != self.vote
        )
        self.term = term
        self.vote = vote

    def _commit_to(self, index: int) -> None:
        if index <= self.commit:
            return
        self.commit = index
        self._hard_state_changed = True

    def _send(
        self,
        receiver: str,
        kind: PeerKind,
        *,
        term: int | None = None,
        **fields: Any,
    ) -> None:
        message = PeerMessage(
            group=self.cfg.group,
            kind=kind,
            sender=self.cfg.name,
            receiver=receiver,
            term=self.term if term is None else term,
            **fields,
        )
        self._effects.messages.append(message)
