"""Publications as differences, so that the log carries only what changed."""

from collections.abc import Iterable
from typing import TypeVar

from papayalock.core.textedit import apply_edits, diff_text
from papayalock.messages import Customer, HostRoute, Revise, RouteSet

Named = TypeVar('Named', HostRoute, Customer)


def make_revision(current: RouteSet, new: RouteSet, digest: str) -> Revise:
    """Returns the difference of a route set from the one it is based on."""
    return Revise(
        label=new.label,
        base=new.base,
        digest=digest,
        changed=_changed(current.routes, new.routes),
        order=_new_order(current.routes, new.routes) or [],
        services=None if new.services == current.services else new.services,
        limits=None if new.limits == current.limits else new.limits,
        customers=_changed(current.customers, new.customers),
        customer_order=_new_order(current.customers, new.customers),
        edits=diff_text(current.source, new.source),
    )


def apply_revision(current: RouteSet, revision: Revise) -> RouteSet:
    """Returns the route set that a revision produces.

    :raises KeyError: when the revision was not made from ``current``
    """
    services = revision.services
    return RouteSet(
        label=revision.label,
        base=revision.base,
        routes=_merged(
            current.routes, revision.changed, revision.order or None
        ),
        services=current.services if services is None else services,
        limits=revision.limits or current.limits,
        customers=_merged(
            current.customers, revision.customers, revision.customer_order
        ),
        source=apply_edits(current.source, revision.edits),
    )


def _changed(current: Iterable[Named], new: Iterable[Named]) -> list[Named]:
    by_name = {named.name: named for named in current}
    return [named for named in new if by_name.get(named.name) != named]


def _new_order(
    current: Iterable[Named], new: Iterable[Named]
) -> list[str] | None:
    """Returns the names in the new order, or None if it is the same."""
    order = [named.name for named in new]
    return None if order == [named.name for named in current] else order


def _merged(
    current: Iterable[Named], changed: Iterable[Named], order: list[str] | None
) -> list[Named]:
    by_name = {named.name: named for named in current}
    names = list(by_name) if order is None else order
    by_name.update((named.name, named) for named in changed)
    return [by_name[name] for name in names]
