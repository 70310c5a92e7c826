"""Wires and runs a control VM."""

import asyncio
import contextlib
import logging
import random
import secrets
from pathlib import Path

import uvicorn
from aioprometheus import Registry

from papayalock.clock import SystemClock
from papayalock.control.control import CONFIG_GROUP, Control, claims_group
from papayalock.control.disk import FileDisk
from papayalock.control.exchange import Exchange
from papayalock.control.group import Group, Machine
from papayalock.control.identity import Identity, load_identity
from papayalock.control.journal import Journal
from papayalock.control.members import Members
from papayalock.control.openzone import OpenZone
from papayalock.control.peers import PeerLinks
from papayalock.control.server import ControlServer
from papayalock.control.status import StatusReader
from papayalock.control.storage import GroupStorage
from papayalock.control.zone import Zone
from papayalock.control.zoneasker import ZoneAsker
from papayalock.core.claims import Claims
from papayalock.core.distribute import Admission
from papayalock.core.ledger import Ledger
from papayalock.core.membership import EndpointTable, ExistenceTracker
from papayalock.core.replog import Replica, ReplicaConfig
from papayalock.core.roster import Roster
from papayalock.dialect import OperatorDialect
from papayalock.messages import JoinReq, Member
from papayalock.node.http import Call, Reply
from papayalock.node.listener import Server, ServerLimits
from papayalock.pool import Pool
from papayalock.reload import SettingsWatcher
from papayalock.settings import Settings

log = logging.getLogger(__name__)

CONNECT_MS = 300
IDLE_MS = 30_000
POOLED_PER_ADDRESS = 8
EPOCH_BYTES = 6
MS = 1000  # milliseconds in a second
OK = 200
SCRAPE_BYTES = 8192
SCRAPE_CONNECTIONS = 16
METRICS_TYPE = (b'content-type', b'text/plain; version=0.0.4')
STOP_S = 1  # longest wait for polls at a planned stop


