"""What a control VM keeps of the past: bounded in bytes, whatever changes."""

import asyncio
import gc
import tracemalloc
from collections import deque
from types import SimpleNamespace

import msgspec
import pytest

from papayalock.config import make_settings
from papayalock.control import heap
from papayalock.control.peertransport import take_batch
from papayalock.control.statepack import pack_state, unpack_state
from papayalock.control.storage import GroupStorage
from papayalock.core.audit import AuditTrail, verify_chain
from papayalock.core.distribute import DeltaSource, HeldConfig
from papayalock.core.inventory import Inventory
from papayalock.core.ledger import Ledger
from papayalock.core.retention import (
    DEFAULT_BYTES,
    RetentionBudget,
    retention_bytes,
)
from papayalock.core.sizedcache import SizedCache
from papayalock.messages import (
    Delta,
    Entry,
    PeerMessage,
    Rule,
    Rules,
    SubmitRes,
    VersionInfo,
)
from papayalock.result import Code, SettingsError, StorageError
from test.cluster import MemoryDisk
from test.inventories import LedgerDriver, example, submission, with_slots
from test.test_group import MEMBERS, make_group, run, start_leading, stop
from test.test_routesets import route, route_set

KIB = 1024
MIB = 1024 * KIB
QURESHI = example('qureshi')


def changed_set(label: int, count: int):
    """Returns a set in which every route has the time-out of its label."""
    routes = [
        route(f'r{number:05}', timeout_ms=1200 + label)
        for number in range(count)
    ]
    return route_set(label, label - 1, *routes)


def publish(ledger: Ledger, label: int, count: int) -> None:
    command = ledger.route_sets.publish_command(changed_set(label, count))
    # As from the log: no object is shared with the set of the operator.
    command = msgspec.json.decode(
        msgspec.json.encode(command), type=type(command)
    )
    assert ledger.apply(label, command).code == Code.DONE


def small_ledger(total: int, history: int = 200) -> Ledger:
    return Ledger(
        history=history, audit_records=1000, budget=RetentionBudget(total)
    )


class TestMemory:
    # Guards against control VMs that outgrow their memory (review case 3).
    def test_changes_of_all_routes_stay_within_the_memory_for_the_past(self):
        tracemalloc.start()
        try:
            ledger = Ledger(history=200, audit_records=100000)
            before, _ = tracemalloc.get_traced_memory()
            for label in range(1, 151):
                publish(ledger, label, 500)
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert after - before < DEFAULT_BYTES

    def test_the_estimate_covers_what_is_allocated(self):
        tracemalloc.start()
        try:
            ledger = Ledger(history=200, audit_records=100000)
            publish(ledger, 1, 200)
            before, _ = tracemalloc.get_traced_memory()
            estimated = ledger.history.size + ledger.audit.size
            for label in range(2, 42):
                publish(ledger, label, 200)
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        grown = ledger.history.size + ledger.audit.size - estimated
        assert after - before <= grown

    def test_the_estimate_covers_audit_records_without_details(self):
        trail = AuditTrail(100_000, 64 * MIB)
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            for number in range(5000):
                trail.add(
                    1000 + number,
                    1_700_000_000_000 + number,
                    'routes',
                    1000 + number,
                    f'operator {number}',
                    f'~route/{number:05}',
                )
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert after - before <= trail.size

    @pytest.mark.parametrize('count', [10, 100, 1000])
    def test_memory_levels_off_at_any_size_of_the_changes(self, count):
        ledger = small_ledger(MIB)
        budget = RetentionBudget(MIB)
        for label in range(1, 60):
            publish(ledger, label, count)
            newest = ledger.version_info(label)
            one = sum(len(ledger.parts.text(d)) for d in newest.parts.values())
            # Two versions are kept whatever they weigh.
            bound = max(budget.versions, 2 * one + 2 * 600 * len(newest.parts))
            assert ledger.history.size <= bound
        assert ledger.audit.size <= budget.audit

    def test_changes_of_one_route_keep_the_whole_history(self):
        ledger = small_ledger(8 * MIB)
        publish(ledger, 1, 1000)
        routes = changed_set(1, 1000).routes
        for label in range(2, 250):
            routes = [route('r00000', timeout_ms=label), *routes[1:]]
            command = ledger.route_sets.publish_command(
                route_set(label, label - 1, *routes)
            )
            ledger.apply(label, command)
        assert len(ledger.history) == 200

    def test_the_audit_trail_drops_its_oldest_records(self):
        ledger = small_ledger(64 * KIB)
        for label in range(1, 100):
            publish(ledger, label, 100)
        records = ledger.audit.records
        assert 1 < len(records) < 20
        assert records[-1].version == 99
        assert verify_chain(records) is None


