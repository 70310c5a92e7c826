"""Which control VMs serve a zone, and how far its release may go.

A node has no disk, so after a restart it must be offered at least what its
predecessor applied. An index is therefore released into an availability zone
only once every unfenced control VM that serves the zone has it, and a commit
index that covers it, on disk.
"""

from papayalock.messages import Member


def serves(member: Member, zone: str) -> bool:
    """Whether an unfenced control VM distributes versions in a zone."""
    return not member.fenced and (member.zone == zone or zone in member.adopts)


def released_indices(
    members: list[Member], commits: dict[str, int]
) -> dict[str, int]:
    """Returns the released index by availability zone.

    :param members: the committed member set
    :param commits: durable commit index by control VM; 0 for one not listed
    """
    zones = {zone for vm in members for zone in (vm.zone, *vm.adopts)}
    released: dict[str, int] = {}
    for zone in zones:
        durable = [
            commits.get(vm.member, 0) for vm in members if serves(vm, zone)
        ]
        if durable:
            released[zone] = min(durable)
    return released
