"""Ignores SIGHUP from its import on, so that none ends a process that starts.

The settings are read after that, and again when their watch begins, so a
signal that comes too early is not lost. Daemons import this module first.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
