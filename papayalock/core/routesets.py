"""The host routes in force, and the validation of new route sets."""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from papayalock.core.partnames import (
    LIMITS_PART,
    customer_part,
    policy_part,
    route_part,
)
from papayalock.core.problems import Problems
from papayalock.core.revision import apply_revision, make_revision
from papayalock.messages import (
    Customer,
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
MAX_ACCEPTED = 20_000  # digests of accepted sets kept to recognize resends
Named = TypeVar('Named', HostRoute, Customer)
_ROUTE_SET = msgspec.json.Decoder(RouteSet)


class RouteSetState(msgspec.Struct):
    """The state of a :class:`RouteSetStore` in a snapshot."""

    current: RouteSet | None = None
    # Labels of accepted sets, by digest.
    accepted: dict[str, int] = msgspec.field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PartChanges:
    """How the parts of one route set differ from those of another."""

    changed: list[Part]  # new parts and those that may differ
    removed: set[str]  # names


class RouteSetStore:
    """Accepts route sets by compare-and-set on the operator's label.

    A set names the label that it is based on; it is accepted only while that
    label is in force.
    """

    def __init__(self) -> None:
        """Starts without a route set."""
        self.state = RouteSetState()

    @property
    def current(self) -> RouteSet | None:
        """The newest accepted set, which is in force."""
        return self.state.current

    @property
    def label(self) -> int:
        """The label of the set in force; 0 before the first."""
        return self.state.current.label if self.state.current else 0

    def publish(self, routes: RouteSet) -> tuple[PublishRes, bool]:
        """Accepts or rejects a set; see :meth:`accept`."""
        return self.accept(Candidate(routes))

    def candidate(self, command: Publish | Revise) -> 'Candidate | None':
        """Returns the set that a command publishes.

        It is None if a revision does not fit the set in force. Nothing is
        changed, so this may run in another thread.
        """
        if isinstance(command, Publish):
            return Candidate(command.route_set)
        current = self.state.current
        if current is None or current.label != command.base:
            return None
        try:
            candidate = Candidate(apply_revision(current, command))
        except KeyError:
            return None
        return candidate if candidate.digest == command.digest else None

    def accept(self, candidate: 'Candidate') -> tuple[PublishRes, bool]:
        """Accepts or rejects a set.

        :returns: the result, and whether the set is newly in force. A set
            that was accepted before is acknowledged again, since its sender
            may not have received the first response.
        """
        accepted_label = self.state.accepted.get(candidate.digest)
        if accepted_label is not None:
            return PublishRes(code=Code.DONE, label=accepted_label), False
        routes = candidate.routes
        refusal = self._refusal(routes, candidate.problems)
        if refusal is not None:
            return refusal, False
        self.state.current = routes
        self.state.accepted[candidate.digest] = routes.label
        if len(self.state.accepted) > MAX_ACCEPTED:
            self.state.accepted.pop(next(iter(self.state.accepted)))
        return PublishRes(code=Code.DONE, label=routes.label), True

    def result_without_log(self, routes: RouteSet) -> PublishRes | None:
        """Returns the result for a set without the log, or None if it needs it.

        An accepted set stays accepted, an invalid one stays invalid, and one
        that is based on an older label than the one in force can never win.
        So this may run in another thread.
        """
        accepted_label = self.state.accepted.get(route_set_digest(routes))
        if accepted_label is not None:
            return PublishRes(code=Code.DONE, label=accepted_label)
        problems = check_route_set(routes)
        if problems:
            return self._invalid(problems)
        if routes.base < self.label:
            return self._refusal(routes, problems)
        return None

    def publish_command(self, routes: RouteSet) -> Publish | Revise:
        """Returns the smallest log command that publishes a set.

        A set that is based on the one in force is sent as a difference. This
        may run in another thread.
        """
        current = self.state.current
        if current is None or current.label != routes.base:
            return Publish(route_set=routes)
        if routes.limits is None and current.limits is not None:
            return Publish(route_set=routes)
        return make_revision(current, routes, route_set_digest(routes))

    def revise(self, revision: Revise) -> tuple[PublishRes, bool]:
        """Accepts or rejects a difference; see :meth:`accept`."""
        return self.decide(revision, self.candidate(revision))

    def decide(
        self, command: Publish | Revise, candidate: 'Candidate | None'
    ) -> tuple[PublishRes, bool]:
        """Accepts or rejects the set of a command; see :meth:`accept`.

        :param candidate: as :meth:`candidate` returned it
        """
        if isinstance(command, Publish):
            return self.accept(candidate or Candidate(command.route_set))
        if candidate is not None:
            return self.accept(candidate)
        # The resulting set may have been accepted before.
        accepted_label = self.state.accepted.get(command.digest)
        if accepted_label is not None:
            return PublishRes(code=Code.DONE, label=accepted_label), False
        return self._conflict(command.base), False

    def _conflict(self, base: int) -> PublishRes:
        return PublishRes(
            code=Code.CONFLICT,
            label=self.label,
            message=(
                f'route set is based on label {base}, but label '
                f'{self.label} is in force'
            ),
        )

    def _refusal(
        self, routes: RouteSet, problems: list[Problem]
    ) -> PublishRes | None:
        if routes.base != self.label:
            return self._conflict(routes.base)
        if routes.label <= self.label:
            problems.append(
                Problem(
                    code=Code.BAD_VALUE,
                    where='label',
                    message=f'{routes.label} is not above {self.label}',
                )
            )
        return self._invalid(problems) if problems else None

    def _invalid(self, problems: list[Problem]) -> PublishRes:
        return PublishRes(
            code=Code.INVALID,
            label=self.label,
            message='; '.join(
                f'{problem.where}: {problem.message}' for problem in problems
            ),
        )

    def parts(self) -> list[Part]:
        """Returns the parts of the set in force, which all nodes hold."""
        current = self.state.current
        return part_changes(None, current).changed if current else []


class Candidate:
    """A route set that is to be published, with its digest and its errors."""

    __slots__ = ('digest', 'problems', 'routes')

    def __init__(self, routes: RouteSet) -> None:
        """Checks the set."""
        self.routes = routes
        self.digest = route_set_digest(routes)
        self.problems = check_route_set(routes)


def part_changes(previous: RouteSet | None, current: RouteSet) -> PartChanges:
    """Returns how the parts of a set differ from those of an earlier one.

    :param previous: the earlier set; a revision shares the routes that it
        does not change with the set that it is based on
    """
    removed = (
        _part_names(previous) - _part_names(current) if previous else set()
    )
    return PartChanges(list(_changed_parts(previous, current)), removed)


def _changed_parts(
    previous: RouteSet | None, current: RouteSet
) -> Iterator[Part]:
    """Yields the parts, without unchanged routes and customers."""
    for policy in current.services:
        yield shared_part(policy_part(policy.service), policy=policy)
    earlier = previous or RouteSet(0, 0, [], [])
    for route in _replaced(earlier.routes, current.routes):
        yield shared_part(route_part(route.name), host_route=route)
    for customer in _replaced(earlier.customers, current.customers):
        yield shared_part(customer_part(customer.name), customer=customer)
    if current.limits is not None:
        yield shared_part(LIMITS_PART, limits=current.limits)


def _replaced(
    earlier: Iterable[Named], current: Iterable[Named]
) -> list[Named]:
    """Returns the current items that are not also in an earlier list."""
    by_name = {named.name: named for named in earlier}
    return [named for named in current if by_name.get(named.name) is not named]


def _part_names(routes: RouteSet) -> set[str]:
    names = {route_part(route.name) for route in routes.routes}
    names.update(policy_part(policy.service) for policy in routes.services)
    names.update(customer_part(named.name) for named in routes.customers)
    if routes.limits is not None:
        names.add(LIMITS_PART)
    return names


def shared_part(name: str, **content: object) -> Part:
    """Returns a part that all nodes hold.

    :param content: the one field of the part that is set
    """
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
    """Returns a digest of the contents of a route set."""
    encoded = msgspec.json.encode(routes, order='deterministic')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def validate_route_set(routes: RouteSet) -> RouteSet:
    """Returns a route set after checking the bounds of every field.

    :raises PapayalockError: ``INVALID``, naming the field
    """
    try:
        return _ROUTE_SET.decode(msgspec.json.encode(routes))
    except msgspec.ValidationError as exc:
        raise PapayalockError(Code.INVALID, str(exc)) from exc


def check_route_set(routes: RouteSet) -> list[Problem]:
    """Returns all semantic errors of a route set; empty if it is valid."""
    problems = Problems()
    services = {policy.service for policy in routes.services}
    names: set[str] = set()
    for route in routes.routes:
        where = f'route[{route.name}]'
        if route.name in names:
            problems.add(Code.DUPLICATE, where, 'name is used twice')
        names.add(route.name)
        _check_route(route, where, services, problems)
    _check_customers(routes.customers, problems)
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


def _check_customers(customers: list[Customer], problems: Problems) -> None:
    """Names the entries with an error, but never a key."""
    names: set[str] = set()
    holders: dict[str, str] = {}
    for customer in customers:
        where = f'customer[{customer.name}]'
        if customer.name in names:
            problems.add(Code.DUPLICATE, where, 'name is used twice')
        names.add(customer.name)
        for digest in customer.keys:
            holder = holders.setdefault(digest, customer.name)
            if holder != customer.name:
                problems.add(
                    Code.DUPLICATE, where, f'shares an API key with {holder}'
                )
