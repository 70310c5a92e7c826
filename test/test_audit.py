"""The audit trail and the journal of held versions."""

import msgspec

from papayalock.core.audit import HeldVersionJournal, verify_chain
from papayalock.messages import HeldRecord
from papayalock.result import Code
from test.inventories import LedgerDriver, example, with_slots

QURESHI = example('qureshi')


def audit_records() -> list:
    driver = LedgerDriver()
    for slots in range(1, 6):
        driver.submit(with_slots(QURESHI, slots))
    return driver.ledger.audit.records


class TestChain:
    def test_an_intact_chain_verifies(self):
        assert verify_chain(audit_records()) is None

    def test_any_changed_field_is_detected(self):
        for position in range(5):
            for field, forged in (
                ('operator', 'x'),
                ('detail', 'x'),
                ('version', 99),
                ('at_ms', 1),
            ):
                records = audit_records()
                records[position] = msgspec.structs.replace(
                    records[position], **{field: forged}
                )
                assert verify_chain(records) is records[position]

    def test_a_missing_record_is_detected(self):
        records = audit_records()
        del records[2]
        assert verify_chain(records) is records[2]

    def test_a_pruned_start_still_verifies(self):
        assert verify_chain(audit_records()[2:]) is None


class JournalDriver:
    def __init__(self) -> None:
        self.written: list[HeldRecord] = []
        self.held = HeldVersionJournal(1000, 500, self.written.append)

    def versions(self, node: str, at_ms: int) -> tuple[int, int]:
        answer = self.held.version_held(node, at_ms)
        assert answer.code == Code.DONE, answer.reason
        return answer.low, answer.high


class TestHeldVersions:
    def test_between_release_and_completion_both_are_possible(self):
        journal = JournalDriver()
        held = journal.held
        held.record_release(1, 1000)
        held.record_applied('n', 1, 1010)
        held.record_release(2, 2000)
        held.record_applied('n', 2, 2100)
        assert journal.versions('n', 1500) == (1, 1)
        assert journal.versions('n', 2050) == (1, 2)
        assert journal.versions('n', 2100) == (2, 2)

    def test_the_version_of_a_late_node_is_exact(self):
        journal = JournalDriver()
        held = journal.held
        held.record_release(1, 1000)
        held.record_applied('n', 1, 1010)
        held.record_applied('m', 1, 1010)
        held.record_release(2, 2000)
        held.record_applied('m', 2, 2010)
        held.record_applied('n', 2, 9000)
        assert journal.versions('n', 8999) == (1, 1)
        assert journal.versions('n', 9000) == (2, 2)

    def test_nodes_that_apply_in_time_add_no_records(self):
        journal = JournalDriver()
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

    def test_a_slow_node_delays_completion(self):
        journal = JournalDriver()
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
        journal = JournalDriver()
        for version in range(1, 3000):
            journal.held.record_release(version, version)
        assert len(journal.held._released_at) == 1000

    def test_unattached_nodes_cannot_be_known(self):
        journal = JournalDriver()
        held = journal.held
        held.record_applied('n', 1, 1000)
        held.record_detached('n', 3000)
        assert held.version_held('n', 500).code == Code.CANNOT_KNOW
        assert held.version_held('n', 2000).code == Code.DONE
        assert held.version_held('n', 4000).code == Code.CANNOT_KNOW
        assert held.version_held('other', 2000).code == Code.CANNOT_KNOW

    def test_versions_during_a_control_vm_outage_cannot_be_known(self):
        journal = JournalDriver()
        journal.held.record_applied('n', 1, 1000)
        journal.held.records.append(
            HeldRecord(at_ms=2000, kind='outage', subject='', version=0)
        )
        journal.held.record_applied('m', 1, 5000)
        assert journal.held.version_held('n', 1500).code == Code.DONE
        assert journal.held.version_held('n', 3000).code == Code.CANNOT_KNOW
