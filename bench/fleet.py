"""Runs fleets of agents beside control VMs and evaluates their reports."""

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
    """Bytes that agents exchanged with control VMs."""

    sent: int = 0
    received: int = 0

    @property
    def total(self) -> int:
        """The sum of both directions."""
        return self.sent + self.received


class Fleets:
    """Fleets of agents beside a mesh, and the versions submitted to it."""

    def __init__(self, mesh: Mesh, services: int) -> None:
        """Creates no process yet; :meth:`start` starts agents.

        :param services: number of services in the generated register
        """
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
        """Starts one fleet process in each availability zone.

        :param per_zone: agents in each process
        """
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
        """Kills every fleet process."""
        for process in self.processes:
            if process.alive:
                process.kill()

    def submit(
        self, register: Register, *, timeout: float = SUBMIT_TIMEOUT_S
    ) -> float:
        """Submits a register and returns the monotonic time of acceptance.

        A conflict with another submission is resolved by submitting again on
        top of the current version.

        :raises TimeoutError: when no control VM accepted the register in time
        """
        self._requests += 1
        request = f'bench-{self._requests}'
        body = submission_body(
            register, self.version, request, self._accepted_register
        )
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            for address in self.mesh.control_addresses():
                response = post_submission(address, body)
                if response is None:
                    continue
                if response['code'] == 300:
                    self._requests += 1
                    self.version = int(str(response['version']))
                    request = f'bench-{self._requests}'
                    body = submission_body(
                        register, self.version, request, self._accepted_register
                    )
                    continue
                assert response['code'] == 0, response
                self.version = int(str(response['version']))
                self._accepted_register = register
                return time.monotonic()
            time.sleep(0.02)
        raise TimeoutError('no control VM accepted the submission')

    def wait_applied(self, version: int, timeout: float = 30) -> None:
        """Waits until every agent has applied a version or a later one."""
        wait_until(
            lambda: len(self._agents_with(version)) == self.agent_count,
            f'version {version} on every agent',
            timeout,
        )

    def _agents_with(self, version: int) -> set[int]:
        return {
            number
            for number, applied, _ in self.reports()
            if applied >= version
        }

    def reports(self) -> list[tuple[int, int, float]]:
        """Returns each applied version as agent number, version, monotonic time."""
        parsed = []
        for line in self._lines():
            if line.startswith(b'['):
                number, version, at = msgspec.json.decode(line)
                parsed.append((number, version, at))
        return parsed

    def bytes_by_time(self) -> list[tuple[float, ByteCounts]]:
        """Returns the bytes of all fleets together after each report, by time."""
        newest: dict[Path, ByteCounts] = {}
        totals: list[tuple[float, ByteCounts]] = []
        samples: list[tuple[float, Path, ByteCounts]] = []
        for process in self.processes:
            for line in process.log_lines():
                if line.startswith(b'{"at"'):
                    report = msgspec.json.decode(line)
                    samples.append(
                        (
                            report['at'],
                            process.log_path,
                            ByteCounts(report['sent'], report['received']),
                        )
                    )
        for at, path, counts in sorted(samples, key=lambda sample: sample[0]):
            newest[path] = counts
            totals.append(
                (
                    at,
                    ByteCounts(
                        sum(each.sent for each in newest.values()),
                        sum(each.received for each in newest.values()),
                    ),
                )
            )
        return totals

    def bytes_between(self, start: float, end: float) -> ByteCounts:
        """Returns the bytes exchanged between two monotonic times."""
        before = ByteCounts()
        after = ByteCounts()
        for at, counts in self.bytes_by_time():
            if at <= start:
                before = counts
            if at <= end:
                after = counts
        return ByteCounts(
            after.sent - before.sent, after.received - before.received
        )

    def apply_times(self) -> dict[int, dict[int, float]]:
        """Returns, by version and agent, when the agent first had that version.

        An agent that skips versions has them at the time of the later one.
        """
        by_node: dict[int, list[tuple[int, float]]] = {}
        for number, version, at in self.reports():
            by_node.setdefault(number, []).append((version, at))
        times: dict[int, dict[int, float]] = {}
        for number, pairs in by_node.items():
            reached = 0
            for version, at in sorted(pairs, key=lambda pair: pair[1]):
                for covered in range(reached + 1, version + 1):
                    times.setdefault(covered, {})[number] = at
                reached = max(reached, version)
        return times

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
    """Runs control VMs with a generated register for the ``with`` block.

    The block starts the fleets; they are killed together with the mesh.
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
    """Returns the response of a control VM to a submission.

    :return: None when the request failed
    """
    req = Request(
        f'http://{address}/v1/submit',
        data=body,
        headers={'content-type': 'application/json'},
    )
    try:
        with urlopen(req, timeout=timeout) as response:
            decoded: dict[str, object] = json.loads(response.read())
    except (HTTPError, OSError):
        return None
    return decoded


def find_leader(mesh: Mesh) -> str:
    """Returns the leader that most control VMs report; empty without one."""
    reports: dict[str, int] = {}
    for address in mesh.control_addresses():
        try:
            name = str(get_json(address, '/v1/status')['leader'])
        except OSError:
            continue
        reports[name] = reports.get(name, 0) + 1
    reports.pop('', None)
    return max(reports, key=lambda name: reports[name]) if reports else ''


def wait_for_leader(mesh: Mesh) -> str:
    """Waits for a leader and returns its name."""
    wait_until(lambda: bool(find_leader(mesh)), 'a leader')
    return find_leader(mesh)


def percentile(samples: list[float], share: float) -> float:
    """Returns a percentile of samples, or 0 without any.

    :param share: the percentile as a fraction, such as 0.99
    """
    ordered = sorted(samples)
    return (
        ordered[min(len(ordered) - 1, int(len(ordered) * share))]
        if ordered
        else 0.0
    )
