"""Starts and stops the processes of a mesh on loopback."""

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
WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
LISTEN_PORT_RANGE = (10240, 32768)
PORT_LOCK_DIR = Path(tempfile.gettempdir()) / 'papayalock-ports'
_RNG = random.SystemRandom()
_lock_files: list[IO[bytes]] = []  # kept open, and so locked, until exit


def free_port() -> int:
    """Returns a port that is free now and reserved for this run.

    Ports from 32768 on, the ephemeral range of most systems, are not used: an
    outgoing connection could take one while the process that listens on it is
    restarted.
    """
    while True:
        port = _RNG.randrange(*LISTEN_PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            _reserve(port)
            probe.bind(('127.0.0.1', port))
            return port


def _reserve(port: int) -> None:
    """Reserves a port against other runs on this machine by a file lock.

    :raises OSError: when another run has reserved it
    """
    PORT_LOCK_DIR.mkdir(exist_ok=True)
    lock_file = (PORT_LOCK_DIR / str(port)).open('wb')
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock_file.close()
        raise
    _lock_files.append(lock_file)


def toml_text(document: Mapping[str, object]) -> str:
    """Returns settings as TOML.

    :param document: plain values, lists, and one level of tables
    """
    lines = [
        f'{key} = {_inline(value)}'
        for key, value in document.items()
        if not isinstance(value, dict)
    ]
    for key, table in document.items():
        if isinstance(table, dict):
            lines.append(f'[{key}]')
            lines.extend(
                f'{name} = {_inline(value)}' for name, value in table.items()
            )
    return '\n'.join((*lines, ''))


def _inline(value: object) -> str:
    """Returns a value as inline TOML."""
    if isinstance(value, dict):
        inner = ', '.join(
            f'{key} = {_inline(entry)}' for key, entry in value.items()
        )
        return f'{{ {inner} }}'
    if isinstance(value, list):
        return f'[{", ".join(_inline(entry) for entry in value)}]'
    return json.dumps(value)


class Process:
    """A child process, with its log file and the command to restart it."""

    def __init__(self, name: str, command: list[str], log_path: Path) -> None:
        """Starts the process."""
        self.name = name
        self._command = command
        self.log_path = log_path
        self.popen = self._start()

    def _start(self) -> 'subprocess.Popen[bytes]':
        env = {**os.environ, 'PYTHONPATH': str(ROOT)}
        with self.log_path.open('ab') as log_file:
            return subprocess.Popen(
                self._command,
                stdout=log_file,
                stderr=log_file,
                env=env,
                cwd=ROOT,
            )

    def log_lines(self) -> list[bytes]:
        """Returns the complete lines that the process has written."""
        return self.log_path.read_bytes().split(b'\n')[:-1]

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self, timeout: float = 10.0) -> int:
        """Stops the process with SIGTERM and returns its exit status."""
        self.popen.terminate()
        return self.popen.wait(timeout)

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Makes the process reload its settings, with SIGHUP."""
        self.popen.send_signal(signal.SIGHUP)

    def request_drain(self) -> None:
        """Makes a stand-in backend server of the soak drain, with SIGUSR1."""
        self.popen.send_signal(signal.SIGUSR1)

    def restart(self) -> None:
        """Starts the process again with the same command."""
        self.popen = self._start()

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
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
    """The control VMs, nodes and stand-in backend servers of one run."""

    def __init__(
        self,
        folder: Path,
        zones: list[str],
        *,
        per_zone: int = 1,
        settings: dict[str, dict[str, object]] | None = None,
    ) -> None:
        """Chooses the addresses of the control VMs; nothing runs yet.

        :param per_zone: control VMs in each availability zone
        :param settings: sections that replace those of every process
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
        """Returns the addresses of the control VMs.

        :param zone: availability zone; all zones when empty
        """
        return [
            str(member['address'])
            for member in self.members
            if zone in {'', member['zone']}
        ]

    def use_control_links(self) -> 'Links':
        """Connects control VMs through links; call it before they start."""
        self.control_links = Links()
        return self.control_links

    def _members_for(self, name: str) -> list[dict[str, object]]:
        """Returns the members with the addresses that one of them connects to."""
        entries = []
        for member in self.members:
            entry = dict(member)
            target = str(member['name'])
            if self.control_links is not None and target != name:
                link = self.control_links.add(
                    name, target, str(member['address'])
                )
                entry['address'] = link.address
            entries.append(entry)
        return entries

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

        With ``node_links``, the node advertises the address of its link.
        """
        address = self.node_address.setdefault(name, f'127.0.0.1:{free_port()}')
        document = {
            'role': 'node',
            'name': name,
            'zone': zone,
            'listen': address,
            'advertise': self._advertised_address(name, address),
            'control': {'addresses': control or self.control_addresses(zone)},
            **self.settings,
        }
        self.nodes[name] = self._daemon(name, document)
        return address

    def _advertised_address(self, name: str, address: str) -> str:
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
        """Starts a stand-in backend server beside a node; returns its address.

        :param behaviour: fields of :class:`bench.backend.Behaviour`
        """
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
        """Kills every process of the mesh and closes its links."""
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
    """Starts a control VM or node.

    :param folder: where its settings and log files are written
    :param document: its settings
    """
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
    """Returns the JSON response to a GET request."""
    with urlopen(f'http://{address}{path}', timeout=timeout) as response:
        decoded: dict[str, object] = json.loads(response.read())
        return decoded


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout: float = WAIT_TIMEOUT_S,
) -> float:
    """Polls until a condition holds and returns the seconds that took.

    A condition that raises because a process is not reachable yet, or its
    response incomplete, counts as not met.

    :raises TimeoutError: when the condition is not met in time
    """
    started = time.monotonic()
    while time.monotonic() - started < timeout:
        try:
            if condition():
                return time.monotonic() - started
        except (OSError, KeyError, ValueError):
            time.sleep(POLL_INTERVAL_S)
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(description)
