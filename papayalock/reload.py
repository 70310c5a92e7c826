"""Reloads the settings while the process runs."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from papayalock.config import load_settings
from papayalock.result import SettingsError
from papayalock.settings import Settings

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0  # how often the file is checked for changes


class SettingsWatcher:
    """Reloads the settings on SIGHUP and when their file changes.

    Invalid settings are logged and ignored; the current ones stay in force.
    """

    def __init__(
        self, path: Path, settings: Settings, apply: Callable[[Settings], None]
    ) -> None:
        """Creates a watcher; ``run`` starts it.

        :param path: settings file
        :param settings: settings currently in force
        :param apply: called with the new settings when they differ
        """
        self._path = path
        self._settings = settings
        self._apply = apply
        self._file_stamp = self._read_file_stamp()
        self._reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Watches the file and SIGHUP until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        self._reload_requested.set()  # SIGHUPs so far were ignored
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                if self._read_file_stamp() == self._file_stamp:
                    continue
            self._reload_requested.clear()
            self.reload()

    async def run_alongside(self, work: Awaitable[None]) -> None:
        """Awaits ``work`` and watches until it ends."""
        watch_task = asyncio.create_task(self.run())
        try:
            await work
        finally:
            watch_task.cancel()

    def reload(self) -> None:
        """Reads the file and applies the settings if they changed."""
        self._file_stamp = self._read_file_stamp()
        try:
            new_settings = load_settings(self._path)
        except SettingsError as exc:
            log.error(
                'settings not reloaded',
                extra={'code': exc.code, 'reason': str(exc)},
            )
            return
        changed = new_settings != self._settings
        log.info('settings reloaded', extra={'changed': changed})
        if changed:
            self._settings = new_settings
            self._apply(new_settings)

    def _read_file_stamp(self) -> tuple[int, int]:
        try:
            stat = self._path.stat()
        except OSError:
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)
