"""Derives the parts of the configuration from register, rules and existence."""

import hashlib
from collections.abc import Container, Iterable

import msgspec

from papayalock.core.inventory import ANYONE, Inventory
from papayalock.messages import Operation, Part, Route, Rule, Service

DIGEST_BYTES = 12
Manifest = dict[str, str]


def encode_part(part: Part) -> bytes:
    """Returns a part as JSON text, the same for equal parts."""
    return msgspec.json.encode(part, order='deterministic')


def encoded_digest(text: bytes) -> str:
    """Returns the content digest of an encoded part."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def part_digest(part: Part) -> str:
    """Returns the content digest of a part."""
    return encoded_digest(encode_part(part))


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


def lists_caller(callers: Container[str], service: str) -> bool:
    """Whether the callers of a service name another one, not just anyone."""
    return service in callers and ANYONE not in callers
