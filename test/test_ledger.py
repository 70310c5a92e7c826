"""Ledger: racing submissions, resends, existence and snapshots."""

import random

import msgspec
import pytest

from papayalock.core.inventory import Inventory
from papayalock.core.ledger import Ledger
from papayalock.messages import Register, Rule, Rules
from papayalock.result import Code
from test.inventories import LedgerDriver, example, submission, with_slots

QURESHI = example('qureshi')
OKWUOSA = example('okwuosa')
SERVICES = ('auction-floor', 'lot-catalogue', 'valuation')


class TestRacingOperators:
    def test_the_first_of_two_with_the_same_base_wins(self):
        driver = LedgerDriver()
        first = driver.submit(QURESHI, base=0, request='a')
        second = driver.submit(with_slots(QURESHI, 3), base=0, request='b')
        assert (first.code, first.version) == (Code.DONE, 1)
        assert (second.code, second.version) == (Code.CONFLICT, 1)
        assert driver.ledger.inventory.register.services[0].slots == 9

    def test_a_resend_gets_the_first_answer(self):
        driver = LedgerDriver()
        first = driver.submit(QURESHI, base=0, request='a')
        driver.submit(with_slots(QURESHI, 3), request='b')
        resent = driver.submit(QURESHI, base=0, request='a')
        assert resent == first
        assert driver.ledger.version == 2

    def test_a_resent_conflict_stays_a_conflict(self):
        driver = LedgerDriver()
        driver.submit(QURESHI, base=0)
        conflict = driver.submit(QURESHI, base=0, request='x')
        driver.submit(with_slots(QURESHI, 2))
        assert driver.submit(QURESHI, base=0, request='x') == conflict

    def test_a_request_id_reused_for_another_submission_is_refused(self):
        driver = LedgerDriver()
        driver.submit(QURESHI, base=0, request='a')
        other = driver.submit(with_slots(QURESHI, 3), base=1, request='a')
        assert other.code == Code.REQUEST_REUSED
        assert driver.ledger.version == 1

    def test_an_invalid_document_is_refused_as_a_whole(self):
        driver = LedgerDriver()
        driver.submit(QURESHI)
        bad = Inventory(
            QURESHI.register,
            Rules(
                rules=[
                    Rule(name='x', action='slots', service='missing', value=1)
                ]
            ),
        )
        response = driver.submit(bad)
        assert response.code == Code.INVALID
        assert response.problems[0].code == Code.MISSING_SERVICE
        assert driver.ledger.version == 1


class TestPartial:
    """A submission of only the changed services equals a complete one."""

    def partial(
        self,
        driver: LedgerDriver,
        inventory: Inventory,
        removed: tuple[str, ...] = (),
    ):
        current = driver.ledger.inventory.register.services
        changed = [
            service
            for service in inventory.register.services
            if service not in current
        ]
        command = submission(
            inventory, driver.ledger.version, f'p{driver.index}'
        )
        command.register = Register(
            mesh=command.register.mesh, services=changed
        )
        command.partial = True
        command.removed = list(removed)
        return driver.apply(command)

    @pytest.mark.parametrize('seed', range(10))
    def test_it_derives_the_same_parts_as_a_complete_one(self, seed):
        rng = random.Random(seed)
        complete, parts = LedgerDriver(), LedgerDriver()
        for driver in (complete, parts):
            driver.submit(OKWUOSA)
        for _ in range(25):
            if rng.random() < 0.3:
                existing = rng.sample(SERVICES, rng.randrange(4))
                for driver in (complete, parts):
                    driver.set_existing(*existing)
            services = [
                msgspec.structs.replace(service, slots=rng.randrange(1, 4))
                for service in OKWUOSA.register.services
            ]
            rules = [
                Rule(
                    name='r',
                    action='slots',
                    service=rng.choice(SERVICES),
                    value=rng.randrange(1, 4),
                )
            ]
            inventory = Inventory(
                Register(mesh='m', services=services),
                Rules(rules=rules[: rng.randrange(2)]),
            )
            assert (
                complete.submit(inventory).code
                == self.partial(parts, inventory).code
                == Code.DONE
            )
            assert (
                complete.ledger.history.newest_parts
                == parts.ledger.history.newest_parts
            )

    def test_a_service_can_be_removed(self):
        driver = LedgerDriver()
        driver.submit(QURESHI)
        rest = Inventory(
            Register(mesh='m', services=QURESHI.register.services[:1]), Rules()
        )
        assert self.partial(driver, rest, ('rider-ledger',)).code == Code.DONE
        assert set(driver.ledger.history.newest_parts) == {'enrol-desk'}

    def test_removing_all_services_is_refused(self):
        driver = LedgerDriver()
        driver.submit(QURESHI)
        none = Inventory(Register(mesh='m', services=[]), Rules())
        response = self.partial(driver, none, ('rider-ledger', 'enrol-desk'))
        assert response.code == Code.INVALID


class TestExistence:
    def test_routes_follow_existence(self):
        driver = LedgerDriver()
        driver.submit(QURESHI)
        parts = driver.ledger.version_parts(driver.ledger.version_info(1))
        assert not parts['enrol-desk'].routes
        driver.set_existing('enrol-desk')
        parts = driver.ledger.version_parts(driver.ledger.version_info(2))
        assert parts['enrol-desk'].routes
        assert not parts['rider-ledger'].routes

    def test_unchanged_existence_makes_no_version(self):
        driver = LedgerDriver()
        driver.submit(QURESHI)
        driver.set_existing('enrol-desk')
        driver.set_existing('enrol-desk')
        assert driver.ledger.version == 2


class TestSnapshot:
    def test_a_restored_ledger_applies_commands_alike(self):
        driver = LedgerDriver()
        driver.submit(QURESHI, request='a')
        driver.set_existing('enrol-desk')
        copy = LedgerDriver()
        copy.ledger.load(driver.ledger.dump())
        copy.index = driver.index
        for ledger_driver in (driver, copy):
            ledger_driver.submit(with_slots(QURESHI, 4), request='b')
            ledger_driver.submit(QURESHI, base=0, request='a')
        assert copy.ledger.dump() == driver.ledger.dump()

    def test_history_and_parts_are_bounded(self):
        driver = LedgerDriver(history=5)
        for number in range(40):
            driver.submit(with_slots(QURESHI, number + 1))
        assert len(driver.ledger.history) == 5
        assert len(driver.ledger.parts) <= 10
        assert driver.ledger.version_info(35) is None
        assert driver.ledger.version_info(36).version == 36

    def test_version_at_an_index(self):
        ledger = Ledger(history=9, audit_records=9)
        for index, base in ((3, 0), (7, 1)):
            ledger.apply(
                index, submission(with_slots(QURESHI, index), base, f'r{index}')
            )
        assert ledger.version_at(2) is None
        assert ledger.version_at(6).version == 1
        assert ledger.version_at(7).version == 2
