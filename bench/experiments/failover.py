"""Leader killed, leader cut off silently, a second VM lost after a repair.

Submissions run all the while, each resent until it is answered and some
resent after that. Every accepted version must be kept, none applied twice, no
node may go back, also across the restart of a whole zone's nodes.
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
PER_ZONE = 20
PHASE_S = 4.0
CONFLICT = 300


class Operator(threading.Thread):
    """Submits one version after another and notes every answer."""

    def __init__(self, mesh: Mesh) -> None:
        """Starts with nothing accepted."""
        super().__init__(daemon=True)
        self.mesh = mesh
        self.accepted: dict[str, int] = {}
        self.times: list[float] = []
        self.stopping = False
        self.resent_differently = 0
        self._base = 0
        self._number = 0

    def run(self) -> None:
        """Submits until told to stop."""
        while not self.stopping:
            self._number += 1
            self._submit(f'op-{self._number}')
            time.sleep(0.02)

    def _submit(self, request: str) -> None:
        body = self._body(request)
        while not self.stopping:
            answer = self._send(body)
            if answer is None:
                time.sleep(0.02)
            elif answer['code'] == CONFLICT:
                self._base = int(str(answer['version']))
                return
            else:
                self._note(request, body, int(str(answer['version'])))
                return

    def _note(self, request: str, body: bytes, version: int) -> None:
        self.accepted[request] = version
        self.times.append(time.monotonic())
        self._base = version
        if self._number % 5 == 0:
            again = self._send(body)
            if again is not None and again['version'] != version:
                self.resent_differently += 1

    def _body(self, request: str) -> bytes:
        first = make_register(SERVICES)
        services = [
            make_service(0, SERVICES, 1 + self._number % 50),
            *first.services[1:],
        ]
        whole = Register(mesh='generated', services=services)
        fields = {
            'kind': 'submit',
            'request': request,
            'base': self._base,
            'operator': request,
            'register': msgspec.to_builtins(whole),
            'rules': {'rules': []},
        }
        return json.dumps(fields).encode()

    def _send(self, body: bytes) -> dict[str, object] | None:
        for address in self.mesh.control_addresses():
            answer = post_submission(address, body, timeout=1.5)
            if answer is not None:
                return answer
        return None


def run(seed: int) -> dict[str, float]:
    """Runs all phases over one mesh."""
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(Path(name), ZONES)
        links = mesh.use_control_links()
        fleets = Fleets(mesh, SERVICES)
        operator = Operator(mesh)
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            operator.start()
            wait_until(lambda: len(operator.accepted) > 3, 'first versions')
            fleets.start(PER_ZONE, seed=seed)
            time.sleep(PHASE_S)
            phases = {'killed': _phase(operator, lambda: _kill_leader(mesh))}
            phases['cut'] = _phase(
                operator, lambda: _cut_leader(mesh, links, fleets)
            )
            phases['replaced'] = _phase(operator, lambda: _replace(mesh))
            time.sleep(PHASE_S)
            operator.stopping = True
            operator.join(10)
            return _figures(mesh, fleets, operator, phases)
        finally:
            operator.stopping = True
            fleets.stop()
            mesh.stop()


def _phase(operator: Operator, act: object) -> float:
    start = time.monotonic()
    act()  # type: ignore[operator]
    time.sleep(PHASE_S)
    return _longest_gap(operator.times, start, time.monotonic())


def _longest_gap(times: list[float], start: float, end: float) -> float:
    inside = [start, *(at for at in times if start <= at <= end), end]
    return max(
        later - earlier
        for earlier, later in zip(inside, inside[1:], strict=False)
    )


def _kill_leader(mesh: Mesh) -> None:
    leader = find_leader(mesh)
    mesh.control[leader].kill()
    time.sleep(PHASE_S / 2)
    mesh.control[leader].restart()


def _cut_leader(mesh: Mesh, links: object, fleets: Fleets) -> None:
    """Cuts the leader off and restarts the nodes of its zone meanwhile."""
    leader = find_leader(mesh)
    links.isolate(leader)  # type: ignore[attr-defined]
    time.sleep(PHASE_S / 2)
    zone = leader.split('-')[1]
    fleet = next(one for one in fleets.processes if one.name == f'fleet-{zone}')
    fleet.kill()
    fleet.restart()
    time.sleep(PHASE_S / 2)
    links.restore()  # type: ignore[attr-defined]


def _tool(mesh: Mesh, *words: str) -> int:
    command = [
        sys.executable,
        '-m',
        'papayalock',
        '--control',
        ','.join(mesh.control_addresses()),
        *words,
    ]
    for _ in range(40):
        done = subprocess.run(
            command, capture_output=True, check=False, cwd=ROOT
        )
        if done.returncode == 0:
            return 0
        time.sleep(0.25)
    return done.returncode


def _replace(mesh: Mesh) -> None:
    """Loses a disk, repairs under a new name, then loses a second VM."""
    leader = find_leader(mesh)
    lost = next(name for name in mesh.control if name != leader)
    mesh.control[lost].kill()
    address = mesh.join_control('control-new-1', lost.split('-')[1])
    assert (
        _tool(
            mesh,
            'member',
            'add',
            'control-new-1',
            '--zone',
            lost.split('-')[1],
            '--address',
            address,
        )
        == 0
    )
    assert _tool(mesh, 'member', 'promote', 'control-new-1') == 0
    assert _tool(mesh, 'member', 'remove', lost) == 0
    mesh.members = [one for one in mesh.members if one['name'] != lost]
    mesh.control.pop(lost)
    second = find_leader(mesh)
    mesh.control[second].kill()
    mesh.control.pop(second)


def _figures(
    mesh: Mesh, fleets: Fleets, operator: Operator, phases: dict[str, float]
) -> dict[str, float]:
    survivor = next(
        str(one['address'])
        for one in mesh.members
        if one['name'] in mesh.control and mesh.control[str(one['name'])].alive
    )
    versions = get_json(survivor, '/v1/versions')['versions']
    assert isinstance(versions, list)
    by_operator: dict[str, list[int]] = {}
    for info in versions:
        by_operator.setdefault(info['operator'], []).append(info['version'])
    kept = versions[0]['version']
    lost = [
        request
        for request, version in operator.accepted.items()
        if version >= kept and version not in by_operator.get(request, [])
    ]
    return {
        'accepted': len(operator.accepted),
        'unavailable_killed_s': phases['killed'],
        'unavailable_cut_s': phases['cut'],
        'unavailable_replaced_s': phases['replaced'],
        'unavailable_max_s': max(phases.values()),
        'lost_accepted': len(lost),
        'resent_twice': sum(len(found) > 1 for found in by_operator.values())
        + operator.resent_differently,
        'backwards': _backwards(fleets),
        'node_reports': len(fleets.reports()),
    }


def _backwards(fleets: Fleets) -> int:
    """Counts the nodes that ever reported less than before, restarts included."""
    highest: dict[int, int] = {}
    back = 0
    for number, version, _ in sorted(fleets.reports(), key=lambda one: one[2]):
        if 0 < version < highest.get(number, 0):
            back += 1
        highest[number] = max(version, highest.get(number, 0))
    return back
