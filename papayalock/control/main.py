"""Composition root of the control VM process."""

import asyncio
import contextlib
import functools
import logging
import random
import secrets
from pathlib import Path

import uvicorn
from aioprometheus import Registry

from papayalock.clock import SystemClock
from papayalock.control import departure, heap, httpprotocol, listeners
from papayalock.control.anyzone import AnyZoneDistributor
from papayalock.control.coordinator import Coordinator, claims_group_name
from papayalock.control.disk import FileDisk
from papayalock.control.distributor import Distributor
from papayalock.control.endpointsync import EndpointSync
from papayalock.control.group import CONFIG_GROUP, RaftGroup
from papayalock.control.groupfactory import make_group
from papayalock.control.identity import Identity, load_or_create_identity
from papayalock.control.memberfactory import (
    make_member_manager,
    make_member_policy,
)
from papayalock.control.peertransport import PeerTransport
from papayalock.control.quotaservice import QuotaService
from papayalock.control.rolloutapi import RolloutApi
from papayalock.control.rolloutmanager import RolloutManager
from papayalock.control.server import ControlServer
from papayalock.control.status import StatusReader
from papayalock.control.versionjournal import VersionJournal
from papayalock.control.zonereports import ZoneReportClient
from papayalock.core.claims import Claims
from papayalock.core.customers import key_digest
from papayalock.core.distribute import SnapshotLimiter
from papayalock.core.endpoints import EndpointTable, ExistenceTracker
from papayalock.core.ledger import Ledger
from papayalock.core.retention import RetentionBudget, retention_bytes
from papayalock.dialect import OperatorDialect
from papayalock.messages import Member
from papayalock.node.http import Call, Reply
from papayalock.pool import Pool
from papayalock.reload import SettingsWatcher
from papayalock.settings import Settings

log = logging.getLogger(__name__)

CONNECT_MS = 300
IDLE_MS = 30_000
POOLED_PER_ADDRESS = 8
EPOCH_BYTES = 6
MS_PER_S = 1000
OK = 200
MAX_SCRAPE_BYTES = 8192  # of the body of a request
MAX_SCRAPE_CONNECTIONS = 16
MAX_QUOTA_BYTES = 1_048_576  # of a request for tokens
MAX_QUOTA_CONNECTIONS = 3000
METRICS_CONTENT_TYPE = (b'content-type', b'text/plain; version=0.0.4')
STOP_TIMEOUT_S = 1  # longest wait for pending long polls at a planned stop


