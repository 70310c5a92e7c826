"""A Raft group's driver: results of proposals, a full disk and snapshots."""

import asyncio
import random

import pytest

from papayalock.commands import Noop
from papayalock.control.group import RaftGroup
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Replica, ReplicaConfig
from papayalock.messages import Member, Publish, Submit
from papayalock.result import Code, PapayalockError
from test.cluster import MemoryDisk
from test.inventories import LedgerDriver, example, submission
from test.test_routesets import route, route_set
from test.wires import FastLoop, LoopClock

MEMBERS = [Member(member='a', zone='z', address='a', voter=True)]
QURESHI = example('qureshi')


class NoNetwork:
    def send(self, message) -> None:
        raise AssertionError('a single replica has no peer to send to')


def make_group(
    disk: MemoryDisk, snapshot_entries: int = 1000, log_bytes: int = 1 << 26
) -> RaftGroup:
    storage = GroupStorage(disk, 'config')
    replica = Replica(
        ReplicaConfig('config', 'a'),
        storage.load(MEMBERS),
        random.Random(1),
        asyncio.get_running_loop().time(),
    )
    return RaftGroup(
        replica,
        storage,
        LedgerDriver().ledger,
        NoNetwork(),
        LoopClock(),
        snapshot_entries,
        log_bytes,
    )


async def start_leading(group: RaftGroup) -> asyncio.Task:
    task = asyncio.create_task(group.run())
    while not group.replica.is_leader:
        await asyncio.sleep(0.05)
    return task


async def stop(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def run(scenario):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(scenario)


class TestGroup:
    def test_a_proposal_returns_the_state_machines_result(self):
        async def scenario():
            group = make_group(MemoryDisk())
            task = await start_leading(group)
            answer = await group.propose(submission(QURESHI, 0, 'r'))
            await stop(task)
            return answer

        assert (run(scenario()).code) == Code.DONE

    def test_a_follower_refuses_proposals(self):
        async def scenario():
            group = make_group(MemoryDisk())
            fut = asyncio.ensure_future(group.propose(Noop(kind='noop')))
            task = asyncio.create_task(group.run())
            with pytest.raises(PapayalockError) as caught:
                await fut
            await stop(task)
            return caught.value.code

        assert run(scenario()) == Code.NO_LEADER

    def test_proposals_fail_while_the_disk_is_full_and_then_recover(self):
        async def scenario():
            disk = MemoryDisk()
            group = make_group(disk)
            task = await start_leading(group)
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

        assert run(scenario()) == (Code.DISK_FULL, Code.DISK_FULL, 2, 2)

    def test_a_restart_after_a_snapshot_restores_the_state(self):
        async def scenario():
            disk = MemoryDisk()
            group = make_group(disk, snapshot_entries=10)
            task = await start_leading(group)
            for number in range(25):
                command: Submit = submission(QURESHI, number, f'r{number}')
                await group.propose(command)
            await asyncio.sleep(0.2)
            await stop(task)
            assert disk.files['config.snapshot']
            restarted = make_group(disk, snapshot_entries=10)
            task = await start_leading(restarted)
            await asyncio.sleep(0.2)
            await stop(task)
            return (
                restarted.machine.version,
                restarted.machine.dump() == group.machine.dump(),
            )

        assert run(scenario()) == (25, True)


class TestUndecodableCommands:
    def test_a_command_that_replicas_cannot_decode_is_not_logged(self):
        async def scenario():
            group = make_group(MemoryDisk())
            task = await start_leading(group)
            last = group.replica.log.last_index
            invalid = Publish(route_set=route_set(1, 0, route(timeout_ms=0)))
            with pytest.raises(PapayalockError) as caught:
                await group.propose(invalid)
            answer = await group.propose(Publish(route_set=route_set(1, 0)))
            alive = not task.done()
            await stop(task)
            return caught.value.code, last, answer.code, alive

        code, last, answer, alive = run(scenario())
        assert code == Code.BAD_MESSAGE
        assert answer == Code.DONE
        assert alive


class TestReads:
    def test_a_leader_returns_a_read_index(self):
        async def scenario():
            group = make_group(MemoryDisk())
            task = await start_leading(group)
            await group.propose(Publish(route_set=route_set(1, 0)))
            index = await group.read_index()
            await group.wait_applied(index)
            await stop(task)
            return index, group.replica.applied

        index, applied = run(scenario())
        assert index == applied

    def test_a_follower_returns_no_read_index(self):
        async def scenario():
            group = make_group(MemoryDisk())
            with pytest.raises(PapayalockError) as caught:
                await group.read_index()
            return caught.value.code

        assert run(scenario()) == Code.NO_LEADER
