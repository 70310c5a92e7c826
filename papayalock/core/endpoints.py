"""Announced backend servers: leases, change cursors and service existence."""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from papayalock.messages import Endpoint, EndpointDelta

MS_PER_S = 1000  # milliseconds in a second
LEFT = 'left'
TRIM_MIN_RECORDS = 1024  # records below which none is dropped
TRIM_INTERVAL_CHANGES = 256  # changes between two trims


class EndpointTable:
    """The newest announcement of each backend server that this control VM knows.

    The control VM that a node reports to is the origin of its endpoint: it
    alone renews the lease and numbers the changes. Endpoints of other origins
    come from peers and are ordered by incarnation and sequence, so crossed and
    repeated ones are ignored. Every change gets a cursor; a reader that names
    the table's epoch and its last cursor gets only what changed since.
    """

    def __init__(self, epoch: str, name: str, lease_ms: int) -> None:
        """Starts empty.

        :param epoch: unique to this table instance
        :param name: this control VM, the origin of what is attached to it
        :param lease_ms: time an announcement lasts without renewal
        """
        self.epoch = epoch
        self.cursor = 0
        self.lease_s = lease_ms / MS_PER_S
        self._name = name
        self._records: dict[str, Endpoint] = {}
        self._cursors: dict[str, int] = {}
        self._leases: dict[str, float] = {}
        self._floor = 0

    def __len__(self) -> int:
        """Returns the number of live endpoints."""
        return len(self.endpoints())

    def endpoints(self) -> list[Endpoint]:
        """Returns every live endpoint."""
        return [one for one in self._records.values() if one.state != LEFT]

    def attach(self, endpoint: Endpoint, now: float) -> bool:
        """Takes in what a node itself announced, and renews its lease.

        :returns: whether readers must learn of it
        """
        known = self._records.get(endpoint.server)
        if known is not None and endpoint.incarnation < known.incarnation:
            return False
        if known is not None and _undoes_drain(endpoint, known):
            return False
        if endpoint.state == LEFT:
            self._leases.pop(endpoint.server, None)
        else:
            self._leases[endpoint.server] = now + self.lease_s
        return self._store_own(endpoint, known)

    def merge(self, endpoint: Endpoint) -> bool:
        """Takes in what a peer knows.

        That an attached server left is answered by a newer record, since
        the node itself is heard. Any other newer record means that the node
        reports to another control VM now.

        :returns: whether readers must learn of it
        """
        known = self._records.get(endpoint.server)
        if known is not None and _version_order(endpoint) <= _version_order(
            known
        ):
            return False
        if known is not None and self._contradicts_lease(endpoint, known):
            self._store(
                msgspec.structs.replace(known, sequence=endpoint.sequence + 1)
            )
            return True
        self._leases.pop(endpoint.server, None)
        self._store(endpoint)
        return True

    def _contradicts_lease(self, endpoint: Endpoint, known: Endpoint) -> bool:
        """Whether a peer says that a server left which is heard here."""
        same = endpoint.incarnation == known.incarnation
        heard = endpoint.server in self._leases
        return same and heard and endpoint.state == LEFT

    def expire(self, now: float) -> list[str]:
        """Marks the endpoints whose leases ran out as left; returns their names."""
        late = [name for name, until in self._leases.items() if until <= now]
        for name in late:
            self._leases.pop(name)
            known = self._records[name]
            self._store_own(msgspec.structs.replace(known, state=LEFT), known)
        return late

    def drop_origin(self, origin: str) -> int:
        """Removes what came from an origin that is gone for good.

        :returns: the number of endpoints removed
        """
        orphans = [one for one in self.endpoints() if one.origin == origin]
        for orphan in orphans:
            self._store(msgspec.structs.replace(orphan, state=LEFT))
        return len(orphans)

    def delta(
        self, epoch: str, cursor: int, wanted: Callable[[Endpoint], bool]
    ) -> EndpointDelta | None:
        """Returns the changes since a cursor, or None when there are none."""
        full = epoch != self.epoch or not self._floor <= cursor <= self.cursor
        start = 0 if full else cursor
        changed = [one for one in self._since(start) if wanted(one)]
        if full:
            changed = [one for one in changed if one.state != LEFT]
        elif not changed:
            return None
        return EndpointDelta(
            epoch=self.epoch, cursor=self.cursor, full=full, endpoints=changed
        )

    def _since(self, cursor: int) -> Iterator[Endpoint]:
        """Yields changed endpoints, newest first; the table keeps cursor order."""
        for name in reversed(self._cursors):
            if self._cursors[name] <= cursor:
                return
            yield self._records[name]

    def _store_own(self, endpoint: Endpoint, known: Endpoint | None) -> bool:
        sequence = 0
        if known is not None and known.incarnation == endpoint.incarnation:
            sequence = known.sequence
        candidate = msgspec.structs.replace(
            endpoint, origin=self._name, sequence=sequence
        )
        if candidate == known:
            return False
        if known is not None and known.incarnation == endpoint.incarnation:
            candidate.sequence += 1
        self._store(candidate)
        return True

    def _store(self, endpoint: Endpoint) -> None:
        self.cursor += 1
        self._cursors.pop(endpoint.server, None)
        self._cursors[endpoint.server] = self.cursor
        self._records[endpoint.server] = endpoint
        self._trim()

    def _trim(self) -> None:
        """Bounds the records of servers that left."""
        if (
            len(self._records) < TRIM_MIN_RECORDS
            or self.cursor % TRIM_INTERVAL_CHANGES
        ):
            return
        gone = [
            name for name in self._cursors if self._records[name].state == LEFT
        ]
        for name in gone[: max(0, len(gone) - len(self._records) // 2)]:
            self._floor = self._cursors.pop(name)
            self._records.pop(name)


def _version_order(endpoint: Endpoint) -> tuple[int, int, str]:
    return endpoint.incarnation, endpoint.sequence, endpoint.origin


def _undoes_drain(endpoint: Endpoint, known: Endpoint) -> bool:
    """Whether a late heartbeat would make a draining server ready again.

    A restarted node may hear an old heartbeat of a server whose drain its
    predecessor had acknowledged.
    """
    if known.state != 'draining' or endpoint.state != 'ready':
        return False
    heard = (endpoint.born_ms, endpoint.heartbeat)
    return heard < (known.born_ms, known.heartbeat)


class ExistenceTracker:
    """Decides which services exist, with hysteresis.

    A service exists once it has had a backend server for the appear time; it
    is withdrawn only after it has had none for the withdraw time, so that the
    death of a herd does not withdraw its routes.
    """

    __slots__ = ('_absent', '_appear', '_present', '_withdraw')

    def __init__(self, appear_ms: int, withdraw_ms: int) -> None:
        """Starts without observations."""
        self._appear = appear_ms / MS_PER_S
        self._withdraw = withdraw_ms / MS_PER_S
        self._present: dict[str, float] = {}
        self._absent: dict[str, float] = {}

    def decide(
        self, existing: Iterable[str], announced: Iterable[str], now: float
    ) -> list[str]:
        """Returns the services that exist, sorted.

        :param existing: the services of the newest version
        :param announced: the services with at least one backend server now
        """
        present = set(announced)
        before = set(existing)
        self._present = {name: self._present.get(name, now) for name in present}
        self._absent = {
            name: self._absent.get(name, now) for name in before - present
        }
        appeared = {
            name
            for name, since in self._present.items()
            if now - since >= self._appear
        }
        withdrawn = {
            name
            for name, since in self._absent.items()
            if now - since >= self._withdraw
        }
        return sorted((before | appeared) - withdrawn)

    def reset(self) -> None:
        """Forgets all observations, as a new leader does."""
        self._present = {}
        self._absent = {}
