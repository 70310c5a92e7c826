"""Runs the processes of one run, links them and injects faults into them."""

import shutil
import sys
import time
from pathlib import Path

from bench.link import Links
from bench.mesh import Process, free_port, start_daemon
from bench.soak import rollouts
from bench.soak.faults import Fault, FaultKind, ProcessRole, Target, node_name
from bench.soak.history import Disturbance

ZONES = ('one', 'two', 'three')
DELAY_S = 0.15
STOP_GRACE_S = 6.0  # default grace_ms of a node, from SIGTERM to its exit
STOP_TIMEOUT_S = 8.0
DRAIN_TIME_S = 3.0  # until a draining backend server is killed and restarted
MIN_DOWN_S = 0.3  # a killed process stays down at least this long
STALL_S = 0.3  # for which a restarted node is suspended each time
STALL_INTERVAL_S = 0.3
STOPPING_KINDS = frozenset(
    (
        FaultKind.KILL,
        FaultKind.TERM,
        FaultKind.FREEZE,
        FaultKind.ROLL,
        FaultKind.WIPE,
        FaultKind.TORN,
        FaultKind.DRAIN,
    )
)
PLANNED_KINDS = frozenset((FaultKind.TERM, FaultKind.HUP, FaultKind.ROLL))
SNAPSHOT_ENTRIES = 20
RETENTION_BYTES = 8_388_608
TORN_RECORD = b'\x00\x17half of a record'
SHARED_SETTINGS: dict[str, dict[str, object]] = {
    'distribution': {
        'follow': 'any',
        'poll_ms': 800,
        'margin_ms': 400,
        'retry_after_ms': 100,
    },
}


