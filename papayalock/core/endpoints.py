"""Endpoints of announced backend servers: leases, deltas, service existence."""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from papayalock.core.serverstarts import is_outdated, start_of
from papayalock.messages import Endpoint, EndpointDelta

MS_PER_S = 1000
LEFT = 'left'
TRIM_MIN_RECORDS = 1024  # smaller tables keep all records
TRIM_INTERVAL_CHANGES = 256


class EndpointTable:
    """Table of the newest announcement of each backend server.

    The control VM that a node reports to is the origin of its endpoint: it
    alone renews the lease and numbers the changes. Endpoints of other origins
    come from peers and are ordered by incarnation and sequence, so reordered
    and duplicate ones are ignored. Every change gets a cursor; a reader that
    names the table's epoch and its last cursor gets only later changes.
    """

    def __init__(self, epoch: str, name: str, lease_ms: int) -> None:
        """Starts empty.

        :param epoch: unique to this table instance
        :param name: this control VM, the origin of endpoints attached to it
        :param lease_ms: time an announcement lasts without renewal
        """
        self.epoch = epoch
        self.cursor = 0
        self.lease_s = lease_ms / MS_PER_S
        self._name = name
        self._records: dict[str, Endpoint] = {}
        self._cursors: dict[str, int] = {}
        self._leases: dict[str, float] = {}
        self._server_at: dict[str, str] = {}  # by address of its node
        self._trimmed_cursor = 0

    def __len__(self) -> int:
        """Returns the number of live endpoints."""
        return len(self.endpoints())

    def endpoints(self) -> list[Endpoint]:
        """Returns every live endpoint."""
        return [
            endpoint
            for endpoint in self._records.values()
            if endpoint.state != LEFT
        ]

    def attach(self, endpoint: Endpoint, now: float) -> bool:
        """Records an announcement that a node reported, and renews its lease.

        :returns: whether the endpoint changed, so that readers must get it
        """
        current = self._records.get(endpoint.server)
        if current is not None and endpoint.incarnation < current.incarnation:
            return False
        if current is not None and _undoes_drain(endpoint, current):
            return False
        endpoint = _with_known_version(endpoint, current)
        if endpoint.state == LEFT:
            self._leases.pop(endpoint.server, None)
        else:
            self._leases[endpoint.server] = now + self.lease_s
            self._end_predecessor(endpoint)
        return self._store_own(endpoint, current)

    def _end_predecessor(self, endpoint: Endpoint) -> None:
        """Marks the server that was at a node before as left.

        A peer with which the node registered it lets its lease expire.
        """
        name = self._server_at.get(endpoint.address, '')
        before = self._records.get(name, endpoint)
        if before.incarnation > endpoint.incarnation:
            return
        self._server_at[endpoint.address] = endpoint.server
        if name != endpoint.server and self._leases.pop(name, 0.0):
            left = msgspec.structs.replace(before, state=LEFT)
            self._store_own(left, before)

    def merge(self, endpoint: Endpoint) -> bool:
        """Records an endpoint that a peer sent, if it is newer.

        A peer's report that an attached server left is overridden by a newer
        record, since its own node still renews the lease here. Any other newer
        record means that the node now reports to another control VM.

        :returns: whether the endpoint changed, so that readers must get it
        """
        current = self._records.get(endpoint.server)
        if current is not None and _version_order(endpoint) <= _version_order(
            current
        ):
            return False
        if current is not None and self._contradicts_lease(endpoint, current):
            self._store(
                msgspec.structs.replace(current, sequence=endpoint.sequence + 1)
            )
            return True
        self._leases.pop(endpoint.server, None)
        self._store(endpoint)
        return True

    def _contradicts_lease(self, endpoint: Endpoint, current: Endpoint) -> bool:
        """Whether a peer reports as left a server whose lease runs here."""
        same_incarnation = endpoint.incarnation == current.incarnation
        leased = endpoint.server in self._leases
        return same_incarnation and leased and endpoint.state == LEFT

    def expire(self, now: float) -> list[str]:
        """Marks endpoints with expired leases as left; returns their names."""
        expired = [name for name, until in self._leases.items() if until <= now]
        for name in expired:
            self._leases.pop(name)
            current = self._records[name]
            self._store_own(
                msgspec.structs.replace(current, state=LEFT), current
            )
        return expired

    def drop_origin(self, origin: str) -> int:
        """Marks all endpoints of an origin that was lost for good as left.

        :returns: the number of endpoints removed
        """
        endpoints = [
            endpoint
            for endpoint in self.endpoints()
            if endpoint.origin == origin
        ]
        for endpoint in endpoints:
            self._store(msgspec.structs.replace(endpoint, state=LEFT))
        return len(endpoints)

    def delta(
        self, epoch: str, cursor: int, in_scope: Callable[[Endpoint], bool]
    ) -> EndpointDelta | None:
        """Returns the changes since a cursor, or None when there are none.

        :param in_scope: selects the endpoints that the reader needs
        """
        full = (
            epoch != self.epoch
            or not self._trimmed_cursor <= cursor <= self.cursor
        )
        start = 0 if full else cursor
        changed = [
            endpoint for endpoint in self._since(start) if in_scope(endpoint)
        ]
        if full:
            changed = [
                endpoint for endpoint in changed if endpoint.state != LEFT
            ]
        elif not changed:
            return None
        return EndpointDelta(
            epoch=self.epoch, cursor=self.cursor, full=full, endpoints=changed
        )

    def _since(self, cursor: int) -> Iterator[Endpoint]:
        """Yields endpoints changed after a cursor, newest first.

        ``_cursors`` is kept in cursor order.
        """
        for name in reversed(self._cursors):
            if self._cursors[name] <= cursor:
                return
            yield self._records[name]

    def _store_own(self, endpoint: Endpoint, current: Endpoint | None) -> bool:
        sequence = 0
        if current is not None and current.incarnation == endpoint.incarnation:
            sequence = current.sequence
        candidate = msgspec.structs.replace(
            endpoint, origin=self._name, sequence=sequence
        )
        if candidate == current:
            return False
        if current is not None and current.incarnation == endpoint.incarnation:
            candidate.sequence += 1
        self._store(candidate)
        return True

    def _store(self, endpoint: Endpoint) -> None:
        self.cursor += 1
        self._cursors.pop(endpoint.server, None)
        self._cursors[endpoint.server] = self.cursor
        self._records[endpoint.server] = endpoint
        if endpoint.state == LEFT:
            self._forget_address(endpoint)
        self._trim()

    def _forget_address(self, endpoint: Endpoint) -> None:
        if self._server_at.get(endpoint.address) == endpoint.server:
            self._server_at.pop(endpoint.address)

    def _trim(self) -> None:
        """Bounds the records of departed servers."""
        if (
            len(self._records) < TRIM_MIN_RECORDS
            or self.cursor % TRIM_INTERVAL_CHANGES
        ):
            return
        departed = [
            name for name in self._cursors if self._records[name].state == LEFT
        ]
        for name in departed[: max(0, len(departed) - len(self._records) // 2)]:
            self._trimmed_cursor = self._cursors.pop(name)
            self._records.pop(name)


def _version_order(endpoint: Endpoint) -> tuple[int, int, str]:
    return endpoint.incarnation, endpoint.sequence, endpoint.origin


def _with_known_version(
    endpoint: Endpoint, current: Endpoint | None
) -> Endpoint:
    """Adds the version that the node's previous process has reported."""
    if endpoint.version or current is None:
        return endpoint
    if not start_of(endpoint).is_same(start_of(current)):
        return endpoint
    return msgspec.structs.replace(endpoint, version=current.version)


def _undoes_drain(endpoint: Endpoint, current: Endpoint) -> bool:
    """Whether an old heartbeat would make a draining server ready again.

    A restarted node may receive an old heartbeat of a server whose drain its
    predecessor had acknowledged.
    """
    if current.state != 'draining' or endpoint.state != 'ready':
        return False
    return is_outdated(
        start_of(endpoint),
        endpoint.heartbeat,
        start_of(current),
        current.heartbeat,
    )


class ExistenceTracker:
    """Decides which services exist, with hysteresis.

    A service exists once it has had a backend server for the appear time. It
    is withdrawn only after it has had none for the withdraw time, so that the
    failure of all its servers at once does not withdraw its routes.
    """

    __slots__ = ('_absent', '_appear_s', '_present', '_withdraw_s')

    def __init__(self, appear_ms: int, withdraw_ms: int) -> None:
        """Starts without observations.

        :param appear_ms: time with a server after which a service exists
        :param withdraw_ms: time without one after which it is withdrawn
        """
        self._appear_s = appear_ms / MS_PER_S
        self._withdraw_s = withdraw_ms / MS_PER_S
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
            if now - since >= self._appear_s
        }
        withdrawn = {
            name
            for name, since in self._absent.items()
            if now - since >= self._withdraw_s
        }
        return sorted((before | appeared) - withdrawn)

    def reset(self) -> None:
        """Clears all observations, as a new leader does."""
        self._present = {}
        self._absent = {}
