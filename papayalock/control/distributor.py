"""Distributes released configuration and endpoints to the nodes of a zone."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from papayalock.control.group import RaftGroup
from papayalock.control.versionjournal import VersionJournal
from papayalock.core.distribute import (
    DeltaSource,
    HeldConfig,
    Scope,
    SnapshotLimiter,
    WakeCoalescer,
    held_config,
)
from papayalock.core.endpoints import EndpointTable
from papayalock.core.ledger import Ledger
from papayalock.core.release import (
    NotYetReleased,
    Offer,
    Redirect,
    Refusal,
    RestartedNodeRequest,
    offer_without_lease,
    zone_report,
)
from papayalock.core.retention import RetentionBudget
from papayalock.messages import (
    ControlPeer,
    EndpointDelta,
    ServerEvidence,
    SyncReq,
    VersionInfo,
    ZoneReport,
)
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

MS_PER_S = 1000
RELEASE_TIMEOUT_S = 2.0  # longest wait before a restarted node gets an offer
POLL_S = 0.02


class SyncReply(msgspec.Struct, omit_defaults=True):
    """A ``SyncRes`` message with a delta that is already encoded."""

    code: int
    delta: msgspec.Raw | None = None
    endpoints: EndpointDelta | None = None
    redirect: str = ''
    leased: bool = True
    retry_after_ms: int = 0
    zone: str = ''
    peers: list[ControlPeer] = msgspec.field(default_factory=list)


class FetchZoneReports(Protocol):
    """Fetches the zone reports of the other control VMs that serve a zone."""

    async def __call__(self, zone: str) -> list[ZoneReport]:
        """Returns the reports that arrived in time."""
        ...


class ChangeNotifier:
    """Wakes every task that waits for the next change."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Starts without waiters."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all current waiters."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout: float) -> None:
        """Returns at the next change or after ``timeout`` seconds."""
        event = self._event
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            return


