"""A small mesh for experiments on the call path."""

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
    """Runs a mesh with a node beside each server until the ``with`` ends.

    :param servers: service, zone and behaviour of each server
    :param node_links: whether nodes reach each other through links
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
                    lambda: _knows(
                        mesh, node_name(service, number), service, servers
                    ),
                    f'{service} known',
                )
            yield mesh
        finally:
            mesh.stop()


def node_name(service: str, number: int) -> str:
    """Returns the name of the node beside a server."""
    return f'n-{service}-{number}'


def _knows(
    mesh: Mesh,
    node: str,
    service: str,
    servers: list[tuple[str, str, dict[str, Any]]],
) -> bool:
    found = get_json(
        mesh.node_address[node], f'/papayalock/explain?service={service}'
    )
    known = found['servers']
    status = get_json(mesh.node_address[node], '/papayalock/status')
    wanted = sum(one[0] == service for one in servers)
    return (
        isinstance(known, list)
        and len(known) == wanted
        and bool(status['services'])
        and _routed(mesh, node, service)
    )


def _routed(mesh: Mesh, node: str, service: str) -> bool:
    """Whether the service's part in force has routes."""
    detail = get_json(mesh.control_addresses()[0], '/v1/version')
    parts = detail['parts']
    assert isinstance(parts, list)
    status = get_json(mesh.node_address[node], '/papayalock/status')
    routed = any(
        part['service'] == service and part['routes'] for part in parts
    )
    info = detail['info']
    assert isinstance(info, dict)
    return routed and status['version'] == info['version']


def run_async(
    work: Callable[[], Awaitable[dict[str, float]]],
) -> dict[str, float]:
    """Runs the caller's side on its own loop."""

    async def main() -> dict[str, float]:
        return await work()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
