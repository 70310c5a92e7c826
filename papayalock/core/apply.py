"""A node's configuration: replaced as a whole and never by an older one."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from papayalock.core.derive import Manifest, manifest_digest, part_digest
from papayalock.core.partnames import policy_part, route_of
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
        manifest = self._merged_manifest(delta)
        if manifest_digest(manifest) != delta.digest:
            return Rejected(
                delta.version, Code.WRONG_DIGEST, 'manifest digest differs'
            )
        problem = dangling_route(_parts_to_check(parts, delta), parts)
        if problem:
            return Rejected(delta.version, Code.DANGLING_ROUTE, problem)
        self.parts = parts
        self.manifest = manifest
        self.digest = delta.digest
        self.version = delta.version
        return Applied(delta.version)

    def _merged_manifest(self, delta: Delta) -> Manifest:
        """Returns the new manifest; unchanged parts keep their digests."""
        manifest = dict(self.manifest) if delta.base else {}
        for name in delta.removed:
            manifest.pop(name, None)
        manifest.update(
            (part.service, part_digest(part)) for part in delta.parts
        )
        return manifest

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


def _parts_to_check(parts: dict[str, Part], delta: Delta) -> Collection[Part]:
    """Returns the parts whose routes a delta may leave without a target.

    A delta costs a node little if it changes little: unless it removes a
    target, only the routes that it sends can lack theirs.
    """
    may_remove_target = any(not route_of(name) for name in delta.removed)
    if delta.base and not may_remove_target:
        return delta.parts
    return parts.values()


def dangling_route(to_check: Iterable[Part], parts: dict[str, Part]) -> str:
    """Describes the first route whose target part is missing; '' for none.

    :param to_check: the parts whose routes are checked
    :param parts: all parts
    """
    for part in to_check:
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
