"""A mesh of control VMs with fleets of agents, and what they report."""

import json
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import msgspec

from bench.mesh import Mesh, Process, get_json, wait_until
from bench.registers import make_register, submission_body
from papayalock.messages import Register

SUBMIT_TIMEOUT_S = 20


@dataclass(slots=True)
class ByteCounts:
    """Control bytes of all agents up to a time."""

    sent: int = 0
    received: int = 0

    @property
    def total(self) -> int:
        """Bytes in both directions."""
        return self.sent + self.received


class Fleets:
    """Fleets of agents beside a mesh; versions are submitted and followed."""

    def __init__(self, mesh: Mesh, services: int) -> None:
        """Starts nothing."""
        self.mesh = mesh
        self.services = services
        self.processes: list[Process] = []
        self.agent_count = 0
        self.version = 0
        self._requests = 0
        self._accepted_register: Register | None = None

    def start(
        self,
        per_zone: int,
        *,
        churn_ms: int = 0,
        poll_ms: int = 2000,
        seed: int = 1,
        full_push: bool = False,
    ) -> None:
        """Starts one fleet process in each zone."""
        for zone in self.mesh.zones:
            command = [
                sys.executable,
                '-m',
                'bench.agents',
                '--first',
                str(self.agent_count),
                '--count',
                str(per_zone),
                '--zone',
                zone,
                '--control',
                ','.join(self.mesh.control_addresses(zone)),
                '--services',
                str(self.services),
                '--churn-ms',
                str(churn_ms),
                '--poll-ms',
                str(poll_ms),
                '--seed',
                str(seed + self.agent_count),
            ]
            if full_push:
                command.append('--full-push')
            self.processes.append(
                Process(
                    f'fleet-{zone}',
                    command,
                    self.mesh.folder / f'fleet-{len(self.processes)}.out',
                )
            )
            self.agent_count += per_zone

    def stop(self) -> None:
        """Ends every fleet."""
        for process in self.processes:
            if process.alive:
                process.kill()

    def submit(
        self, register: Register, *, timeout: float = SUBMIT_TIMEOUT_S
    ) -> float:
        """Submits a register and returns when it was accepted, monotonic seconds.

        :raises TimeoutError: when no control VM accepted it in time
        """
        self._requests += 1
        request = f'bench-{self._requests}'
        body = submission_body(
            register, self.version, request, self._accepted_register
        )
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            for address in self.mesh.control_addresses():
                answer = post_submission(address, body)
                if answer is None:
                    continue
                if answer['code'] == 300:
                    self._requests += 1
                    self.version = int(str(answer['version']))
                    request = f'bench-{self._requests}'
                    body = submission_body(
                        register, self.version, request, self._accepted_register
                    )
                    continue
                assert answer['code'] == 0, answer
                self.version = int(str(answer['version']))
                self._accepted_register = register
                return time.monotonic()
            time.sleep(0.02)
        raise TimeoutError('submission was not accepted')

    def wait_applied(self, version: int, timeout: float = 30) -> None:
        """Waits until every agent reports a version."""
        wait_until(
            lambda: len(self._at_least(version)) == self.agent_count,
            f'version {version} everywhere',
            timeout,
        )

    def _at_least(self, version: int) -> set[int]:
        return {number for number, held, _ in self.reports() if held >= version}

    def reports(self) -> list[tuple[int, int, float]]:
        """Returns what the agents reported: number, version, monotonic seconds."""
        found = []
        for line in self._lines():
            if line.startswith(b'['):
                number, version, at = msgspec.json.decode(line)
                found.append((number, version, at))
        return found

    def bytes_by_time(self) -> list[tuple[float, ByteCounts]]:
        """Returns the reports of bytes of all fleets, in time order."""
        newest: dict[Path, ByteCounts] = {}
        found: list[tuple[float, ByteCounts]] = []
        marks: list[tuple[float, Path, ByteCounts]] = []
        for process in self.processes:
            for line in process.log_lines():
                if line.startswith(b'{"at"'):
                    mark = msgspec.json.decode(line)
                    marks.append(
                        (
                            mark['at'],
                            process.log_path,
                            ByteCounts(mark['sent'], mark['received']),
                        )
                    )
        for at, path, mark in sorted(marks, key=lambda one: one[0]):
            newest[path] = mark
            found.append(
                (
                    at,
                    ByteCounts(
                        sum(one.sent for one in newest.values()),
                        sum(one.received for one in newest.values()),
                    ),
                )
            )
        return found

    def bytes_between(self, start: float, end: float) -> ByteCounts:
        """Returns the bytes counted between two times."""
        before = ByteCounts()
        after = ByteCounts()
        for at, mark in self.bytes_by_time():
            if at <= start:
                before = mark
            if at <= end:
                after = mark
        return ByteCounts(
            after.sent - before.sent, after.received - before.received
        )

    def apply_times(self) -> dict[int, dict[int, float]]:
        """Returns for each version when each agent first held at least it."""
        by_node: dict[int, list[tuple[int, float]]] = {}
        for number, version, at in self.reports():
            by_node.setdefault(number, []).append((version, at))
        first: dict[int, dict[int, float]] = {}
        for number, pairs in by_node.items():
            reached = 0
            for version, at in sorted(pairs, key=lambda pair: pair[1]):
                for passed in range(reached + 1, version + 1):
                    first.setdefault(passed, {})[number] = at
                reached = max(reached, version)
        return first

    def _lines(self) -> list[bytes]:
        return [
            line for process in self.processes for line in process.log_lines()
        ]


@contextmanager
def running_fleets(
    zones: list[str],
    services: int,
    settings: dict[str, dict[str, object]] | None = None,
) -> Iterator[Fleets]:
    """Runs control VMs with a generated register until the ``with`` ends.

    Fleets are started in the body, and ended with the mesh.
    """
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(Path(name), zones, settings=settings)
        fleets = Fleets(mesh, services)
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            fleets.submit(make_register(services))
            yield fleets
        finally:
            fleets.stop()
            mesh.stop()


def post_submission(
    address: str, body: bytes, timeout: float = 5
) -> dict[str, object] | None:
    """Returns a control VM's answer to a submission, or None without one."""
    req = Request(
        f'http://{address}/v1/submit',
        data=body,
        headers={'content-type': 'application/json'},
    )
    try:
        with urlopen(req, timeout=timeout) as answer:
            found: dict[str, object] = json.loads(answer.read())
    except (HTTPError, OSError):
        return None
    return found


def find_leader(mesh: Mesh) -> str:
    """Returns the name of the leader that most control VMs see."""
    seen: dict[str, int] = {}
    for address in mesh.control_addresses():
        try:
            name = str(get_json(address, '/v1/status')['leader'])
        except OSError:
            continue
        seen[name] = seen.get(name, 0) + 1
    seen.pop('', None)
    return max(seen, key=lambda name: seen[name]) if seen else ''


def wait_for_leader(mesh: Mesh) -> str:
    """Waits for a leader and returns its name."""
    wait_until(lambda: bool(find_leader(mesh)), 'a leader')
    return find_leader(mesh)


def percentile(found: list[float], share: float) -> float:
    """Returns a percentile of a list; 0 when it is empty."""
    ordered = sorted(found)
    return (
        ordered[min(len(ordered) - 1, int(len(ordered) * share))]
        if ordered
        else 0.0
    )
