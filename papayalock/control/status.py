"""What operators and auditors read from a control VM."""

from collections.abc import Callable

import msgspec

from papayalock.control.control import Control
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
    """One node as its control VM sees it."""

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
    nodes: list[NodeStatus]
    services: dict[str, int]


class VersionList(msgspec.Struct):
    """The kept versions, without their parts."""

    versions: list[VersionInfo]


class AuditPage(msgspec.Struct):
    """Audit records, oldest first."""

    records: list[AuditRecord]


class StatusReader:
    """Answers reading requests from this control VM's own state."""

    def __init__(self, control: Control, zone: str) -> None:
        """Lists the readers by name."""
        self._control = control
        self._zone = zone
        self.readers: dict[str, Callable[[Fields], msgspec.Struct]] = {
            'status': self._status,
            'versions': self._versions,
            'version': self._version,
            'audit': self._audit,
            'held': self._held,
        }

    def _status(self, query: Fields) -> ControlStatus:
        control = self._control
        replica = control.config.replica
        info = control.zone.released(self._zone)
        services: dict[str, int] = {}
        for one in control.zone.table.endpoints():
            services[one.service] = services.get(one.service, 0) + 1
        return ControlStatus(
            name=control.name,
            zone=self._zone,
            version=control.ledger.version,
            released=info.version if info else 0,
            leader=replica.leader,
            term=replica.term,
            commit=replica.commit,
            leased=replica.has_lease(control.now()),
            disk_full=control.config.disk_full,
            members=replica.log.members,
            nodes=self._nodes(),
            services=services,
        )

    def _nodes(self) -> list[NodeStatus]:
        zone = self._control.zone
        return [
            NodeStatus(
                node=name,
                service=req.service,
                version=req.version,
                state=req.endpoint.state if req.endpoint else 'no server',
                address=req.endpoint.address if req.endpoint else '',
                rejected=zone.rejections.get(name, (0, 0))[0],
            )
            for name, req in sorted(zone.attached.items())
        ]

    def _versions(self, query: Fields) -> VersionList:
        return VersionList(
            [
                msgspec.structs.replace(info, parts={})
                for info in self._control.ledger.versions
            ]
        )

    def _version(self, query: Fields) -> VersionDetail:
        ledger = self._control.ledger
        number = query.get('version', '')
        wanted = int(number) if number.isdigit() else ledger.version
        info = ledger.version_info(wanted)
        if info is None:
            raise PapayalockError(
                Code.UNKNOWN_VERSION, f'version {wanted} is not kept'
            )
        newest = wanted == ledger.version
        inventory = ledger.inventory if newest else None
        return VersionDetail(
            info=info,
            parts=list(ledger.version_parts(info).values()),
            register=inventory.register if inventory else None,
            rules=inventory.rules if inventory else None,
        )

    def _audit(self, query: Fields) -> AuditPage:
        return AuditPage(self._control.ledger.audit.records)

    def _held(self, query: Fields) -> HeldAnswer:
        at_ms = query.get('at_ms', '')
        if not at_ms.isdigit():
            raise PapayalockError(Code.BAD_MESSAGE, 'at_ms is no number')
        held = self._control.zone.journal.held
        return held.version_held(query.get('node', ''), int(at_ms))
