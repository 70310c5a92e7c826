"""Deltas for nodes: scope, skipped versions, wake-ups and snapshot limits."""

import random

import msgspec

from papayalock.core.apply import Configuration
from papayalock.core.distribute import (
    DeltaSource,
    HeldConfig,
    SnapshotLimiter,
    WakeCoalescer,
    held_config,
)
from papayalock.messages import Delta, SyncReq
from test.inventories import LedgerDriver, example, with_slots

OKWUOSA = example('okwuosa')


def applied(
    driver: LedgerDriver, service: str, extra: tuple[str, ...] = ()
) -> tuple[Configuration, HeldConfig]:
    source = DeltaSource(driver.ledger)
    configuration = Configuration()
    info = driver.ledger.version_info(driver.ledger.version)
    configuration.apply(
        decoded(source, HeldConfig(service, extra, 0, '', '', ()), info)
    )
    return configuration, HeldConfig(
        service,
        extra,
        configuration.version,
        configuration.digest,
        service,
        extra,
    )


def decoded(source: DeltaSource, held: HeldConfig, info) -> Delta:
    return msgspec.json.decode(source.encoded_delta(held, info), type=Delta)


class TestScope:
    def test_a_node_holds_its_service_and_those_it_calls(self):
        driver = LedgerDriver()
        driver.submit(OKWUOSA)
        configuration, _ = applied(driver, 'auction-floor')
        assert set(configuration.parts) == {
            'auction-floor',
            'lot-catalogue',
            'valuation',
        }
        configuration, _ = applied(driver, 'lot-catalogue')
        assert set(configuration.parts) == {'lot-catalogue'}

    def test_a_subscription_widens_the_scope_by_one_part(self):
        driver = LedgerDriver()
        driver.submit(OKWUOSA)
        source = DeltaSource(driver.ledger)
        configuration, held = applied(driver, 'lot-catalogue')
        wider = HeldConfig(
            'lot-catalogue',
            ('valuation',),
            held.version,
            held.digest,
            'lot-catalogue',
            (),
        )
        delta = decoded(source, wider, driver.ledger.version_info(1))
        assert delta.base == 1
        assert [part.service for part in delta.parts] == ['valuation']
        configuration.apply(delta)
        assert set(configuration.parts) == {'lot-catalogue', 'valuation'}


class TestDelta:
    def test_unchanged_parts_are_not_sent_again(self):
        driver = LedgerDriver()
        driver.submit(OKWUOSA)
        _, held = applied(driver, 'auction-floor')
        driver.set_existing('valuation')
        delta = decoded(
            DeltaSource(driver.ledger), held, driver.ledger.version_info(2)
        )
        assert [part.service for part in delta.parts] == ['valuation']

    def test_skipped_versions_are_merged_into_one_delta(self):
        driver = LedgerDriver()
        driver.submit(OKWUOSA)
        configuration, held = applied(driver, 'lot-catalogue')
        for slots in (3, 4, 5):
            driver.submit(with_slots(OKWUOSA, slots))
        delta = decoded(
            DeltaSource(driver.ledger), held, driver.ledger.version_info(4)
        )
        configuration.apply(delta)
        assert configuration.version == 4
        assert configuration.parts['lot-catalogue'].slots == 5

    def test_a_node_behind_the_history_gets_a_snapshot(self):
        driver = LedgerDriver(history=3)
        driver.submit(OKWUOSA)
        configuration, held = applied(driver, 'lot-catalogue')
        for slots in range(2, 9):
            driver.submit(with_slots(OKWUOSA, slots))
        source = DeltaSource(driver.ledger)
        assert source.base_scope(held) is None
        delta = decoded(
            source, held, driver.ledger.version_info(driver.ledger.version)
        )
        assert delta.base == 0
        configuration.apply(delta)
        assert configuration.parts['lot-catalogue'].slots == 8

    def test_a_wrong_digest_gets_a_snapshot(self):
        driver = LedgerDriver()
        driver.submit(OKWUOSA)
        req = SyncReq(
            node='n',
            zone='z',
            service='valuation',
            incarnation=1,
            version=1,
            digest='other',
        )
        assert DeltaSource(driver.ledger).base_scope(held_config(req)) is None


class TestWakeCoalescer:
    def test_wake_ups_are_spaced_and_the_newest_is_never_skipped(self):
        coalescer = WakeCoalescer(500)
        assert coalescer.record_release(10.0) == 10.0
        coalescer.record_wake(10.0)
        assert coalescer.record_release(10.1) == 10.5
        assert coalescer.record_release(10.4) == 10.5
        coalescer.record_wake(10.5)
        assert coalescer.record_release(11.5) == 11.5


class TestSnapshotLimiter:
    def test_a_reconnect_storm_is_admitted_at_a_bounded_rate(self):
        limiter = SnapshotLimiter(10, 1000, random.Random(1), 0.0)
        admitted = sum(limiter.try_acquire(step / 1000) for step in range(5000))
        assert 50 <= admitted <= 60

    def test_retries_of_refused_nodes_are_spread(self):
        limiter = SnapshotLimiter(1, 1000, random.Random(1), 0.0)
        delays = {limiter.retry_after_ms() for _ in range(200)}
        assert len(delays) > 150
        assert 1 <= min(delays) <= max(delays) <= 1000