class TestResponses:
    def refused(self, ledger: Ledger, number: int) -> SubmitRes:
        # No service has one of these operations, so each rule is a problem.
        rules = [
            Rule(f'n{rank}', 'deadline', 'enrol-desk', operation=f'o-{rank}')
            for rank in range(200)
        ]
        command = submission(
            Inventory(QURESHI.register, Rules(rules)), 0, f'r{number}'
        )
        return ledger.apply(number, command)

    # Guards against refused submissions that outgrow the memory.
    def test_refused_submissions_are_kept_within_their_memory(self):
        ledger = small_ledger(4 * MIB)
        for number in range(1, 60):
            assert len(self.refused(ledger, number).problems) >= 200
        state = msgspec.json.decode(ledger.dump())
        assert len(msgspec.json.encode(state['requests'])) < MIB // 4
        assert 1 <= len(state['requests']) < 10
        assert state['requests'].keys() == state['fingerprints'].keys()

    def test_the_newest_response_is_given_again(self):
        ledger = small_ledger(4 * MIB)
        for number in range(1, 10):
            first = self.refused(ledger, number)
        assert self.refused(ledger, 9) == first


class TestHistory:
    def versions(self, ledger: Ledger) -> dict[int, VersionInfo]:
        return {
            summary.version: ledger.version_info(summary.version)
            for summary in ledger.history.summaries
        }

    def test_older_versions_keep_their_parts(self):
        ledger = small_ledger(64 * MIB)
        expected = {}
        sets = [
            route_set(1, 0, route('a'), route('b')),
            route_set(2, 1, route('b', timeout_ms=7), route('c')),
            route_set(3, 2, route('a'), route('c')),
            route_set(4, 3, route('a'), route('b')),
        ]
        for routes in sets:
            command = ledger.route_sets.publish_command(routes)
            ledger.apply(routes.label, command)
            expected[routes.label] = dict(ledger.history.newest_parts)
        for label, parts in expected.items():
            info = ledger.version_info(label)
            assert info.parts == parts
            names = {one.name for one in sets[label - 1].routes}
            held = ledger.version_parts(info)
            assert {
                part.host_route.name
                for part in held.values()
                if part.host_route is not None
            } == names

    def test_a_restored_history_equals_the_dumped_one(self):
        ledger = small_ledger(64 * MIB, history=7)
        for label in range(1, 12):
            publish(ledger, label, 3 + label % 4)
        restored = small_ledger(64 * MIB, history=7)
        restored.load(ledger.dump())
        assert self.versions(restored) == self.versions(ledger)
        assert dict(restored.parts) == dict(ledger.parts)
        assert restored.history.size == ledger.history.size
        assert restored.audit.size == ledger.audit.size
        for label in range(12, 24):
            publish(ledger, label, 3 + label % 4)
            publish(restored, label, 3 + label % 4)
        assert self.versions(restored) == self.versions(ledger)
        assert dict(restored.parts) == dict(ledger.parts)

    def test_a_snapshot_of_a_former_release_is_read(self):
        ledger = small_ledger(64 * MIB)
        for label in range(1, 6):
            publish(ledger, label, 4)
        state = msgspec.json.decode(ledger.dump())
        state.pop('undos')
        state['versions'] = msgspec.to_builtins(
            list(self.versions(ledger).values())
        )
        restored = small_ledger(64 * MIB)
        restored.load(msgspec.json.encode(state))
        assert self.versions(restored) == self.versions(ledger)
        assert restored.dump() == ledger.dump()

    def test_a_smaller_budget_takes_effect_when_a_snapshot_is_loaded(self):
        ledger = small_ledger(64 * MIB)
        for label in range(1, 60):
            publish(ledger, label, 100)
        restored = small_ledger(MIB)
        restored.load(ledger.dump())
        assert restored.version == 59
        assert restored.history.size <= RetentionBudget(MIB).versions
        assert restored.audit.size <= RetentionBudget(MIB).audit


