"""A node applies a version completely or not at all, and never an older one."""

import random

import msgspec
import pytest

from papayalock.core.apply import Applied, Configuration, Ignored, Rejected
from papayalock.core.derive import manifest_digest, part_digest
from papayalock.core.distribute import DeltaSource, HeldConfig
from papayalock.messages import Delta, Part, Route
from papayalock.result import Code
from test.inventories import LedgerDriver, example, with_slots

OKWUOSA = example('okwuosa')
SERVICES = ('auction-floor', 'lot-catalogue', 'valuation')


def part(service: str, cluster: str = '', slots: int = 1) -> Part:
    route = Route(
        operation='x',
        method='GET',
        path='/x',
        repeatable=True,
        priority='normal',
        deadline_ms=100,
        cluster=cluster or service,
    )
    return Part(
        service=service,
        slots=slots,
        connections=1,
        callers=['*'],
        routes=[route],
    )


def delta(
    version: int,
    parts: list[Part],
    base: int = 0,
    all_parts: list[Part] | None = None,
) -> Delta:
    complete = parts if all_parts is None else all_parts
    digest = manifest_digest(
        {item.service: part_digest(item) for item in complete}
    )
    return Delta(version=version, base=base, digest=digest, parts=parts)


class TestManifestDigest:
    def test_it_depends_on_names_and_digests_but_not_on_their_order(self):
        manifest = {name: 'ab' for name in ('b', 'a/ä', 'a', '€', 'Z')}
        backwards = dict(reversed(manifest.items()))
        digest = manifest_digest(manifest)
        assert manifest_digest(backwards) == digest
        assert manifest_digest({**manifest, 'Z': 'cd'}) != digest

    def test_it_is_the_same_for_nodes_of_the_release_before(self):
        manifest = {name: 'ab' for name in ('b', 'a/ä', 'a', '€', 'Z')}
        assert manifest_digest(manifest) == '451632a549f000be9c0d1bb6'


class TestRemovedTarget:
    def test_a_delta_that_removes_the_target_of_a_kept_route_is_rejected(self):
        configuration = Configuration()
        parts = [part('a', cluster='b'), part('b')]
        configuration.apply(delta(3, parts))
        removal = delta(4, [], base=3, all_parts=parts[:1])
        removal.removed = ['b']
        outcome = configuration.apply(removal)
        assert isinstance(outcome, Rejected)
        assert outcome.code == Code.DANGLING_ROUTE
        assert set(configuration.parts) == {'a', 'b'}


class TestApply:
    def test_a_snapshot_is_applied(self):
        configuration = Configuration()
        assert configuration.apply(delta(3, [part('a')])) == Applied(3)
        assert set(configuration.parts) == {'a'}

    @pytest.mark.parametrize('version', [1, 2, 3])
    def test_an_older_or_equal_version_is_ignored(self, version):
        configuration = Configuration()
        configuration.apply(delta(3, [part('a')]))
        before = configuration.parts
        outcome = configuration.apply(delta(version, [part('a')]))
        assert outcome == Ignored(version)
        assert configuration.parts is before

    def test_a_delta_from_another_base_is_rejected(self):
        configuration = Configuration()
        configuration.apply(delta(3, [part('a')]))
        outcome = configuration.apply(
            delta(5, [part('b')], base=4, all_parts=[part('a'), part('b')])
        )
        assert isinstance(outcome, Rejected)
        assert outcome.code == Code.WRONG_BASE

    def test_a_route_without_its_resource_is_rejected_as_a_whole(self):
        configuration = Configuration()
        configuration.apply(delta(1, [part('a')]))
        before = dict(configuration.parts)
        outcome = configuration.apply(
            delta(2, [part('a', slots=5), part('b', cluster='missing')])
        )
        assert outcome.code == Code.DANGLING_ROUTE
        assert configuration.parts == before
        assert configuration.version == 1

    def test_a_removed_part_that_a_route_needs_is_rejected(self):
        configuration = Configuration()
        both = [part('a', cluster='b'), part('b')]
        configuration.apply(delta(1, both))
        removal = delta(2, [], base=1, all_parts=both[:1])
        removal.removed = ['b']
        assert configuration.apply(removal).code == Code.DANGLING_ROUTE
        assert set(configuration.parts) == {'a', 'b'}

    def test_any_missing_part_is_detected(self):
        parts = [part(name) for name in 'abc']
        for missing in range(3):
            configuration = Configuration()
            short = delta(
                1, parts[:missing] + parts[missing + 1 :], all_parts=parts
            )
            assert configuration.apply(short).code == Code.WRONG_DIGEST
            assert configuration.version == 0


class TestRandomDeliveries:
    @pytest.mark.parametrize('seed', range(15))
    def test_reordered_and_duplicate_deltas_never_go_back(self, seed):
        rng = random.Random(seed)
        driver = LedgerDriver()
        source = DeltaSource(driver.ledger)
        configuration = Configuration()
        held: tuple[str, tuple[str, ...]] = ('', ())
        sent: list[tuple[Delta, HeldConfig]] = []
        highest = 0
        for _ in range(120):
            if rng.random() < 0.3:
                driver.submit(with_slots(OKWUOSA, rng.randrange(1, 9)))
            if rng.random() < 0.2:
                driver.set_existing(*rng.sample(SERVICES, rng.randrange(4)))
            if driver.ledger.version and rng.random() < 0.6:
                extra = tuple(sorted(rng.sample(SERVICES, rng.randrange(3))))
                config = HeldConfig(
                    rng.choice(SERVICES),
                    extra,
                    configuration.version,
                    configuration.digest,
                    *held,
                )
                info = driver.ledger.version_info(driver.ledger.version)
                sent.append(
                    (
                        msgspec.json.decode(
                            source.encoded_delta(config, info), type=Delta
                        ),
                        config,
                    )
                )
            if sent and rng.random() < 0.7:
                chosen, config = rng.choice(sent)
                if isinstance(configuration.apply(chosen), Applied):
                    held = (config.service, config.extra)
                    target = source.target_scope(
                        config, driver.ledger.version_info(chosen.version)
                    )
                    assert configuration.manifest == target.manifest
            assert configuration.version >= highest
            highest = configuration.version
            for held_part in configuration.parts.values():
                assert all(
                    route.cluster in configuration.parts
                    for route in held_part.routes
                )
        assert highest > 5
