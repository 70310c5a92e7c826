"""Follower role of a Raft replica: appends, snapshots and leases."""

from papayalock.core.election import ElectionRole
from papayalock.core.replica import MS_PER_S, SNAPSHOT_WANTED_INDEX
from papayalock.messages import PeerMessage


class FollowerRole(ElectionRole):
    """Handles the messages of a leader."""

    def hears_leader(self, now: float) -> bool:
        """Whether a leader contacted this replica within an election timeout."""
        return bool(self.leader) and self._leader_is_live(now)

    def _reject_append(self, msg: PeerMessage) -> None:
        self._send(
            msg.sender, 'append_res', index=self.log.last_index, round=msg.round
        )

    def _on_leader_message(self, msg: PeerMessage, now: float) -> None:
        if self.role != 'follower' or self.leader != msg.sender:
            self._become_follower(msg.term, now)
            self._round_received_at = {}
            self.leader = msg.sender
        self._leader_contact_at = now
        self._reset_election_timer(now)
        self._update_lease(msg, now)
        if msg.kind == 'snapshot':
            self._install_snapshot(msg)
        elif not self.log.members:
            self._request_snapshot(msg)
        elif self.log.term_at(msg.index) == msg.log_term:
            self._append_entries(msg)
        elif msg.index < self.log.snapshot.index:
            self._acknowledge(msg, self.log.snapshot.index)
        else:
            hint = min(self.log.last_index, msg.index - 1)
            self._send(msg.sender, 'append_res', index=hint, round=msg.round)
        self._round_received_at[msg.round] = now

    def _request_snapshot(self, msg: PeerMessage) -> None:
        """Requests a snapshot, as no log entry has the first member set."""
        self._send(
            msg.sender,
            'append_res',
            index=SNAPSHOT_WANTED_INDEX,
            round=msg.round,
        )

    def _update_lease(self, msg: PeerMessage, now: float) -> None:
        """Extends the serving lease and records the released indices.

        The lease counts from this replica's response to the newest round that
        the leader saw acknowledged, which is earlier than the grant.
        """
        responded_at = self._round_received_at.get(msg.acked)
        if responded_at is not None and msg.lease_ms:
            self.lease_until = max(
                self.lease_until, responded_at + msg.lease_ms / MS_PER_S
            )
            self._round_received_at = {
                round_number: at
                for round_number, at in self._round_received_at.items()
                if round_number >= msg.acked
            }
        for zone, index in msg.releases.items():
            self.releases[zone] = max(index, self.releases.get(zone, 0))

    def _append_entries(self, msg: PeerMessage) -> None:
        new_entries = [
            entry
            for entry in msg.entries
            if self.log.term_at(entry.index) != entry.term
            and entry.index > self.log.snapshot.index
        ]
        if new_entries:
            if new_entries[0].index <= self.log.last_index:
                self.log.truncate(new_entries[0].index)
                self._discard_unpersisted(new_entries[0].index)
            self._append(new_entries)
        match_index = msg.entries[-1].index if msg.entries else msg.index
        self._commit_to(min(msg.commit, match_index))
        self._acknowledge(msg, match_index)

    def _discard_unpersisted(self, index: int) -> None:
        """Drops truncated entries from the effects not yet taken."""
        effects = self._effects
        effects.truncate_from = min(index, effects.truncate_from or index)
        effects.entries = [
            entry for entry in effects.entries if entry.index < index
        ]

    def _install_snapshot(self, msg: PeerMessage) -> None:
        snapshot = msg.snapshot
        if snapshot is None:
            return
        if snapshot.index > self.commit or not self.log.members:
            self.log.compact(snapshot)
            self.commit = snapshot.index
            self.applied = snapshot.index
            self._effects.installed_snapshot = snapshot
            self._effects.entries = []
            self._effects.truncate_from = 0
            self._effects.committed = []
            self._hard_state_changed = True
        self._acknowledge(
            msg, max(snapshot.index, min(self.commit, self.log.last_index))
        )

    def _acknowledge(self, msg: PeerMessage, match_index: int) -> None:
        self._send(
            msg.sender,
            'append_res',
            index=match_index,
            granted=True,
            commit=self.commit,
            round=msg.round,
        )
