"""Starts and stops the processes of a small mesh on loopback."""

import contextlib
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import IO
from urllib.request import urlopen

from bench.link import Links

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
POLL_S = 0.05
LISTEN_PORTS = (10240, 32768)
PORT_LOCKS = Path(tempfile.gettempdir()) / 'papayalock-ports'
_RNG = random.SystemRandom()
_reserved: list[IO[bytes]] = []  # lock files, held until this process ends


def free_port() -> int:
    """Returns a port that nothing listens on now, and no other run has chosen.

    Ports for outgoing connections begin at 32768 on most systems. One of
    those could be taken while the process that listens there is down.
    """
    while True:
        port = _RNG.randrange(*LISTEN_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            _reserve(port)
            probe.bind(('127.0.0.1', port))
            return port


def _reserve(port: int) -> None:
    """Locks a port against other runs on this machine.

    :raises OSError: when one of them has it
    """
    PORT_LOCKS.mkdir(exist_ok=True)
    opened = (PORT_LOCKS / str(port)).open('wb')
    try:
        fcntl.flock(opened, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        opened.close()
        raise
    _reserved.append(opened)


def toml_text(document: Mapping[str, object]) -> str:
    """Returns TOML for settings of plain values, lists and one level of tables."""
    plain = [
        f'{key} = {_inline(found)}'
        for key, found in document.items()
        if not isinstance(found, dict)
    ]
    for key, table in document.items():
        if isinstance(table, dict):
            plain.append(f'[{key}]')
            plain.extend(
                f'{name} = {_inline(found)}' for name, found in table.items()
            )
    return '\n'.join((*plain, ''))


def _inline(found: object) -> str:
    if isinstance(found, dict):
        inner = ', '.join(
            f'{key} = {_inline(one)}' for key, one in found.items()
        )
        return f'{{ {inner} }}'
    if isinstance(found, list):
        return f'[{", ".join(_inline(one) for one in found)}]'
    return json.dumps(found)


class Process:
    """One started process and how to start it again."""

    def __init__(self, name: str, command: list[str], log_path: Path) -> None:
        """Starts the process."""
        self.name = name
        self._command = command
        self.log_path = log_path
        self.popen = self._start()

    def _start(self) -> 'subprocess.Popen[bytes]':
        env = {**os.environ, 'PYTHONPATH': str(ROOT)}
        with self.log_path.open('ab') as opened:
            return subprocess.Popen(
                self._command, stdout=opened, stderr=opened, env=env, cwd=ROOT
            )

    def log_lines(self) -> list[bytes]:
        """Returns the whole lines that the process has printed."""
        return self.log_path.read_bytes().split(b'\n')[:-1]

    def kill(self) -> None:
        """Ends the process at once."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self, timeout: float = 10.0) -> int:
        """Asks the process to stop and returns its exit status."""
        self.popen.terminate()
        return self.popen.wait(timeout)

    def suspend(self) -> None:
        """Stops the process without ending it."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Asks the process to read its settings again."""
        self.popen.send_signal(signal.SIGHUP)

    def request_drain(self) -> None:
        """Asks a stand-in backend server to leave."""
        self.popen.send_signal(signal.SIGUSR1)

    def restart(self) -> None:
        """Starts the process again with the same command."""
        self.popen = self._start()

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.popen.poll() is None

    def rss_mb(self) -> float:
        """Returns the resident memory in MB."""
        for line in (
            Path(f'/proc/{self.popen.pid}/status').read_text().splitlines()
        ):
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0

    def cpu_s(self) -> float:
        """Returns the processor time used so far in seconds."""
        fields = (
            Path(f'/proc/{self.popen.pid}/stat')
            .read_text()
            .rsplit(')', 1)[1]
            .split()
        )
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


class Mesh:
    """Control VMs, nodes and stand-in backend servers of one run."""

    def __init__(
        self,
        folder: Path,
        zones: list[str],
        *,
        per_zone: int = 1,
        settings: dict[str, dict[str, object]] | None = None,
    ) -> None:
        """Chooses addresses; nothing runs yet.

        :param per_zone: control VMs in each availability zone
        :param settings: sections laid over those of every process
        """
        self.folder = folder
        self.zones = zones
        self.settings = settings or {}
        self.control_links: Links | None = None
        self.node_links: Links | None = None
        self.control: dict[str, Process] = {}
        self.nodes: dict[str, Process] = {}
        self.backends: dict[str, Process] = {}
        self.node_address: dict[str, str] = {}
        self.backend_address: dict[str, str] = {}
        self.members = [
            {
                'name': f'control-{zone}-{number}',
                'zone': zone,
                'address': f'127.0.0.1:{free_port()}',
                'voter': number == 0,
            }
            for zone in zones
            for number in range(per_zone)
        ]

    def control_addresses(self, zone: str = '') -> list[str]:
        """Returns the addresses of the control VMs, of one zone or of all."""
        return [
            str(one['address'])
            for one in self.members
            if zone in {'', one['zone']}
        ]

    def use_control_links(self) -> 'Links':
        """Puts a link between every two control VMs."""
        self.control_links = Links()
        return self.control_links

    def _members_for(self, name: str) -> list[dict[str, object]]:
        """Returns the members with the addresses that one of them uses."""
        seen = []
        for member in self.members:
            found = dict(member)
            target = str(member['name'])
            if self.control_links is not None and target != name:
                link = self.control_links.add(
                    name, target, str(member['address'])
                )
                found['address'] = link.address
            seen.append(found)
        return seen

    def start_control(self) -> None:
        """Starts every control VM."""
        for member in self.members:
            name = str(member['name'])
            document = {
                'role': 'control',
                'name': name,
                'zone': member['zone'],
                'listen': member['address'],
                'data': str(self.folder / name),
                'control': {'members': self._members_for(name)},
                **self.settings,
            }
            self.control[name] = self._daemon(name, document)

    def join_control(self, name: str, zone: str) -> str:
        """Starts a control VM that is not a member yet; returns its address."""
        address = f'127.0.0.1:{free_port()}'
        document = {
            'role': 'control',
            'name': name,
            'zone': zone,
            'listen': address,
            'data': str(self.folder / name),
            'control': {'members': self.members, 'join': True},
            **self.settings,
        }
        self.members.append(
            {'name': name, 'zone': zone, 'address': address, 'voter': False}
        )
        self.control[name] = self._daemon(name, document)
        return address

    def start_node(
        self, name: str, zone: str, control: list[str] | None = None
    ) -> str:
        """Starts a node and returns its address.

        With links, others reach it through one.
        """
        address = self.node_address.setdefault(name, f'127.0.0.1:{free_port()}')
        document = {
            'role': 'node',
            'name': name,
            'zone': zone,
            'listen': address,
            'advertise': self._advertised(name, address),
            'control': {'addresses': control or self.control_addresses(zone)},
            **self.settings,
        }
        self.nodes[name] = self._daemon(name, document)
        return address

    def _advertised(self, name: str, address: str) -> str:
        if self.node_links is None:
            return ''
        return self.node_links.add('nodes', name, address).address

    def start_backend(
        self,
        name: str,
        service: str,
        node: str,
        seed: int = 1,
        **behaviour: object,
    ) -> str:
        """Starts a stand-in backend server beside a node."""
        address = self.backend_address.setdefault(
            name, f'127.0.0.1:{free_port()}'
        )
        command = [
            sys.executable,
            '-m',
            'bench.backend',
            '--name',
            name,
            '--service',
            service,
            '--listen',
            address,
            '--node',
            self.node_address[node],
            '--behaviour',
            json.dumps(behaviour),
            '--seed',
            str(seed),
        ]
        self.backends[name] = Process(
            name, command, self.folder / f'{name}.log'
        )
        return address

    def stop(self) -> None:
        """Ends every process that this mesh started."""
        for links in (self.control_links, self.node_links):
            if links is not None:
                links.close()
        for process in (
            *self.backends.values(),
            *self.nodes.values(),
            *self.control.values(),
        ):
            if process.alive:
                process.kill()

    def _daemon(self, name: str, document: Mapping[str, object]) -> Process:
        return start_daemon(self.folder, name, document)


def start_daemon(
    folder: Path, name: str, document: Mapping[str, object]
) -> Process:
    """Starts a daemon with settings, its files in a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f'{name}.toml'
    path.write_text(toml_text(document))
    command = [
        sys.executable,
        '-m',
        'papayalock.daemon',
        '--config',
        str(path),
    ]
    return Process(name, command, folder / f'{name}.log')


def get_json(
    address: str, path: str, timeout: float = 2.0
) -> dict[str, object]:
    """Returns the JSON answer of a GET."""
    with urlopen(f'http://{address}{path}', timeout=timeout) as answer:
        found: dict[str, object] = json.loads(answer.read())
        return found


def wait_until(
    check: Callable[[], bool], what: str, timeout: float = START_TIMEOUT_S
) -> float:
    """Polls until a check holds and returns the seconds it took.

    :raises TimeoutError: when it does not hold in time
    """
    started = time.monotonic()
    while time.monotonic() - started < timeout:
        try:
            if check():
                return time.monotonic() - started
        except (OSError, KeyError, ValueError):
            time.sleep(POLL_S)
        time.sleep(POLL_S)
    raise TimeoutError(what)
