"""Ignores SIGHUP as a side effect of being imported.

SIGHUP asks a daemon to reload its settings, but its default action would kill
a process that is still importing modules. Daemons therefore import this module
first. An early signal is not lost: the settings are read after the imports,
and once more when ``reload.SettingsWatcher`` starts.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
