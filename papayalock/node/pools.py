"""The connection pools of a node with host routing."""

from papayalock.core.buffers import BufferPool
from papayalock.pool import Pool
from papayalock.settings import Settings

POOLED_PER_ADDRESS = 64
POOLED_PER_CONTROL_VM = 2


class NodePools:
    """Pools by peer; those for calls share the memory for response bodies."""

    __slots__ = ('backend', 'control', 'hop')

    def __init__(self, settings: Settings) -> None:
        """Creates empty pools."""
        connect_ms = settings.hosts.connect_ms
        idle_ms = settings.relay.idle_ms
        buffers = BufferPool(settings.hosts.buffer_bytes)
        self.control = Pool(connect_ms, idle_ms, POOLED_PER_CONTROL_VM)
        self.hop = Pool(connect_ms, idle_ms, POOLED_PER_ADDRESS, buffers)
        self.backend = Pool(connect_ms, idle_ms, POOLED_PER_ADDRESS, buffers)
