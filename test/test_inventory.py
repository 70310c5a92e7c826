"""Registers and rules: all errors are numbered and reported at once."""

import pytest

from papayalock.core.derive import derive_parts
from papayalock.core.inventory import parse_inventory
from papayalock.result import Code
from test.inventories import EXAMPLES, example

REGISTER = """
mesh = "m"
[[service]]
name = "a"
slots = 2
connections = 4
[[service.operation]]
name = "get"
method = "GET"
path = "/x/{id}"
"""
RULE = '[[rule]]\nname = "r"\naction = "{}"\nservice = "{}"\n{}'


def codes(register: str, rules: str = '') -> list[Code]:
    inventory, problems = parse_inventory(register, rules)
    assert (inventory is None) == bool(problems)
    return [Code(problem.code) for problem in problems]


class TestProblems:
    @pytest.mark.parametrize(
        ('rules', 'code'),
        [
            (
                RULE.format('slots', 'missing', 'value = 2'),
                Code.MISSING_SERVICE,
            ),
            (
                RULE.format('deadline', 'a', 'operation = "no"\nvalue = 50'),
                Code.MISSING_OPERATION,
            ),
            (
                RULE.format('deny', 'a', 'caller = "nobody"'),
                Code.MISSING_CALLER,
            ),
            (RULE.format('deny', 'a', ''), Code.RULE_FIELD),
            (RULE.format('weight', 'a', 'value = 5'), Code.RULE_FIELD),
            (
                RULE.format('weight', 'a', 'zone = "z"\nvalue = 5000'),
                Code.RULE_FIELD,
            ),
            (RULE.format('slots', 'a', 'value = 0'), Code.RULE_FIELD),
            (RULE.format('deadline', 'a', 'value = 3'), Code.RULE_FIELD),
            (RULE.format('explode', 'a', ''), Code.BAD_VALUE),
            (RULE.format('slots', 'a', 'valeu = 2'), Code.UNKNOWN_KEY),
            ('[[rule', Code.SYNTAX),
        ],
    )
    def test_an_invalid_rule_has_its_code(self, rules, code):
        assert code in codes(REGISTER, rules)

    @pytest.mark.parametrize(
        ('old', 'new', 'code'),
        [
            ('slots = 2', 'slots = "two"', Code.BAD_VALUE),
            ('slots = 2', 'slots = 0', Code.BAD_VALUE),
            ('slots = 2\n', '', Code.BAD_VALUE),
            ('slots = 2', 'slots = 2\nslot = 3', Code.UNKNOWN_KEY),
            ('method = "GET"', 'method = "FETCH"', Code.BAD_VALUE),
            ('name = "a"', 'name = "A B"', Code.BAD_VALUE),
            (
                'slots = 2',
                'slots = 2\ncallers = ["ghost"]',
                Code.MISSING_CALLER,
            ),
            ('mesh = "m"', 'mesh = ', Code.SYNTAX),
        ],
    )
    def test_an_invalid_register_has_its_code(self, old, new, code):
        assert code in codes(REGISTER.replace(old, new))

    def test_overlapping_paths_and_duplicates(self):
        twice = REGISTER + REGISTER[REGISTER.index('[[service]]') :]
        assert Code.DUPLICATE in codes(twice)
        overlap = (
            REGISTER
            + '[[service.operation]]\nname = "b"\nmethod = "GET"\npath = "/x/{other}"\n'
        )
        assert Code.PATH_OVERLAP in codes(overlap)
        exact = (
            REGISTER
            + '[[service.operation]]\nname = "b"\nmethod = "GET"\npath = "/x/exact"\n'
        )
        assert codes(exact) == []

    def test_contradicting_rules(self):
        first = RULE.format('slots', 'a', 'value = 2\n')
        second = first.replace('"r"', '"s"').replace('value = 2', 'value = 3')
        assert codes(REGISTER, first + second) == [Code.CONTRADICTION]

    def test_all_errors_are_reported_at_once(self):
        rules = RULE.format('slots', 'missing', 'value = 2\n') + RULE.format(
            'deny', 'a', ''
        ).replace('"r"', '"s"')
        assert codes(REGISTER, rules) == [Code.MISSING_SERVICE, Code.RULE_FIELD]


class TestExamples:
    @pytest.mark.parametrize(
        'name', sorted(path.name for path in EXAMPLES.iterdir())
    )
    def test_an_example_is_valid(self, name):
        assert example(name).register.services

    def test_rules_override_the_register(self):
        parts = derive_parts(example('qureshi'), ['enrol-desk'])
        documents = next(
            route
            for route in parts['enrol-desk'].routes
            if route.operation == 'check-documents'
        )
        assert documents.deadline_ms == 2500

    def test_operations_that_are_not_idempotent_are_marked(self):
        for name, operations in (
            ('qureshi', {'sign-up', 'pay-deposit', 'activate'}),
            ('okwuosa', {'bid', 'hold-payment'}),
        ):
            services = example(name).register.services
            marked = {
                operation.name
                for service in services
                for operation in service.operations
                if not operation.repeatable
            }
            assert marked == operations
