"""The processes of one run, the links between them, and the faults done to them."""

import shutil
import sys
import time
from pathlib import Path

from bench.link import Links
from bench.mesh import Process, free_port, start_daemon
from bench.soak.history import Span
from bench.soak.plan import Fault, Kind, Role, Target, node_of

ZONES = ('one', 'two', 'three')
DELAY_S = 0.15
GRACE_S = 6.0
STOP_WAIT_S = 8.0
DRAINED_S = 3.0  # after which a server that left starts anew
DOWN_S = 0.3  # shortest time that a killed process stays down
STALL_S = 0.3  # for which a node that has just started reads nothing
BETWEEN_STALLS_S = 0.3
PLANNED = frozenset((Kind.TERM, Kind.HUP, Kind.ROLL))
GARBAGE = b'\x00\x17half of a record'
SHARED: dict[str, dict[str, object]] = {
    'distribution': {
        'follow': 'any',
        'poll_ms': 800,
        'margin_ms': 400,
        'retry_after_ms': 100,
    },
}


class World:
    """Starts, disturbs and ends the processes."""

    def __init__(
        self, folder: Path, servers: dict[str, str], *, linked: bool = True
    ) -> None:
        """Chooses names and addresses; nothing runs yet.

        :param servers: service by name of each backend server
        :param linked: whether processes reach each other through links
        """
        self.folder = folder
        self.links = Links()
        self.processes: dict[str, Process] = {}
        self.outbound: dict[str, str] = {}
        self.spans: list[Span] = []
        self.starts: dict[str, list[float]] = {}
        self.ended_alone: list[str] = []
        self.control = [f'control-{zone}' for zone in ZONES]
        self._servers = servers
        self._down: set[str] = set()
        self._expected: set[str] = set()
        self._listen = {
            name: f'127.0.0.1:{free_port()}'
            for name in (*self.control, *self.nodes, *servers)
        }
        self._seen = {
            name: self.links.add('', name, address).address
            if linked
            else address
            for name, address in self._listen.items()
        }

    @property
    def nodes(self) -> list[str]:
        """The names of the nodes."""
        return [node_of(name) for name in self._servers]

    def address(self, name: str) -> str:
        """Returns where a process really listens."""
        return self._listen[name]

    @property
    def seeds(self) -> list[str]:
        """The addresses of the control VMs."""
        return [self._seen[name] for name in self.control]

    @property
    def targets(self) -> list[Target]:
        """What faults may hit."""
        return [
            *(Target(name, Role.CONTROL) for name in self.control),
            *(Target(name, Role.NODE) for name in self.nodes),
            *(Target(name, Role.BACKEND) for name in self._servers),
        ]

    def start(self) -> None:
        """Starts everything."""
        for number, name in enumerate(self.control):
            self._start_control(name, ZONES[number])
        for number, (name, service) in enumerate(self._servers.items()):
            self._start_pair(name, service, ZONES[number % len(ZONES)])

    def stop(self) -> None:
        """Ends every process that this world started."""
        self.note_ended()
        for process in self.processes.values():
            if process.alive:
                process.kill()
        self.links.close()

    def note_ended(self) -> None:
        """Notes the processes that ended without having been ended."""
        for name, process in self.processes.items():
            if not process.alive and name not in self._expected:
                self.ended_alone.append(f'{name} ({process.popen.returncode})')
                self._expected.add(name)

    def inflict(self, fault: Fault) -> None:
        """Does one fault from its begin to its end."""
        name = fault.target
        if name in self._down:
            return
        begin = time.monotonic()
        planned = fault.kind in PLANNED
        slot = len(self.spans)
        self.spans.append(Span(name, begin, float('inf'), planned=planned))
        actions = {
            Kind.KILL: self._kill,
            Kind.TERM: self._term,
            Kind.FREEZE: self._freeze,
            Kind.HUP: self._hup,
            Kind.ROLL: self._roll,
            Kind.WIPE: self._kill,
            Kind.TORN: self._kill,
            Kind.DRAIN: self._drain,
        }
        actions.get(fault.kind, self._disturb_link)(fault)
        if name in self.control:
            planned = False
        ended = time.monotonic()
        self.spans[slot] = Span(name, begin, ended, planned=planned)

    def _kill(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        self._down.add(fault.target)
        self._expected.add(fault.target)
        process.kill()
        data = self.folder / fault.target
        if fault.kind is Kind.WIPE:
            shutil.rmtree(data, ignore_errors=True)
        if fault.kind is Kind.TORN:
            _tear(data)
        time.sleep(max(DOWN_S, fault.for_s))
        self._again(fault.target)

    def _term(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        self._down.add(fault.target)
        self._expected.add(fault.target)
        process.popen.terminate()
        deadline = time.monotonic() + STOP_WAIT_S
        while process.alive and time.monotonic() < deadline:
            time.sleep(0.02)
        if process.alive:
            self.ended_alone.append(f'{fault.target} (did not stop)')
            process.kill()
        self._again(fault.target)

    def _roll(self, fault: Fault) -> None:
        """Starts a node anew, which is slow for a time, as on a small VM."""
        self._term(fault)
        until = time.monotonic() + fault.for_s
        while time.monotonic() < until:
            time.sleep(BETWEEN_STALLS_S)
            self._stall(fault.target)

    def _stall(self, name: str) -> None:
        process = self.processes[name]
        process.suspend()
        time.sleep(STALL_S)
        process.resume()

    def _freeze(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        process.suspend()
        time.sleep(fault.for_s)
        process.resume()

    def _hup(self, fault: Fault) -> None:
        self.processes[fault.target].reload()

    def _drain(self, fault: Fault) -> None:
        process = self.processes[fault.target]
        process.request_drain()
        self._down.add(fault.target)
        time.sleep(DRAINED_S + fault.for_s)
        self._expected.add(fault.target)
        process.kill()
        self._again(fault.target)

    def _again(self, name: str) -> None:
        self.processes[name].restart()
        self.starts.setdefault(name, []).append(time.monotonic())
        self._expected.discard(name)
        self._down.discard(name)

    def _disturb_link(self, fault: Fault) -> None:
        link = self.links.link_to(fault.target)
        if fault.kind is Kind.RESET:
            self.links.reset(fault.target)
            return
        if fault.kind is Kind.FORGET:
            self.links.blackhole_connections(fault.target)
            return
        link.cut = fault.kind is Kind.CUT
        link.drop_responses = fault.kind is Kind.MUTE
        link.delay_s = DELAY_S if fault.kind is Kind.DELAY else 0.0
        time.sleep(fault.for_s)
        link.cut = False
        link.drop_responses = False
        link.delay_s = 0.0

    def _start_control(self, name: str, zone: str) -> None:
        document: dict[str, object] = {
            'role': 'control',
            'name': name,
            'zone': zone,
            'listen': self._listen[name],
            'advertise': self._seen[name],
            'data': str(self.folder / name),
            'control': {
                'addresses': self.seeds,
                'found': True,
                'auto_members': True,
            },
            'claims': {'shards': 0},
            **SHARED,
        }
        self._daemon(name, document)

    def _start_pair(self, server: str, service: str, zone: str) -> None:
        """Starts a backend server and the node beside it."""
        node = node_of(server)
        self.outbound[node] = f'127.0.0.1:{free_port()}'
        announce = f'127.0.0.1:{free_port()}'
        document: dict[str, object] = {
            'role': 'node',
            'name': node,
            'zone': zone,
            'listen': self._listen[node],
            'advertise': self._seen[node],
            'control': {'addresses': self.seeds},
            'membership': {'announce_ms': 500},
            'hosts': {
                'outbound': self.outbound[node],
                'announce': announce,
                'backend': self._seen[server],
                'service': service,
            },
            **SHARED,
        }
        self._daemon(node, document)
        options = {
            'name': server,
            'service': service,
            'listen': self._listen[server],
            'advertise': self._seen[server],
            'announce': announce,
            'outbound': self.outbound[node],
            'book': str(self.folder / 'book.jsonl'),
        }
        words = [f'--{key}={text}' for key, text in options.items()]
        command = [sys.executable, '-m', 'bench.soak.backend', *words]
        self.processes[server] = Process(
            server, command, self.folder / f'{server}.log'
        )

    def _daemon(self, name: str, document: dict[str, object]) -> None:
        self.processes[name] = start_daemon(self.folder, name, document)
        self.starts[name] = [time.monotonic()]


def _tear(data: Path) -> None:
    """Leaves half of a record at the end of a log, as a lost write does."""
    for path in data.glob('*.log'):
        with path.open('ab') as opened:
            opened.write(GARBAGE)
