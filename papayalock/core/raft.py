"""A Raft replica without I/O: elections, replication, commit and release.

The replica follows the published Raft descriptions with pre-vote, check quorum
and single-member changes. It has no clock, file or socket of its own. Inputs
change its state; :meth:`Replica.take_effects` returns the :class:`Effects`,
of which the driver makes the records durable first and only then sends the
remaining messages and applies the committed entries.
"""

from papayalock.core.follower import FollowerRole
from papayalock.core.replica import (
    Effects,
    HardState,
    ReplicaConfig,
    RestoredState,
)
from papayalock.messages import Entry, PeerMessage, Snapshot

__all__ = ('Effects', 'HardState', 'Replica', 'ReplicaConfig', 'RestoredState')


class Replica(FollowerRole):
    """One replica of one Raft group, in any role."""

    def tick(self, now: float) -> None:
        """Sends due heartbeats as leader; starts a pre-vote when one is due."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_due_at:
            self._start_election(now, pre_vote=True)

    def propose(self, payloads: list[str], now: float) -> int:
        """Appends commands and replicates them, if this replica leads.

        :returns: index of the first entry, or 0 when this replica does not lead
        """
        if not self.is_leader:
            return 0
        first = self.log.last_index + 1
        entries = [
            Entry(term=self.term, index=first + offset, payload=payload)
            for offset, payload in enumerate(payloads)
        ]
        self._append(entries)
        self._broadcast(now)
        return first

    def mark_persisted(self, now: float) -> None:
        """Marks all effects taken so far as durable; may commit entries."""
        self.durable_commit = self._taken_commit_index
        if self.is_leader:
            self._own_match_index = self._taken_last_index
            self._advance_commit(now)

    def compact(self, state: str, index: int) -> Snapshot:
        """Replaces the applied prefix of the log by a snapshot.

        The driver writes the returned snapshot before it drops old records.
        """
        snapshot = Snapshot(
            index=index,
            term=self.log.term_at(index) or 0,
            members=self.log.member_set_at(index).members,
            state=state,
        )
        self.log.compact(snapshot)
        return snapshot

    def receive(self, msg: PeerMessage, now: float) -> None:
        """Handles a message of another replica.

        A vote request is ignored while the leader is live, so that a replica
        that returns from a partition does not depose it, unless that leader
        asked the candidate to take over.
        """
        if msg.receiver != self.cfg.name or msg.group != self.cfg.group:
            return
        if msg.kind == 'pre_vote':
            self._on_pre_vote(msg, now)
        elif not self._is_disruptive(msg, now):
            self._dispatch(msg, now)

    def _is_disruptive(self, msg: PeerMessage, now: float) -> bool:
        return (
            msg.kind == 'vote'
            and not msg.transfer
            and msg.term > self.term
            and self._leader_is_live(now)
        )

    def _dispatch(self, msg: PeerMessage, now: float) -> None:
        if msg.term > self.term and msg.kind != 'pre_vote_res':
            self._become_follower(msg.term, now)
        handlers = {
            'vote': self._on_vote,
            'pre_vote_res': self._on_vote_response,
            'vote_res': self._on_vote_response,
            'append_res': self._on_append_response,
            'timeout_now': self._on_timeout_now,
        }
        handler = handlers.get(msg.kind)
        if handler is not None:
            handler(msg, now)
        elif msg.term < self.term:
            self._reject_append(msg)
        else:
            self._on_leader_message(msg, now)
