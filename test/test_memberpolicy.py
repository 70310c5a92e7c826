"""Member changes without an operator: joins, replacements, lost disks."""

from papayalock.core.memberpolicy import (
    MemberPolicy,
    MemberProgress,
    MemberView,
)
from papayalock.core.voterspread import Tolerance
from papayalock.messages import JoinReq, Member

POLICY = MemberPolicy(voters=3, unresponsive_s=2.5, tolerance=Tolerance(vms=1))
HEALTHY = MemberProgress(unresponsive_s=0.1, lag_entries=0)
UNRESPONSIVE = MemberProgress(unresponsive_s=3.0, lag_entries=500)
JUST_LOST = MemberProgress(unresponsive_s=0.8, lag_entries=3)


def members(*names: str, learners: tuple[str, ...] = ()) -> list[Member]:
    return [
        Member(
            member=name, zone='z', address=f'10.0.0.{name[-1]}:1', voter=True
        )
        for name in names
    ] + [
        Member(member=name, zone='z', address=f'10.0.0.{name[1]}:1')
        for name in learners
    ]


def change(current, progress, joiners=(), policy=POLICY):
    view = MemberView('a1', current, progress)
    proposed = policy.next_change(view, joiners)
    return (proposed.action, proposed.member.member) if proposed else None


class TestMemberPolicy:
    def test_a_full_healthy_member_set_is_kept(self):
        current = members('a1', 'b2', 'c3', learners=('d4',))
        progress = {'b2': HEALTHY, 'c3': HEALTHY, 'd4': HEALTHY}
        assert change(current, progress) is None

    def test_a_joining_vm_is_added_and_promoted_once_it_caught_up(self):
        joiner = JoinReq(member='d4', address='10.0.0.4:1', zone='z')
        assert change(members('a1', 'b2'), {'b2': HEALTHY}, [joiner]) == (
            'add',
            'd4',
        )
        current = members('a1', 'b2', learners=('d4',))
        progress = {'b2': HEALTHY, 'd4': MemberProgress(0.1, 500)}
        assert change(current, progress, [joiner]) is None
        assert change(current, {'b2': HEALTHY, 'd4': HEALTHY}) == (
            'promote',
            'd4',
        )

    def test_the_zone_of_a_founding_vm_is_recorded(self):
        current = members('a1', 'b2', 'c3')
        current[1].zone = ''
        joiner = JoinReq(member='b2', address='10.0.0.2:1', zone='z2')
        progress = {'b2': HEALTHY, 'c3': HEALTHY}
        assert change(current, progress, [joiner]) == ('locate', 'b2')
        current[1].zone = 'z2'
        assert change(current, progress, [joiner]) is None

    def test_an_unresponsive_voter_is_removed_only_after_its_successor_votes(
        self,
    ):
        current = members('a1', 'b2', 'c3')
        assert change(current, {'b2': HEALTHY, 'c3': UNRESPONSIVE}) is None
        current = members('a1', 'b2', 'c3', learners=('d4',))
        progress = {'b2': HEALTHY, 'c3': UNRESPONSIVE, 'd4': HEALTHY}
        assert change(current, progress) == ('promote', 'd4')
        progress['d4'] = UNRESPONSIVE
        assert change(current, progress) is None
        progress['d4'] = HEALTHY
        current[-1].voter = True
        assert change(current, progress) == ('remove', 'c3')

    def test_a_voter_that_lost_its_disk_is_replaced_at_once(self):
        current = members('a1', 'b2', 'c3', learners=('c3-new',))
        current[-1].address = current[2].address
        progress = {'b2': HEALTHY, 'c3': JUST_LOST, 'c3-new': HEALTHY}
        assert change(current, progress) == ('promote', 'c3-new')
        current[-1].voter = True
        assert change(current, progress) == ('remove', 'c3')

    # A learner of an earlier loss at the address of a voter that is well.
    def test_a_sound_voter_is_kept_beside_a_dead_name_at_its_address(self):
        current = members('a1', 'b2', 'c3', learners=('c3-old', 'd4'))
        current[3].address = current[2].address
        progress = {
            'b2': HEALTHY,
            'c3': HEALTHY,
            'c3-old': UNRESPONSIVE,
            'd4': HEALTHY,
        }
        assert change(current, progress) is None

    def test_the_leader_never_removes_itself(self):
        current = members('a1', 'b2', 'c3', learners=('a1-new',))
        current[-1].address = current[0].address
        progress = {'b2': HEALTHY, 'c3': HEALTHY, 'a1-new': HEALTHY}
        assert change(current, progress) is None

    def test_a_learner_that_is_unresponsive_for_long_is_removed(self):
        current = members('a1', 'b2', 'c3', learners=('d4',))
        progress = {'b2': HEALTHY, 'c3': HEALTHY, 'd4': MemberProgress(61, 900)}
        assert change(current, progress) == ('remove', 'd4')


class TestNumberOfVoters:
    NAMES = tuple(f'{letter}{at}' for at, letter in enumerate('abcdefgh', 1))

    def steps(self, policy, voters: int, vms: int) -> list[tuple[str, str]]:
        """Returns the changes until the policy is content."""
        current = members(*self.NAMES[:voters], learners=self.NAMES[voters:vms])
        progress = dict.fromkeys(self.NAMES[1:vms], HEALTHY)
        steps = []
        while len(steps) < 20:
            step = change(current, progress, policy=policy)
            if step is None:
                return steps
            steps.append(step)
            changed = next(vm for vm in current if vm.member == step[1])
            changed.voter = step[0] == 'promote'
        raise AssertionError(f'the policy is never content: {steps}')

    def test_it_follows_the_number_of_vms_that_may_be_lost(self):
        for lost, voters in ((0, 3), (1, 3), (2, 5), (3, 7)):
            policy = MemberPolicy(3, 2.5, Tolerance(vms=lost))
            steps = self.steps(policy, 3, 8)
            assert len(steps) == voters - 3
            assert all(action == 'promote' for action, _ in steps)

    def test_it_is_odd_while_there_are_too_few_vms(self):
        policy = MemberPolicy(3, 2.5, Tolerance(vms=2))
        assert not self.steps(policy, 3, 4)
        assert len(self.steps(policy, 3, 5)) == 2

    def test_it_shrinks_when_the_settings_ask_for_less(self):
        policy = MemberPolicy(3, 2.5, Tolerance(vms=1))
        steps = self.steps(policy, 5, 8)
        assert [action for action, _ in steps] == ['demote', 'demote']
        assert 'a1' not in {name for _, name in steps}

    def test_the_settings_may_ask_for_more(self):
        policy = MemberPolicy(5, 2.5, Tolerance(vms=1))
        assert len(self.steps(policy, 3, 8)) == 2
