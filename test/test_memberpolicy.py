"""Member changes without an operator: joins, replacements, lost disks."""

from papayalock.core.memberpolicy import MemberPolicy, MemberProgress
from papayalock.messages import JoinReq, Member

POLICY = MemberPolicy(voters=3, unresponsive_s=2.5)
HEALTHY = MemberProgress(unresponsive_s=0.1, lag_entries=0)
UNRESPONSIVE = MemberProgress(unresponsive_s=3.0, lag_entries=500)


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


def change(current, progress, joiners=()):
    proposed = POLICY.next_change('a1', current, progress, joiners)
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

    def test_an_unresponsive_voter_is_removed_only_if_a_learner_is_ready(self):
        current = members('a1', 'b2', 'c3')
        assert change(current, {'b2': HEALTHY, 'c3': UNRESPONSIVE}) is None
        current = members('a1', 'b2', 'c3', learners=('d4',))
        progress = {'b2': HEALTHY, 'c3': UNRESPONSIVE, 'd4': HEALTHY}
        assert change(current, progress) == ('remove', 'c3')
        progress['d4'] = UNRESPONSIVE
        assert change(current, progress) is None

    def test_a_voter_that_lost_its_disk_is_removed_at_once(self):
        current = members('a1', 'b2', 'c3', learners=('c3-new',))
        current[-1].address = current[2].address
        progress = {'b2': HEALTHY, 'c3': HEALTHY, 'c3-new': HEALTHY}
        assert change(current, progress) == ('remove', 'c3')

    def test_the_leader_never_removes_itself(self):
        current = members('a1', 'b2', 'c3', learners=('a1-new',))
        current[-1].address = current[0].address
        progress = {'b2': HEALTHY, 'c3': HEALTHY, 'a1-new': HEALTHY}
        assert change(current, progress) is None

    def test_a_learner_that_is_unresponsive_for_long_is_removed(self):
        current = members('a1', 'b2', 'c3', learners=('d4',))
        progress = {'b2': HEALTHY, 'c3': HEALTHY, 'd4': MemberProgress(61, 900)}
        assert change(current, progress) == ('remove', 'd4')
