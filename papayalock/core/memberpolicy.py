"""Decides how the set of control VMs changes without an operator.

The load that it answers: control VMs that are lost, one or several at a time
as far as the settings ask, return with an empty disk, are stopped, or are
replaced.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from papayalock.core.voterspread import Tolerance, without
from papayalock.messages import JoinReq, Member, SetMember

OPERATOR = 'roster'  # operator name in the audit trail
MAX_PROMOTION_LAG_ENTRIES = 64  # log entries that a learner may lack
LEARNER_REMOVAL_S = 60.0  # time without responses before removal
MIN_VOTERS = 3  # fewer are kept only if the settings ask for fewer


@dataclass(slots=True, frozen=True)
class MemberProgress:
    """A member's replication progress as the leader sees it.

    ``lag_entries`` is infinite until the member has responded to this leader.
    """

    unresponsive_s: float
    lag_entries: float


@dataclass(slots=True, frozen=True)
class MemberView:
    """The members as the leader sees them."""

    leader: str
    members: list[Member]
    progress: dict[str, MemberProgress]
    leaving: frozenset[str] = frozenset()  # names of VMs that are to stop

    @property
    def voters(self) -> list[Member]:
        """The members that vote."""
        return [vm for vm in self.members if vm.voter]

    @property
    def learners(self) -> list[Member]:
        """The members that do not vote."""
        return [vm for vm in self.members if not vm.voter]

    def silence_s(self, vm: Member) -> float:
        """Returns the seconds since a member's newest response."""
        if vm.member == self.leader:
            return 0.0
        vm_progress = self.progress.get(vm.member)
        return vm_progress.unresponsive_s if vm_progress else float('inf')


