"""The task that drives a replica: answers, a full disk and snapshots."""

import asyncio
import random

import pytest

from papayalock.commands import Noop
from papayalock.control.group import Group
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Replica, ReplicaConfig
from papayalock.messages import Member, Publish, Submit
from papayalock.result import Code, PapayalockError
from test.cluster import MemoryDisk
from test.inventories import LedgerDriver, example, submission
from test.test_routebook import route, route_set
from test.wires import FastLoop, LoopClock

MEMBERS = [Member(member='a', zone='z', address='a', voter=True)]
QURESHI = example('qureshi')


class NoNetwork:
    def send(self, message) -> None:
        raise AssertionError('a single replica sends nothing')


def make(disk: MemoryDisk, snapshot_entries: int = 1000) -> Group:
    storage = GroupStorage(disk, 'config')
    replica = Replica(
        ReplicaConfig('config', 'a'),
        storage.load(MEMBERS),
        random.Random(1),
        asyncio.get_running_loop().time(),
    )
    return Group(
        replica,
        storage,
        LedgerDriver().ledger,
        NoNetwork(),
        LoopClock(),
        snapshot_entries,
    )


async def leading(group: Group) -> asyncio.Task:
    task = asyncio.create_task(group.run())
    while not group.replica.is_leader:
        await asyncio.sleep(0.05)
    return task


async def stop(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def run(work):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(work)


class TestGroup:
    def test_a_proposal_gets_the_machines_answer(self):
        async def work():
            group = make(MemoryDisk())
            task = await leading(group)
            answer = await group.propose(submission(QURESHI, 0, 'r'))
            await stop(task)
            return answer

        assert (run(work()).code) == Code.DONE

    def test_a_follower_refuses(self):
        async def work():
            group = make(MemoryDisk())
            fut = asyncio.ensure_future(group.propose(Noop(kind='noop')))
            task = asyncio.create_task(group.run())
            with pytest.raises(PapayalockError) as caught:
                await fut
            await stop(task)
            return caught.value.code

        assert run(work()) == Code.NO_LEADER

    def test_a_full_disk_refuses_clearly_and_recovers(self):
        async def work():
            disk = MemoryDisk()
            group = make(disk)
            task = await leading(group)
            await group.propose(submission(QURESHI, 0, 'r'))
            disk.full = True
            with pytest.raises(PapayalockError) as first:
                await asyncio.wait_for(
                    group.propose(submission(QURESHI, 1, 's')), 60
                )
            with pytest.raises(PapayalockError) as second:
                await group.propose(submission(QURESHI, 1, 't'))
            assert group.machine.version == 1
            disk.full = False
            while group.disk_full:
                await asyncio.sleep(0.1)
            resent = await group.propose(submission(QURESHI, 1, 's'))
            await stop(task)
            return (
                first.value.code,
                second.value.code,
                resent.version,
                group.machine.version,
            )

        assert run(work()) == (Code.DISK_FULL, Code.DISK_FULL, 2, 2)

    def test_a_restart_after_a_snapshot_keeps_everything(self):
        async def work():
            disk = MemoryDisk()
            group = make(disk, snapshot_entries=10)
            task = await leading(group)
            for number in range(25):
                command: Submit = submission(QURESHI, number, f'r{number}')
                await group.propose(command)
            await asyncio.sleep(0.2)
            await stop(task)
            assert disk.files['config.snapshot']
            again = make(disk, snapshot_entries=10)
            task = await leading(again)
            await asyncio.sleep(0.2)
            await stop(task)
            return (
                again.machine.version,
                again.machine.dump() == group.machine.dump(),
            )

        assert run(work()) == (25, True)


class TestPoison:
    def test_a_command_that_others_cannot_read_never_enters_the_log(self):
        async def work():
            group = make(MemoryDisk())
            task = await leading(group)
            last = group.replica.log.last_index
            bad = Publish(route_set=route_set(1, 0, route(timeout_ms=0)))
            with pytest.raises(PapayalockError) as caught:
                await group.propose(bad)
            answer = await group.propose(Publish(route_set=route_set(1, 0)))
            alive = not task.done()
            await stop(task)
            return caught.value.code, last, answer.code, alive

        code, last, answer, alive = run(work())
        assert code == Code.BAD_MESSAGE
        assert answer == Code.DONE
        assert alive


class TestReads:
    def test_a_leader_proves_its_reads(self):
        async def work():
            group = make(MemoryDisk())
            task = await leading(group)
            await group.propose(Publish(route_set=route_set(1, 0)))
            index = await group.read_index()
            await group.reach(index)
            await stop(task)
            return index, group.replica.applied

        index, applied = run(work())
        assert index == applied

    def test_a_follower_proves_nothing(self):
        async def work():
            group = make(MemoryDisk())
            with pytest.raises(PapayalockError) as caught:
                await group.read_index()
            return caught.value.code

        assert run(work()) == Code.NO_LEADER
