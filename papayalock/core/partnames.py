"""Names of the parts of a configuration.

The part of a service in the register has the name of the service. The parts of
a route set are shared by all nodes, and their names have a prefix.
"""

CUSTOMER_PREFIX = 'customer/'
POLICY_PREFIX = 'policy/'
ROUTE_PREFIX = 'route/'
VERSIONS_PREFIX = 'versions/'
LIMITS_PART = 'limits/callers'
SHARED_PART_MARK = '/'  # in the names of shared parts only


def policy_part(service: str) -> str:
    """Returns the name of the part with the policy of a service."""
    return f'{POLICY_PREFIX}{service}'


def customer_part(customer: str) -> str:
    """Returns the name of the part with a customer."""
    return f'{CUSTOMER_PREFIX}{customer}'


def route_part(route: str) -> str:
    """Returns the name of the part with a host route."""
    return f'{ROUTE_PREFIX}{route}'


def route_of(name: str) -> str:
    """Returns the host route that a part holds, or ''."""
    return _suffix(name, ROUTE_PREFIX)


def policy_of(name: str) -> str:
    """Returns the service whose policy a part holds, or ''."""
    return _suffix(name, POLICY_PREFIX)


def customer_of(name: str) -> str:
    """Returns the customer that a part holds, or ''."""
    return _suffix(name, CUSTOMER_PREFIX)


def versions_part(service: str) -> str:
    """Returns the name of the part with the versions of a service."""
    return f'{VERSIONS_PREFIX}{service}'


def versions_of(name: str) -> str:
    """Returns the service whose versions a part holds, or ''."""
    return _suffix(name, VERSIONS_PREFIX)


def is_shared(name: str) -> bool:
    """Returns whether a part comes from a route set."""
    return SHARED_PART_MARK in name


def reachable_service(name: str) -> str:
    """Returns the service that a node with this part may call, or ''."""
    return policy_of(name) if is_shared(name) else name


def _suffix(name: str, prefix: str) -> str:
    return name.removeprefix(prefix) if name.startswith(prefix) else ''
