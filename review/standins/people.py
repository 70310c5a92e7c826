"""Stand-ins for the operator and for clients."""

import asyncio
import json
import secrets
import time

from standins.deployment import CannotRun
from standins.wire import encode, exchange, read_message

FIRST_CONFIG_S = 20.0
POLL_S = 0.05


def config(version, base, routes, services):
    """Returns a configuration as the operator sends it."""
    document = {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_check': '/health',
                'max_connections': 120,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
        'base_version': base,
    }
    return json.dumps(document, separators=(',', ':')).encode()


def route(name, prefix, kind, timeout_ms, **target):
    """Returns one route; ``target`` is its service or its split."""
    return {
        'name': name,
        'host': 'shop.example',
        'path_prefix': prefix,
        'route_type': kind,
        'timeout': f'{timeout_ms}ms',
        'target_latency': '300ms',
        'priority': 1,
        **target,
        'max_attempts': 2,
    }


async def put_config(address, body, timeout_s):
    """Sends a configuration to one VM; returns the status, 0 for no answer."""
    data = encode(
        'PUT /v1/config HTTP/1.1',
        [('Host', address), ('Content-Type', 'application/json')],
        body,
    )
    try:
        return (await exchange(address, data, timeout_s)).status
    except OSError:
        return 0


async def get_config(address, timeout_s=1.0):
    """Reads the configuration at one VM; returns the status and the body."""
    data = encode('GET /v1/config HTTP/1.1', [('Host', address)])
    try:
        response = await exchange(address, data, timeout_s)
    except OSError:
        return 0, b''
    return response.status, response.body


async def publish_first(deployment, body):
    """Sends the first configuration until it is accepted."""
    addresses = deployment.operator_addresses
    began = time.monotonic()
    turn = 0
    while time.monotonic() - began < FIRST_CONFIG_S:
        address = addresses[turn % len(addresses)]
        turn += 1
        status = await put_config(address, body, 3.0)
        deployment.record.write('operator', f'first PUT: {status or "none"}')
        if status == 200:
            return
        await asyncio.sleep(0.3)
    raise CannotRun('the first configuration was not accepted')


async def wait_ready(deployment, seconds=15.0):
    """Waits until every node answers its readiness check with 200."""
    began = time.monotonic()
    for node in deployment.nodes:
        address = node.address('ready')
        data = encode('GET /v1/ready HTTP/1.1', [('Host', address)])
        while True:
            try:
                if (await exchange(address, data, 1.0)).status == 200:
                    break
            except OSError:
                pass  # not listening yet
            if time.monotonic() - began > seconds:
                raise CannotRun(f'{node.name} is not ready')
            await asyncio.sleep(POLL_S)
    deployment.record.write('platform', 'all nodes are ready')


def request(method, path, deadline_ms, body=b''):
    """Returns the id of a new request and its bytes."""
    call = secrets.token_hex(8)
    headers = [
        ('Host', 'shop.example'),
        ('X-Request-Id', call),
        ('X-Request-Deadline', str(deadline_ms)),
    ]
    return call, encode(f'{method} {path} HTTP/1.1', headers, body)


class Connection:
    """A kept connection of a client to the node on its machine."""

    def __init__(self, reader, writer, record):
        """Binds an open connection."""
        self._reader = reader
        self._writer = writer
        self._record = record

    @classmethod
    async def open(cls, node, record):
        """Opens a connection to a node."""
        host, _, port = node.address('outbound').rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer, record)

    def send(self, data, call):
        """Sends one request; others may be unanswered still."""
        self._record.write('client', f'sends {call}')
        self._writer.write(data)

    async def answer(self, timeout_s):
        """Returns the next response; None if the connection ended."""
        try:
            async with asyncio.timeout(timeout_s):
                return await read_message(self._reader)
        except ConnectionError:
            return None

    def close(self):
        """Closes the connection."""
        self._writer.transport.abort()


async def ask(node, method, path, deadline_ms, record, body=b''):
    """Makes one request on a new connection; returns its id and status.

    The status is 0 if no answer came.
    """
    call, data = request(method, path, deadline_ms, body)
    record.write('client', f'sends {call} {method} {path} at {node.name}')
    try:
        response = await exchange(
            node.address('outbound'), data, deadline_ms / 1000 + 1.0
        )
    except OSError as exc:
        record.write('client', f'{call}: no answer ({exc})')
        return call, 0
    record.write('client', f'{call}: {response.status}')
    return call, response.status
