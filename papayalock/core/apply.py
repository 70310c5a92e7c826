"""A node's configuration: replaced as a whole and never by an older one."""

from collections.abc import Iterator
from dataclasses import dataclass

from papayalock.core.derive import Manifest, manifest_digest, part_digest
from papayalock.core.partnames import policy_part
from papayalock.messages import Delta, Part
from papayalock.result import Code


@dataclass(slots=True, frozen=True)
class Applied:
    """The version is now in force."""

    version: int


@dataclass(slots=True, frozen=True)
class Ignored:
    """The delta is older than, or equal to, the version in force."""

    version: int


@dataclass(slots=True, frozen=True)
class Rejected:
    """The delta cannot be applied; the version in force is unchanged."""

    version: int
    code: Code
    reason: str


ApplyOutcome = Applied | Ignored | Rejected


class Configuration:
    """The parts in force on one node and the version that they form."""

    __slots__ = ('digest', 'manifest', 'parts', 'version')

    def __init__(self) -> None:
        """Starts empty, at version 0."""
        self.version = 0
        self.digest = ''
        self.parts: dict[str, Part] = {}
        self.manifest: Manifest = {}

    def apply(self, delta: Delta) -> ApplyOutcome:
        """Applies a delta as a whole, or changes nothing.

        A delta of the version in force is applied if its digest differs, since
        the node's scope may have widened.
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
        problem = dangling_route(parts)
        if problem:
            return Rejected(delta.version, Code.DANGLING_ROUTE, problem)
        self.parts = parts
        self.manifest = manifest
        self.digest = delta.digest
        self.version = delta.version
        return Applied(delta.version)

    def _merged_manifest(
        self, parts: dict[str, Part], delta: Delta
    ) -> Manifest:
        """Returns the new manifest; unchanged parts keep their digests."""
        base_manifest = self.manifest if delta.base else {}
        sent = {part.service: part_digest(part) for part in delta.parts}
        return {name: sent.get(name) or base_manifest[name] for name in parts}

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
    """Describes the first route whose target part is missing; '' for none."""
    for part in parts.values():
        for needed, name in _required_parts(part):
            if needed not in parts:
                return f'route {name} needs {needed}'
    return ''


def _required_parts(part: Part) -> Iterator[tuple[str, str]]:
    """Yields the parts that the routes of a part need, with the route."""
    for route in part.routes:
        yield route.cluster, f'{part.service}.{route.operation}'
    if part.host_route is not None:
        for share in part.host_route.shares:
            yield policy_part(share.service), part.service
