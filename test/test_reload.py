"""Settings read again while the process runs."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from bench.mesh import ROOT, free_port, toml_text
from papayalock.config import load_settings
from papayalock.reload import SettingsWatch

TEXT = 'role = "node"\n[control]\naddresses = ["10.0.0.{0}:1"]\n'


def write(path: Path, number: int) -> None:
    path.write_text(TEXT.format(number))
    os.utime(path, ns=(number, number))


class Taken:
    def __init__(self) -> None:
        self.addresses: list[str] = []

    def __call__(self, settings) -> None:
        self.addresses.append(settings.control.addresses[0])


def watched(tmp_path: Path) -> tuple[Path, Taken, SettingsWatch]:
    path = tmp_path / 'node.toml'
    write(path, 1)
    taken = Taken()
    return path, taken, SettingsWatch(path, load_settings(path), taken)


class TestSettingsWatch:
    def test_changed_settings_are_taken_over(self, tmp_path):
        path, taken, watch = watched(tmp_path)
        write(path, 2)
        watch.reload()
        assert taken.addresses == ['10.0.0.2:1']

    def test_unchanged_settings_change_nothing(self, tmp_path):
        _, taken, watch = watched(tmp_path)
        watch.reload()
        assert taken.addresses == []

    def test_settings_that_cannot_be_used_leave_those_in_force(self, tmp_path):
        path, taken, watch = watched(tmp_path)
        path.write_text('role = "cook"')
        watch.reload()
        path.unlink()
        watch.reload()
        write(path, 3)
        watch.reload()
        assert taken.addresses == ['10.0.0.3:1']

    def test_a_hang_up_signal_reads_them_and_ends_nothing(self, tmp_path):
        path, taken, watch = watched(tmp_path)

        async def play() -> None:
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0)
            write(path, 4)
            os.kill(os.getpid(), signal.SIGHUP)
            while not taken.addresses:
                await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(play())
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        assert taken.addresses == ['10.0.0.4:1']


HANG_UP_AT_IMPORTS = """
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
    def test_a_hang_up_signal_while_starting_ends_nothing(self, tmp_path):
        path = tmp_path / 'node.toml'
        settings = {
            'role': 'node',
            'listen': f'127.0.0.1:{free_port()}',
            'control': {'addresses': ['127.0.0.1:1']},
            'hosts': {'outbound': f'127.0.0.1:{free_port()}'},
        }
        path.write_text(toml_text(settings))
        command = [sys.executable, '-c', HANG_UP_AT_IMPORTS, '--config', path]
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, cwd=ROOT
        ) as started:
            up = any(b'node started' in line for line in started.stdout)
            started.kill()
        assert up

    def test_settings_that_changed_before_the_watch_are_taken_over(
        self, tmp_path
    ):
        path = tmp_path / 'node.toml'
        write(path, 1)
        settings = load_settings(path)
        write(path, 2)
        taken = Taken()

        async def play() -> None:
            watch = SettingsWatch(path, settings, taken)
            task = asyncio.create_task(watch.run())
            for _ in range(20):
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(play())
        assert taken.addresses == ['10.0.0.2:1']