class ControlVm:
    """The parts of one control VM, wired together."""

    def __init__(self, settings: Settings, operator: OperatorDialect) -> None:
        """Builds the parts from what the data folder holds.

        :raises StorageError: when the data folder is damaged
        """
        self._settings = settings
        self._serving: uvicorn.Server | None = None
        self._clock = SystemClock()
        self._rng = random.Random()
        self._disk = FileDisk(Path(settings.data))
        self._identity = self._load_identity()
        addresses = {one.name: one.address for one in settings.control.members}
        addresses.update(
            (one.member, one.address) for one in self._identity.first
        )
        self.links = PeerLinks(addresses)
        self.pool = Pool(CONNECT_MS, IDLE_MS, POOLED_PER_ADDRESS)
        ledger = Ledger(
            history=settings.distribution.history,
            audit_records=settings.audit.retention_records,
        )
        shards = [
            claims_group(shard) for shard in range(settings.claims.shards)
        ]
        claims = {name: Claims(settings.claims.retention_ms) for name in shards}
        self.groups = {CONFIG_GROUP: self._group(CONFIG_GROUP, ledger)}
        self.groups.update(
            (name, self._group(name, machine))
            for name, machine in claims.items()
        )
        self.journal = Journal(
            self._disk,
            self._clock,
            settings.audit.held_records,
            settings.audit.late_ms,
        )
        zone = self._zone(ledger)
        exchange = Exchange(
            self._identity.member,
            zone,
            self.pool,
            self._clock,
            settings.membership.orphan_ms,
        )
        membership = settings.membership
        existence = ExistenceTracker(
            membership.appear_ms, membership.withdraw_ms
        )
        self.control = Control(
            self._identity.member,
            self.groups,
            ledger,
            claims,
            zone,
            exchange,
            existence,
            self.pool,
            self._clock,
            addresses,
        )
        if isinstance(zone, OpenZone):
            zone.read_index = self.control.read_index
        self.members = self._make_members()
        self.server = ControlServer(
            self.control,
            StatusReader(self.control, settings.zone),
            Registry(),
            operator,
            self.members,
        )

    async def run(self) -> None:
        """Serves until a signal stops it."""
        tasks = [
            asyncio.create_task(group.run()) for group in self.groups.values()
        ]
        tasks.append(asyncio.create_task(self.control.run()))
        if self._settings.control.auto_members:
            tasks.append(asyncio.create_task(self.members.run()))
        tasks.append(asyncio.create_task(self.journal.run()))
        for task in tasks:
            task.add_done_callback(self._on_end)
        host, _, port = self._settings.listen.rpartition(':')
        cfg = uvicorn.Config(
            self.server.app,
            host=host,
            port=int(port),
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=STOP_S,
            timeout_keep_alive=60,
            ws='none',
            http='httptools',
        )
        self._serving = uvicorn.Server(cfg)
        scrapes = await self._serve_metrics(host)
        await self._serving.serve()
        if scrapes is not None:
            scrapes.close()
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        self.links.close()
        self.pool.close()
        self.journal.flush()

    async def _serve_metrics(self, host: str) -> asyncio.Server | None:
        port = self._settings.metrics.port
        if not port:
            return None
        limits = ServerLimits(SCRAPE_BYTES, SCRAPE_BYTES, SCRAPE_CONNECTIONS)
        server = Server(self._scrape, limits)
        loop = asyncio.get_running_loop()
        return await loop.create_server(server.make_conn, host, port)

    async def _scrape(self, call: Call, reply: Reply) -> None:
        reply.whole(OK, [METRICS_TYPE], self.server.metrics())

    def refit(self, settings: Settings) -> None:
        """Takes over changed settings that may change while running."""
        self.members.seeds = settings.control.addresses

    def _on_end(self, task: 'asyncio.Task[None]') -> None:
        """Stops the process when one of its tasks has failed."""
        if task.cancelled() or task.exception() is None:
            return
        log.critical('task ended', exc_info=task.exception())
        if self._serving is not None:
            self._serving.should_exit = True

    def _group(self, name: str, machine: Machine) -> Group:
        cfg = self._settings.group
        storage = GroupStorage(self._disk, name)
        restored = storage.load(self._identity.first)
        replica_cfg = ReplicaConfig(
            name,
            self._identity.member,
            tick_ms=cfg.tick_ms,
            election_ms=cfg.election_ms,
            lease_ms=cfg.lease_ms,
            drift_percent=cfg.drift_percent,
            append_entries=cfg.append_entries,
            eager_commit=name == CONFIG_GROUP,
        )
        replica = Replica(
            replica_cfg, restored, self._rng, self._clock.monotonic()
        )
        return Group(
            replica,
            storage,
            machine,
            self.links,
            self._clock,
            cfg.snapshot_entries,
        )

    def _load_identity(self) -> Identity:
        settings = self._settings
        address = settings.advertise or settings.listen
        control = settings.control
        if control.auto_members:
            return load_identity(
                self._disk, address, control.addresses, found=control.found
            )
        first = [
            Member(
                member=one.name,
                zone=one.zone,
                address=one.address,
                voter=one.voter,
            )
            for one in control.members
        ]
        return Identity(settings.name, [] if control.join else first)

    def _make_members(self) -> Members:
        settings = self._settings
        own = JoinReq(
            member=self._identity.member,
            address=settings.advertise or settings.listen,
            zone=settings.zone,
        )
        roster = Roster(
            settings.control.voters, settings.control.silent_ms / MS
        )
        return Members(
            self.control,
            own,
            settings.control.addresses,
            roster,
            self.pool,
        )

    def _zone(self, ledger: Ledger) -> Zone:
        settings = self._settings
        distribution = settings.distribution
        asker = ZoneAsker(self._identity.member, self.pool)
        asker.group = self.groups[CONFIG_GROUP]
        now = self._clock.monotonic()
        kind = OpenZone if settings.distribution.follow == 'any' else Zone
        return kind(
            settings.zone,
            self.groups[CONFIG_GROUP],
            ledger,
            EndpointTable(
                secrets.token_hex(EPOCH_BYTES),
                self._identity.member,
                settings.membership.lease_ms,
            ),
            self.journal,
            Admission(
                distribution.snapshots_per_s,
                distribution.retry_after_ms,
                self._rng,
                now,
            ),
            self._clock,
            distribution.coalesce_ms,
            asker,
        )


async def run_control(
    settings: Settings, operator: OperatorDialect, path: Path
) -> None:
    """Runs a control VM until it is stopped.

    :param path: the settings file, which is read again when it changes
    """
    vm = ControlVm(settings, operator)
    watch = SettingsWatcher(path, settings, vm.refit)
    await watch.run_alongside(vm.run())
