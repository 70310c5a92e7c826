"""Leader killed, leader partitioned, a second VM lost after a replacement.

Versions are submitted throughout; each submission is retried until it is
answered, and some are repeated after that. Every accepted version must be
kept and none applied twice, and no node may go back to an older version, not
even across a restart of all nodes of a zone.
"""

import json
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from bench.fleet import Fleets, find_leader, post_submission, wait_for_leader
from bench.mesh import ROOT, Mesh, get_json, wait_until
from bench.registers import make_register, make_service
from papayalock.messages import Register

ZONES = ['a', 'b', 'c']
SERVICES = 20
AGENTS_PER_ZONE = 20
PHASE_S = 4.0
CONFLICT_CODE = 300


class Operator(threading.Thread):
    """Thread that submits one version after another and records responses."""

    def __init__(self, mesh: Mesh) -> None:
        """Creates an operator that has submitted nothing."""
        super().__init__(daemon=True)
        self.mesh = mesh
        self.accepted_versions: dict[str, int] = {}
        self.accepted_times: list[float] = []
        self.stopping = False
        self.mismatched_repeats = 0
        self._base_version = 0
        self._sequence = 0

    def run(self) -> None:
        """Submits versions until ``stopping`` is set."""
        while not self.stopping:
            self._sequence += 1
            self._submit(f'op-{self._sequence}')
            time.sleep(0.02)

    def _submit(self, request: str) -> None:
        body = self._body(request)
        while not self.stopping:
            response = self._send(body)
            if response is None:
                time.sleep(0.02)
            elif response['code'] == CONFLICT_CODE:
                self._base_version = int(str(response['version']))
                return
            else:
                self._record_accepted(
                    request, body, int(str(response['version']))
                )
                return

    def _record_accepted(self, request: str, body: bytes, version: int) -> None:
        """Records an accepted version and repeats every fifth submission."""
        self.accepted_versions[request] = version
        self.accepted_times.append(time.monotonic())
        self._base_version = version
        if self._sequence % 5 == 0:
            repeated = self._send(body)
            if repeated is not None and repeated['version'] != version:
                self.mismatched_repeats += 1

    def _body(self, request: str) -> bytes:
        unchanged = make_register(SERVICES)
        services = [
            make_service(0, SERVICES, 1 + self._sequence % 50),
            *unchanged.services[1:],
        ]
        next_register = Register(mesh='generated', services=services)
        fields = {
            'kind': 'submit',
            'request': request,
            'base': self._base_version,
            'operator': request,
            'register': msgspec.to_builtins(next_register),
            'rules': {'rules': []},
        }
        return json.dumps(fields).encode()

    def _send(self, body: bytes) -> dict[str, object] | None:
        for address in self.mesh.control_addresses():
            response = post_submission(address, body, timeout=1.5)
            if response is not None:
                return response
        return None


