"""Decides how the set of control VMs changes without an operator."""

from collections.abc import Iterable
from dataclasses import dataclass

from papayalock.messages import JoinReq, Member, SetMember

OPERATOR = 'roster'  # operator name in the audit trail
MAX_PROMOTION_LAG_ENTRIES = 64  # log entries that a learner may lack
LEARNER_REMOVAL_S = 60.0  # time without responses before removal


@dataclass(slots=True, frozen=True)
class MemberProgress:
    """A member's replication progress as the leader sees it."""

    unresponsive_s: float
    lag_entries: int


class MemberPolicy:
    """Keeps the configured number of responsive voters.

    A VM that lost its disk returns under a new name, so its old name is removed
    as soon as the new member has caught up. A voter is removed only when
    another VM is ready to replace it.
    """

    __slots__ = ('_unresponsive_s', '_voters')

    def __init__(self, voters: int, unresponsive_s: float) -> None:
        """Sets the targets.

        :param voters: number of voters to keep
        :param unresponsive_s: time without responses after which a voter may be
            replaced
        """
        self._voters = voters
        self._unresponsive_s = unresponsive_s

    def next_change(
        self,
        leader: str,
        members: list[Member],
        progress: dict[str, MemberProgress],
        joiners: Iterable[JoinReq],
    ) -> SetMember | None:
        """Returns the next single-member change, or None when none is needed.

        :param leader: name of the leader
        :param progress: progress of every other member
        :param joiners: requests of control VMs that want to join
        """
        names = {vm.member for vm in members}
        for joiner in joiners:
            if joiner.member not in names:
                return _change('add', _learner(joiner))
        ready = self._ready_learners(members, progress)
        voters = [vm for vm in members if vm.voter]
        if len(voters) < self._voters and ready:
            return _change('promote', ready[0])
        replaceable = self._replaceable_voter(leader, members, progress)
        if replaceable is not None and ready:
            return _change('remove', replaceable)
        unresponsive = self._unresponsive_learner(members, progress)
        return _change('remove', unresponsive) if unresponsive else None

    def _ready_learners(
        self, members: list[Member], progress: dict[str, MemberProgress]
    ) -> list[Member]:
        return [
            vm
            for vm in members
            if not vm.voter and self._is_ready(progress.get(vm.member))
        ]

    def _is_ready(self, vm_progress: MemberProgress | None) -> bool:
        if vm_progress is None:
            return False
        responsive = vm_progress.unresponsive_s < self._unresponsive_s / 2
        return (
            responsive and vm_progress.lag_entries <= MAX_PROMOTION_LAG_ENTRIES
        )

    def _replaceable_voter(
        self,
        leader: str,
        members: list[Member],
        progress: dict[str, MemberProgress],
    ) -> Member | None:
        """Returns a voter that is unresponsive or has lost its disk.

        A VM that lost its disk has joined again as a learner at its address.
        """
        learners = {vm.address for vm in members if not vm.voter}
        for vm in members:
            if not vm.voter or vm.member == leader:
                continue
            vm_progress = progress.get(vm.member)
            unresponsive = (
                vm_progress is None
                or vm_progress.unresponsive_s >= self._unresponsive_s
            )
            if unresponsive or vm.address in learners:
                return vm
        return None

    def _unresponsive_learner(
        self, members: list[Member], progress: dict[str, MemberProgress]
    ) -> Member | None:
        for vm in members:
            vm_progress = progress.get(vm.member)
            if vm.voter or vm_progress is None:
                continue
            if vm_progress.unresponsive_s >= LEARNER_REMOVAL_S:
                return vm
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
