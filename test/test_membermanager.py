"""The member manager and the hand-over of a control VM that stops."""

import asyncio

from papayalock.control import departure
from papayalock.control.departure import HAND_OVER_S, Departure
from papayalock.control.membermanager import MemberManager
from papayalock.core.memberpolicy import MemberPolicy
from papayalock.core.replica import Progress
from papayalock.core.voterspread import Tolerance
from papayalock.messages import JoinReq, LeaveReq, Member
from papayalock.result import Code, PapayalockError
from test.wires import FastLoop, LoopClock

OK_BODY = b'{"members":[]}'


class FakeLog:
    def __init__(self, members: list[Member]) -> None:
        self.members = members
        self.last_index = 10


class FakeReplica:
    """A replica of which only the member set matters."""

    def __init__(self, name: str, leader: str, members: list[Member]) -> None:
        self.cfg = type('Cfg', (), {'name': name})()
        self.leader = leader
        self.log = FakeLog(members)
        self.elected_at = 0.0
        self.peers: dict[str, Progress] = {}
        self.hears = True
        self.settled = True

    @property
    def is_leader(self) -> bool:
        return self.leader == self.cfg.name

    @property
    def own_member(self) -> Member | None:
        names = {vm.member: vm for vm in self.log.members}
        return names.get(self.cfg.name)

    def hears_leader(self, now: float) -> bool:
        return self.hears

    def can_change_members(self) -> bool:
        return self.settled


class FakeGroup:
    def __init__(self, replica: FakeReplica) -> None:
        self.replica = replica
        self.transfers: list[str] = []

    def transfer_lead(self, name: str) -> bool:
        self.transfers.append(name)
        self.replica.leader = name
        return True


class FakeCoordinator:
    def __init__(self, replica: FakeReplica) -> None:
        self.config_group = FakeGroup(replica)
        self.answers: list[object] = []
        self.asked = 0

    def now(self) -> float:
        return LoopClock().monotonic()

    def update_addresses(self, members: list[Member]) -> None:
        """Keeps no addresses."""

    async def send_to_leader(self, path, message, *, forwarded):
        self.asked += 1
        answer = self.answers.pop(0) if self.answers else {'done': False}
        if isinstance(answer, Exception):
            raise answer
        return answer


class FakePool:
    def __init__(self) -> None:
        self.requests: list[str] = []

    async def exchange(self, address, req, timeout_ms, limit):
        self.requests.append(address)
        return 200, OK_BODY


def member(name: str, *, voter: bool = True) -> Member:
    return Member(member=name, zone='z', address=f'{name}:1', voter=voter)


class Vm:
    """A member manager and a departure on small fakes."""

    def __init__(self, name: str, leader: str, learners: tuple[str, ...] = ()):
        members = [member(voter) for voter in ('a', 'b', 'c')]
        members += [member(learner, voter=False) for learner in learners]
        self.replica = FakeReplica(name, leader, members)
        self.coordinator = FakeCoordinator(self.replica)
        self.pool = FakePool()
        self.manager = MemberManager(
            self.coordinator,
            JoinReq(member=name, address=f'{name}:1', zone='z'),
            ['a:1', 'b:1'],
            MemberPolicy(3, 2.5, Tolerance(vms=1)),
            self.pool,
        )
        self.departure = Departure(
            self.coordinator, self.manager, manages_members=True
        )

    def hear_all(self) -> None:
        for vm in self.replica.log.members:
            if vm.member != self.replica.cfg.name:
                progress = Progress(11)
                progress.match_index = 10
                progress.acked_sent_at = self.coordinator.now()
                self.replica.peers[vm.member] = progress

    def demote(self, name: str) -> None:
        for vm in self.replica.log.members:
            if vm.member == name:
                vm.voter = False


def run(coroutine):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(coroutine)