class Cluster:
    """Starts and stops the processes, injects faults and records them."""

    def __init__(
        self, folder: Path, servers: dict[str, str], *, linked: bool = True
    ) -> None:
        """Chooses names and addresses without starting a process.

        :param servers: service of each backend server, by server name
        :param linked: whether processes reach each other through links, into
            which faults can be injected
        """
        self.folder = folder
        self.links = Links()
        self.processes: dict[str, Process] = {}
        self.outbound: dict[str, str] = {}
        self.spans: list[Disturbance] = []
        self.starts: dict[str, list[float]] = {}
        self.unexpected_exits: list[str] = []
        self.control = [f'control-{zone}' for zone in ZONES]
        self._servers = servers
        new = (rollouts.NEW_SERVER, node_name(rollouts.NEW_SERVER))
        self._down: set[str] = set()
        self._expected_exits: set[str] = set()
        self._listen = {
            name: f'127.0.0.1:{free_port()}'
            for name in (*self.control, *self.nodes, *servers, *new)
        }
        self._advertised = {
            name: self.links.add('', name, address).address
            if linked
            else address
            for name, address in self._listen.items()
        }

    @property
    def nodes(self) -> list[str]:
        """The names of the nodes, one for each backend server."""
        return [node_name(name) for name in self._servers]

    def listen_address(self, name: str) -> str:
        """Returns the address on which a process listens, behind its link."""
        return self._listen[name]

    @property
    def control_addresses(self) -> list[str]:
        """The addresses at which processes reach the control VMs."""
        return [self._advertised[name] for name in self.control]

    @property
    def targets(self) -> list[Target]:
        """The processes that faults may be injected into."""
        return [
            *(Target(name, ProcessRole.CONTROL) for name in self.control),
            *(Target(name, ProcessRole.NODE) for name in self.nodes),
            *(Target(name, ProcessRole.BACKEND) for name in self._servers),
        ]

    def start(self) -> None:
        """Starts the control VMs, nodes and backend servers."""
        for number, name in enumerate(self.control):
            self._start_control(name, ZONES[number])
        for number, (name, service) in enumerate(self._servers.items()):
            self._start_server_and_node(
                name, service, ZONES[number % len(ZONES)]
            )

    def start_new_version(self, *, bad: bool) -> None:
        """Starts a server of the new version with its node."""
        self._start_server_and_node(
            rollouts.NEW_SERVER,
            rollouts.SERVICE,
            ZONES[0],
            version=rollouts.NEW_VERSION,
            failing=rollouts.BAD_SHARE if bad else 0.0,
        )

    def stop(self) -> None:
        """Kills every running process and closes the links."""
        self.record_unexpected_exits()
        for process in self.processes.values():
            if process.alive:
                process.kill()
        self.links.close()

    def record_unexpected_exits(self) -> None:
        """Records the processes that exited although no fault ended them."""
        for name, process in self.processes.items():
            if not process.alive and name not in self._expected_exits:
                self.unexpected_exits.append(
                    f'{name} ({process.popen.returncode})'
                )
                self._expected_exits.add(name)

    def inject(self, fault: Fault) -> None:
        """Injects one fault and records the disturbance; returns at its end.

        Does nothing while the process is down or draining.
        """
        name = fault.target
        if name in self._down:
            return
        begin = time.monotonic()
        planned = fault.kind in PLANNED_KINDS
        stops = fault.kind in STOPPING_KINDS
        index = len(self.spans)
        self.spans.append(
            Disturbance(name, begin, float('inf'), planned=planned, stops=stops)
        )
        actions = {
            FaultKind.KILL: self._kill,
            FaultKind.TERM: self._terminate,
            FaultKind.FREEZE: self._freeze,
            FaultKind.HUP: self._reload,
            FaultKind.ROLL: self._restart_slowly,
            FaultKind.WIPE: self._kill,
            FaultKind.TORN: self._kill,
            FaultKind.DRAIN: self._drain,
        }
        actions.get(fault.kind, self._disturb_link)(fault)
        if name in self.control:
            planned = False
        ended = time.monotonic()
        self.spans[index] = Disturbance(
            name, begin, ended, planned=planned, stops=stops
        )

    def _kill(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        self._down.add(fault.target)
        self._expected_exits.add(fault.target)
        process.kill()
        data = self.folder / fault.target
        if fault.kind is FaultKind.WIPE:
            shutil.rmtree(data, ignore_errors=True)
        if fault.kind is FaultKind.TORN:
            _append_torn_record(data)
        time.sleep(max(MIN_DOWN_S, fault.duration_s))
        self._restart(fault.target)

    def _terminate(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        self._down.add(fault.target)
        self._expected_exits.add(fault.target)
        process.popen.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while process.alive and time.monotonic() < deadline:
            time.sleep(0.02)
        if process.alive:
            self.unexpected_exits.append(f'{fault.target} (did not stop)')
            process.kill()
        self._restart(fault.target)

    def _restart_slowly(self, fault: Fault) -> None:
        """Restarts a node and suspends it briefly several times.

        This imitates the slow start of a node on a small VM.
        """
        self._terminate(fault)
        until = time.monotonic() + fault.duration_s
        while time.monotonic() < until:
            time.sleep(STALL_INTERVAL_S)
            self._stall(fault.target)

    def _stall(self, name: str) -> None:
        process = self.processes[name]
        process.suspend()
        time.sleep(STALL_S)
        process.resume()

    def _freeze(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        process.suspend()
        time.sleep(fault.duration_s)
        process.resume()

    def _reload(self, fault: Fault) -> None:
        self.processes[fault.target].reload()

    def _drain(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        process.request_drain()
        self._down.add(fault.target)
        time.sleep(DRAIN_TIME_S + fault.duration_s)
        self._expected_exits.add(fault.target)
        process.kill()
        self._restart(fault.target)

    def _restart(self, name: str) -> None:
        self.processes[name].restart()
        self.starts.setdefault(name, []).append(time.monotonic())
        self._expected_exits.discard(name)
        self._down.discard(name)

    def _disturb_link(self, fault: Fault) -> None:
        link = self.links.link_to(fault.target)
        if fault.kind is FaultKind.RESET:
            self.links.reset(fault.target)
            return
        if fault.kind is FaultKind.FORGET:
            self.links.blackhole_connections(fault.target)
            return
        link.cut = fault.kind is FaultKind.CUT
        link.drop_responses = fault.kind is FaultKind.MUTE
        link.delay_s = DELAY_S if fault.kind is FaultKind.DELAY else 0.0
        time.sleep(fault.duration_s)
        link.cut = False
        link.drop_responses = False
        link.delay_s = 0.0

    def _start_control(self, name: str, zone: str) -> None:
        document: dict[str, object] = {
            'role': 'control',
            'name': name,
            'zone': zone,
            'listen': self._listen[name],
            'advertise': self._advertised[name],
            'data': str(self.folder / name),
            'control': {
                'addresses': self.control_addresses,
                'found': True,
                'auto_members': True,
            },
            'claims': {'shards': 0},
            'rollouts': {'exposure_share': rollouts.EXPOSURE_SHARE},
            # Small, so that the log is compacted and versions are dropped.
            'group': {'snapshot_entries': SNAPSHOT_ENTRIES},
            'retention': {'bytes': RETENTION_BYTES},
            **SHARED_SETTINGS,
        }
        self._launch_daemon(name, document)

    def _start_server_and_node(
        self,
        server: str,
        service: str,
        zone: str,
        *,
        version: str = rollouts.OLD_VERSION,
        failing: float = 0.0,
    ) -> None:
        """Starts a backend server and its node.

        :param failing: share of the calls that the server fails
        """
        node = node_name(server)
        self.outbound[node] = f'127.0.0.1:{free_port()}'
        announce = f'127.0.0.1:{free_port()}'
        document: dict[str, object] = {
            'role': 'node',
            'name': node,
            'zone': zone,
            'listen': self._listen[node],
            'advertise': self._advertised[node],
            'control': {'addresses': self.control_addresses},
            'membership': {'announce_ms': 500},
            'hosts': {
                'outbound': self.outbound[node],
                'announce': announce,
                'backend': self._advertised[server],
                'service': service,
            },
            **SHARED_SETTINGS,
        }
        self._launch_daemon(node, document)
        options = {
            'name': server,
            'service': service,
            'listen': self._listen[server],
            'advertise': self._advertised[server],
            'announce': announce,
            'outbound': self.outbound[node],
            'book': str(self.folder / 'book.jsonl'),
            'renamed': self._renamed_mark(server),
            'version': version,
            'failing': failing,
        }
        arguments = [f'--{key}={text}' for key, text in options.items()]
        command = [sys.executable, '-m', 'bench.soak.backend', *arguments]
        self.processes[server] = Process(
            server, command, self.folder / f'{server}.log'
        )

    def _renamed_mark(self, server: str) -> str:
        """Returns a text for every second server, which changes its name."""
        names = list(self._servers)
        is_odd = server in names and names.index(server) % 2
        return 'yes' if is_odd else ''

    def _launch_daemon(self, name: str, document: dict[str, object]) -> None:
        self.processes[name] = start_daemon(self.folder, name, document)
        self.starts[name] = [time.monotonic()]


def _append_torn_record(data: Path) -> None:
    """Appends half of a record to each log, as an interrupted write does."""
    for path in data.glob('*.log'):
        with path.open('ab') as log_file:
            log_file.write(TORN_RECORD)