class TestDeltas:
    def held(self, version: int, digest: str) -> HeldConfig:
        return HeldConfig('floor', (), version, digest, 'floor', ())

    def test_cached_deltas_and_scopes_are_bounded(self):
        budget = RetentionBudget(MIB)
        ledger = small_ledger(64 * MIB)
        source = DeltaSource(ledger, budget)
        for label in range(1, 80):
            publish(ledger, label, 100)
            info = ledger.history.newest
            source.encoded_delta(self.held(0, ''), info)
            assert source.size <= budget.deltas + budget.scopes

    def test_the_newest_delta_is_encoded_once_however_large(self):
        ledger = small_ledger(64 * MIB)
        source = DeltaSource(ledger, RetentionBudget(8 * KIB))
        publish(ledger, 1, 200)
        info = ledger.history.newest
        first = source.encoded_delta(self.held(0, ''), info)
        assert source.encoded_delta(self.held(0, ''), info) is first

    def test_a_node_whose_base_was_dropped_gets_a_snapshot(self):
        ledger = small_ledger(MIB)
        source = DeltaSource(ledger)
        publish(ledger, 1, 300)
        scope = source.scope(1, 'floor', ())
        held = self.held(1, scope.digest)
        for label in range(2, 9):
            publish(ledger, label, 300)
        encoded = source.encoded_delta(held, ledger.history.newest)
        delta = msgspec.json.decode(encoded, type=Delta)
        assert (delta.base, len(delta.parts)) == (0, 303)

    def test_polls_of_one_base_rebuild_its_version_once(self, monkeypatch):
        ledger = small_ledger(64 * MIB)
        source = DeltaSource(ledger)
        publish(ledger, 1, 5)
        digest = source.scope(1, 'floor', ()).digest
        source = DeltaSource(ledger)
        for label in range(2, 9):
            publish(ledger, label, 5)
        rebuilt = []
        rebuild = type(ledger.history).rebuild

        def spy(history, version):
            rebuilt.append(version)
            return rebuild(history, version)

        monkeypatch.setattr(type(ledger.history), 'rebuild', spy)
        for _ in range(9):
            assert source.base_scope(self.held(1, digest)) is not None
        assert rebuilt == [1]

    def test_the_oldest_entry_of_a_full_cache_goes_first(self):
        cache: SizedCache[str, int] = SizedCache(10)
        cache.put('a', 1, 4)
        cache.put('b', 2, 4)
        assert cache.get('a') == 1
        cache.put('c', 3, 4)
        assert (cache.get('a'), cache.get('b'), cache.get('c')) == (1, None, 3)
        assert cache.size == 8


class TestLog:
    def propose_sets(self, disk: MemoryDisk, **limits: int):
        async def scenario():
            group = make_group(disk, **limits)
            task = await start_leading(group)
            longest = 0
            for label in range(1, 40):
                command = group.machine.route_sets.publish_command(
                    changed_set(label, 50)
                )
                await group.propose(command)
                await asyncio.sleep(0.2)
                log = group.replica.log
                entries = log.last_index - log.snapshot.index
                longest = max(longest, entries)
            await stop(task)
            return group, longest

        return run(scenario())

    def test_large_entries_are_compacted_by_their_bytes(self):
        disk = MemoryDisk()
        _, longest = self.propose_sets(disk, log_bytes=64 * KIB)
        assert longest < 10

    def test_a_start_reads_no_more_than_the_bound(self):
        disk = MemoryDisk()
        group, _ = self.propose_sets(disk, log_bytes=64 * KIB)
        assert len(disk.files['config.log']) < 2 * 64 * KIB
        restored = GroupStorage(disk, 'config').load(MEMBERS)
        payloads = sum(len(entry.payload) for entry in restored.entries)
        assert payloads < 64 * KIB + 16 * KIB

        async def restart():
            again = make_group(disk, log_bytes=64 * KIB)
            task = await start_leading(again)
            await asyncio.sleep(0.2)
            await stop(task)
            return again

        again = run(restart())
        assert again.machine.dump() == group.machine.dump()

    def test_entries_applied_during_a_compaction_stay_in_the_log(self):
        disk = MemoryDisk()
        self.propose_sets(disk, snapshot_entries=3)
        restored = GroupStorage(disk, 'config').load(MEMBERS)
        indices = [entry.index for entry in restored.entries]
        first = restored.snapshot.index + 1
        assert indices == list(range(first, first + len(indices)))


