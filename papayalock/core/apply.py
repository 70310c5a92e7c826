"""A node's applied configuration: replaced as a whole and never by an older one."""

from collections.abc import Iterator
from dataclasses import dataclass

from papayalock.core.derive import Manifest, manifest_digest, part_digest
from papayalock.messages import Delta, Part
from papayalock.result import Code


@dataclass(slots=True, frozen=True)
class Applied:
    """The version is now in force."""

    version: int


@dataclass(slots=True, frozen=True)
class Ignored:
    """The delta is older than, or equal to, what is in force."""

    version: int


@dataclass(slots=True, frozen=True)
class Rejected:
    """The delta cannot be applied; the configuration in force is unchanged."""

    version: int
    code: Code
    reason: str


ApplyOutcome = Applied | Ignored | Rejected


class Configuration:
    """The parts in force on one node and the version that they form."""

    __slots__ = ('digest', 'manifest', 'parts', 'version')

    def __init__(self) -> None:
        """Starts with nothing in force, which is version 0."""
        self.version = 0
        self.digest = ''
        self.parts: dict[str, Part] = {}
        self.manifest: Manifest = {}

    def apply(self, delta: Delta) -> ApplyOutcome:
        """Puts a delta in force as a whole, or leaves everything as it was.

        A delta of the version in force may still widen the node's scope.
        """
        if self._is_outdated(delta):
            return Ignored(delta.version)
        if delta.base and delta.base != self.version:
            return Rejected(
                delta.version,
                Code.WRONG_BASE,
                f'based on {delta.base}, holds {self.version}',
            )
        parts = self._merged_parts(delta)
        manifest = self._merged_manifest(parts, delta)
        if manifest_digest(manifest) != delta.digest:
            return Rejected(
                delta.version, Code.WRONG_DIGEST, 'manifest digest differs'
            )
        fault = dangling_route(parts)
        if fault:
            return Rejected(delta.version, Code.DANGLING_ROUTE, fault)
        self.parts = parts
        self.manifest = manifest
        self.digest = delta.digest
        self.version = delta.version
        return Applied(delta.version)

    def _merged_manifest(
        self, parts: dict[str, Part], delta: Delta
    ) -> Manifest:
        """Returns the manifest; digests of unchanged parts are known."""
        known = self.manifest if delta.base else {}
        fresh = {part.service: part_digest(part) for part in delta.parts}
        return {name: fresh.get(name) or known[name] for name in parts}

    def _is_outdated(self, delta: Delta) -> bool:
        if delta.version == self.version:
            return delta.digest == self.digest
        return delta.version < self.version

    def _merged_parts(self, delta: Delta) -> dict[str, Part]:
        parts = dict(self.parts) if delta.base else {}
        for name in delta.removed:
            parts.pop(name, None)
        for part in delta.parts:
            parts[part.service] = part
        return parts


def dangling_route(parts: dict[str, Part]) -> str:
    """Returns a description of the first route without its resource, or ''."""
    for part in parts.values():
        for needed, name in _required_parts(part):
            if needed not in parts:
                return f'route {name} needs {needed}'
    return ''


def _required_parts(part: Part) -> Iterator[tuple[str, str]]:
    """Yields the parts that a part's routes need, each with the route."""
    for route in part.routes:
        yield route.cluster, f'{part.service}.{route.operation}'
    if part.host_route is not None:
        for share in part.host_route.shares:
            yield f'policy/{share.service}', part.service
