"""Decides how the set of control VMs changes without an operator."""

from collections.abc import Iterable
from dataclasses import dataclass

from papayalock.messages import JoinReq, Member, SetMember

OPERATOR = 'roster'
MAX_PROMOTION_LAG_ENTRIES = 64  # entries that a promoted VM may still lack
LEARNER_REMOVAL_S = 60.0  # silence after which a learner is taken out


@dataclass(slots=True, frozen=True)
class MemberProgress:
    """What the leader knows of one member's progress."""

    silent_s: float
    lag_entries: int


class MemberPolicy:
    """Keeps the wanted number of voters among the control VMs that are heard.

    A VM whose disk was lost comes back under a new name, so its old name is
    replaced as soon as the newcomer has caught up. A voter is only taken out
    when another VM is ready to take its place.
    """

    __slots__ = ('_silent_s', '_voters')

    def __init__(self, voters: int, silent_s: float) -> None:
        """Keeps the targets.

        :param voters: number of voters to keep up
        :param silent_s: silence after which a voter may be replaced
        """
        self._voters = voters
        self._silent_s = silent_s

    def next_change(
        self,
        own: str,
        members: list[Member],
        standings: dict[str, MemberProgress],
        joiners: Iterable[JoinReq],
    ) -> SetMember | None:
        """Returns the next single change, or None when all is as wanted.

        :param own: name of the leader
        :param standings: progress of every other member
        """
        names = {one.member for one in members}
        for joiner in joiners:
            if joiner.member not in names:
                return _change('add', _learner(joiner))
        ready = self._ready_learners(members, standings)
        voters = [one for one in members if one.voter]
        if len(voters) < self._voters and ready:
            return _change('promote', ready[0])
        lost = self._replaceable_voter(own, members, standings)
        if lost is not None and ready:
            return _change('remove', lost)
        gone = self._unresponsive_learner(members, standings)
        return _change('remove', gone) if gone else None

    def _ready_learners(
        self, members: list[Member], standings: dict[str, MemberProgress]
    ) -> list[Member]:
        return [
            one
            for one in members
            if not one.voter and self._is_ready(standings.get(one.member))
        ]

    def _is_ready(self, standing: MemberProgress | None) -> bool:
        if standing is None:
            return False
        heard = standing.silent_s < self._silent_s / 2
        return heard and standing.lag_entries <= MAX_PROMOTION_LAG_ENTRIES

    def _replaceable_voter(
        self,
        own: str,
        members: list[Member],
        standings: dict[str, MemberProgress],
    ) -> Member | None:
        """Returns a voter that is silent, or whose address has a new name."""
        learners = {one.address for one in members if not one.voter}
        for one in members:
            if not one.voter or one.member == own:
                continue
            standing = standings.get(one.member)
            silent = standing is None or standing.silent_s >= self._silent_s
            if silent or one.address in learners:
                return one
        return None

    def _unresponsive_learner(
        self, members: list[Member], standings: dict[str, MemberProgress]
    ) -> Member | None:
        for one in members:
            standing = standings.get(one.member)
            if one.voter or standing is None:
                continue
            if standing.silent_s >= LEARNER_REMOVAL_S:
                return one
        return None


def _learner(joiner: JoinReq) -> Member:
    return Member(
        member=joiner.member, zone=joiner.zone, address=joiner.address
    )


def _change(action: str, member: Member) -> SetMember:
    return SetMember(
        action=action,  # type: ignore[arg-type]
        member=member,
        operator=OPERATOR,
    )