class ControlVm:
    """The parts of one control VM, wired together."""

    def __init__(self, settings: Settings, operator: OperatorDialect) -> None:
        """Builds the parts and restores their state from the data directory.

        :param operator: translates route sets between the operator's format
            and the project's own
        :raises StorageError: when a file in the data directory is damaged
        """
        self._settings = settings
        self._http_server: uvicorn.Server | None = None
        self._clock = SystemClock()
        self._rng = random.Random()
        self._disk = FileDisk(Path(settings.data))
        self._identity = self._load_identity()
        addresses = {
            member.name: member.address for member in settings.control.members
        }
        addresses.update(
            (member.member, member.address) for member in self._identity.first
        )
        self.transport = PeerTransport(addresses)
        self.pool = Pool(CONNECT_MS, IDLE_MS, POOLED_PER_ADDRESS)
        retention = settings.retention
        self._budget = RetentionBudget(
            retention_bytes(retention.bytes, retention.memory_mb)
        )
        ledger = Ledger(
            history=settings.distribution.history,
            audit_records=settings.audit.retention_records,
            budget=self._budget,
        )
        shards = [
            claims_group_name(shard) for shard in range(settings.claims.shards)
        ]
        claims = {name: Claims(settings.claims.retention_ms) for name in shards}
        self.groups = {CONFIG_GROUP: self._make_group(CONFIG_GROUP, ledger)}
        self.groups.update(
            (name, self._make_group(name, machine))
            for name, machine in claims.items()
        )
        self.journal = VersionJournal(
            self._disk,
            self._clock,
            settings.audit.held_records,
            settings.audit.late_ms,
        )
        distributor = self._make_distributor(ledger)
        endpoint_sync = EndpointSync(
            self._identity.member,
            distributor,
            self.pool,
            self._clock,
            settings.membership.orphan_ms,
        )
        membership = settings.membership
        existence = ExistenceTracker(
            membership.appear_ms, membership.withdraw_ms
        )
        self.coordinator = Coordinator(
            self._identity.member,
            self.groups,
            ledger,
            claims,
            distributor,
            endpoint_sync,
            existence,
            self.pool,
            self._clock,
            addresses,
        )
        if isinstance(distributor, AnyZoneDistributor):
            distributor.read_index = self.coordinator.read_index
        self.member_manager = make_member_manager(
            settings, self.coordinator, self.pool
        )
        self._departure = departure.Departure(
            self.coordinator,
            self.member_manager,
            manages_members=settings.control.auto_members,
        )
        self.rollouts = RolloutManager(
            self.coordinator,
            self._clock,
            settings.rollouts.exposure_share,
        )
        self.quotas = QuotaService(
            self.groups[CONFIG_GROUP],
            ledger,
            distributor.table,
            self._clock,
            settings,
        )
        self.server = ControlServer(
            self.coordinator,
            StatusReader(self.coordinator, self.member_manager, settings.zone),
            Registry(),
            operator,
            self.member_manager,
            functools.partial(
                key_digest, secret=settings.hosts.digest_key.encode()
            ),
            RolloutApi(self.rollouts, operator),
        )

    async def run(self) -> None:
        """Serves until a signal stops the process."""
        tasks = self._start_tasks()
        host, _, port = self._settings.listen.rpartition(':')
        cfg = uvicorn.Config(
            self.server.app,
            host=host,
            port=int(port),
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
            timeout_keep_alive=60,
            ws='none',
            http=httpprotocol.LimitedHttpProtocol,
        )
        self._http_server = httpprotocol.HttpServer(cfg)
        servers = await self._listen(host)
        stopper = asyncio.create_task(
            departure.stop_at_signal(self._http_server, self._departure)
        )
        stopper.add_done_callback(self._on_task_done)
        await self._http_server.serve()
        stopper.cancel()
        for server in servers:
            server.close()
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        self.transport.close()
        self.pool.close()
        self.journal.flush()

    def _start_tasks(self) -> 'list[asyncio.Task[None]]':
        """Starts the periodic work."""
        work = [group.run() for group in self.groups.values()]
        work += [self.coordinator.run(), self.journal.run()]
        if self._settings.rollouts.exposure_share:
            work.append(self.rollouts.run())
        if self._settings.quotas.port:
            work.append(self.quotas.run())
        if self._settings.control.auto_members:
            work.append(self.member_manager.run())
        tasks = [asyncio.create_task(coroutine) for coroutine in work]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        return tasks

    async def _listen(self, host: str) -> list[asyncio.Server]:
        """Serves the metrics and the quotas, as far as they are on."""
        settings = self._settings
        return await listeners.listen(
            host,
            listeners.Binding(
                settings.metrics.port,
                self._scrape,
                MAX_SCRAPE_BYTES,
                MAX_SCRAPE_CONNECTIONS,
            ),
            listeners.Binding(
                settings.quotas.port,
                self.quotas.handle,
                MAX_QUOTA_BYTES,
                MAX_QUOTA_CONNECTIONS,
            ),
        )

    async def _scrape(self, call: Call, reply: Reply) -> None:
        reply.send(OK, [METRICS_CONTENT_TYPE], self.server.metrics())

    def apply_settings(self, settings: Settings) -> None:
        """Applies the reloaded settings that may change while running."""
        self.member_manager.seeds = settings.control.addresses
        self.member_manager.policy = make_member_policy(settings.control)

    def _on_task_done(self, task: 'asyncio.Task[None]') -> None:
        """Stops the process when one of its tasks has failed."""
        if task.cancelled() or task.exception() is None:
            return
        log.critical('task ended', exc_info=task.exception())
        if self._http_server is not None:
            self._http_server.should_exit = True

    def _make_group(self, name: str, machine: Ledger | Claims) -> RaftGroup:
        groups = 1 + self._settings.claims.shards
        return make_group(
            name,
            self._identity,
            machine,
            self._settings.group,
            self._disk,
            self.transport,
            self._clock,
            self._rng,
            self._budget.log // groups,
        )

    def _load_identity(self) -> Identity:
        settings = self._settings
        address = settings.advertise or settings.listen
        control = settings.control
        if control.auto_members:
            return load_or_create_identity(
                self._disk, address, control.addresses, founding=control.found
            )
        first = [
            Member(
                member=member.name,
                zone=member.zone,
                address=member.address,
                voter=member.voter,
            )
            for member in control.members
        ]
        return Identity(settings.name, [] if control.join else first)

    def _make_distributor(self, ledger: Ledger) -> Distributor:
        settings = self._settings
        distribution = settings.distribution
        report_client = ZoneReportClient(self._identity.member, self.pool)
        report_client.group = self.groups[CONFIG_GROUP]
        now = self._clock.monotonic()
        distributor_type = (
            AnyZoneDistributor
            if settings.distribution.follow == 'any'
            else Distributor
        )
        return distributor_type(
            settings.zone,
            self.groups[CONFIG_GROUP],
            ledger,
            EndpointTable(
                secrets.token_hex(EPOCH_BYTES),
                self._identity.member,
                settings.membership.lease_ms,
            ),
            self.journal,
            SnapshotLimiter(
                distribution.snapshots_per_s,
                distribution.retry_after_ms,
                self._rng,
                now,
            ),
            self._clock,
            distribution.coalesce_ms,
            report_client,
            self._budget,
        )


async def run_control(
    settings: Settings, operator: OperatorDialect, path: Path
) -> None:
    """Runs a control VM until a signal stops the process.

    :param path: the settings file, reloaded when it changes
    """
    heap.configure()
    vm = ControlVm(settings, operator)
    watcher = SettingsWatcher(path, settings, vm.apply_settings)
    await watcher.run_alongside(vm.run())
