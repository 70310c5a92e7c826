"""Serves the nodes of an availability zone: releases, deltas and endpoints."""

import asyncio
import logging
from typing import Protocol

import msgspec

from papayalock.control.group import Group
from papayalock.control.journal import Journal
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
from papayalock.messages import (
    ControlPeer,
    EndpointDelta,
    SyncReq,
    VersionInfo,
    ZoneReport,
)
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
FRESH_WAIT_S = 2.0  # longest wait for the release to reach what was durable
STEP_S = 0.02


class Reply(msgspec.Struct, omit_defaults=True):
    """A ``SyncRes`` whose delta is already encoded."""

    code: int
    delta: msgspec.Raw | None = None
    endpoints: EndpointDelta | None = None
    redirect: str = ''
    leased: bool = True
    retry_after_ms: int = 0
    zone: str = ''
    peers: list[ControlPeer] = msgspec.field(default_factory=list)


class AskZone(Protocol):
    """Asks the other control VMs of a zone for their reports."""

    async def __call__(self, zone: str) -> list[ZoneReport]:
        """Returns the reports of those that answered."""
        ...


class Signal:
    """Wakes every task that waits for the next change."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Starts without waiters."""
        self._event = asyncio.Event()

    def wake(self) -> None:
        """Wakes all that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout: float) -> None:
        """Returns at the next wake-up or after ``timeout`` seconds."""
        event = self._event
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            return


class Zone:
    """The distribution side of one control VM."""

    def __init__(
        self,
        zone: str,
        group: Group,
        ledger: Ledger,
        table: EndpointTable,
        journal: Journal,
        admission: SnapshotLimiter,
        clock: Clock,
        coalesce_ms: int,
        ask_zone: 'AskZone',
    ) -> None:
        """Binds the parts and follows the group's progress."""
        self.table = table
        self.journal = journal
        self.rejections: dict[str, tuple[int, int]] = {}
        self.attached: dict[str, SyncReq] = {}
        self._zone = zone
        self._group = group
        self._ledger = ledger
        self._admission = admission
        self._clock = clock
        self._ask_zone = ask_zone
        self._source = DeltaSource(ledger)
        self._coalescer = WakeCoalescer(coalesce_ms)
        self._signal = Signal()
        self._seen = 0
        self._visible: VersionInfo | None = None
        self._seen_until: dict[str, float] = {}
        group.listeners.append(self._on_progress)

    # Releases.

    def released(self, zone: str) -> VersionInfo | None:
        """Returns the version released into a zone, or None before the first."""
        replica = self._group.replica
        index = min(replica.releases.get(zone, 0), replica.applied)
        return self._ledger.version_at(index)

    def report(self, zone: str) -> ZoneReport:
        """Returns what this control VM can say about the release of a zone."""
        return zone_report(self._group.replica, zone)

    def wake(self) -> None:
        """Wakes the waiting nodes, as after an endpoint change."""
        self._signal.wake()

    async def wait(self, timeout: float) -> None:
        """Waits for the next change."""
        await self._signal.wait(timeout)

    # Nodes.

    async def sync(self, req: SyncReq) -> Reply:
        """Answers a node's long poll."""
        if not self._in_charge(req.zone):
            return Reply(Code.WRONG_ZONE)
        self._note(req)
        if req.version == 0 and not await self._fresh_allowed(req):
            return await self._answer_fresh(req)
        return await self._poll(req)

    async def _poll(self, req: SyncReq) -> Reply:
        reply = self._reply(req)
        deadline = self._clock.monotonic() + req.wait_ms / MS
        while (
            reply.code == Code.DONE and not reply.delta and not reply.endpoints
        ):
            left = deadline - self._clock.monotonic()
            if left <= 0:
                break
            await self._signal.wait(left)
            reply = self._reply(req)
        reply.leased = self._group.replica.has_lease(self._clock.monotonic())
        reply.zone = self._zone
        reply.peers = self._peers()
        return reply

    def expire(self) -> None:
        """Detaches nodes and removes servers whose leases ran out."""
        now = self._clock.monotonic()
        if self.table.expire(now):
            self.wake()
        silent = [
            name for name, until in self._seen_until.items() if until <= now
        ]
        for name in silent:
            self._seen_until.pop(name)
            self.attached.pop(name, None)
            self.journal.held.record_detached(name, self._clock.wall_ms())

    def _in_charge(self, zone: str) -> bool:
        me = self._group.replica.own_member
        return zone == self._zone or (me is not None and zone in me.adopts)

    def _peers(self) -> list[ControlPeer]:
        """Returns the control VMs that a node may poll in place of this one."""
        return []

    def _note(self, req: SyncReq) -> None:
        now = self._clock.monotonic()
        self._seen_until[req.node] = now + self.table.lease_s
        self.attached[req.node] = req
        if req.version:
            self.journal.held.record_applied(
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
        if req.endpoint is not None and self.table.attach(req.endpoint, now):
            self.wake()

    async def _fresh_allowed(self, req: SyncReq) -> bool:
        """Waits until a restarted node may be offered the release."""
        replica = self._group.replica
        request = RestartedNodeRequest(req.zone, replica)
        give_up = self._clock.monotonic() + FRESH_WAIT_S
        now = self._clock.monotonic()
        while now < give_up:
            answer = request.check(replica, now)
            if not isinstance(answer, NotYetReleased):
                return isinstance(answer, Offer)
            await asyncio.sleep(STEP_S)
            now = self._clock.monotonic()
        return False

    async def _answer_fresh(self, req: SyncReq) -> Reply:
        """Answers a restarted node while no serving lease runs."""
        own = self.report(req.zone)
        reports = [own, *await self._ask_zone(req.zone)]
        answer = offer_without_lease(own.member, req.zone, reports)
        if isinstance(answer, Redirect):
            return Reply(Code.NOT_PROVABLY_NEWEST, redirect=answer.address)
        if isinstance(answer, Refusal):
            log.warning(
                'restarted node refused',
                extra={'code': answer.code, 'reason': answer.reason},
            )
            return Reply(
                answer.code, retry_after_ms=self._admission.retry_after_ms()
            )
        replica = self._group.replica
        replica.releases[req.zone] = max(
            answer.index, replica.releases.get(req.zone, 0)
        )
        return await self._poll(req)

    def _reply(self, req: SyncReq) -> Reply:
        info = self._offered(req)
        if info is None:
            return Reply(Code.DONE)
        held = held_config(req)
        base = self._source.base_scope(held)
        endpoints = self._endpoints(req, held, base, info)
        if not self._has_news(req, held, base, info):
            return Reply(Code.DONE, endpoints=endpoints)
        now = self._clock.monotonic()
        if base is None and not self._admission.try_acquire(now):
            retry_ms = self._admission.retry_after_ms()
            return Reply(Code.BUSY, retry_after_ms=retry_ms)
        delta = self._source.encoded_delta(held, info)
        return Reply(Code.DONE, delta=delta, endpoints=endpoints)

    def _offered(self, req: SyncReq) -> VersionInfo | None:
        """Returns the version for a node: the released one for a restarted
        node, and the one of the last wake-up for a running node.
        """
        if req.version == 0 or req.zone != self._zone:
            return self.released(req.zone)
        return self._visible

    def _has_news(
        self,
        req: SyncReq,
        held: HeldConfig,
        base: Scope | None,
        info: VersionInfo,
    ) -> bool:
        """Whether a node needs a delta; one it refused is not sent again."""
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
        """Returns endpoint changes; all of them when the scope grew."""
        scope = self._source.target_scope(held, info).manifest
        grown = base is None or any(name not in base.manifest for name in scope)
        epoch = '' if grown else req.epoch
        return self.table.delta(
            epoch,
            req.cursor,
            lambda endpoint: (
                endpoint.service in scope
                or f'policy/{endpoint.service}' in scope
            ),
        )

    def _on_progress(self) -> None:
        info = self.released(self._zone)
        if info is None or info.version <= self._seen:
            return
        self._seen = info.version
        self.journal.held.record_release(info.version, self._clock.wall_ms())
        now = self._clock.monotonic()
        due = self._coalescer.record_release(now)
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, due - now), self._wake_coalesced)

    def _wake_coalesced(self) -> None:
        self._coalescer.record_wake(self._clock.monotonic())
        self._visible = self.released(self._zone)
        self.wake()
