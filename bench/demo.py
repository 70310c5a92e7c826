"""Demonstrates the system on a small version of the Qureshi example mesh.

The steps are a first submission, calls, a drain, invalid submissions, the loss
of the leader and the audit trail. Each prints its expectations and whether
they held.
"""

import contextlib
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from bench.mesh import ROOT, Mesh, get_json, wait_until

ZONES = ['gulberg', 'model-town', 'johar-town']
EXAMPLES = ROOT / 'examples' / 'qureshi'
SETTINGS: dict[str, dict[str, object]] = {'membership': {'announce_ms': 500}}


class Reporter:
    """Prints the steps and counts the expectations that failed."""

    def __init__(self) -> None:
        """Starts the count of failures at zero."""
        self.failures = 0

    def print_line(self, text: str) -> None:
        """Prints one line."""
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()

    def expect(self, passed: bool, text: str) -> None:
        """Prints one expectation and counts it as a failure if it did not hold."""
        self.failures += not passed
        self.print_line(f'  [{"ok" if passed else "FAILED"}] {text}')


def call(
    address: str, method: str, service: str, path: str, key: str = ''
) -> tuple[int, str, str]:
    """Returns status, outcome header and body of one call through a node."""
    headers = {'host': service, 'content-type': 'application/json'}
    if key:
        headers['idempotency-key'] = key
    body = b'{}' if method == 'POST' else None
    req = Request(
        f'http://{address}{path}', data=body, method=method, headers=headers
    )
    try:
        with urlopen(req, timeout=10) as response:
            return (
                response.status,
                response.headers['papayalock-outcome'],
                response.read().decode(),
            )
    except HTTPError as exc:
        return (
            exc.code,
            exc.headers.get('papayalock-outcome', ''),
            exc.read().decode(),
        )


def run_tool(
    reporter: Reporter, mesh: Mesh, *arguments: str
) -> tuple[int, str]:
    """Runs the command-line tool and prints the command and its output.

    :return: exit status and output
    """
    command = [
        sys.executable,
        '-m',
        'papayalock',
        '--control',
        ','.join(mesh.control_addresses()),
        *arguments,
    ]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False, cwd=ROOT
    )
    reporter.print_line(f'$ papayalock {" ".join(arguments)}')
    for line in (completed.stdout + completed.stderr).splitlines():
        reporter.print_line(f'    {line}')
    return completed.returncode, completed.stdout + completed.stderr


def start_mesh(mesh: Mesh) -> None:
    """Starts three control VMs and five backend servers, each with a node."""
    mesh.start_control()
    for number, zone in enumerate(ZONES):
        for service in ('enrol-desk', 'rider-ledger')[: 2 if number < 2 else 1]:
            node = f'node-{service}-{zone}'
            mesh.start_node(node, zone)
            mesh.start_backend(f'{service}-{zone}', service, node, seed=number)


def submit_example(reporter: Reporter, mesh: Mesh) -> None:
    """Submits the example register and rules and waits for routes."""
    wait_until(
        lambda: any(
            get_json(address, '/v1/status')['leader']
            for address in mesh.control_addresses()
        ),
        'a leader',
    )
    files = (str(EXAMPLES / 'register.toml'), str(EXAMPLES / 'rules.toml'))
    status, _ = run_tool(
        reporter,
        mesh,
        'submit',
        *files,
        '--yes',
        '--wait',
        '15',
        '--operator',
        'abbu',
    )
    reporter.expect(
        status == 0,
        'the register and rules are accepted and in force everywhere',
    )
    wait_until(
        lambda: all(_has_routes(mesh, node) for node in mesh.nodes),
        'routes on every node',
    )
    run_tool(reporter, mesh, 'status')


def _has_routes(mesh: Mesh, node: str) -> bool:
    """Returns whether a node can route a call to the service beside it."""
    service = 'enrol-desk' if 'enrol' in node else 'rider-ledger'
    path = (
        '/riders/1/documents' if service == 'enrol-desk' else '/riders/1/status'
    )
    method = 'POST' if service == 'enrol-desk' else 'GET'
    explanation = get_json(
        mesh.node_address[node],
        f'/papayalock/explain?service={service}&method={method}&path={path}',
    )
    return explanation['code'] == 0 and bool(explanation['servers'])


def send_calls(reporter: Reporter, mesh: Mesh) -> None:
    """Sends calls through several nodes, and one deposit twice."""
    reporter.print_line('calls through any node:')
    desk = mesh.node_address['node-enrol-desk-gulberg']
    ledger = mesh.node_address['node-rider-ledger-model-town']
    status, outcome, _ = call(
        desk, 'POST', 'enrol-desk', '/riders/42/documents'
    )
    reporter.expect(status == 200, f'document check: {status} {outcome}')
    status, outcome, _ = call(desk, 'GET', 'rider-ledger', '/riders/42/status')
    reporter.expect(
        status == 200, f'rider status, asked at a desk node: {status} {outcome}'
    )
    status, outcome, body = call(
        ledger, 'GET', 'rider-ledger', '/riders/42/history'
    )
    reporter.expect(
        status == 200 and len(body) == 200_000,
        f'whole history: {len(body)} bytes, {outcome}',
    )
    first = call(
        desk, 'POST', 'enrol-desk', '/riders/42/deposit', key='deposit-42'
    )
    second = call(
        ledger, 'POST', 'enrol-desk', '/riders/42/deposit', key='deposit-42'
    )
    reporter.expect(
        first[0] == 200 and first[2] == second[2],
        f'second tap gets the first answer: {second[1]}',
    )
    reporter.expect(_run_count(mesh, 'deposit-42') == 1, 'the deposit ran once')
    status, outcome, _ = call(desk, 'PUT', 'rider-ledger', '/riders/42/record')
    reporter.expect(
        status == 403, f'a rule denies the record call: {status} {outcome}'
    )


