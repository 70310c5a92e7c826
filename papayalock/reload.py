"""Follows changes of the settings file while the process runs."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from papayalock.config import load_settings
from papayalock.result import SettingsError
from papayalock.settings import Settings

log = logging.getLogger(__name__)

CHECK_S = 1.0  # interval at which the file is looked at


class SettingsWatch:
    """Reads the settings again at SIGHUP, and when their file has changed.

    Settings that cannot be used leave those in force as they are.
    """

    def __init__(
        self, path: Path, settings: Settings, apply: Callable[[Settings], None]
    ) -> None:
        """Starts with the settings in force.

        :param apply: takes changed settings over
        """
        self._path = path
        self._settings = settings
        self._apply = apply
        self._stamp = self._look()
        self._wanted = asyncio.Event()

    async def run(self) -> None:
        """Watches until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._wanted.set)
        self._wanted.set()  # a signal may have come before the handler
        while True:
            try:
                async with asyncio.timeout(CHECK_S):
                    await self._wanted.wait()
            except TimeoutError:
                if self._look() == self._stamp:
                    continue
            self._wanted.clear()
            self.reload()

    async def beside(self, work: Awaitable[None]) -> None:
        """Watches for as long as some work runs."""
        watching = asyncio.create_task(self.run())
        try:
            await work
        finally:
            watching.cancel()

    def reload(self) -> None:
        """Reads the file and takes over what changed."""
        self._stamp = self._look()
        try:
            fresh = load_settings(self._path)
        except SettingsError as exc:
            log.error(
                'settings not reloaded',
                extra={'code': exc.code, 'reason': str(exc)},
            )
            return
        changed = fresh != self._settings
        log.info('settings reloaded', extra={'changed': changed})
        if changed:
            self._settings = fresh
            self._apply(fresh)

    def _look(self) -> tuple[int, int]:
        try:
            stat = self._path.stat()
        except OSError:
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)
