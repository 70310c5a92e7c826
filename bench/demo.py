"""The Qureshi mesh in small: the whole path, with failures, in one account."""

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


class Account:
    """Prints what happened and remembers what did not hold."""

    def __init__(self) -> None:
        """Starts without failures."""
        self.failures = 0

    def say(self, text: str) -> None:
        """Prints one line."""
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()

    def expect(self, held: bool, text: str) -> None:
        """Prints one expectation and whether it held."""
        self.failures += not held
        self.say(f'  [{"ok" if held else "FAILED"}] {text}')


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
        with urlopen(req, timeout=10) as answer:
            return (
                answer.status,
                answer.headers['papayalock-outcome'],
                answer.read().decode(),
            )
    except HTTPError as exc:
        return (
            exc.code,
            exc.headers.get('papayalock-outcome', ''),
            exc.read().decode(),
        )


def tool(account: Account, mesh: Mesh, *words: str) -> tuple[int, str]:
    """Runs the command-line tool and prints what it printed."""
    command = [
        sys.executable,
        '-m',
        'papayalock',
        '--control',
        ','.join(mesh.control_addresses()),
        *words,
    ]
    done = subprocess.run(
        command, capture_output=True, text=True, check=False, cwd=ROOT
    )
    account.say(f'$ papayalock {" ".join(words)}')
    for line in (done.stdout + done.stderr).splitlines():
        account.say(f'    {line}')
    return done.returncode, done.stdout + done.stderr


def start(mesh: Mesh) -> None:
    """Starts three control VMs and a node beside each of five servers."""
    mesh.start_control()
    for number, zone in enumerate(ZONES):
        for service in ('enrol-desk', 'rider-ledger')[: 2 if number < 2 else 1]:
            node = f'node-{service}-{zone}'
            mesh.start_node(node, zone)
            mesh.start_backend(f'{service}-{zone}', service, node, seed=number)


def submit_first(account: Account, mesh: Mesh) -> None:
    """Submits the example and waits until it is in force."""
    wait_until(
        lambda: any(
            get_json(one, '/v1/status')['leader']
            for one in mesh.control_addresses()
        ),
        'a leader',
    )
    files = (str(EXAMPLES / 'register.toml'), str(EXAMPLES / 'rules.toml'))
    status, _ = tool(
        account,
        mesh,
        'submit',
        *files,
        '--yes',
        '--wait',
        '15',
        '--operator',
        'abbu',
    )
    account.expect(
        status == 0,
        'the register and rules are accepted and in force everywhere',
    )
    wait_until(
        lambda: all(_routes(mesh, node) for node in mesh.nodes),
        'routes on every node',
    )
    tool(account, mesh, 'status')


def _routes(mesh: Mesh, node: str) -> bool:
    """Whether a node routes to its own service."""
    service = 'enrol-desk' if 'enrol' in node else 'rider-ledger'
    path = (
        '/riders/1/documents' if service == 'enrol-desk' else '/riders/1/status'
    )
    method = 'POST' if service == 'enrol-desk' else 'GET'
    found = get_json(
        mesh.node_address[node],
        f'/papayalock/explain?service={service}&method={method}&path={path}',
    )
    return found['code'] == 0 and bool(found['servers'])


def calls(account: Account, mesh: Mesh) -> None:
    """Sends calls through several nodes, one deposit twice."""
    account.say('calls through any node:')
    desk = mesh.node_address['node-enrol-desk-gulberg']
    ledger = mesh.node_address['node-rider-ledger-model-town']
    status, outcome, _ = call(
        desk, 'POST', 'enrol-desk', '/riders/42/documents'
    )
    account.expect(status == 200, f'document check: {status} {outcome}')
    status, outcome, _ = call(desk, 'GET', 'rider-ledger', '/riders/42/status')
    account.expect(
        status == 200, f'rider status, asked at a desk node: {status} {outcome}'
    )
    status, outcome, body = call(
        ledger, 'GET', 'rider-ledger', '/riders/42/history'
    )
    account.expect(
        status == 200 and len(body) == 200_000,
        f'whole history: {len(body)} bytes, {outcome}',
    )
    first = call(
        desk, 'POST', 'enrol-desk', '/riders/42/deposit', key='deposit-42'
    )
    second = call(
        ledger, 'POST', 'enrol-desk', '/riders/42/deposit', key='deposit-42'
    )
    account.expect(
        first[0] == 200 and first[2] == second[2],
        f'second tap gets the first answer: {second[1]}',
    )
    account.expect(_runs(mesh, 'deposit-42') == 1, 'the deposit ran once')
    status, outcome, _ = call(desk, 'PUT', 'rider-ledger', '/riders/42/record')
    account.expect(
        status == 403, f'a rule denies the record call: {status} {outcome}'
    )


