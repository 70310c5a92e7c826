"""Which control VMs serve a zone, and how far its release may go.

A node has no disk, so after a restart it must be offered at least what its
predecessor applied. An index is therefore released into an availability zone
only once every unfenced control VM that serves the zone holds it, and the
commit mark above it, durably.
"""

from papayalock.messages import Member


def serves(member: Member, zone: str) -> bool:
    """Whether an unfenced control VM hands out versions in a zone."""
    return not member.fenced and (member.zone == zone or zone in member.adopts)


def released_indices(
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