class MemberPolicy:
    """Keeps as many responsive voters as the tolerated losses require.

    A voter is replaced only when another VM is ready, and its successor is
    promoted before it goes, so that no step on the way survives less than the
    step before. A VM that lost its disk returns under a new name.
    """

    __slots__ = ('_tolerance', '_unresponsive_s', '_voters')

    def __init__(
        self, voters: int, unresponsive_s: float, tolerance: Tolerance
    ) -> None:
        """Sets the targets.

        :param voters: least number of voters to keep
        :param unresponsive_s: time without responses after which a voter may be
            replaced
        :param tolerance: losses that the voters have to survive
        """
        self._voters = max(voters, tolerance.voters)
        self._unresponsive_s = unresponsive_s
        self._tolerance = tolerance

    def next_change(
        self, view: MemberView, joiners: Iterable[JoinReq]
    ) -> SetMember | None:
        """Returns the next single-member change, or None when none is needed.

        :param joiners: requests of control VMs that want to join, or whose
            zone is not recorded
        """
        admission = self._admission(view, joiners)
        if admission is not None:
            return admission
        decisions = (
            self._removal,
            self._promotion,
            self._demotion,
            self._exchange,
            self._learner_removal,
        )
        changes = (decide(view) for decide in decisions)
        return next(filter(None, changes), None)

    def may_stop(self, view: MemberView, name: str) -> bool:
        """Whether a VM that is to stop has no vote, or nobody can take it."""
        if all(vm.member != name for vm in view.voters):
            return True
        return not self.awaits_successor(view) and not self._has_surplus(view)

    def awaits_successor(self, view: MemberView) -> bool:
        """Whether a learner may soon take the vote of a voter that leaves."""
        if len(self._sound_voters(view)) >= self._size(view):
            return False
        return any(
            vm.member not in view.leaving
            and view.silence_s(vm) < self._unresponsive_s
            for vm in view.learners
        )

    def next_leader(self, view: MemberView) -> str:
        """Returns the voter to take over from a leader that stops, or ''."""
        followers = [
            vm.member
            for vm in self._sound_voters(view)
            if vm.member != view.leader
        ]
        return min(
            followers,
            key=lambda name: view.progress[name].lag_entries,
            default='',
        )

    def shortfall(self, view: MemberView) -> int:
        """Returns how many voters a majority lacks after tolerated losses."""
        return self._tolerance.shortfall(self._sound_voters(view))

    def _admission(
        self, view: MemberView, joiners: Iterable[JoinReq]
    ) -> SetMember | None:
        known = {vm.member: vm for vm in view.members}
        for joiner in joiners:
            vm = known.get(joiner.member)
            if vm is None:
                return _change('add', _learner(joiner))
            if vm.zone != joiner.zone:
                return _change('locate', _learner(joiner))
        return None

    def _removal(self, view: MemberView) -> SetMember | None:
        """Takes the vote of an unsound voter once its successor has one.

        A VM that leaves stays a member, as it may be back soon.
        """
        if not self._has_surplus(view):
            return None
        sound = {vm.member for vm in self._sound_voters(view)}
        for vm in view.voters:
            if vm.member not in sound and vm.member != view.leader:
                leaves = vm.member in view.leaving
                return _change('demote' if leaves else 'remove', vm)
        return None

    def _has_surplus(self, view: MemberView) -> bool:
        return len(view.voters) > self._size(view)

    def _promotion(self, view: MemberView) -> SetMember | None:
        sound = self._sound_voters(view)
        ready = self._ready_learners(view)
        if len(sound) >= self._size(view) or not ready:
            return None
        best = min(ready, key=lambda vm: self._tolerance.cost([*sound, vm]))
        return _change('promote', best)

    def _demotion(self, view: MemberView) -> SetMember | None:
        """Demotes the surplus voter that contributes least."""
        sound = self._sound_voters(view)
        if len(sound) <= self._size(view):
            return None
        surplus = min(
            (vm for vm in sound if vm.member != view.leader),
            key=lambda vm: self._tolerance.cost(without(sound, vm)),
        )
        return _change('demote', surplus)

    def _exchange(self, view: MemberView) -> SetMember | None:
        """Promotes a learner that would survive more than some voter.

        That voter is then surplus, and :meth:`_demotion` demotes it.
        """
        sound = self._sound_voters(view)
        current = self._tolerance.shortfall(sound)
        if not current or len(sound) != len(view.voters):
            return None
        followers = [vm for vm in sound if vm.member != view.leader]
        shortfalls = {
            learner.member: min(
                self._tolerance.shortfall([*without(sound, vm), learner])
                for vm in followers
            )
            for learner in self._ready_learners(view)
            if followers
        }
        better = [
            vm
            for vm in view.learners
            if shortfalls.get(vm.member, current) < current
        ]
        best = min(better, key=lambda vm: shortfalls[vm.member], default=None)
        return _change('promote', best) if best else None

    def _learner_removal(self, view: MemberView) -> SetMember | None:
        for vm in view.learners:
            known = vm.member in view.progress
            if known and view.silence_s(vm) >= LEARNER_REMOVAL_S:
                return _change('remove', vm)
        return None

    def _size(self, view: MemberView) -> int:
        """Returns the number of voters to have.

        It is odd where VMs are few, since an even number survives no more
        losses than the odd number below it.
        """
        vms = len({vm.address for vm in view.members})
        odd = vms if vms % 2 else vms - 1
        return min(self._voters, max(odd, MIN_VOTERS))

    def _ready_learners(self, view: MemberView) -> list[Member]:
        return [
            vm
            for vm in view.learners
            if vm.member not in view.leaving and self._is_ready(view, vm)
        ]

    def _is_ready(self, view: MemberView, vm: Member) -> bool:
        vm_progress = view.progress.get(vm.member)
        if vm_progress is None:
            return False
        responsive = vm_progress.unresponsive_s < self._unresponsive_s / 2
        return (
            responsive and vm_progress.lag_entries <= MAX_PROMOTION_LAG_ENTRIES
        )

    def _sound_voters(self, view: MemberView) -> list[Member]:
        """Returns the voters that need no replacement."""
        return [
            vm
            for vm in view.voters
            if vm.member not in view.leaving
            and view.silence_s(vm) < self._unresponsive_s
            and not _lost_its_disk(view, vm)
        ]


def _lost_its_disk(view: MemberView, voter: Member) -> bool:
    """Whether a voter's VM has joined again under a new name.

    Of two members with one address, only the one that responded last is alive.
    """
    return any(
        vm.address == voter.address
        and view.silence_s(vm) < view.silence_s(voter)
        for vm in view.members
    )


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
