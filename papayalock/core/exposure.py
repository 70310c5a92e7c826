"""Which versions of a service a node's calls may reach.

The load that it answers: many nodes that each see a few calls a second, and
that must keep a small share of them together without talking to each other.
"""

import hashlib
import math
from dataclasses import dataclass

from papayalock.core.directory import KnownServer
from papayalock.core.rollouts import running_rollout
from papayalock.messages import Rollout, ServiceVersions
from papayalock.ports import Random

GRANT_S = 1.6  # without a control VM under lease, after which the share is 0
# Servers of the new version that share its calls are loaded a little more
# than the others, so that a fault under load shows early.
SERVERS_PER_SHARE = 0.75
MIN_TARGET_SERVERS = 2


@dataclass(slots=True, frozen=True)
class Cohort:
    """The servers that one try of a call may go to."""

    versions: frozenset[str]
    share: float = 1.0  # of these servers that are used
    salt: int = 0  # selects them, the same on all nodes
    fallback: frozenset[str] = frozenset()  # versions if there are none

    def select(self, servers: list[KnownServer]) -> list[KnownServer]:
        """Returns those of a service's servers that belong to the cohort."""
        allowed = _of_versions(servers, self.versions)
        if not allowed:
            return _of_versions(servers, self.fallback)
        if self.share >= 1:
            return allowed
        count = max(
            MIN_TARGET_SERVERS,
            math.ceil(self.share * len(allowed) * SERVERS_PER_SHARE),
        )
        return sorted(allowed, key=self._order)[:count]

    def _order(self, server: KnownServer) -> bytes:
        name = f'{self.salt}/{server.endpoint.server}'
        return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _of_versions(
    servers: list[KnownServer], versions: frozenset[str]
) -> list[KnownServer]:
    return [server for server in servers if server.endpoint.version in versions]


class Exposure:
    """Chooses the cohort of each try at a node.

    A credit keeps the share of the new version to within one call. It starts
    at a random point, so that the shares of many nodes add up.
    """

    __slots__ = ('_credits', '_rng', 'granted_until', 'services')

    def __init__(self, rng: Random) -> None:
        """Starts without services; those without versions are not limited."""
        self.services: dict[str, ServiceVersions] = {}
        self.granted_until = float('-inf')
        self._rng = rng
        self._credits: dict[str, tuple[int, float]] = {}

    def renew_grant(self, now: float) -> None:
        """Records that a control VM under lease has answered."""
        self.granted_until = now + GRANT_S

    def choose(self, service: str, now: float) -> Cohort | None:
        """Returns the cohort of a call's first try; None for all servers."""
        versions = self.services.get(service)
        if versions is None:
            return None
        rollout = running_rollout(versions)
        if rollout is None or not self._may_expose(rollout, now):
            return self._accepted(versions)
        if not self._takes_turn(service, rollout.order, rollout.share):
            return self._accepted(versions)
        return self._target(versions, rollout)

    def repeat(self, service: str) -> Cohort | None:
        """Returns the cohort of a call's further tries; None for all."""
        versions = self.services.get(service)
        if versions is None:
            return None
        rollout = running_rollout(versions)
        if rollout is None or not rollout.proven:
            return self._accepted(versions)
        return self._target(versions, rollout)

    def admits(self, service: str, version: str) -> bool:
        """Whether a server of a version may get any calls."""
        versions = self.services.get(service)
        if versions is None or version in versions.accepted:
            return True
        rollout = running_rollout(versions)
        if rollout is None:
            return False
        return rollout.share > 0 and version == rollout.target

    def running_order(self, service: str) -> int:
        """Returns the order of a roll-out that runs, or 0."""
        rollout = running_rollout(self.services.get(service))
        return rollout.order if rollout else 0

    def _may_expose(self, rollout: Rollout, now: float) -> bool:
        """Whether the node may use the share of the new version."""
        return rollout.proven or now < self.granted_until

    def _accepted(self, versions: ServiceVersions) -> Cohort:
        return Cohort(frozenset(versions.accepted))

    def _target(self, versions: ServiceVersions, rollout: Rollout) -> Cohort:
        return Cohort(
            frozenset((rollout.target,)),
            rollout.share,
            rollout.order,
            frozenset(versions.accepted),
        )

    def _takes_turn(self, service: str, order: int, share: float) -> bool:
        """Returns whether the next call goes to the new version."""
        known_order, credit = self._credits.get(service, (0, 0.0))
        if known_order != order:
            credit = self._rng.random()
        credit += share
        self._credits[service] = (order, credit - int(credit))
        return credit >= 1
