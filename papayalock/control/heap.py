"""Memory management of a control VM's process.

Large route sets and snapshots make buffers and objects of many MB for a
moment. The defaults of the C library and of Python suit many small ones.
"""

import ctypes
import gc
import logging

log = logging.getLogger(__name__)

GC_THRESHOLD = 20_000  # a large route set creates as many objects at once
MMAP_THRESHOLD_OPTION = -3  # M_MMAP_THRESHOLD of mallopt
MMAP_THRESHOLD_BYTES = 131_072


def configure() -> None:
    """Scans less often, and returns large buffers to the system when freed.

    Without a fixed threshold glibc keeps freed buffers of up to 32 MB in the
    heap of each thread that made one.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as exc:
        log.warning('C library without mallopt', extra={'reason': str(exc)})
        return
    mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
