"""The host routes in force, and the checks that a new set must pass."""

import hashlib
from collections.abc import Iterator

import msgspec

from papayalock.core.problems import Problems
from papayalock.core.revision import apply_revision, make_revision
from papayalock.messages import (
    HostRoute,
    Part,
    Problem,
    Publish,
    PublishRes,
    Revise,
    RouteSet,
)
from papayalock.result import Code, PapayalockError

DIGEST_BYTES = 16
ACCEPTED_KEPT = 20_000  # digests of accepted sets that a resend may match
LIMITS_PART = 'limits/callers'


class BookState(msgspec.Struct):
    """The route book as a snapshot stores it."""

    current: RouteSet | None = None
    accepted: dict[str, int] = msgspec.field(default_factory=dict)


class RouteBook:
    """Accepts route sets by compare-and-set on the operator's label."""

    def __init__(self) -> None:
        """Starts without routes."""
        self.state = BookState()

    @property
    def current(self) -> RouteSet | None:
        """The newest accepted set."""
        return self.state.current

    @property
    def label(self) -> int:
        """The label of the newest accepted set; 0 before the first."""
        return self.state.current.label if self.state.current else 0

    def publish(self, routes: RouteSet) -> tuple[PublishRes, bool]:
        """Accepts a set, or tells why not.

        :returns: the answer, and whether the set is newly in force. A set
            that was accepted before is acknowledged again, since its sender
            may have lost the first answer.
        """
        digest = route_set_digest(routes)
        known = self.state.accepted.get(digest)
        if known is not None:
            return PublishRes(code=Code.DONE, label=known), False
        refusal = self._refusal(routes)
        if refusal is not None:
            return refusal, False
        self.state.current = routes
        self.state.accepted[digest] = routes.label
        if len(self.state.accepted) > ACCEPTED_KEPT:
            self.state.accepted.pop(next(iter(self.state.accepted)))
        return PublishRes(code=Code.DONE, label=routes.label), True

    def settled(self, routes: RouteSet) -> PublishRes | None:
        """Returns the answer to a set that does not need the log, or None.

        What this book accepted stays accepted, and a set that builds on an
        older label than the book's lost its race for good.
        """
        known = self.state.accepted.get(route_set_digest(routes))
        if known is not None:
            return PublishRes(code=Code.DONE, label=known)
        faults = check_route_set(routes)
        if faults:
            return self._invalid(faults)
        if routes.base < self.label:
            return self._refusal(routes)
        return None

    def command(self, routes: RouteSet) -> Publish | Revise:
        """Returns the command that publishes a set with the least to send."""
        current = self.state.current
        if current is None or current.label != routes.base:
            return Publish(route_set=routes)
        if routes.limits is None and current.limits is not None:
            return Publish(route_set=routes)
        return make_revision(current, routes, route_set_digest(routes))

    def revise(self, revision: Revise) -> tuple[PublishRes, bool]:
        """Accepts a set that was sent as a difference; see :meth:`publish`."""
        known = self.state.accepted.get(revision.digest)
        if known is not None:
            return PublishRes(code=Code.DONE, label=known), False
        current = self.state.current
        if current is None or current.label != revision.base:
            return self._conflict(revision.base), False
        try:
            routes = apply_revision(current, revision)
        except KeyError:
            return self._conflict(revision.base), False
        if route_set_digest(routes) != revision.digest:
            return self._conflict(revision.base), False
        return self.publish(routes)

    def _conflict(self, base: int) -> PublishRes:
        return PublishRes(
            code=Code.CONFLICT,
            label=self.label,
            message=f'made from {base}, in force is {self.label}',
        )

    def _refusal(self, routes: RouteSet) -> PublishRes | None:
        if routes.base != self.label:
            return self._conflict(routes.base)
        faults = check_route_set(routes)
        if routes.label <= self.label:
            faults.append(
                Problem(
                    code=Code.BAD_VALUE,
                    where='label',
                    message=f'{routes.label} is not above {self.label}',
                )
            )
        return self._invalid(faults) if faults else None

    def _invalid(self, faults: list[Problem]) -> PublishRes:
        return PublishRes(
            code=Code.INVALID,
            label=self.label,
            message='; '.join(f'{one.where}: {one.message}' for one in faults),
        )

    def parts(self) -> Iterator[Part]:
        """Yields the parts that every node holds."""
        routes = self.state.current
        if routes is None:
            return
        for policy in routes.services:
            yield _shared(f'policy/{policy.service}', policy=policy)
        for route in routes.routes:
            yield _shared(f'route/{route.name}', host_route=route)
        if routes.limits is not None:
            yield _shared(LIMITS_PART, limits=routes.limits)


def _shared(name: str, **content: object) -> Part:
    return Part(
        service=name,
        slots=1,
        connections=1,
        callers=[],
        routes=[],
        shared=True,
        **content,  # type: ignore[arg-type]
    )


def route_set_digest(routes: RouteSet) -> str:
    """Returns a digest of what a route set asks for."""
    encoded = msgspec.json.encode(routes, order='deterministic')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def checked_types(routes: RouteSet) -> RouteSet:
    """Returns a route set whose every field is within its bounds.

    :raises PapayalockError: ``INVALID``, naming the field
    """
    try:
        return msgspec.convert(msgspec.to_builtins(routes), RouteSet)
    except msgspec.ValidationError as exc:
        raise PapayalockError(Code.INVALID, str(exc)) from exc


def check_route_set(routes: RouteSet) -> list[Problem]:
    """Returns every error in the meaning of a route set; empty when sound."""
    problems = Problems()
    services = {one.service for one in routes.services}
    seen: set[str] = set()
    for route in routes.routes:
        where = f'route[{route.name}]'
        if route.name in seen:
            problems.add(Code.DUPLICATE, where, 'name is used twice')
        seen.add(route.name)
        _check_route(route, where, services, problems)
    return problems.items


def _check_route(
    route: HostRoute, where: str, services: set[str], problems: Problems
) -> None:
    if not route.prefix.startswith('/'):
        problems.add(Code.BAD_VALUE, where, 'prefix does not begin with /')
    if route.timeout_ms <= 0:
        problems.add(Code.BAD_VALUE, where, 'timeout is not above 0')
    if not route.shares:
        problems.add(Code.MISSING_SERVICE, where, 'no service is named')
    for share in route.shares:
        if share.service not in services:
            problems.add(
                Code.MISSING_SERVICE, where, f'no service {share.service}'
            )
        if share.weight < 0:
            problems.add(Code.BAD_VALUE, where, 'weight is below 0')
