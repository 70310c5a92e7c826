"""Listeners of a control VM beside its main interface."""

import asyncio
from dataclasses import dataclass

from papayalock.node.listener import Handler, HttpServer, ServerLimits

HEADER_LIMIT_BYTES = 8192


@dataclass(slots=True, frozen=True)
class Binding:
    """A port, what answers there, and its limits; port 0 is not served."""

    port: int
    handler: Handler
    body_bytes: int
    connections: int


async def listen(host: str, *bindings: Binding) -> list[asyncio.Server]:
    """Serves the bindings whose port is set, until the servers are closed."""
    loop = asyncio.get_running_loop()
    servers = []
    for binding in bindings:
        if not binding.port:
            continue
        limits = ServerLimits(
            HEADER_LIMIT_BYTES, binding.body_bytes, binding.connections
        )
        server = HttpServer(binding.handler, limits)
        servers.append(
            await loop.create_server(server.make_conn, host, binding.port)
        )
    return servers
