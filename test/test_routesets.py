"""Route sets: compare-and-set on labels, resends and validation."""

import msgspec
import pytest

from papayalock.core.apply import Applied, Configuration, Rejected
from papayalock.core.derive import encode_part, manifest_digest
from papayalock.core.ledger import Ledger
from papayalock.core.routesets import RouteSetStore, validate_route_set
from papayalock.messages import (
    CallerLimits,
    Delta,
    HostRoute,
    Publish,
    RouteSet,
    ServicePolicy,
    Share,
)
from papayalock.result import Code, PapayalockError


def route(name: str = 'r', service: str = 'floor', **changes) -> HostRoute:
    fields = {
        'name': name,
        'host': 'a.example',
        'prefix': f'/{name}/',
        'repeatable': True,
        'timeout_ms': 500,
        'target_ms': 300,
        'rank': 1,
        'tries': 2,
        'shares': [Share(service, 1.0)],
        **changes,
    }
    return HostRoute(**fields)


def route_set(label: int, base: int, *routes: HostRoute) -> RouteSet:
    return RouteSet(
        label=label,
        base=base,
        routes=list(routes or (route(),)),
        services=[ServicePolicy('floor'), ServicePolicy('lots')],
        limits=CallerLimits(1000, 1000, 3000, 15000),
    )


class TestLabels:
    def test_one_of_two_sets_on_the_same_base_wins(self):
        store = RouteSetStore()
        first, fresh = store.publish(route_set(3, 0))
        assert (first.code, first.label, fresh) == (Code.DONE, 3, True)
        second, fresh = store.publish(route_set(3, 0, route('other')))
        assert (second.code, second.label, fresh) == (Code.CONFLICT, 3, False)

    def test_resend_is_acknowledged_even_after_later_sets(self):
        store = RouteSetStore()
        store.publish(route_set(3, 0))
        store.publish(route_set(5, 3, route('next')))
        again, fresh = store.publish(route_set(3, 0))
        assert (again.code, again.label, fresh) == (Code.DONE, 3, False)
        assert store.label == 5

    def test_label_must_increase(self):
        store = RouteSetStore()
        store.publish(route_set(3, 0))
        answer, _ = store.publish(route_set(3, 3, route('next')))
        assert answer.code == Code.INVALID
        assert 'label' in answer.message


class TestValidation:
    @pytest.mark.parametrize(
        'bad',
        [
            route(shares=[Share('nowhere', 1)]),
            route(shares=[Share('floor', -1), Share('lots', 2)]),
            route(shares=[]),
            route(timeout_ms=0),
            route(prefix='r/'),
        ],
    )
    def test_invalid_route_is_rejected_and_changes_nothing(self, bad):
        store = RouteSetStore()
        store.publish(route_set(3, 0))
        answer, fresh = store.publish(route_set(4, 3, bad))
        assert answer.code == Code.INVALID
        assert not fresh
        assert store.label == 3

    def test_every_problem_is_reported(self):
        answer, _ = RouteSetStore().publish(
            route_set(1, 0, route('a', timeout_ms=0), route('b', 'nowhere'))
        )
        assert 'route[a]' in answer.message
        assert 'route[b]' in answer.message


class TestRevisions:
    def store(self) -> RouteSetStore:
        store = RouteSetStore()
        first = route_set(3, 0, *(route(f'r{number}') for number in range(50)))
        first.source = msgspec.json.encode(first).decode()
        store.publish(first)
        return store

    def next_set(self) -> RouteSet:
        routes = [route(f'r{number}') for number in range(1, 50)]
        routes[7] = route('r8', timeout_ms=900)
        fresh = route_set(5, 3, *routes, route('late'))
        fresh.source = msgspec.json.encode(fresh).decode()
        return fresh

    def test_revision_reproduces_the_whole_set(self):
        whole, partly = self.store(), self.store()
        fresh = self.next_set()
        whole.publish(fresh)
        command = partly.publish_command(fresh)
        assert partly.revise(command)[0].code == Code.DONE
        assert partly.current == whole.current == fresh
        assert partly.state.accepted == whole.state.accepted

    def test_revision_carries_only_the_changes(self):
        command = self.store().publish_command(self.next_set())
        assert {one.name for one in command.changed} == {'r8', 'late'}
        assert sum(len(edit.pieces) for edit in command.edits) < 12

    def test_revision_of_an_outdated_label_conflicts(self):
        store = self.store()
        command = store.publish_command(self.next_set())
        store.publish(route_set(4, 3, route('other')))
        answer, fresh = store.revise(command)
        assert (answer.code, fresh) == (Code.CONFLICT, False)

    def test_resent_revision_is_acknowledged(self):
        store = self.store()
        command = store.publish_command(self.next_set())
        store.revise(command)
        answer, fresh = store.revise(command)
        assert (answer.code, answer.label, fresh) == (Code.DONE, 5, False)

    def test_set_on_another_label_is_sent_whole(self):
        assert isinstance(
            RouteSetStore().publish_command(self.next_set()), Publish
        )

    def test_results_that_need_no_log(self):
        store = self.store()
        assert store.result_without_log(self.next_set()) is None
        assert store.result_without_log(store.current).code == Code.DONE
        assert store.result_without_log(route_set(9, 1)).code == Code.CONFLICT
        faulty = route_set(9, 7, route(shares=[Share('nowhere', 1)]))
        assert store.result_without_log(faulty).code == Code.INVALID