class Distributor:
    """Answers the long polls of the nodes in one availability zone.

    A node polls with the version that it has applied. The response carries
    the delta to the released version, and the endpoints that changed.
    """

    def __init__(
        self,
        zone: str,
        group: RaftGroup,
        ledger: Ledger,
        table: EndpointTable,
        journal: VersionJournal,
        snapshot_limiter: SnapshotLimiter,
        clock: Clock,
        coalesce_ms: int,
        fetch_reports: 'FetchZoneReports',
        budget: RetentionBudget,
    ) -> None:
        """Registers with the group for changes of the released version.

        :param zone: availability zone of this control VM
        :param group: the config group
        :param fetch_reports: asks the zone's other control VMs what they
            released
        :param budget: memory for encoded deltas
        """
        self.table = table
        self.journal = journal
        self.rejections: dict[str, tuple[int, int]] = {}
        self.attached: dict[str, SyncReq] = {}
        self.on_evidence: Callable[[ServerEvidence], None] | None = None
        self._zone = zone
        self._group = group
        self._ledger = ledger
        self._snapshot_limiter = snapshot_limiter
        self._clock = clock
        self._fetch_reports = fetch_reports
        self._source = DeltaSource(ledger, budget)
        self._coalescer = WakeCoalescer(coalesce_ms)
        self._changes = ChangeNotifier()
        self._last_released = 0
        self._notified_version: VersionInfo | None = None
        self._node_leases: dict[str, float] = {}
        group.listeners.append(self._on_group_progress)

    # Releases.

    def released_version(self, zone: str) -> VersionInfo | None:
        """Returns the newest version released into a zone, None before any."""
        replica = self._group.replica
        index = min(replica.releases.get(zone, 0), replica.applied)
        return self._ledger.version_at(index)

    def report(self, zone: str) -> ZoneReport:
        """Returns what this control VM knows of the release of a zone."""
        return zone_report(self._group.replica, zone)

    def notify_change(self) -> None:
        """Wakes the pending long polls, e.g. after an endpoint change."""
        self._changes.notify()

    async def wait_for_change(self, timeout: float) -> None:
        """Returns at the next change or after ``timeout`` seconds."""
        await self._changes.wait(timeout)

    @property
    def cached_bytes(self) -> int:
        """The memory of encoded deltas and scopes in bytes."""
        return self._source.size

    # Nodes.

    async def sync(self, req: SyncReq) -> SyncReply:
        """Handles a node's long poll."""
        if not self._serves_zone(req.zone):
            return SyncReply(Code.WRONG_ZONE)
        self._record_sync(req)
        if req.version == 0 and not await self._may_offer_release(req):
            return await self._reply_unproven(req)
        return await self._poll(req)

    async def _poll(self, req: SyncReq) -> SyncReply:
        reply = self._build_reply(req)
        deadline = self._clock.monotonic() + req.wait_ms / MS_PER_S
        while (
            reply.code == Code.DONE and not reply.delta and not reply.endpoints
        ):
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                break
            await self._changes.wait(remaining)
            reply = self._build_reply(req)
        reply.leased = self._group.replica.has_lease(self._clock.monotonic())
        reply.zone = self._zone
        reply.peers = self._peers()
        return reply

    def expire_leases(self) -> None:
        """Detaches nodes and removes endpoints whose leases have expired."""
        now = self._clock.monotonic()
        if self.table.expire(now):
            self.notify_change()
        expired = [
            name for name, until in self._node_leases.items() if until <= now
        ]
        for name in expired:
            self._node_leases.pop(name)
            self.attached.pop(name, None)
            self.journal.history.record_detached(name, self._clock.wall_ms())

    def _serves_zone(self, zone: str) -> bool:
        own_member = self._group.replica.own_member
        return zone == self._zone or (
            own_member is not None and zone in own_member.adopts
        )

    def _peers(self) -> list[ControlPeer]:
        """Returns the control VMs that a node may poll instead of this one."""
        return []

    def _record_sync(self, req: SyncReq) -> None:
        """Renews the node's lease; records its version and its endpoint."""
        now = self._clock.monotonic()
        self._node_leases[req.node] = now + self.table.lease_s
        self.attached[req.node] = req
        if req.version:
            self.journal.history.record_applied(
                req.node, req.version, self._clock.wall_ms()
            )
        if req.rejected:
            self.rejections[req.node] = (req.rejected, req.reject_code)
            log.error(
                'node refused an accepted version',
                extra={
                    'node': req.node,
                    'version': req.rejected,
                    'code': req.reject_code,
                },
            )
        if req.evidence is not None and self.on_evidence is not None:
            self.on_evidence(req.evidence)
        if req.endpoint is not None and self.table.attach(req.endpoint, now):
            self.notify_change()

    async def _may_offer_release(self, req: SyncReq) -> bool:
        """Waits until the release may be offered to a restarted node.

        The node lost its state, so the release must first cover everything
        that was durable here when its request arrived.

        :returns: False when this VM holds no serving lease, or the release did
            not get that far within ``RELEASE_TIMEOUT_S``
        """
        replica = self._group.replica
        request = RestartedNodeRequest(req.zone, replica)
        deadline = self._clock.monotonic() + RELEASE_TIMEOUT_S
        now = self._clock.monotonic()
        while now < deadline:
            decision = request.check(replica, now)
            if not isinstance(decision, NotYetReleased):
                return isinstance(decision, Offer)
            await asyncio.sleep(POLL_S)
            now = self._clock.monotonic()
        return False

    async def _reply_unproven(self, req: SyncReq) -> SyncReply:
        """Replies to a restarted node by what the zone's control VMs report.

        Their reports together prove how far the release may have gone, also
        while no serving lease runs.
        """
        own = self.report(req.zone)
        reports = [own, *await self._fetch_reports(req.zone)]
        decision = offer_without_lease(own.member, req.zone, reports)
        if isinstance(decision, Redirect):
            return SyncReply(
                Code.NOT_PROVABLY_NEWEST, redirect=decision.address
            )
        if isinstance(decision, Refusal):
            return self._refuse_restarted(decision.code, decision.reason)
        try:
            await self._group.wait_applied(decision.index)
        except PapayalockError as exc:
            return self._refuse_restarted(
                Code.NOT_PROVABLY_NEWEST, str(exc.args[0])
            )
        replica = self._group.replica
        replica.releases[req.zone] = max(
            decision.index, replica.releases.get(req.zone, 0)
        )
        return await self._poll(req)

    def _refuse_restarted(self, code: Code, reason: str) -> SyncReply:
        log.warning(
            'restarted node refused', extra={'code': code, 'reason': reason}
        )
        return SyncReply(
            code, retry_after_ms=self._snapshot_limiter.retry_after_ms()
        )

    def _build_reply(self, req: SyncReq) -> SyncReply:
        info = self._version_to_offer(req)
        if info is None:
            return SyncReply(Code.DONE)
        held = held_config(req)
        base = self._source.base_scope(held)
        endpoints = self._endpoints(req, held, base, info)
        if not self._needs_delta(req, held, base, info):
            return SyncReply(Code.DONE, endpoints=endpoints)
        now = self._clock.monotonic()
        if base is None and not self._snapshot_limiter.try_acquire(now):
            retry_ms = self._snapshot_limiter.retry_after_ms()
            return SyncReply(Code.BUSY, retry_after_ms=retry_ms)
        delta = self._source.encoded_delta(held, info)
        return SyncReply(Code.DONE, delta=delta, endpoints=endpoints)

    def _version_to_offer(self, req: SyncReq) -> VersionInfo | None:
        """Returns the version that a node should apply.

        A running node gets the version of the last coalesced notification, so
        that a burst of releases costs it one delta. A restarted node, or one
        of an adopted zone, gets the newest release.
        """
        if req.version == 0 or req.zone != self._zone:
            return self.released_version(req.zone)
        return self._notified()

    def _notified(self) -> VersionInfo | None:
        """Returns the version of the last notification of waiting nodes.

        Large versions may have pushed it out of the history since then; the
        released one takes its place.
        """
        info = self._notified_version
        if info is None or self._ledger.history.keeps(info.version):
            return info
        self._notified_version = self.released_version(self._zone)
        return self._notified_version

    def _needs_delta(
        self,
        req: SyncReq,
        held: HeldConfig,
        base: Scope | None,
        info: VersionInfo,
    ) -> bool:
        """Returns whether to send a delta.

        A version that the node rejected is not sent again. The same version
        is sent again when the node's scope has changed.
        """
        if info.version < req.version or info.version == req.rejected:
            return False
        if info.version > req.version or base is None:
            return True
        return self._source.target_scope(held, info).digest != base.digest

    def _endpoints(
        self,
        req: SyncReq,
        held: HeldConfig,
        base: Scope | None,
        info: VersionInfo,
    ) -> EndpointDelta | None:
        """Returns endpoint changes of the services in the node's scope.

        When a service was added, all endpoints are sent, since the node's
        cursor has passed those of services that were not in its scope before.
        """
        services = self._source.target_scope(held, info).services
        added = base is None or not services <= base.services
        epoch = '' if added else req.epoch
        return self.table.delta(
            epoch, req.cursor, lambda endpoint: endpoint.service in services
        )

    def _on_group_progress(self) -> None:
        info = self.released_version(self._zone)
        if info is None or info.version <= self._last_released:
            return
        self._last_released = info.version
        self.journal.history.record_release(info.version, self._clock.wall_ms())
        now = self._clock.monotonic()
        notify_at = self._coalescer.record_release(now)
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, notify_at - now), self._notify_coalesced)

    def _notify_coalesced(self) -> None:
        self._coalescer.record_wake(self._clock.monotonic())
        self._notified_version = self.released_version(self._zone)
        self.notify_change()
