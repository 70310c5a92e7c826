"""The signals that ask a daemon to stop."""

import asyncio
import signal


def install_stop_signals() -> asyncio.Event:
    """Handles SIGTERM and SIGINT; returns an event that they set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    return stop
