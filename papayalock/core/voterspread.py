"""How many voters a Raft group needs, and where, to survive given losses.

The losses are stated as numbers of control VMs, availability zones or regions
that may be down at the same time. After the worst of them, the voters that
remain must still be a majority.
"""

from collections import Counter
from collections.abc import Iterable

from papayalock.messages import Member


class Tolerance:
    """Losses that the group has to survive, each kind on its own."""

    __slots__ = ('_regions_of_zones', 'regions', 'vms', 'zones')

    def __init__(
        self,
        vms: int = 1,
        zones: int = 0,
        regions: int = 0,
        regions_of_zones: dict[str, str] | None = None,
    ) -> None:
        """Sets the numbers of control VMs, zones and regions that may be lost.

        :param regions_of_zones: region by availability zone
        """
        self.vms = vms
        self.zones = zones
        self.regions = regions
        self._regions_of_zones = regions_of_zones or {}

    @property
    def voters(self) -> int:
        """The smallest number of voters that can survive these losses."""
        return 2 * max(self.vms, self.zones, self.regions) + 1

    def shortfall(self, voters: list[Member]) -> int:
        """Returns how many voters a majority lacks after the worst losses.

        It is 0 if the group survives every kind of loss.
        """
        majority = len(voters) // 2 + 1
        losses = (
            min(self.vms, len(voters)),
            _largest(self._by_zone(voters), self.zones),
            _largest(self._by_region(voters), self.regions),
        )
        return sum(max(0, majority - (len(voters) - lost)) for lost in losses)

    def cost(self, voters: list[Member]) -> tuple[int, int]:
        """Returns a measure of a set of voters; less is better.

        Among sets with the same shortfall, those that are spread over more
        availability zones cost less.
        """
        by_zone = self._by_zone(voters)
        crowding = sum(count * count for count in by_zone.values())
        return self.shortfall(voters), crowding

    def _by_zone(self, voters: list[Member]) -> Counter[str]:
        return Counter(vm.zone or vm.member for vm in voters)

    def _by_region(self, voters: list[Member]) -> Counter[str]:
        return Counter(
            self._regions_of_zones.get(vm.zone) or vm.zone or vm.member
            for vm in voters
        )


def _largest(counts: Counter[str], limit: int) -> int:
    """Returns the number of voters in the fullest groups."""
    return sum(count for _, count in counts.most_common(limit))


def without(voters: Iterable[Member], leaver: Member) -> list[Member]:
    """Returns the voters less one of them."""
    return [vm for vm in voters if vm.member != leaver.member]
