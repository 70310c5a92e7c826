"""The connections of a node with host routing, and memory for bodies."""

from papayalock.core.buffers import BufferPool
from papayalock.pool import Pool
from papayalock.settings import Settings

POOLED_PER_ADDRESS = 64
POOLED_PER_CONTROL_VM = 2


class NodePools:
    """Pools by peer; those for calls share the memory for response bodies.

    ``request_bodies`` is the memory that all HTTP servers of the node share.
    """

    __slots__ = ('backend', 'control', 'hop', 'request_bodies')

    def __init__(self, settings: Settings) -> None:
        """Creates empty pools."""
        connect_ms = settings.hosts.connect_ms
        idle_ms = settings.relay.idle_ms
        buffers = BufferPool(settings.hosts.buffer_bytes)
        self.request_bodies = BufferPool(settings.hosts.request_bytes)
        self.control = Pool(connect_ms, idle_ms, POOLED_PER_CONTROL_VM)
        self.hop = Pool(connect_ms, idle_ms, POOLED_PER_ADDRESS, buffers)
        self.backend = Pool(connect_ms, idle_ms, POOLED_PER_ADDRESS, buffers)
