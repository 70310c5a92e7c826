"""How much memory a control VM uses for the past, and for what."""

BYTES_PER_MB = 1_048_576
MEMORY_SHARE = 5  # one part in this many; a snapshot needs room for copies
DEFAULT_BYTES = 67_108_864


def retention_bytes(configured: int, memory_mb: float) -> int:
    """Returns the memory that the past may take up, in bytes.

    :param configured: the operator's figure; 0 for the share of the memory
    :param memory_mb: memory of the VM; 0 if it is not known
    """
    if configured:
        return configured
    if not memory_mb:
        return DEFAULT_BYTES
    return int(memory_mb * BYTES_PER_MB) // MEMORY_SHARE


class RetentionBudget:
    """The memory of each kind of past state in bytes.

    An eighth is left for the newest snapshot. Each kind drops its oldest
    first: deltas and scopes can be built again, entries of the log go into a
    snapshot, a node whose base version is gone gets the whole configuration,
    and of the audit trail the oldest records go.
    """

    __slots__ = ('audit', 'deltas', 'log', 'requests', 'scopes', 'versions')

    def __init__(self, total: int = DEFAULT_BYTES) -> None:
        """Divides a total."""
        eighth = total // 8
        self.versions = 2 * eighth
        self.audit = 2 * eighth
        self.log = eighth
        self.deltas = eighth
        self.scopes = eighth // 2
        self.requests = eighth // 2  # responses to submissions
