"""Decides which released index a control VM may offer to a restarted node."""

from collections.abc import Iterable
from dataclasses import dataclass

from papayalock.core.replica import ReplicaState
from papayalock.core.zones import serves
from papayalock.messages import ZoneReport
from papayalock.result import Code


@dataclass(slots=True, frozen=True)
class Offer:
    """Released index that may be offered to a restarted node."""

    index: int


@dataclass(slots=True, frozen=True)
class Redirect:
    """Another control VM that holds a newer release."""

    address: str


@dataclass(slots=True, frozen=True)
class Refusal:
    """No index can be offered safely; the node must retry later."""

    code: Code
    reason: str


OfferDecision = Offer | Redirect | Refusal


def zone_report(replica: ReplicaState, zone: str) -> ZoneReport:
    """Returns what a replica reports about the release of a zone."""
    member_set = replica.log.member_set_at(replica.durable_commit)
    return ZoneReport(
        member=replica.cfg.name,
        durable_commit=replica.durable_commit,
        released=replica.releases.get(zone, 0),
        view_index=member_set.index,
        members=member_set.members,
    )


def offer_without_lease(
    own: str, zone: str, reports: Iterable[ZoneReport]
) -> OfferDecision:
    """Decides what to offer a restarted node while no serving lease is held.

    Every control VM that the newest known member set lists for the zone must
    have reported; the offer covers whatever any of them may have released.

    :param own: name of the deciding control VM
    :param reports: the deciding VM's own report and those of its peers
    """
    by_member = {report.member: report for report in reports}
    newest = max(by_member.values(), key=lambda report: report.view_index)
    serving = [vm for vm in newest.members if serves(vm, zone)]
    missing = [vm.member for vm in serving if vm.member not in by_member]
    if missing or not serving:
        return Refusal(
            Code.NOT_PROVABLY_NEWEST,
            f'no answer from {", ".join(missing) or zone}',
        )
    names = {vm.member for vm in serving}
    if own not in names:
        return Redirect(serving[0].address)
    floor = min(by_member[name].durable_commit for name in names)
    if floor < newest.view_index:
        return Refusal(
            Code.NOT_PROVABLY_NEWEST, 'a control VM has not caught up'
        )
    return Offer(
        max(floor, *(report.released for report in by_member.values()))
    )


@dataclass(slots=True, frozen=True)
class NotYetReleased:
    """The released index is below what was durable at the request."""


@dataclass(slots=True, frozen=True)
class NoLease:
    """No serving lease is held, so the peers of the zone must be asked."""


class RestartedNodeRequest:
    """Request of a restarted node, from its arrival to its response.

    A predecessor of the node cannot have applied more than this control VM
    held durably when the request arrived, because this VM's own durable commit
    index bounds the release of its zone for as long as it is not fenced. So the
    release is offered only once it has reached that floor, and only under a
    lease.
    """

    __slots__ = ('_floor', '_zone')

    def __init__(self, zone: str, replica: ReplicaState) -> None:
        """Records the durable commit index as the floor."""
        self._zone = zone
        self._floor = replica.durable_commit

    def check(
        self, replica: ReplicaState, now: float
    ) -> Offer | NotYetReleased | NoLease:
        """Returns what can be offered now."""
        if not replica.has_lease(now):
            return NoLease()
        released = min(replica.releases.get(self._zone, 0), replica.applied)
        return Offer(released) if released >= self._floor else NotYetReleased()