def run(seed: int) -> dict[str, float]:
    """Runs all phases over one mesh."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder), ZONES)
        links = mesh.use_control_links()
        fleets = Fleets(mesh, SERVICES)
        operator = Operator(mesh)
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            operator.start()
            wait_until(
                lambda: len(operator.accepted_versions) > 3, 'first versions'
            )
            fleets.start(AGENTS_PER_ZONE, seed=seed)
            time.sleep(PHASE_S)
            outages = {
                'killed': _measure_outage(operator, lambda: _kill_leader(mesh))
            }
            outages['cut'] = _measure_outage(
                operator, lambda: _partition_leader(mesh, links, fleets)
            )
            outages['replaced'] = _measure_outage(
                operator, lambda: _replace_member(mesh)
            )
            time.sleep(PHASE_S)
            operator.stopping = True
            operator.join(10)
            return _figures(mesh, fleets, operator, outages)
        finally:
            operator.stopping = True
            fleets.stop()
            mesh.stop()


def _measure_outage(operator: Operator, inject_fault: object) -> float:
    """Injects a fault; returns the longest gap between accepted versions."""
    start = time.monotonic()
    inject_fault()  # type: ignore[operator]
    time.sleep(PHASE_S)
    return _longest_gap(operator.accepted_times, start, time.monotonic())


def _longest_gap(
    accepted_times: list[float], start: float, end: float
) -> float:
    marks = [start, *(at for at in accepted_times if start <= at <= end), end]
    return max(
        later - earlier
        for earlier, later in zip(marks, marks[1:], strict=False)
    )


def _kill_leader(mesh: Mesh) -> None:
    leader = find_leader(mesh)
    mesh.control[leader].kill()
    time.sleep(PHASE_S / 2)
    mesh.control[leader].restart()


def _partition_leader(mesh: Mesh, links: object, fleets: Fleets) -> None:
    """Partitions the leader and restarts the agents of its zone meanwhile."""
    leader = find_leader(mesh)
    links.isolate(leader)  # type: ignore[attr-defined]
    time.sleep(PHASE_S / 2)
    zone = leader.split('-')[1]
    fleet = next(
        process
        for process in fleets.processes
        if process.name == f'fleet-{zone}'
    )
    fleet.kill()
    fleet.restart()
    time.sleep(PHASE_S / 2)
    links.restore()  # type: ignore[attr-defined]


def _run_tool(mesh: Mesh, *arguments: str) -> int:
    """Runs the command-line tool until it succeeds, at most 40 times.

    :returns: the exit status of the last run
    """
    command = [
        sys.executable,
        '-m',
        'papayalock',
        '--control',
        ','.join(mesh.control_addresses()),
        *arguments,
    ]
    for _ in range(40):
        completed = subprocess.run(
            command, capture_output=True, check=False, cwd=ROOT
        )
        if completed.returncode == 0:
            return 0
        time.sleep(0.25)
    return completed.returncode


def _replace_member(mesh: Mesh) -> None:
    """Replaces a lost control VM, then kills a second one.

    The replacement has a new name, since the lost VM's disk is gone.
    """
    leader = find_leader(mesh)
    lost_name = next(name for name in mesh.control if name != leader)
    mesh.control[lost_name].kill()
    address = mesh.join_control('control-new-1', lost_name.split('-')[1])
    assert (
        _run_tool(
            mesh,
            'member',
            'add',
            'control-new-1',
            '--zone',
            lost_name.split('-')[1],
            '--address',
            address,
        )
        == 0
    )
    assert _run_tool(mesh, 'member', 'promote', 'control-new-1') == 0
    assert _run_tool(mesh, 'member', 'remove', lost_name) == 0
    mesh.members = [
        member for member in mesh.members if member['name'] != lost_name
    ]
    mesh.control.pop(lost_name)
    second_name = find_leader(mesh)
    mesh.control[second_name].kill()
    mesh.control.pop(second_name)


def _figures(
    mesh: Mesh, fleets: Fleets, operator: Operator, outages: dict[str, float]
) -> dict[str, float]:
    survivor_address = next(
        str(member['address'])
        for member in mesh.members
        if member['name'] in mesh.control
        and mesh.control[str(member['name'])].alive
    )
    versions = get_json(survivor_address, '/v1/versions')['versions']
    assert isinstance(versions, list)
    versions_by_request: dict[str, list[int]] = {}
    for info in versions:
        versions_by_request.setdefault(info['operator'], []).append(
            info['version']
        )
    oldest_kept = versions[0]['version']
    lost_requests = [
        request
        for request, version in operator.accepted_versions.items()
        if version >= oldest_kept
        and version not in versions_by_request.get(request, [])
    ]
    return {
        'accepted': len(operator.accepted_versions),
        'unavailable_killed_s': outages['killed'],
        'unavailable_cut_s': outages['cut'],
        'unavailable_replaced_s': outages['replaced'],
        'unavailable_max_s': max(outages.values()),
        'lost_accepted': len(lost_requests),
        'resent_twice': sum(
            len(numbers) > 1 for numbers in versions_by_request.values()
        )
        + operator.mismatched_repeats,
        'backwards': _count_regressions(fleets),
        'node_reports': len(fleets.reports()),
    }


def _count_regressions(fleets: Fleets) -> int:
    """Counts reports of an older version than the agent reported before.

    Reports from before and after a restart are compared too.
    """
    highest: dict[int, int] = {}
    regressions = 0
    for number, version, _ in sorted(
        fleets.reports(), key=lambda report: report[2]
    ):
        if 0 < version < highest.get(number, 0):
            regressions += 1
        highest[number] = max(version, highest.get(number, 0))
    return regressions
