"""The set of control VMs without an operator: joins, replacements, lost disks."""

from papayalock.core.memberpolicy import MemberPolicy, MemberProgress
from papayalock.messages import JoinReq, Member

ROSTER = MemberPolicy(voters=3, silent_s=2.5)
FINE = MemberProgress(silent_s=0.1, lag_entries=0)
SILENT = MemberProgress(silent_s=3.0, lag_entries=500)


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


def change(known, standings, joiners=()):
    found = ROSTER.next_change('a1', known, standings, joiners)
    return (found.action, found.member.member) if found else None


class TestRoster:
    def test_a_full_healthy_set_stays(self):
        known = members('a1', 'b2', 'c3', learners=('d4',))
        standings = {'b2': FINE, 'c3': FINE, 'd4': FINE}
        assert change(known, standings) is None

    def test_a_newcomer_is_added_first_and_promoted_when_it_caught_up(self):
        joiner = JoinReq(member='d4', address='10.0.0.4:1', zone='z')
        assert change(members('a1', 'b2'), {'b2': FINE}, [joiner]) == (
            'add',
            'd4',
        )
        known = members('a1', 'b2', learners=('d4',))
        behind = {'b2': FINE, 'd4': MemberProgress(0.1, 500)}
        assert change(known, behind, [joiner]) is None
        assert change(known, {'b2': FINE, 'd4': FINE}) == ('promote', 'd4')

    def test_a_silent_voter_is_replaced_only_by_one_that_is_ready(self):
        known = members('a1', 'b2', 'c3')
        assert change(known, {'b2': FINE, 'c3': SILENT}) is None
        known = members('a1', 'b2', 'c3', learners=('d4',))
        standings = {'b2': FINE, 'c3': SILENT, 'd4': FINE}
        assert change(known, standings) == ('remove', 'c3')
        standings['d4'] = SILENT
        assert change(known, standings) is None

    def test_a_lost_disk_replaces_the_old_name_at_once(self):
        known = members('a1', 'b2', 'c3', learners=('c3-new',))
        known[-1].address = known[2].address
        standings = {'b2': FINE, 'c3': FINE, 'c3-new': FINE}
        assert change(known, standings) == ('remove', 'c3')

    def test_the_leader_never_removes_itself(self):
        known = members('a1', 'b2', 'c3', learners=('a1-new',))
        known[-1].address = known[0].address
        standings = {'b2': FINE, 'c3': FINE, 'a1-new': FINE}
        assert change(known, standings) is None

    def test_a_learner_that_is_gone_for_long_is_forgotten(self):
        known = members('a1', 'b2', 'c3', learners=('d4',))
        standings = {'b2': FINE, 'c3': FINE, 'd4': MemberProgress(61, 900)}
        assert change(known, standings) == ('remove', 'd4')