class TestFieldBounds:
    @pytest.mark.parametrize(
        'bad', [route(timeout_ms=0), route(tries=0), route(name='')]
    )
    def test_field_out_of_bounds_is_rejected_before_the_log(self, bad):
        with pytest.raises(PapayalockError) as caught:
            validate_route_set(route_set(1, 0, bad))
        assert caught.value.code == Code.INVALID

    def test_valid_set_passes_unchanged(self):
        assert validate_route_set(route_set(1, 0)) == route_set(1, 0)


class TestLedger:
    def publish(self, ledger: Ledger, index: int, routes: RouteSet):
        return ledger.apply(index, Publish(route_set=routes))

    def delta(self, ledger: Ledger, base: int = 0) -> Delta:
        info = ledger.history.newest
        return Delta(
            version=info.version,
            base=base,
            digest=manifest_digest(info.parts),
            parts=list(ledger.version_parts(info).values()),
        )

    def test_set_becomes_a_version_that_nodes_can_apply(self):
        ledger = Ledger(history=5, audit_records=10)
        assert self.publish(ledger, 1, route_set(3, 0)).code == Code.DONE
        node = Configuration()
        assert isinstance(node.apply(self.delta(ledger)), Applied)
        assert node.parts['route/r'].host_route == route()

    def test_rejected_set_creates_no_version(self):
        ledger = Ledger(history=5, audit_records=10)
        self.publish(ledger, 1, route_set(3, 2))
        assert ledger.version == 0

    def test_route_without_its_service_is_not_applied(self):
        ledger = Ledger(history=5, audit_records=10)
        self.publish(ledger, 1, route_set(3, 0))
        delta = self.delta(ledger)
        delta.parts = [
            one for one in delta.parts if one.service != 'policy/floor'
        ]
        kept = {one.service for one in delta.parts}
        info = ledger.history.newest
        delta.digest = manifest_digest(
            {
                name: digest
                for name, digest in info.parts.items()
                if name in kept
            }
        )
        outcome = Configuration().apply(delta)
        assert isinstance(outcome, Rejected)
        assert outcome.code == Code.DANGLING_ROUTE

    def test_snapshot_keeps_the_route_sets_and_their_resends(self):
        ledger = Ledger(history=5, audit_records=10)
        self.publish(ledger, 1, route_set(3, 0))
        other = Ledger(history=5, audit_records=10)
        other.load(ledger.dump())
        assert other.route_sets.label == 3
        assert self.publish(other, 2, route_set(3, 0)).code == Code.DONE
        assert other.version == 1
        assert (
            msgspec.json.decode(other.dump())['book']['current']['label'] == 3
        )

    def revised(self, count: int) -> tuple[Ledger, RouteSet]:
        """Returns a ledger with many routes, and a set that changes one."""
        ledger = Ledger(history=5, audit_records=10)
        routes = [route(f'r{number}') for number in range(count)]
        self.publish(ledger, 1, route_set(3, 0, *routes))
        changed = [route('r0', timeout_ms=1), *routes[1:]]
        return ledger, route_set(4, 3, *changed)

    def test_a_revision_costs_no_digest_of_an_unchanged_route(
        self, monkeypatch
    ):
        ledger, routes = self.revised(50)
        digested = []

        def spy(part):
            digested.append(part.service)
            return encode_part(part)

        monkeypatch.setattr('papayalock.core.partstore.encode_part', spy)
        ledger.apply(2, ledger.route_sets.publish_command(routes))
        assert [name for name in digested if name.startswith('route/')] == [
            'route/r0'
        ]

    def test_a_revision_and_a_whole_set_make_the_same_version(self):
        by_revision, routes = self.revised(5)
        as_a_whole, _ = self.revised(5)
        by_revision.apply(2, by_revision.route_sets.publish_command(routes))
        self.publish(as_a_whole, 2, routes)
        assert by_revision.history.newest == as_a_whole.history.newest
        assert dict(by_revision.parts) == dict(as_a_whole.parts)

    def test_parts_are_kept_as_long_as_a_version_that_has_them(self):
        ledger = Ledger(history=3, audit_records=10)
        self.publish(ledger, 1, route_set(1, 0, route('a'), route('b')))
        for label in range(2, 9):
            again = route('a', timeout_ms=1 + label % 2)
            others = [route('b')] if label < 6 else []
            routes = route_set(label, label - 1, again, *others)
            ledger.apply(label, ledger.route_sets.publish_command(routes))
            assert ledger.parts.keys() == {
                digest
                for summary in ledger.history.summaries
                for digest in ledger.version_info(
                    summary.version
                ).parts.values()
            }

    def test_removed_route_leaves_the_version(self):
        ledger = Ledger(history=5, audit_records=10)
        self.publish(ledger, 1, route_set(3, 0, route('a'), route('b')))
        self.publish(ledger, 2, route_set(4, 3, route('b')))
        assert 'route/a' not in ledger.history.newest_parts
        assert 'route/b' in ledger.history.newest_parts
