"""The audit trail and what held where."""

from test.inventories import LedgerDriver, example, with_slots

import msgspec

from papayalock.core.audit import HeldVersionJournal, verify_chain
from papayalock.messages import HeldRecord
from papayalock.result import Code

QURESHI = example('qureshi')


def trail() -> list:
    driver = LedgerDriver()
    for slots in range(1, 6):
        driver.submit(with_slots(QURESHI, slots))
    return driver.ledger.audit.records


class TestChain:
    def test_a_whole_chain_verifies(self):
        assert verify_chain(trail()) is None

    def test_any_changed_field_is_noticed(self):
        for position in range(5):
            for field, forged in (
                ('operator', 'x'),
                ('detail', 'x'),
                ('version', 99),
                ('at_ms', 1),
            ):
                records = trail()
                records[position] = msgspec.structs.replace(
                    records[position], **{field: forged}
                )
                assert verify_chain(records) is records[position]

    def test_a_missing_record_is_noticed(self):
        records = trail()
        del records[2]
        assert verify_chain(records) is records[2]

    def test_a_pruned_start_still_verifies(self):
        assert verify_chain(trail()[2:]) is None


class Journal:
    def __init__(self) -> None:
        self.written: list[HeldRecord] = []
        self.held = HeldVersionJournal(1000, 500, self.written.append)

    def versions(self, node: str, at_ms: int) -> tuple[int, int]:
        answer = self.held.version_held(node, at_ms)
        assert answer.code == Code.DONE, answer.reason
        return answer.low, answer.high


class TestHeld:
    def test_between_release_and_completion_both_are_possible(self):
        journal = Journal()
        held = journal.held
        held.record_release(1, 1000)
        held.record_applied('n', 1, 1010)
        held.record_release(2, 2000)
        held.record_applied('n', 2, 2100)
        assert journal.versions('n', 1500) == (1, 1)
        assert journal.versions('n', 2050) == (1, 2)
        assert journal.versions('n', 2100) == (2, 2)

    def test_a_late_node_is_told_exactly(self):
        journal = Journal()
        held = journal.held
        held.record_release(1, 1000)
        held.record_applied('n', 1, 1010)
        held.record_applied('m', 1, 1010)
        held.record_release(2, 2000)
        held.record_applied('m', 2, 2010)
        held.record_applied('n', 2, 9000)
        assert journal.versions('n', 8999) == (1, 1)
        assert journal.versions('n', 9000) == (2, 2)

    def test_nodes_in_time_write_no_record_each(self):
        journal = Journal()
        for number in range(200):
            journal.held.record_applied(f'n{number}', 1, 1000)
        before = len(journal.written)
        for version in range(2, 22):
            journal.held.record_release(version, version * 1000)
            for number in range(200):
                journal.held.record_applied(
                    f'n{number}', version, version * 1000 + 100
                )
        assert len(journal.written) - before == 40

    def test_a_straggler_keeps_a_version_from_being_complete(self):
        journal = Journal()
        held = journal.held
        for node in 'abc':
            held.record_applied(node, 1, 1000)
        held.record_release(2, 2000)
        held.record_applied('a', 2, 2010)
        held.record_applied('b', 2, 2020)
        assert journal.written[-1].kind != 'complete'
        held.record_detached('c', 3000)
        assert journal.written[-1].kind == 'complete'
        assert journal.versions('a', 3000) == (2, 2)

    def test_release_times_are_bounded(self):
        journal = Journal()
        for version in range(1, 3000):
            journal.held.record_release(version, version)
        assert len(journal.held._released_at) == 1000

    def test_what_cannot_be_known_is_said(self):
        journal = Journal()
        held = journal.held
        held.record_applied('n', 1, 1000)
        held.record_detached('n', 3000)
        assert held.version_held('n', 500).code == Code.CANNOT_KNOW
        assert held.version_held('n', 2000).code == Code.DONE
        assert held.version_held('n', 4000).code == Code.CANNOT_KNOW
        assert held.version_held('other', 2000).code == Code.CANNOT_KNOW

    def test_an_outage_of_the_control_vm_cannot_be_known(self):
        journal = Journal()
        journal.held.record_applied('n', 1, 1000)
        journal.held.records.append(
            HeldRecord(at_ms=2000, kind='outage', subject='', version=0)
        )
        journal.held.record_applied('m', 1, 5000)
        assert journal.held.version_held('n', 1500).code == Code.DONE
        assert journal.held.version_held('n', 3000).code == Code.CANNOT_KNOW