def _run_count(mesh: Mesh, key: str) -> int:
    tallies = [
        get_json(address, '/tally')['runs']
        for address in mesh.backend_address.values()
    ]
    return sum(runs.get(key, 0) for runs in tallies if isinstance(runs, dict))


def drain_server(reporter: Reporter, mesh: Mesh) -> None:
    """Drains one server and checks that it receives no more calls."""
    reporter.print_line('draining enrol-desk-gulberg:')
    run_tool(
        reporter,
        mesh,
        'drain',
        mesh.node_address['node-enrol-desk-gulberg'],
        '--wait',
        '5',
    )
    time.sleep(2)
    address = mesh.backend_address['enrol-desk-gulberg']
    before = get_json(address, '/tally')['served']
    entry = mesh.node_address['node-enrol-desk-model-town']
    statuses = [
        call(entry, 'POST', 'enrol-desk', '/riders/7/documents')[0]
        for _ in range(30)
    ]
    reporter.expect(
        set(statuses) == {200}, '30 calls are answered by the other servers'
    )
    reporter.expect(
        get_json(address, '/tally')['served'] == before,
        'the draining server got none of them',
    )


def submit_invalid(reporter: Reporter, mesh: Mesh, folder: Path) -> None:
    """Checks that invalid and outdated submissions change nothing."""
    reporter.print_line('bad submissions:')
    version = _accepted_version(mesh)
    bad = folder / 'bad.toml'
    bad.write_text(
        (EXAMPLES / 'rules.toml').read_text()
        + '[[rule]]\nname = "x"\naction = "slots"\nservice = "missing"\nvalue = 3\n'
    )
    register = str(EXAMPLES / 'register.toml')
    status, text = run_tool(
        reporter, mesh, 'submit', register, str(bad), '--yes'
    )
    reporter.expect(
        status == 4 and 'MISSING_SERVICE' in text,
        'a rule about a missing service is refused by number',
    )
    status, text = run_tool(
        reporter,
        mesh,
        'submit',
        register,
        str(EXAMPLES / 'rules.toml'),
        '--yes',
        '--base',
        '0',
    )
    reporter.expect(
        status == 3 and 'CONFLICT' in text,
        'an operator who started from an old version gets CONFLICT',
    )
    reporter.expect(
        _accepted_version(mesh) == version, f'version {version} stays in force'
    )


def _accepted_version(mesh: Mesh) -> int:
    for address in mesh.control_addresses():
        with contextlib.suppress(OSError):
            return int(str(get_json(address, '/v1/status')['version']))
    return -1


def kill_leader(reporter: Reporter, mesh: Mesh, folder: Path) -> None:
    """Kills the leader, submits a change without it, and restarts it."""
    reporter.print_line('killing the control VM that leads:')
    leader = str(get_json(mesh.control_addresses()[0], '/v1/status')['leader'])
    mesh.control[leader].kill()
    rules = folder / 'rules.toml'
    rules.write_text(
        (EXAMPLES / 'rules.toml').read_text().replace('2500', '2400')
    )
    status, text = run_tool(
        reporter,
        mesh,
        'submit',
        str(EXAMPLES / 'register.toml'),
        str(rules),
        '--yes',
        '--operator',
        'uncle',
    )
    reporter.expect(status == 0, f'a change is accepted while {leader} is down')
    entry = mesh.node_address['node-rider-ledger-gulberg']
    reporter.expect(
        call(entry, 'GET', 'rider-ledger', '/riders/42/status')[0] == 200,
        'calls go on',
    )
    mesh.control[leader].restart()
    version = _accepted_version(mesh)
    elapsed_s = wait_until(
        lambda: all(
            get_json(address, '/papayalock/status')['version'] == version
            for address in mesh.node_address.values()
        ),
        'in force',
    )
    reporter.expect(
        True,
        f'version {version} in force on every node {elapsed_s:.2f} s after the restart',
    )


def show_audit(reporter: Reporter, mesh: Mesh, before: str) -> None:
    """Verifies the audit trail and queries the state then and now.

    :param before: a time before the leader was killed, as ISO 8601
    """
    reporter.print_line('the auditor:')
    status, _ = run_tool(reporter, mesh, 'audit', '--verify')
    reporter.expect(
        status == 0, 'the audit trail is whole and the same everywhere'
    )
    run_tool(reporter, mesh, 'audit')
    status, _ = run_tool(
        reporter, mesh, 'held', 'node-rider-ledger-gulberg', '--at', before
    )
    reporter.expect(status == 0, 'what held before the kill can be told')
    status, _ = run_tool(reporter, mesh, 'held', 'node-rider-ledger-gulberg')
    reporter.expect(status == 0, 'what holds now can be told')


def main() -> int:
    """Runs the demonstration; returns 1 when an expectation failed."""
    reporter = Reporter()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        mesh = Mesh(folder, ZONES, settings=SETTINGS)
        try:
            start_mesh(mesh)
            submit_example(reporter, mesh)
            send_calls(reporter, mesh)
            drain_server(reporter, mesh)
            submit_invalid(reporter, mesh, folder)
            before = time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime())
            time.sleep(1)
            kill_leader(reporter, mesh, folder)
            time.sleep(1)
            show_audit(reporter, mesh, before)
        finally:
            mesh.stop()
    reporter.print_line(
        f'{reporter.failures} expectations failed'
        if reporter.failures
        else 'everything held'
    )
    return int(reporter.failures > 0)


if __name__ == '__main__':
    sys.exit(main())
