"""Leader role of a Raft replica: replication, commit, leases and releases."""

from papayalock.core.replica import (
    MS_PER_S,
    SNAPSHOT_WANTED_INDEX,
    Progress,
    ReplicaState,
)
from papayalock.core.zones import released_indices
from papayalock.messages import PeerMessage

MAX_APPEND_CHARACTERS = 1_048_576  # payload of one append message


class LeaderRole(ReplicaState):
    """Replicates the log, advances the commit index and grants leases."""

    def _sync_peers(self, now: float) -> None:
        """Tracks the progress of exactly the other members."""
        names = {
            vm.member for vm in self.log.members if vm.member != self.cfg.name
        }
        for name in names - set(self.peers):
            self.peers[name] = Progress(self.log.last_index + 1)
            self.peers[name].acked_sent_at = now
        for name in set(self.peers) - names:
            self.peers.pop(name)

    def _broadcast(self, now: float) -> None:
        self._sync_peers(now)
        self._next_heartbeat_at = now + self.cfg.tick_ms / MS_PER_S
        self._heartbeat_round += 1
        for name in self.peers:
            self._replicate(name, now)

    def _replicate(self, name: str, now: float) -> None:
        """Sends a peer the entries from its next index, or a snapshot."""
        progress = self.peers[name]
        previous_index = progress.next_index - 1
        log_term = self.log.term_at(previous_index)
        if log_term is None:
            self._send_snapshot(name, now)
            return
        entries = self.log.batch(
            progress.next_index, self.cfg.append_entries, MAX_APPEND_CHARACTERS
        )
        lease_ms = self._grant_lease(name, now)
        progress.round_sent_at[self._heartbeat_round] = now
        if entries:
            progress.next_index = entries[-1].index + 1
        self._send(
            name,
            'append',
            index=previous_index,
            log_term=log_term,
            entries=entries,
            commit=self.commit,
            round=self._heartbeat_round,
            acked=progress.acked_round,
            lease_ms=lease_ms,
            releases=self._releases_for(name),
        )

    def _grant_lease(self, name: str, now: float) -> int:
        """Returns the serving lease in ms that the next append grants, or 0.

        A VM that has not yet committed the newest member set may have been
        fenced and unfenced without knowing, so it gets none.
        """
        progress = self.peers[name]
        member_set = self.log.member_set_at(self.commit)
        fenced = any(
            vm.member == name and vm.fenced for vm in member_set.members
        )
        caught_up = progress.acked_round and progress.commit >= member_set.index
        denied = fenced or name in self._lease_denied
        if denied or not caught_up or not self._quorum_is_active(now):
            return 0
        progress.lease_granted_at = now
        return self.cfg.lease_ms

    def _send_snapshot(self, name: str, now: float) -> None:
        progress = self.peers[name]
        if now - progress.snapshot_sent_at < self.cfg.election_ms / MS_PER_S:
            return
        progress.snapshot_sent_at = now
        self._send(
            name,
            'snapshot',
            snapshot=self.log.snapshot,
            commit=self.commit,
            round=self._heartbeat_round,
        )

    def _on_append_response(self, msg: PeerMessage, now: float) -> None:
        progress = self.peers.get(msg.sender)
        if not self.is_leader or progress is None or msg.term != self.term:
            return
        self._record_ack(progress, msg, now)
        if not msg.granted:
            min_next_index = 0 if msg.index == SNAPSHOT_WANTED_INDEX else 1
            hint = min(msg.index + 1, progress.next_index - 1)
            progress.next_index = max(min_next_index, hint)
            self._replicate(msg.sender, now)
            return
        progress.match_index = max(progress.match_index, msg.index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.commit = max(progress.commit, msg.commit)
        self._advance_commit(now)
        if progress.next_index <= self.log.last_index:
            self._replicate(msg.sender, now)

    def _record_ack(
        self, progress: Progress, msg: PeerMessage, now: float
    ) -> None:
        sent = progress.round_sent_at.get(msg.round)
        if sent is None:
            return
        progress.acked_sent_at = max(progress.acked_sent_at, sent)
        progress.acked_round = max(progress.acked_round, msg.round)
        progress.round_sent_at = {
            round_number: sent_at
            for round_number, sent_at in progress.round_sent_at.items()
            if round_number >= msg.round
        }

    def _advance_commit(self, now: float) -> None:
        match_indices = sorted(
            self._match_index_of(name) for name in self._voters()
        )
        if not match_indices:
            return
        quorum_index = match_indices[-self._majority()]
        if (
            quorum_index > self.commit
            and self.log.term_at(quorum_index) == self.term
        ):
            self._commit_to(quorum_index)
            if self.cfg.eager_commit:
                self._broadcast(now)
        if self.cfg.eager_commit:
            self._update_releases(now)

    def _match_index_of(self, name: str) -> int:
        if name == self.cfg.name:
            return self._own_match_index
        return self.peers[name].match_index if name in self.peers else 0

    def _update_releases(self, now: float) -> None:
        """Advances the released index of each availability zone."""
        commits = {
            name: progress.commit for name, progress in self.peers.items()
        }
        commits[self.cfg.name] = self.durable_commit
        released = released_indices(
            self.log.member_set_at(self.commit).members, commits
        )
        changed = False
        for zone, index in released.items():
            if index > self.releases.get(zone, 0):
                self.releases[zone] = index
                changed = True
        if changed:
            self._broadcast(now)

    def _releases_for(self, name: str) -> dict[str, int]:
        member = next(
            (vm for vm in self.log.members if vm.member == name), None
        )
        if member is None or member.fenced:
            return {}
        zones = (member.zone, *member.adopts)
        return {
            zone: self.releases[zone] for zone in zones if zone in self.releases
        }