def _runs(mesh: Mesh, key: str) -> int:
    tallies = [
        get_json(address, '/tally')['runs']
        for address in mesh.backend_address.values()
    ]
    return sum(runs.get(key, 0) for runs in tallies if isinstance(runs, dict))


def drain(account: Account, mesh: Mesh) -> None:
    """Drains one server and sees that it gets no new work."""
    account.say('draining enrol-desk-gulberg:')
    tool(
        account,
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
    account.expect(
        set(statuses) == {200}, '30 calls are answered by the other servers'
    )
    account.expect(
        get_json(address, '/tally')['served'] == before,
        'the draining server got none of them',
    )


def bad_version(account: Account, mesh: Mesh, folder: Path) -> None:
    """Submits bad and outdated documents and sees that nothing changes."""
    account.say('bad submissions:')
    version = _version(mesh)
    bad = folder / 'bad.toml'
    bad.write_text(
        (EXAMPLES / 'rules.toml').read_text()
        + '[[rule]]\nname = "x"\naction = "slots"\nservice = "missing"\nvalue = 3\n'
    )
    register = str(EXAMPLES / 'register.toml')
    status, text = tool(account, mesh, 'submit', register, str(bad), '--yes')
    account.expect(
        status == 4 and 'MISSING_SERVICE' in text,
        'a rule about a missing service is refused by number',
    )
    status, text = tool(
        account,
        mesh,
        'submit',
        register,
        str(EXAMPLES / 'rules.toml'),
        '--yes',
        '--base',
        '0',
    )
    account.expect(
        status == 3 and 'CONFLICT' in text,
        'an operator who started from an old version gets CONFLICT',
    )
    account.expect(
        _version(mesh) == version, f'version {version} stays in force'
    )


def _version(mesh: Mesh) -> int:
    for address in mesh.control_addresses():
        with contextlib.suppress(OSError):
            return int(str(get_json(address, '/v1/status')['version']))
    return -1


def kill_control(account: Account, mesh: Mesh, folder: Path) -> None:
    """Kills the leader, accepts a change without it, and restarts it."""
    account.say('killing the control VM that leads:')
    leader = str(get_json(mesh.control_addresses()[0], '/v1/status')['leader'])
    mesh.control[leader].kill()
    rules = folder / 'rules.toml'
    rules.write_text(
        (EXAMPLES / 'rules.toml').read_text().replace('2500', '2400')
    )
    status, text = tool(
        account,
        mesh,
        'submit',
        str(EXAMPLES / 'register.toml'),
        str(rules),
        '--yes',
        '--operator',
        'uncle',
    )
    account.expect(status == 0, f'a change is accepted while {leader} is down')
    entry = mesh.node_address['node-rider-ledger-gulberg']
    account.expect(
        call(entry, 'GET', 'rider-ledger', '/riders/42/status')[0] == 200,
        'calls go on',
    )
    mesh.control[leader].restart()
    version = _version(mesh)
    taken = wait_until(
        lambda: all(
            get_json(one, '/papayalock/status')['version'] == version
            for one in mesh.node_address.values()
        ),
        'in force',
    )
    account.expect(
        True,
        f'version {version} in force on every node {taken:.2f} s after the restart',
    )


def auditor(account: Account, mesh: Mesh, before: str) -> None:
    """Asks what held, before and now."""
    account.say('the auditor:')
    status, _ = tool(account, mesh, 'audit', '--verify')
    account.expect(
        status == 0, 'the audit trail is whole and the same everywhere'
    )
    tool(account, mesh, 'audit')
    status, _ = tool(
        account, mesh, 'held', 'node-rider-ledger-gulberg', '--at', before
    )
    account.expect(status == 0, 'what held before the kill can be told')
    status, _ = tool(account, mesh, 'held', 'node-rider-ledger-gulberg')
    account.expect(status == 0, 'what holds now can be told')


def main() -> int:
    """Runs the demonstration; returns 1 when something did not hold."""
    account = Account()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        mesh = Mesh(folder, ZONES, settings=SETTINGS)
        try:
            start(mesh)
            submit_first(account, mesh)
            calls(account, mesh)
            drain(account, mesh)
            bad_version(account, mesh, folder)
            before = time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime())
            time.sleep(1)
            kill_control(account, mesh, folder)
            time.sleep(1)
            auditor(account, mesh, before)
        finally:
            mesh.stop()
    account.say(
        f'{account.failures} expectations failed'
        if account.failures
        else 'everything held'
    )
    return int(account.failures > 0)


if __name__ == '__main__':
    sys.exit(main())
