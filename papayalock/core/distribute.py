"""Builds the deltas sent to nodes and bounds the load of reconnect storms."""

from dataclasses import dataclass

import msgspec

from papayalock.core.derive import Manifest, manifest_digest
from papayalock.core.ledger import Ledger
from papayalock.core.partnames import is_shared, reachable_service
from papayalock.core.retention import RetentionBudget
from papayalock.core.sizedcache import SizedCache
from papayalock.messages import SyncReq, VersionInfo
from papayalock.ports import Random

MS_PER_S = 1000
ENTRY_BYTES = 512  # memory of a cached entry beside its content
SCOPE_PART_BYTES = 64  # memory of one part's entry in a scope
ScopeKey = tuple[int, str, tuple[str, ...]]


@dataclass(slots=True, frozen=True)
class HeldConfig:
    """The version and scope that a node reports, and the scope it wants."""

    service: str
    extra: tuple[str, ...]
    version: int
    digest: str
    held_service: str
    held_extra: tuple[str, ...]


def held_config(req: SyncReq) -> HeldConfig:
    """Returns the fields of a request that determine its delta."""
    return HeldConfig(
        service=req.service,
        extra=tuple(sorted(set(req.extra))),
        version=req.version,
        digest=req.digest,
        held_service=req.held_service,
        held_extra=tuple(sorted(set(req.held_extra))),
    )


DeltaKey = tuple[HeldConfig, int]


@dataclass(slots=True, frozen=True)
class Scope:
    """The parts that nodes of one kind hold at one version."""

    manifest: Manifest
    digest: str
    services: frozenset[str]  # those whose endpoints these nodes need


class EncodedDelta(msgspec.Struct):
    """A ``Delta`` message whose parts are already encoded."""

    version: int
    base: int
    digest: str
    parts: list[msgspec.Raw]
    removed: list[str]


class DeltaSource:
    """Builds deltas, each encoded once for all nodes in the same state.

    ``size`` is the memory in bytes of what is kept for reuse.
    """

    __slots__ = ('_deltas', '_ledger', '_scopes')

    def __init__(
        self, ledger: Ledger, budget: RetentionBudget | None = None
    ) -> None:
        """Serves the versions of one ledger.

        :param budget: memory for deltas and scopes
        """
        budget = budget or RetentionBudget()
        self._ledger = ledger
        self._deltas: SizedCache[DeltaKey, msgspec.Raw] = SizedCache(
            budget.deltas
        )
        self._scopes: SizedCache[ScopeKey, Scope] = SizedCache(budget.scopes)

    @property
    def size(self) -> int:
        """The memory of the cached deltas and scopes in bytes."""
        return self._deltas.size + self._scopes.size

    def scope(
        self, version: int, service: str, extra: tuple[str, ...]
    ) -> Scope:
        """Returns the parts of a kept version that are in a node's scope."""
        key = (version, service, extra)
        scope = self._scopes.get(key)
        if scope is None:
            info = self._ledger.history.rebuild(version)
            scope = self._build_scope(info, service, extra)
            size = ENTRY_BYTES + SCOPE_PART_BYTES * len(scope.manifest)
            self._scopes.put(key, scope, size)
        return scope

    def _build_scope(
        self, info: VersionInfo, service: str, extra: tuple[str, ...]
    ) -> Scope:
        parts = self._ledger.parts
        manifest = {
            name: digest
            for name, digest in info.parts.items()
            if is_shared(name) or parts.in_scope(name, digest, service, extra)
        }
        services = frozenset(map(reachable_service, manifest)) - {''}
        return Scope(manifest, manifest_digest(manifest), services)

    def base_scope(self, held: HeldConfig) -> Scope | None:
        """Returns the scope a node holds, or None if it needs a snapshot.

        A delta cannot start from a version that is no longer kept or whose
        digest differs from the node's.
        """
        if not self._ledger.history.keeps(held.version):
            return None
        scope = self.scope(held.version, held.held_service, held.held_extra)
        return scope if scope.digest == held.digest else None

    def target_scope(self, held: HeldConfig, info: VersionInfo) -> Scope:
        """Returns the scope that a node should hold at a version."""
        return self.scope(info.version, held.service, held.extra)

    def encoded_delta(self, held: HeldConfig, info: VersionInfo) -> msgspec.Raw:
        """Returns the encoded delta from what a node holds to a version."""
        key = (held, info.version)
        encoded = self._deltas.get(key)
        if encoded is None:
            text = msgspec.json.encode(self._build_delta(held, info))
            encoded = msgspec.Raw(text)
            self._deltas.put(key, encoded, ENTRY_BYTES + len(text))
        return encoded

    def _build_delta(self, held: HeldConfig, info: VersionInfo) -> EncodedDelta:
        scope = self.target_scope(held, info)
        target = scope.manifest
        base_scope = self.base_scope(held)
        base = base_scope.manifest if base_scope else {}
        changed = [
            name for name, digest in target.items() if base.get(name) != digest
        ]
        parts = self._ledger.parts
        return EncodedDelta(
            version=info.version,
            base=held.version if base_scope else 0,
            digest=scope.digest,
            parts=[
                msgspec.Raw(parts.text(target[name]))
                for name in sorted(changed)
            ],
            removed=sorted(set(base) - set(target)),
        )


class WakeCoalescer:
    """Spaces out wake-ups of waiting nodes.

    The newest version is never skipped.
    """

    __slots__ = ('_due_at', '_last_wake', '_window_s')

    def __init__(self, window_ms: int) -> None:
        """Starts idle.

        :param window_ms: minimum time between two wake-ups
        """
        self._window_s = window_ms / MS_PER_S
        self._last_wake = float('-inf')
        self._due_at: float | None = None

    def record_release(self, now: float) -> float:
        """Records a release; returns the time at which to wake the nodes."""
        if self._due_at is None:
            self._due_at = max(now, self._last_wake + self._window_s)
        return self._due_at

    def record_wake(self, now: float) -> None:
        """Records that the nodes were woken."""
        self._last_wake = now
        self._due_at = None


class SnapshotLimiter:
    """Token bucket for snapshots; spreads the retries of refused requests."""

    __slots__ = ('_rate', '_refilled_at', '_retry_ms', '_rng', '_tokens')

    def __init__(
        self, per_second: int, retry_ms: int, rng: Random, now: float
    ) -> None:
        """Starts with one second's worth of tokens.

        :param per_second: snapshots sent per second
        :param retry_ms: maximum retry-after delay of a refused request
        """
        self._rate = per_second
        self._retry_ms = retry_ms
        self._rng = rng
        self._tokens = float(per_second)
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Takes a token for one snapshot; False if none is left."""
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._rate), refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def retry_after_ms(self) -> int:
        """Returns a full-jitter retry-after delay for a refused node."""
        return 1 + self._rng.randrange(self._retry_ms)