class TestPeerRequests:
    def messages(self, *sizes: int) -> deque[PeerMessage]:
        return deque(
            PeerMessage(
                'config',
                'append',
                'a',
                'b',
                1,
                entries=[Entry(1, number, 'x' * size)],
            )
            for number, size in enumerate(sizes)
        )

    def test_one_request_carries_a_bounded_number_of_bytes(self):
        outbox = self.messages(*[MIB] * 10)
        batches = []
        while outbox:
            batches.append(take_batch(outbox))
        assert [len(batch) for batch in batches] == [4, 4, 2]

    def test_a_larger_message_goes_alone_and_in_order(self):
        outbox = self.messages(10, 6 * MIB, 10, 10)
        sent = [len(take_batch(outbox)) for _ in range(3)]
        assert sent == [1, 1, 2]

    def test_small_messages_are_bounded_in_number(self):
        assert len(take_batch(self.messages(*[1] * 100))) == 64


class TestPackedState:
    @pytest.mark.parametrize('state', [b'', b'{}', b'{"a":"\xc3\xa9"}' * 999])
    def test_a_packed_state_is_unpacked(self, state):
        assert unpack_state(pack_state(state)) == state

    def test_plain_json_of_a_former_release_is_taken(self):
        assert unpack_state('{"a":1}') == b'{"a":1}'
        assert unpack_state('') == b''

    @pytest.mark.parametrize('text', ['z1:?', 'z1:AAAA', 'z1:eJw'])
    def test_a_damaged_state_is_refused(self, text):
        with pytest.raises(StorageError) as caught:
            unpack_state(text)
        assert caught.value.code == Code.DATA_DAMAGED

    def test_a_ledger_of_changed_routes_shrinks(self):
        driver = LedgerDriver()
        for slots in range(1, 20):
            driver.submit(with_slots(QURESHI, slots))
        state = driver.ledger.dump()
        assert len(pack_state(state)) < len(state) / 2


class TestHeap:
    @pytest.fixture(autouse=True)
    def restore_collector(self):
        threshold = gc.get_threshold()
        yield
        gc.set_threshold(*threshold)
        gc.unfreeze()

    def options(self, monkeypatch, library):
        set_options = {}
        library.mallopt = set_options.__setitem__
        monkeypatch.setattr(heap.ctypes, 'CDLL', lambda _: library)
        heap.configure()
        return set_options

    # Guards against freed buffers that stay in the heap of each thread.
    def test_large_buffers_go_back_to_the_system(self, monkeypatch):
        options = self.options(monkeypatch, SimpleNamespace())
        assert options == {heap.MMAP_THRESHOLD_OPTION: 128 * KIB}

    def test_a_c_library_without_the_option_is_logged(
        self, monkeypatch, caplog
    ):
        monkeypatch.setattr(heap.ctypes, 'CDLL', lambda _: SimpleNamespace())
        heap.configure()
        assert 'mallopt' in caplog.text


class TestSettings:
    def settings(self, **retention):
        return make_settings(
            {
                'role': 'control',
                'name': 'c',
                'data': '/tmp',
                'control': {'auto_members': True, 'addresses': ['1.1.1.1:1']},
                'retention': retention,
            }
        )

    def test_a_fifth_of_a_known_memory_is_taken(self):
        cfg = self.settings(memory_mb=296).retention
        assert retention_bytes(cfg.bytes, cfg.memory_mb) == 296 * MIB // 5

    def test_an_unknown_memory_takes_the_default(self):
        cfg = self.settings().retention
        assert retention_bytes(cfg.bytes, cfg.memory_mb) == DEFAULT_BYTES

    @pytest.mark.parametrize(
        'retention',
        [
            {'memory_mb': 100, 'bytes': 21 * MIB},
            {'bytes': 1000},
            {'bytes': -1},
            {'memory_mb': -1},
        ],
    )
    def test_a_figure_that_cannot_hold_is_refused_with_its_field(
        self, retention
    ):
        with pytest.raises(SettingsError, match='retention'):
            self.settings(**retention)
