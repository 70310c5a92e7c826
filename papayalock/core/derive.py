"""Derives the parts of the configuration from register, rules and existence."""

import hashlib
from collections.abc import Container, Iterable

import msgspec

from papayalock.core.inventory import ANYONE, Inventory
from papayalock.messages import Operation, Part, Route, Rule, Service

DIGEST_BYTES = 12
Manifest = dict[str, str]


def part_digest(part: Part) -> str:
    """Returns the content digest of a part."""
    encoded = msgspec.json.encode(part, order='deterministic')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def manifest_digest(manifest: Manifest) -> str:
    """Returns the digest of a manifest, whatever the order of its parts."""
    # msgspec's own sort takes quadratic time on names that are almost sorted.
    encoded = msgspec.json.encode(dict(sorted(manifest.items())))
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def derive_parts(
    inventory: Inventory,
    existing: Iterable[str],
    names: Container[str] | None = None,
) -> dict[str, Part]:
    """Returns the parts of the services in the inventory.

    A service without backend servers keeps its part but has no routes, so that
    no route points at a missing resource.

    :param names: services to derive; None for all of them
    """
    present = set(existing)
    rules = rules_by_service(inventory.rules.rules)
    return {
        service.name: _derive_part(
            service, rules.get(service.name, []), exists=service.name in present
        )
        for service in inventory.register.services
        if names is None or service.name in names
    }


def rules_by_service(rules: list[Rule]) -> dict[str, list[Rule]]:
    """Returns the rules of each service, in the order of the document."""
    grouped: dict[str, list[Rule]] = {}
    for rule in rules:
        grouped.setdefault(rule.service, []).append(rule)
    return grouped


def _derive_part(service: Service, rules: list[Rule], *, exists: bool) -> Part:
    routes = [
        _derive_route(service, operation, rules)
        for operation in service.operations
    ]
    return Part(
        service=service.name,
        slots=_last_value(rules, 'slots', service.slots),
        connections=service.connections,
        callers=sorted(service.callers),
        routes=routes if exists else [],
        weights={
            rule.zone: rule.value for rule in rules if rule.action == 'weight'
        },
    )


def _last_value(rules: list[Rule], action: str, default: int) -> int:
    values = [rule.value for rule in rules if rule.action == action]
    return values[-1] if values else default


def _derive_route(
    service: Service, operation: Operation, rules: list[Rule]
) -> Route:
    scoped = [rule for rule in rules if rule.operation in {'', operation.name}]
    scoped.sort(key=lambda rule: bool(rule.operation))
    denied = {rule.caller for rule in scoped if rule.action == 'deny'}
    return Route(
        operation=operation.name,
        method=operation.method,
        path=operation.path,
        repeatable=operation.repeatable,
        priority=operation.priority,
        deadline_ms=_last_value(scoped, 'deadline', operation.deadline_ms),
        cluster=service.name,
        denied=sorted(denied),
    )


def in_scope(part: Part, service: str, extra: Iterable[str]) -> bool:
    """Whether a node of ``service`` holds a part.

    It holds the shared parts, the part of its own service, those of services
    that list it as a caller, and those it subscribed to on demand.
    """
    if part.shared or part.service == service or part.service in extra:
        return True
    return service in part.callers and ANYONE not in part.callers
