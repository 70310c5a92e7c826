"""Route sets of many routes, whose time-outs all change."""

import msgspec

from papayalock.commands import Publication, decode_command, encode_command
from papayalock.messages import HostRoute, RouteSet, ServicePolicy, Share

SERVICES = ('shop-a', 'shop-b')
BASE_TIMEOUT_MS = 1200
TIMEOUTS = 1000  # different ones


def split_routes(label: int, count: int) -> RouteSet:
    """Returns a set of split routes, all with the time-out of its label."""
    shares = [Share(SERVICES[0], 90.0), Share(SERVICES[1], 10.0)]
    routes = [
        HostRoute(
            name=f'r-{number:05x}',
            host='shop.example',
            prefix=f'/p{number:05x}/',
            repeatable=True,
            timeout_ms=BASE_TIMEOUT_MS + label % TIMEOUTS,
            target_ms=300,
            rank=1,
            tries=2,
            shares=shares,
        )
        for number in range(count)
    ]
    services = [ServicePolicy(name) for name in SERVICES]
    route_set = RouteSet(label, label - 1, routes, services)
    route_set.source = msgspec.json.encode(route_set).decode()
    return route_set


def as_logged(command: Publication) -> Publication:
    """Returns a command as a replica decodes it from its log."""
    decoded = decode_command(encode_command(command))
    if not isinstance(decoded, Publication):
        raise TypeError(f'{type(decoded).__name__} publishes no routes')
    return decoded