class TestLeader:
    def test_a_leaver_waits_until_its_successor_has_the_vote(self):
        async def play():
            vm = Vm('a', 'a', learners=('d',))
            vm.hear_all()
            req = LeaveReq(member='b')
            first = await vm.manager.handle_leave(req, forwarded=False)
            vm.replica.log.members[3].voter = True
            second = await vm.manager.handle_leave(req, forwarded=False)
            vm.demote('b')
            vm.replica.settled = False
            third = await vm.manager.handle_leave(req, forwarded=False)
            vm.replica.settled = True
            last = await vm.manager.handle_leave(req, forwarded=False)
            return first.done, second.done, third.done, last.done

        assert run(play()) == (False, False, False, True)

    def test_a_leaver_keeps_its_vote_if_nobody_can_take_it(self):
        async def play():
            vm = Vm('a', 'a')
            vm.hear_all()
            res = await vm.manager.handle_leave(
                LeaveReq(member='b'), forwarded=False
            )
            return res.done

        assert run(play())

    # It looked responsive for longer than it counted as leaving.
    def test_a_vm_that_stopped_is_not_promoted_while_it_looks_responsive(self):
        async def play():
            vm = Vm('a', 'a', learners=('d',))
            vm.hear_all()
            req = LeaveReq(member='d')
            await vm.manager.handle_leave(req, forwarded=False)
            vm.demote('c')
            vm.replica.peers['c'].match_index = 0
            await asyncio.sleep(1.2)
            return vm.manager.policy.next_change(
                vm.manager._view(vm.coordinator.now()), []
            )

        assert run(play()) is None

    def test_a_vm_that_is_back_may_vote_again_at_once(self):
        async def play():
            vm = Vm('a', 'a', learners=('d',))
            vm.hear_all()
            vm.demote('c')
            await vm.manager.handle_leave(LeaveReq(member='d'), forwarded=False)
            join_req = JoinReq(member='d', address='d:1', zone='z')
            await vm.manager.handle_join(join_req, forwarded=False)
            return vm.manager._view(vm.coordinator.now()).leaving

        assert run(play()) == frozenset()

    # All logs are short after a start, so a silent learner seemed caught up.
    def test_a_learner_that_never_responded_to_this_leader_is_not_promoted(
        self,
    ):
        async def play():
            vm = Vm('a', 'a', learners=('d',))
            vm.hear_all()
            vm.demote('c')
            vm.replica.peers['d'].match_index = 0
            vm.replica.peers['c'].match_index = 0
            view = vm.manager._view(vm.coordinator.now())
            return vm.manager.policy.next_change(view, [])

        assert run(play()) is None


class TestJoin:
    # A member that once knew a leader never asked again.
    def test_a_member_that_no_leader_contacts_asks_to_join(self):
        async def play():
            vm = Vm('d', 'a', learners=('d',))
            task = asyncio.create_task(vm.manager.run())
            await asyncio.sleep(2.0)
            after_start = len(vm.pool.requests)
            vm.replica.hears = False
            await asyncio.sleep(2.0)
            task.cancel()
            return after_start, len(vm.pool.requests)

        after_start, in_all = run(play())
        assert after_start == 1
        assert in_all > 4


class TestDeparture:
    def test_a_leader_hands_over_the_lead_and_then_its_vote(self):
        async def play():
            vm = Vm('a', 'a')
            vm.hear_all()
            vm.coordinator.answers = [{'done': False}, {'done': True}]
            return await vm.departure.run(), vm.coordinator

        done, coordinator = run(play())
        assert done
        assert coordinator.config_group.transfers in (['b'], ['c'])
        assert coordinator.asked == 2

    def test_a_leader_with_a_ready_learner_first_waits_for_its_promotion(self):
        async def play():
            vm = Vm('a', 'a', learners=('d',))
            vm.hear_all()
            task = asyncio.create_task(vm.departure.run())
            await asyncio.sleep(0.3)
            early = list(vm.coordinator.config_group.transfers)
            vm.replica.log.members[3].voter = True
            await asyncio.sleep(0.3)
            task.cancel()
            return early, vm.coordinator.config_group.transfers

        early, late = run(play())
        assert early == []
        assert late

    # A learner that never gets ready kept the leader until its time was up.
    def test_a_leader_hands_over_the_lead_beside_a_learner_that_lags(self):
        async def play():
            vm = Vm('a', 'a', learners=('d',))
            vm.hear_all()
            vm.replica.log.last_index = 1000
            vm.coordinator.answers = [{'done': True}]
            return await vm.departure.run(), vm.coordinator

        done, coordinator = run(play())
        assert done
        assert coordinator.config_group.transfers

    def test_it_ends_in_time_if_no_leader_answers(self):
        async def play():
            vm = Vm('b', 'a')
            lost = PapayalockError(Code.NO_LEADER, 'nobody leads')
            vm.coordinator.answers = [lost] * 1000
            began = vm.coordinator.now()
            done = await vm.departure.run()
            return done, vm.coordinator.now() - began

        done, took_s = run(play())
        assert not done
        assert took_s <= HAND_OVER_S + departure.POLL_S

    def test_a_vm_that_never_joined_stops_at_once(self):
        async def play():
            vm = Vm('e', '')
            return await vm.departure.run(), vm.coordinator.asked

        assert run(play()) == (True, 0)
