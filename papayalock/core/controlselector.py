"""Selects the control VM that a node polls."""

from collections.abc import Iterable

from papayalock.messages import ControlPeer
from papayalock.ports import Random

MIN_BACKOFF_S = 0.5  # after one failure; doubles with each further one
MAX_BACKOFF_S = 4.0
OWN_ZONE, UNKNOWN_ZONE, OTHER_ZONE = range(3)  # in the order of preference


class ControlSelector:
    """Selects control VMs, those of the node's zone first.

    It backs off exponentially from control VMs that fail.
    """

    __slots__ = (
        '_backoff_until',
        '_current',
        '_failed_at',
        '_failures',
        '_rng',
        '_seeds',
        '_zone',
        '_zones',
    )

    def __init__(self, zone: str, seeds: Iterable[str], rng: Random) -> None:
        """Starts with the seeds, whose zones are not known yet."""
        self._zone = zone
        self._rng = rng
        self._seeds = list(seeds)
        self._zones: dict[str, str] = dict.fromkeys(self._seeds, '')
        self._backoff_until: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._current = ''

    @property
    def count(self) -> int:
        """The number of known control VMs."""
        return len(self._zones)

    @property
    def addresses(self) -> list[str]:
        """The known control VMs."""
        return list(self._zones)

    def choose(self, now: float) -> str:
        """Returns the address of the control VM to poll next."""
        preferences = [
            (self._preference(address, now), address) for address in self._zones
        ]
        best = min(preference for preference, _ in preferences)
        candidates = [
            address for preference, address in preferences if preference == best
        ]
        if self._current not in candidates:
            self._current = candidates[self._rng.randrange(len(candidates))]
        return self._current

    def record_response(
        self, address: str, zone: str, peers: Iterable[ControlPeer]
    ) -> None:
        """Records a response and the control VMs that it lists."""
        self._failures.pop(address, None)
        self._backoff_until.pop(address, None)
        listed = {peer.address: peer.zone for peer in peers}
        if listed:
            self._zones = {
                name: listed[name] or self._zones.get(name, '')
                for name in listed
            }
        self._zones[address] = zone

    def record_failure(self, address: str, now: float) -> None:
        """Backs off after no response, or one without current data.

        Once all known control VMs are backed off from, the seeds are added
        again.
        """
        self._failed_at[address] = now
        count = self._failures.get(address, 0)
        self._failures[address] = count + 1
        self._backoff_until[address] = now + min(
            MIN_BACKOFF_S * 2**count, MAX_BACKOFF_S
        )
        if all(
            self._backoff_until.get(name, now) > now for name in self._zones
        ):
            for seed in self._seeds:
                self._zones.setdefault(seed, '')

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds after a change of the settings."""
        self._seeds = list(seeds)
        for seed in self._seeds:
            self._zones.setdefault(seed, '')

    def _preference(self, address: str, now: float) -> tuple[float, ...]:
        """Returns the sort key of a control VM.

        When all are backed off from, the one whose failure is longest ago is
        next.
        """
        backoff_until = self._backoff_until.get(address, now)
        if backoff_until > now:
            return (1, self._failed_at[address])
        zone = self._zones[address]
        if zone == self._zone:
            return (0, OWN_ZONE)
        return (0, OTHER_ZONE if zone else UNKNOWN_ZONE)
