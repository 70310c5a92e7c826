"""Accepting on any control VM: forwarding and member changes."""

import asyncio

import pytest

from papayalock.control.control import Control
from papayalock.messages import Member, SetMember
from papayalock.result import Code, PapayalockError
from test.inventories import example, submission
from test.wires import FakeClock


class FakeReplica:
    def __init__(self, leader: str, *, leads: bool) -> None:
        self.is_leader = leads
        self.leader = leader
        self.allowed = True
        self.log = type(
            'Log',
            (),
            {
                'members': [
                    Member(member=name, zone=name, address=name, voter=True)
                    for name in 'ab'
                ],
                'last_index': 200,
            },
        )()
        self.peers = {}
        self.stopped: list[str] = []

    def can_change_members(self) -> bool:
        return self.allowed

    def stop_leases(self, name: str) -> None:
        self.stopped.append(name)

    def resume_leases(self, name: str) -> None:
        self.stopped.remove(name)

    def fence_allowed_at(self, name: str) -> float:
        return 0.0


class FakeGroup:
    def __init__(self, leader: str, *, leads: bool) -> None:
        self.replica = FakeReplica(leader, leads=leads)
        self.proposed = []

    async def propose(self, command):
        self.proposed.append((command, list(self.replica.stopped)))
        return {'code': 0}


class FakePool:
    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.block = False

    async def exchange(self, address, req, timeout_ms, limit):
        self.targets.append(req.target)
        while self.block:
            await asyncio.sleep(0.01)
        return 200, b'{"code":0,"version":4}'


def control(leader: str, *, leads: bool) -> tuple[Control, FakeGroup, FakePool]:
    group = FakeGroup(leader, leads=leads)
    pool = FakePool()
    made = Control(
        'a',
        {'config': group},
        None,
        {},
        None,
        None,
        None,
        pool,
        FakeClock(),
        {'b': 'b:1'},
    )
    return made, group, pool


COMMAND = submission(example('qureshi'), 0, 'r')


def change(action: str, name: str, adopts: tuple[str, ...] = ()) -> SetMember:
    return SetMember(
        kind='member',
        request='',
        action=action,
        member=Member(member=name, zone='', address='', adopts=list(adopts)),
    )


def refused(work) -> Code:
    with pytest.raises(PapayalockError) as caught:
        asyncio.run(work)
    return caught.value.code


class TestForwarding:
    def test_a_follower_sends_it_on_once(self):
        made, _, pool = control('b', leads=False)
        assert asyncio.run(made.submit(COMMAND)).version == 4
        assert pool.targets == [b'/v1/submit?hop=1']

    def test_what_was_sent_on_is_not_sent_on_again(self):
        made, _, pool = control('b', leads=False)
        assert refused(made.submit(COMMAND, forwarded=True)) == Code.NO_LEADER
        assert pool.targets == []

    @pytest.mark.parametrize('leader', ['', 'a', 'unknown'])
    def test_without_a_known_leader_it_is_refused(self, leader):
        made, _, _ = control(leader, leads=False)
        assert refused(made.submit(COMMAND)) == Code.NO_LEADER

    def test_a_leader_that_stops_leading_is_not_waited_for(self):
        async def work() -> Code:
            made, group, pool = control('b', leads=False)
            pool.block = True
            task = asyncio.create_task(made.submit(COMMAND))
            await asyncio.sleep(0.02)
            group.replica.leader = 'c'
            with pytest.raises(PapayalockError) as caught:
                await task
            return caught.value.code

        assert asyncio.run(work()) == Code.NO_LEADER


class TestMemberChanges:
    def test_a_fence_stops_leases_until_it_is_proposed(self):
        made, group, _ = control('a', leads=True)
        asyncio.run(made.change_member(change('fence', 'b')))
        assert group.proposed[0][1] == ['b']
        assert group.replica.stopped == []

    def test_an_unknown_vm_is_refused(self):
        made, _, _ = control('a', leads=True)
        assert (
            refused(made.change_member(change('fence', 'x')))
            == Code.UNKNOWN_MEMBER
        )

    def test_two_changes_at_once_are_refused(self):
        made, group, _ = control('a', leads=True)
        group.replica.allowed = False
        assert (
            refused(made.change_member(change('add', 'c')))
            == Code.CHANGE_PENDING
        )

    def test_a_vm_that_lags_is_not_promoted(self):
        made, _, _ = control('a', leads=True)
        assert (
            refused(made.change_member(change('promote', 'b')))
            == Code.CHANGE_PENDING
        )

    def test_a_zone_that_is_still_served_is_not_adopted(self):
        made, _, _ = control('a', leads=True)
        assert (
            refused(made.change_member(change('adopt', 'a', ('b',))))
            == Code.LEASE_RUNNING
        )
