"""Reloading the settings while the process runs."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from bench.mesh import ROOT, free_port, toml_text
from papayalock.config import load_settings
from papayalock.reload import SettingsWatcher

TEXT = 'role = "node"\n[control]\naddresses = ["10.0.0.{0}:1"]\n'


def write(path: Path, number: int) -> None:
    path.write_text(TEXT.format(number))
    os.utime(path, ns=(number, number))


class AppliedSettings:
    """Records the address in each settings object that is applied."""

    def __init__(self) -> None:
        self.addresses: list[str] = []

    def __call__(self, settings) -> None:
        self.addresses.append(settings.control.addresses[0])


def make_watcher(
    tmp_path: Path,
) -> tuple[Path, AppliedSettings, SettingsWatcher]:
    path = tmp_path / 'node.toml'
    write(path, 1)
    applied = AppliedSettings()
    return path, applied, SettingsWatcher(path, load_settings(path), applied)


class TestSettingsWatcher:
    def test_changed_settings_are_applied(self, tmp_path):
        path, applied, watcher = make_watcher(tmp_path)
        write(path, 2)
        watcher.reload()
        assert applied.addresses == ['10.0.0.2:1']

    def test_unchanged_settings_are_not_applied(self, tmp_path):
        _, applied, watcher = make_watcher(tmp_path)
        watcher.reload()
        assert applied.addresses == []

    def test_invalid_settings_are_ignored(self, tmp_path):
        path, applied, watcher = make_watcher(tmp_path)
        path.write_text('role = "cook"')
        watcher.reload()
        path.unlink()
        watcher.reload()
        write(path, 3)
        watcher.reload()
        assert applied.addresses == ['10.0.0.3:1']

    def test_sighup_reloads_the_settings(self, tmp_path):
        path, applied, watcher = make_watcher(tmp_path)

        async def run() -> None:
            task = asyncio.create_task(watcher.run())
            await asyncio.sleep(0)
            write(path, 4)
            os.kill(os.getpid(), signal.SIGHUP)
            while not applied.addresses:
                await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(run())
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        assert applied.addresses == ['10.0.0.4:1']


# Runs the daemon with a SIGHUP sent to itself during each slow import.
SIGHUP_DURING_IMPORTS = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, path=None, target=None):
        if name in {'asyncio', 'uvloop', 'msgspec', 'papayalock.reload'}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
sys.argv[0] = 'papayalockd'
runpy.run_module('papayalock.daemon', run_name='__main__')
"""


class TestStart:
    def test_sighup_during_startup_does_not_kill_the_daemon(self, tmp_path):
        path = tmp_path / 'node.toml'
        settings = {
            'role': 'node',
            'listen': f'127.0.0.1:{free_port()}',
            'control': {'addresses': ['127.0.0.1:1']},
            'hosts': {'outbound': f'127.0.0.1:{free_port()}'},
        }
        path.write_text(toml_text(settings))
        command = [
            sys.executable,
            '-c',
            SIGHUP_DURING_IMPORTS,
            '--config',
            path,
        ]
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, cwd=ROOT
        ) as daemon:
            up = any(b'node started' in line for line in daemon.stdout)
            daemon.kill()
        assert up

    def test_a_change_before_the_watcher_starts_is_applied(self, tmp_path):
        path = tmp_path / 'node.toml'
        write(path, 1)
        settings = load_settings(path)
        write(path, 2)
        applied = AppliedSettings()

        async def run() -> None:
            watcher = SettingsWatcher(path, settings, applied)
            task = asyncio.create_task(watcher.run())
            for _ in range(20):
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())
        assert applied.addresses == ['10.0.0.2:1']
