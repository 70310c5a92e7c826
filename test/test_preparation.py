"""Large entries are prepared in a thread, and applied in order."""

import asyncio

import pytest

from papayalock.commands import Noop, decode_command, encode_command
from papayalock.control.preparation import LARGE_PAYLOAD_CHARS, Preparer
from papayalock.core.ledger import Ledger
from papayalock.messages import Publish
from papayalock.result import Code, PapayalockError
from test.cluster import MemoryDisk
from test.test_group import make_group, run, start_leading, stop
from test.test_retention import changed_set
from test.test_routesets import route, route_set

LARGE = 400  # routes whose command is prepared in a thread


def decoded(command):
    """Returns a command as it comes from the log."""
    return decode_command(encode_command(command))


def never(_preparer, _entry) -> bool:
    """Holds back every large entry."""
    return False


class TestLedger:
    def ledgers(self) -> tuple[Ledger, Ledger]:
        pair = [Ledger(history=9, audit_records=99) for _ in range(2)]
        for ledger in pair:
            ledger.apply(1, decoded(Publish(changed_set(1, 20))))
        return tuple(pair)

    def test_a_prepared_command_has_the_result_of_one_that_is_not(self):
        prepared, plain = self.ledgers()
        command = decoded(plain.route_sets.publish_command(changed_set(2, 30)))
        prepared.prepare(command)
        assert prepared.version == 1
        assert prepared.apply(2, command) == plain.apply(2, command)
        assert prepared.dump() == plain.dump()

    def test_the_work_for_another_command_is_not_used(self):
        prepared, plain = self.ledgers()
        other = decoded(Publish(changed_set(2, 5)))
        prepared.prepare(other)
        command = decoded(plain.route_sets.publish_command(changed_set(2, 30)))
        prepared.apply(2, command)
        plain.apply(2, command)
        assert prepared.dump() == plain.dump()

    @pytest.mark.parametrize('base', [0, 7])
    def test_a_prepared_command_that_does_not_fit_is_refused(self, base):
        ledger, _ = self.ledgers()
        command = decoded(Publish(route_set(9, base, route())))
        ledger.prepare(command)
        assert ledger.apply(2, command).code == Code.CONFLICT
        assert ledger.version == 1

    def test_an_invalid_set_is_refused_with_its_errors(self):
        ledger, _ = self.ledgers()
        command = decoded(Publish(route_set(9, 1, route(service='nowhere'))))
        ledger.prepare(command)
        result = ledger.apply(2, command)
        assert result.code == Code.INVALID
        assert 'route[r]' in result.message


class TestGroup:
    def large(self, label: int) -> Publish:
        command = Publish(changed_set(label, LARGE))
        assert len(encode_command(command)) > LARGE_PAYLOAD_CHARS
        return command

    def test_large_and_small_entries_are_applied_in_order(self):
        async def scenario():
            group = make_group(MemoryDisk())
            task = await start_leading(group)
            small = Publish(route_set(2, 1, route('s')))
            results = await asyncio.gather(
                group.propose(self.large(1)),
                group.propose(small),
                group.propose(self.large(3)),
            )
            await stop(task)
            return [result.code for result in results], group.machine

        codes, ledger = run(scenario())
        assert codes == [Code.DONE] * 3
        assert ledger.route_sets.label == 3
        assert ledger.version == 3

    # Guards against reads of a state that lags behind the applied index.
    def test_an_entry_that_is_held_back_does_not_count_as_applied(
        self, monkeypatch
    ):
        async def scenario():
            group = make_group(MemoryDisk())
            task = await start_leading(group)
            with monkeypatch.context() as held_back:
                held_back.setattr(Preparer, '_is_prepared', never)
                proposal = asyncio.ensure_future(group.propose(self.large(1)))
                await asyncio.sleep(5)
                index = await group.read_index()
                with pytest.raises(PapayalockError) as caught:
                    await group.wait_applied(index)
                held = proposal.done(), group.machine.version
                leads = group.replica.is_leader
            result = await proposal
            await group.wait_applied(index)
            await stop(task)
            return caught.value.code, held, leads, result.code

        assert run(scenario()) == (
            Code.NO_LEADER,
            (False, 0),
            True,
            Code.DONE,
        )

    def test_entries_behind_a_held_one_wait_for_it(self, monkeypatch):
        async def scenario():
            group = make_group(MemoryDisk())
            task = await start_leading(group)
            with monkeypatch.context() as held_back:
                held_back.setattr(Preparer, '_is_prepared', never)
                large = asyncio.ensure_future(group.propose(self.large(1)))
                behind = asyncio.ensure_future(group.propose(Noop(kind='noop')))
                await asyncio.sleep(1)
                waited = behind.done()
            await asyncio.gather(large, behind)
            await stop(task)
            return waited

        assert run(scenario()) is False

    def test_a_restart_applies_large_entries_again(self):
        async def scenario():
            disk = MemoryDisk()
            group = make_group(disk)
            task = await start_leading(group)
            for label in range(1, 4):
                await group.propose(self.large(label))
            await stop(task)
            again = make_group(disk)
            task = await start_leading(again)
            await again.wait_applied(await again.read_index())
            await stop(task)
            return group.machine.dump() == again.machine.dump()

        assert run(scenario())
