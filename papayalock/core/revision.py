"""Publications as differences, so that the log carries only what changed."""

from papayalock.core.textedit import apply_edits, diff_text
from papayalock.messages import Revise, RouteSet


def make_revision(current: RouteSet, new: RouteSet, digest: str) -> Revise:
    """Returns the difference of a route set from the one it is based on."""
    routes = {route.name: route for route in current.routes}
    order = [route.name for route in new.routes]
    same_order = order == [route.name for route in current.routes]
    return Revise(
        label=new.label,
        base=new.base,
        digest=digest,
        changed=[
            route for route in new.routes if routes.get(route.name) != route
        ],
        order=[] if same_order else order,
        services=None if new.services == current.services else new.services,
        limits=None if new.limits == current.limits else new.limits,
        edits=diff_text(current.source, new.source),
    )


def apply_revision(current: RouteSet, revision: Revise) -> RouteSet:
    """Returns the route set that a revision produces.

    :raises KeyError: when the revision was not made from ``current``
    """
    routes = {route.name: route for route in current.routes}
    order = revision.order or list(routes)
    routes.update((route.name, route) for route in revision.changed)
    services = revision.services
    return RouteSet(
        label=revision.label,
        base=revision.base,
        routes=[routes[name] for name in order],
        services=current.services if services is None else services,
        limits=revision.limits or current.limits,
        source=apply_edits(current.source, revision.edits),
    )
