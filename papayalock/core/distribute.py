"""Builds what each node is sent, and bounds the work of reconnect storms."""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from papayalock.core.derive import Manifest, in_scope, manifest_digest
from papayalock.core.ledger import Ledger
from papayalock.messages import Delta, SyncReq, VersionInfo
from papayalock.ports import Random

MS_PER_S = 1000  # milliseconds in a second
MAX_CACHED_DELTAS = 4096
ScopeKey = tuple[int, str, tuple[str, ...]]


@dataclass(slots=True, frozen=True)
class HeldConfig:
    """What a node says it holds, and its scope."""

    service: str
    extra: tuple[str, ...]
    version: int
    digest: str
    held_service: str
    held_extra: tuple[str, ...]


def held_config(req: SyncReq) -> HeldConfig:
    """Returns the part of a request that decides its delta."""
    return HeldConfig(
        service=req.service,
        extra=tuple(sorted(set(req.extra))),
        version=req.version,
        digest=req.digest,
        held_service=req.held_service,
        held_extra=tuple(sorted(set(req.held_extra))),
    )


@dataclass(slots=True, frozen=True)
class Scope:
    """The parts that one kind of node holds at one version."""

    manifest: Manifest
    digest: str


class DeltaSource:
    """Encodes deltas once for all nodes that hold the same."""

    __slots__ = ('_cache', '_ledger', '_scopes')

    def __init__(self, ledger: Ledger) -> None:
        """Serves the versions of one ledger."""
        self._ledger = ledger
        self._cache: OrderedDict[tuple[HeldConfig, int], msgspec.Raw] = (
            OrderedDict()
        )
        self._scopes: OrderedDict[ScopeKey, Scope] = OrderedDict()

    def scope(
        self, info: VersionInfo, service: str, extra: tuple[str, ...]
    ) -> Scope:
        """Returns the parts in one node's scope."""
        key = (info.version, service, extra)
        known = self._scopes.get(key)
        if known is None:
            known = self._build_scope(info, service, extra)
            self._scopes[key] = known
            if len(self._scopes) > MAX_CACHED_DELTAS:
                self._scopes.popitem(last=False)
        return known

    def _build_scope(
        self, info: VersionInfo, service: str, extra: tuple[str, ...]
    ) -> Scope:
        parts = self._ledger.parts
        manifest = {
            name: digest
            for name, digest in info.parts.items()
            if in_scope(parts[digest], service, extra)
        }
        return Scope(manifest, manifest_digest(manifest))

    def base_scope(self, held: HeldConfig) -> Scope | None:
        """Returns what the node holds, or None when no delta can start from it."""
        info = self._ledger.version_info(held.version)
        if info is None:
            return None
        scope = self.scope(info, held.held_service, held.held_extra)
        return scope if scope.digest == held.digest else None

    def target_scope(self, held: HeldConfig, info: VersionInfo) -> Scope:
        """Returns what the node is to hold at a version."""
        return self.scope(info, held.service, held.extra)

    def encoded_delta(self, held: HeldConfig, info: VersionInfo) -> msgspec.Raw:
        """Returns the encoded change from what a node holds to a version."""
        key = (held, info.version)
        encoded = self._cache.get(key)
        if encoded is None:
            encoded = msgspec.Raw(
                msgspec.json.encode(self._build_delta(held, info))
            )
            self._cache[key] = encoded
            if len(self._cache) > MAX_CACHED_DELTAS:
                self._cache.popitem(last=False)
        return encoded

    def _build_delta(self, held: HeldConfig, info: VersionInfo) -> Delta:
        scope = self.target_scope(held, info)
        target = scope.manifest
        known = self.base_scope(held)
        base = known.manifest if known else {}
        changed = [
            name for name, digest in target.items() if base.get(name) != digest
        ]
        return Delta(
            version=info.version,
            base=held.version if known else 0,
            digest=scope.digest,
            parts=[
                self._ledger.parts[target[name]] for name in sorted(changed)
            ],
            removed=sorted(set(base) - set(target)),
        )


class WakeCoalescer:
    """Spaces out the wake-ups of waiting nodes; the newest version is never skipped."""

    __slots__ = ('_due', '_last', '_window')

    def __init__(self, window_ms: int) -> None:
        """Starts idle.

        :param window_ms: shortest time between two wake-ups
        """
        self._window = window_ms / MS_PER_S
        self._last = float('-inf')
        self._due: float | None = None

    def record_release(self, now: float) -> float:
        """Notes a release and returns when the nodes are to be woken."""
        if self._due is None:
            self._due = max(now, self._last + self._window)
        return self._due

    def record_wake(self, now: float) -> None:
        """Notes that the nodes were woken."""
        self._last = now
        self._due = None


class SnapshotLimiter:
    """Admits snapshots at a bounded rate and spreads the other requests."""

    __slots__ = ('_last', '_rate', '_retry_ms', '_rng', '_tokens')

    def __init__(
        self, per_second: int, retry_ms: int, rng: Random, now: float
    ) -> None:
        """Starts with one second's worth of tokens.

        :param per_second: snapshots sent in a second
        :param retry_ms: upper bound of the retry-after of a refused request
        """
        self._rate = per_second
        self._retry_ms = retry_ms
        self._rng = rng
        self._tokens = float(per_second)
        self._last = now

    def try_acquire(self, now: float) -> bool:
        """Whether one more snapshot may be sent now."""
        grown = self._tokens + (now - self._last) * self._rate
        self._tokens = min(float(self._rate), grown)
        self._last = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def retry_after_ms(self) -> int:
        """Returns a full-jitter delay for a node that was not admitted."""
        return 1 + self._rng.randrange(self._retry_ms)
