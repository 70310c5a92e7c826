"""Elections of a Raft replica: pre-vote, vote and the change of roles."""

from papayalock.core.leader import LeaderRole
from papayalock.core.replica import PeerKind
from papayalock.messages import Entry, PeerMessage


class ElectionRole(LeaderRole):
    """Runs elections and the change between follower and leader."""

    def _tick_leader(self, now: float) -> None:
        """Steps down if check quorum fails, or sends a due heartbeat."""
        if not self._quorum_is_active(now):
            self._become_follower(self.term, now)
        elif now >= self._next_heartbeat_at:
            self._broadcast(now)

    def transfer_lead(self, name: str) -> bool:
        """Asks a voter to take over the lead, if its log is complete.

        It then starts an election at once. This replica leads until it hears
        of the new term, so nothing is lost when the voter does not take over.

        :returns: whether it was asked
        """
        progress = self.peers.get(name)
        complete = (
            progress is not None and progress.match_index == self.log.last_index
        )
        if not (self.is_leader and complete and self._is_voter(name)):
            return False
        self._send(name, 'timeout_now')
        return True

    def _on_timeout_now(self, msg: PeerMessage, now: float) -> None:
        if msg.term == self.term and self.leader == msg.sender:
            self._start_election(now, pre_vote=False, transfer=True)

    def _start_election(
        self, now: float, *, pre_vote: bool, transfer: bool = False
    ) -> None:
        self._reset_election_timer(now)
        if not self._is_voter(self.cfg.name):
            return
        self.leader = ''
        self._votes = {self.cfg.name}
        if pre_vote:
            self.role = 'pre_candidate'
            self._election_due_at = now + self._pre_vote_delay()
        else:
            self.role = 'candidate'
            self._set_term(self.term + 1, vote=self.cfg.name)
        if self._count_votes(now):
            return
        kind: PeerKind = 'pre_vote' if pre_vote else 'vote'
        term = self.term + 1 if pre_vote else self.term
        for name in self._voters():
            if name != self.cfg.name:
                self._send(
                    name,
                    kind,
                    term=term,
                    index=self.log.last_index,
                    log_term=self.log.last_term,
                    transfer=transfer,
                )

    def _count_votes(self, now: float) -> bool:
        """Advances the election if a majority granted it; returns whether."""
        votes = len(self._votes & set(self._voters()))
        if votes < self._majority():
            return False
        if self.role == 'pre_candidate':
            self._start_election(now, pre_vote=False)
        else:
            self._become_leader(now)
        return True

    def _is_up_to_date(self, msg: PeerMessage) -> bool:
        return (msg.log_term, msg.index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def _on_pre_vote(self, msg: PeerMessage, now: float) -> None:
        granted = (
            msg.term > self.term
            and self._is_up_to_date(msg)
            and not self._leader_is_live(now)
        )
        self._send(
            msg.sender,
            'pre_vote_res',
            term=msg.term if granted else self.term,
            granted=granted,
        )

    def _on_vote(self, msg: PeerMessage, now: float) -> None:
        vote_is_free = self.vote in {'', msg.sender}
        granted = (
            msg.term == self.term and vote_is_free and self._is_up_to_date(msg)
        )
        if granted:
            self._set_term(self.term, vote=msg.sender)
            self._reset_election_timer(now)
        self._send(msg.sender, 'vote_res', granted=granted)

    def _on_vote_response(self, msg: PeerMessage, now: float) -> None:
        expected_role = (
            'pre_candidate' if msg.kind == 'pre_vote_res' else 'candidate'
        )
        expected_term = (
            self.term + 1 if expected_role == 'pre_candidate' else self.term
        )
        if not msg.granted and msg.term > self.term:
            self._become_follower(msg.term, now)
        elif (
            self.role == expected_role
            and msg.granted
            and msg.term == expected_term
        ):
            self._votes.add(msg.sender)
            self._count_votes(now)

    def _become_follower(self, term: int, now: float) -> None:
        if self.is_leader:
            self.lease_until = float('-inf')
        self.role = 'follower'
        self.leader = ''
        if term > self.term:
            self._set_term(term, vote='')
        self._reset_election_timer(now)

    def _become_leader(self, now: float) -> None:
        self.role = 'leader'
        self.leader = self.cfg.name
        self._effects.elected = True
        self.elected_at = now
        self._own_match_index = 0
        self._term_start_index = self.log.last_index + 1
        self.peers = {}
        self._lease_denied = set()
        self._sync_peers(now)
        self._append(
            [
                Entry(
                    term=self.term,
                    index=self._term_start_index,
                    payload='{"kind":"noop"}',
                )
            ]
        )
        self._broadcast(now)
