"""Read-only status and audit queries of a control VM."""

from collections.abc import Callable

import msgspec

from papayalock.control.coordinator import Coordinator
from papayalock.control.membermanager import MemberManager
from papayalock.messages import (
    AuditRecord,
    HeldAnswer,
    Member,
    VersionDetail,
    VersionInfo,
)
from papayalock.result import Code, PapayalockError

Fields = dict[str, str]


class NodeStatus(msgspec.Struct):
    """A node attached to the control VM."""

    node: str
    service: str
    version: int
    state: str
    address: str
    rejected: int


class ControlStatus(msgspec.Struct):
    """The state of one control VM and of the nodes attached to it."""

    name: str
    zone: str
    version: int
    released: int
    leader: str
    term: int
    commit: int
    leased: bool
    disk_full: bool
    members: list[Member]
    missing_voters: int
    nodes: list[NodeStatus]
    services: dict[str, int]


class VersionList(msgspec.Struct):
    """The versions that the ledger keeps, without their parts."""

    versions: list[VersionInfo]


class AuditPage(msgspec.Struct):
    """Audit records, oldest first."""

    records: list[AuditRecord]


class StatusReader:
    """Answers status queries from the state of this control VM alone.

    ``readers`` maps the last part of a request path to the function that
    answers it.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        member_manager: MemberManager,
        zone: str,
    ) -> None:
        """Registers the readers.

        :param zone: availability zone of this control VM
        """
        self._coordinator = coordinator
        self._member_manager = member_manager
        self._zone = zone
        self.readers: dict[str, Callable[[Fields], msgspec.Struct]] = {
            'status': self._status,
            'versions': self._versions,
            'version': self._version,
            'audit': self._audit,
            'held': self._held,
        }

    def _status(self, query: Fields) -> ControlStatus:
        coordinator = self._coordinator
        replica = coordinator.config_group.replica
        info = coordinator.distributor.released_version(self._zone)
        services: dict[str, int] = {}
        for endpoint in coordinator.distributor.table.endpoints():
            services[endpoint.service] = services.get(endpoint.service, 0) + 1
        return ControlStatus(
            name=coordinator.name,
            zone=self._zone,
            version=coordinator.ledger.version,
            released=info.version if info else 0,
            leader=replica.leader,
            term=replica.term,
            commit=replica.commit,
            leased=replica.has_lease(coordinator.now()),
            disk_full=coordinator.config_group.disk_full,
            members=replica.log.members,
            missing_voters=self._member_manager.shortfall,
            nodes=self._nodes(),
            services=services,
        )

    def _nodes(self) -> list[NodeStatus]:
        distributor = self._coordinator.distributor
        return [
            NodeStatus(
                node=name,
                service=req.service,
                version=req.version,
                state=req.endpoint.state if req.endpoint else 'no server',
                address=req.endpoint.address if req.endpoint else '',
                rejected=distributor.rejections.get(name, (0, 0))[0],
            )
            for name, req in sorted(distributor.attached.items())
        ]

    def _versions(self, query: Fields) -> VersionList:
        return VersionList(self._coordinator.ledger.history.summaries)

    def _version(self, query: Fields) -> VersionDetail:
        ledger = self._coordinator.ledger
        number = query.get('version', '')
        requested = int(number) if number.isdigit() else ledger.version
        info = ledger.version_info(requested)
        if info is None:
            raise PapayalockError(
                Code.UNKNOWN_VERSION,
                f'version {requested} is not in the kept history',
            )
        is_newest = requested == ledger.version
        inventory = ledger.inventory if is_newest else None
        return VersionDetail(
            info=info,
            parts=list(ledger.version_parts(info).values()),
            register=inventory.register if inventory else None,
            rules=inventory.rules if inventory else None,
        )

    def _audit(self, query: Fields) -> AuditPage:
        return AuditPage(self._coordinator.ledger.audit.records)

    def _held(self, query: Fields) -> HeldAnswer:
        at_ms = query.get('at_ms', '')
        if not at_ms.isdigit():
            raise PapayalockError(
                Code.BAD_MESSAGE, 'at_ms is not a non-negative integer'
            )
        history = self._coordinator.distributor.journal.history
        return history.version_held(query.get('node', ''), int(at_ms))
