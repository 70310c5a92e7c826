"""Runs a small mesh for experiments that measure calls."""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

from bench.fleet import Fleets, wait_for_leader
from bench.link import Links
from bench.mesh import Mesh, get_json, wait_until
from papayalock.messages import Register

SETTINGS: dict[str, dict[str, object]] = {
    'membership': {'announce_ms': 300, 'appear_ms': 50}
}


@contextmanager
def running_mesh(
    zones: list[str],
    register: Register,
    servers: list[tuple[str, str, dict[str, Any]]],
    settings: dict[str, dict[str, object]] | None = None,
    *,
    node_links: bool = False,
) -> Iterator[Mesh]:
    """Runs a mesh with one node per server for the ``with`` block.

    The block starts once every node has discovered the servers of its service
    and applied the register.

    :param servers: service, availability zone and behaviour of each server
    :param node_links: whether nodes reach each other through :class:`Links`
    """
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(
            Path(name), zones, settings={**SETTINGS, **(settings or {})}
        )
        if node_links:
            mesh.node_links = Links()
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            Fleets(mesh, 0).submit(register)
            for number, (service, zone, behaviour) in enumerate(servers):
                node = node_name(service, number)
                mesh.start_node(node, zone)
                mesh.start_backend(
                    f'b-{service}-{number}',
                    service,
                    node,
                    seed=number,
                    **behaviour,
                )
            for number, (service, _, _) in enumerate(servers):
                wait_until(
                    lambda: _is_ready(
                        mesh, node_name(service, number), service, servers
                    ),
                    f'{service} discovered on its nodes',
                )
            yield mesh
        finally:
            mesh.stop()


def node_name(service: str, number: int) -> str:
    """Returns the name of the node beside a server."""
    return f'n-{service}-{number}'


def _is_ready(
    mesh: Mesh,
    node: str,
    service: str,
    servers: list[tuple[str, str, dict[str, Any]]],
) -> bool:
    """Returns whether a node can route to all servers of a service."""
    explanation = get_json(
        mesh.node_address[node], f'/papayalock/explain?service={service}'
    )
    endpoints = explanation['servers']
    status = get_json(mesh.node_address[node], '/papayalock/status')
    expected = sum(server[0] == service for server in servers)
    return (
        isinstance(endpoints, list)
        and len(endpoints) == expected
        and bool(status['services'])
        and _has_routes(mesh, node, service)
    )


def _has_routes(mesh: Mesh, node: str, service: str) -> bool:
    """Returns whether the node runs the accepted version, with routes for it."""
    accepted = get_json(mesh.control_addresses()[0], '/v1/version')
    parts = accepted['parts']
    assert isinstance(parts, list)
    status = get_json(mesh.node_address[node], '/papayalock/status')
    has_routes = any(
        part['service'] == service and part['routes'] for part in parts
    )
    info = accepted['info']
    assert isinstance(info, dict)
    return has_routes and status['version'] == info['version']


def run_async(
    experiment: Callable[[], Awaitable[dict[str, float]]],
) -> dict[str, float]:
    """Runs an experiment's calls on a new uvloop event loop."""

    async def main() -> dict[str, float]:
        return await experiment()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
