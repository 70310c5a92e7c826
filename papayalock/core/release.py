"""Decides which committed versions a control VM may hand to nodes.

A node has no disk, so after a restart it must be offered at least what its
predecessor applied. An index is therefore released into an availability zone
only once every unfenced control VM that serves the zone holds it, and the
commit mark above it, durably.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from papayalock.messages import Member, ZoneReport
from papayalock.result import Code


def serves(member: Member, zone: str) -> bool:
    """Whether an unfenced control VM hands out versions in a zone."""
    return not member.fenced and (member.zone == zone or zone in member.adopts)


def release_points(
    members: list[Member], commits: dict[str, int]
) -> dict[str, int]:
    """Returns the released index by availability zone.

    :param members: the committed member set
    :param commits: durable commit index by control VM; absent counts as 0
    """
    zones = {zone for one in members for zone in (one.zone, *one.adopts)}
    points: dict[str, int] = {}
    for zone in zones:
        held = [
            commits.get(one.member, 0) for one in members if serves(one, zone)
        ]
        if held:
            points[zone] = min(held)
    return points


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
    """Nothing can be offered safely; the node must ask again later."""

    code: Code
    reason: str


FreshAnswer = Offer | Redirect | Refusal


def offer_without_lease(
    own: str, zone: str, reports: Iterable[ZoneReport]
) -> FreshAnswer:
    """Decides what to offer a restarted node while no serving lease runs.

    Every control VM that the newest known member set lists for the zone must
    have reported; the result covers whatever any of them may have released.

    :param own: name of the deciding control VM
    :param reports: the deciding VM's own report and those of its peers
    """
    by_member = {report.member: report for report in reports}
    newest = max(by_member.values(), key=lambda report: report.view_index)
    serving = [one for one in newest.members if serves(one, zone)]
    missing = [one.member for one in serving if one.member not in by_member]
    if missing or not serving:
        return Refusal(
            Code.NOT_PROVABLY_NEWEST,
            f'no answer from {", ".join(missing) or zone}',
        )
    names = {one.member for one in serving}
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
