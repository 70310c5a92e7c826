"""The coordinator of a control VM: forwarding and member changes."""

import asyncio

import pytest

from papayalock.control.coordinator import Coordinator
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


def make_coordinator(
    leader: str, *, leads: bool
) -> tuple[Coordinator, FakeGroup, FakePool]:
    group = FakeGroup(leader, leads=leads)
    pool = FakePool()
    coordinator = Coordinator(
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
    return coordinator, group, pool


COMMAND = submission(example('qureshi'), 0, 'r')


def change(action: str, name: str, adopts: tuple[str, ...] = ()) -> SetMember:
    return SetMember(
        kind='member',
        request='',
        action=action,
        member=Member(member=name, zone='', address='', adopts=list(adopts)),
    )


def error_code(coroutine) -> Code:
    with pytest.raises(PapayalockError) as caught:
        asyncio.run(coroutine)
    return caught.value.code


class TestForwarding:
    def test_a_follower_forwards_to_the_leader(self):
        coordinator, _, pool = make_coordinator('b', leads=False)
        assert asyncio.run(coordinator.submit(COMMAND)).version == 4
        assert pool.targets == [b'/v1/submit?hop=1']

    def test_a_forwarded_command_is_not_forwarded_again(self):
        coordinator, _, pool = make_coordinator('b', leads=False)
        assert (
            error_code(coordinator.submit(COMMAND, forwarded=True))
            == Code.NO_LEADER
        )
        assert pool.targets == []

    @pytest.mark.parametrize('leader', ['', 'a', 'unknown'])
    def test_a_command_is_refused_while_no_leader_is_known(self, leader):
        coordinator, _, _ = make_coordinator(leader, leads=False)
        assert error_code(coordinator.submit(COMMAND)) == Code.NO_LEADER

    def test_forwarding_ends_when_the_leader_loses_leadership(self):
        async def scenario() -> Code:
            coordinator, group, pool = make_coordinator('b', leads=False)
            pool.block = True
            task = asyncio.create_task(coordinator.submit(COMMAND))
            await asyncio.sleep(0.02)
            group.replica.leader = 'c'
            with pytest.raises(PapayalockError) as caught:
                await task
            return caught.value.code

        assert asyncio.run(scenario()) == Code.NO_LEADER


class TestMemberChanges:
    def test_leases_are_stopped_while_a_fence_is_proposed(self):
        coordinator, group, _ = make_coordinator('a', leads=True)
        asyncio.run(coordinator.change_member(change('fence', 'b')))
        assert group.proposed[0][1] == ['b']
        assert group.replica.stopped == []

    def test_an_unknown_vm_is_refused(self):
        coordinator, _, _ = make_coordinator('a', leads=True)
        assert (
            error_code(coordinator.change_member(change('fence', 'x')))
            == Code.UNKNOWN_MEMBER
        )

    def test_a_change_is_refused_while_another_is_pending(self):
        coordinator, group, _ = make_coordinator('a', leads=True)
        group.replica.allowed = False
        assert (
            error_code(coordinator.change_member(change('add', 'c')))
            == Code.CHANGE_PENDING
        )

    def test_a_vm_that_has_not_caught_up_is_not_promoted(self):
        coordinator, _, _ = make_coordinator('a', leads=True)
        assert (
            error_code(coordinator.change_member(change('promote', 'b')))
            == Code.CHANGE_PENDING
        )

    def test_a_zone_with_a_serving_vm_is_not_adopted(self):
        coordinator, _, _ = make_coordinator('a', leads=True)
        assert (
            error_code(coordinator.change_member(change('adopt', 'a', ('b',))))
            == Code.LEASE_RUNNING
        )
