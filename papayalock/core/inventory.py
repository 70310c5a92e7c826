"""The inventory of a mesh, its register and rules: parsing and validation."""

import itertools
from collections.abc import Iterable
from typing import Any

from papayalock.core.problems import Problems
from papayalock.core.schema import Document, check_document
from papayalock.core.source import InventorySources, Source
from papayalock.core.tomltext import TomlError
from papayalock.messages import (
    Operation,
    Problem,
    Register,
    Rule,
    Rules,
    Service,
)
from papayalock.result import Code

ANYONE = '*'
MAX_WEIGHT_PERCENT = 1000
MIN_DEADLINE_MS = 10
MAX_SLOTS = 10000


class Inventory:
    """A register and its rules, decoded to their types."""

    __slots__ = ('register', 'rules')

    def __init__(self, register: Register, rules: Rules) -> None:
        """Sets the two documents."""
        self.register = register
        self.rules = rules


def merged_register(
    base: Register, change: Register, removed: Iterable[str]
) -> Register:
    """Returns a register with services replaced, added and removed."""
    services = {service.name: service for service in base.services}
    for name in removed:
        services.pop(name, None)
    services.update((service.name, service) for service in change.services)
    return Register(mesh=change.mesh, services=list(services.values()))


def parse_inventory(
    register_text: str,
    rules_text: str,
    names: tuple[str, str] = ('register', 'rules'),
) -> tuple[Inventory | None, list[Problem]]:
    """Returns the inventory of two TOML texts, and every error in them.

    :param names: file names of the register and the rules, for errors
    """
    sources = InventorySources(
        Source(names[0], register_text), Source(names[1], rules_text)
    )
    register, problems = _parse(sources.register, Register)
    rules, rules_problems = _parse(sources.rules, Rules)
    problems += rules_problems
    if register is None or rules is None:
        return None, problems
    inventory = Inventory(register, rules)
    problems += map(sources.with_location, check_inventory(inventory))
    return (None if problems else inventory), problems


def _parse(
    source: Source, kind: type[Document]
) -> tuple[Document | None, list[Problem]]:
    problems = Problems()
    try:
        raw = source.parse()
    except TomlError as exc:
        problems.add(Code.SYNTAX, exc.location(source.name), exc.reason)
        return None, problems.items
    document = check_document(raw, kind, problems)
    if document is None:
        _check_names(raw, problems)
    return document, [
        source.with_location(problem) for problem in problems.items
    ]


def _check_names(raw: dict[str, Any], problems: Problems) -> None:
    """Finds duplicate names in a document that has other errors."""
    for plural in ('services', 'rules'):
        tables = raw.get(plural)
        if not isinstance(tables, list):
            continue
        names = [item.get('name') for item in tables if isinstance(item, dict)]
        texts = [name for name in names if isinstance(name, str)]
        problems.add_duplicates(texts, plural.removesuffix('s'))


def check_inventory(inventory: Inventory) -> list[Problem]:
    """Returns every semantic error of an inventory; empty when it is valid."""
    problems = Problems()
    services = {item.name: item for item in inventory.register.services}
    if not services:
        problems.add(Code.BAD_VALUE, 'service', 'no service is listed')
    problems.add_duplicates(
        (item.name for item in inventory.register.services), 'service'
    )
    for service in inventory.register.services:
        _check_service(service, services, problems)
    problems.add_duplicates(
        (item.name for item in inventory.rules.rules), 'rule'
    )
    for rule in inventory.rules.rules:
        _check_rule(rule, services, problems)
    _check_contradictions(inventory.rules.rules, problems)
    return problems.items


def _check_service(
    service: Service, services: dict[str, Service], problems: Problems
) -> None:
    where = f'service[{service.name}]'
    problems.add_duplicates(
        (item.name for item in service.operations), f'{where}.operation'
    )
    for caller in service.callers:
        if caller != ANYONE and caller not in services:
            problems.add(
                Code.MISSING_CALLER,
                where,
                f'caller {caller} is not in the register',
            )
    for first, second in itertools.combinations(service.operations, 2):
        if _paths_overlap(first, second):
            problems.add(
                Code.PATH_OVERLAP,
                where,
                f'{first.name} and {second.name} match the same calls',
            )


def _segments(path: str) -> list[str]:
    return ['{}' if part.startswith('{') else part for part in path.split('/')]


def _paths_overlap(first: Operation, second: Operation) -> bool:
    if first.method != second.method:
        return False
    left = _segments(first.path)
    right = _segments(second.path)
    if len(left) != len(right):
        return False
    one_is_more_exact = _template_order(left) != _template_order(right)
    pairs = zip(left, right, strict=True)
    return not one_is_more_exact and all(
        part == other or '{}' in {part, other} for part, other in pairs
    )


def _template_order(segments: list[str]) -> tuple[bool, ...]:
    """Returns a sort key that puts exact segments before placeholders."""
    return tuple(segment == '{}' for segment in segments)


def _check_rule(
    rule: Rule, services: dict[str, Service], problems: Problems
) -> None:
    where = f'rule[{rule.name}]'
    service = services.get(rule.service)
    if service is None:
        problems.add(
            Code.MISSING_SERVICE,
            where,
            f'service {rule.service} is not in the register',
        )
        return
    operations = {item.name for item in service.operations}
    if rule.operation and rule.operation not in operations:
        problems.add(
            Code.MISSING_OPERATION,
            where,
            f'{rule.service} has no operation {rule.operation}',
        )
    if rule.caller not in {'', ANYONE, *services}:
        problems.add(
            Code.MISSING_CALLER,
            where,
            f'caller {rule.caller} is not in the register',
        )
    problem = _field_problem(rule)
    if problem:
        problems.add(Code.RULE_FIELD, where, problem)


def _field_problem(rule: Rule) -> str:
    if rule.action == 'deny':
        return '' if rule.caller else 'a deny rule names a caller'
    if rule.action == 'weight':
        return _weight_problem(rule)
    if rule.action == 'slots':
        valid = 1 <= rule.value <= MAX_SLOTS and not rule.operation
        return (
            ''
            if valid
            else f'slots takes a value from 1 to {MAX_SLOTS} and no operation'
        )
    return (
        ''
        if rule.value >= MIN_DEADLINE_MS
        else f'deadline takes at least {MIN_DEADLINE_MS} ms'
    )


def _weight_problem(rule: Rule) -> str:
    if not rule.zone or rule.operation:
        return 'a weight rule names an availability zone and no operation'
    if rule.value > MAX_WEIGHT_PERCENT:
        return f'a weight is at most {MAX_WEIGHT_PERCENT} percent'
    return ''


def _check_contradictions(rules: list[Rule], problems: Problems) -> None:
    first_rules: dict[tuple[str, ...], Rule] = {}
    for rule in rules:
        if rule.action == 'deny':
            continue
        subject = (rule.action, rule.service, rule.operation, rule.zone)
        earlier = first_rules.setdefault(subject, rule)
        if earlier.value != rule.value:
            problems.add(
                Code.CONTRADICTION,
                f'rule[{rule.name}]',
                f'contradicts rule {earlier.name}: {rule.value} against {earlier.value}',
            )
