"""Two baselines for the cost of a hop, to compare a node with.

One is a bare relay on this project's HTTP layer, without routing; the other
a relay built with blacksheep.
"""

import argparse
import asyncio

import uvloop

from papayalock.httpclient import Request
from papayalock.node.http import Call, Reply
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.pool import Pool

HOP_HEADERS = frozenset(
    (b'content-length', b'connection', b'transfer-encoding')
)


class BareRelay:
    """Forwards every call to one address."""

    def __init__(self, target: str) -> None:
        """Creates the pool; connections open with the first calls."""
        self._target = target
        self._pool = Pool(1000, 30_000, 512)

    async def handle(self, call: Call, reply: Reply) -> None:
        """Forwards one call and its complete response."""
        headers = [pair for pair in call.headers if pair[0] not in HOP_HEADERS]
        conn = await self._pool.acquire(self._target)
        response = await conn.call(
            Request(call.method, call.target, headers, call.body), 10_000
        )
        body = await response.read_all(1 << 24)
        self._pool.release(self._target, conn)
        response_headers = [
            pair for pair in response.headers if pair[0] not in HOP_HEADERS
        ]
        reply.send(
            response.status,
            [*response_headers, (b'papayalock-outcome', b'0 DONE')],
            body,
        )


async def run_bare(listen: str, target: str) -> None:
    """Serves the bare relay until the process ends."""
    server = HttpServer(
        BareRelay(target).handle, ServerLimits(65536, 1 << 20, 4096)
    )
    host, _, port = listen.rpartition(':')
    listener = await asyncio.get_running_loop().create_server(
        server.make_conn, host, int(port)
    )
    await listener.serve_forever()


def run_blacksheep(listen: str, target: str) -> None:
    """Serves the blacksheep relay until the process ends."""
    import uvicorn
    from blacksheep import Application, Content, Response
    from blacksheep import Request as SheepRequest
    from blacksheep.client import ClientSession
    from blacksheep.server.routing import Router

    router = Router()
    session = ClientSession(base_url=f'http://{target}')

    async def handle(request: SheepRequest) -> Response:
        forwarded = SheepRequest(
            request.method, request.url.value, [(b'host', b'x')]
        )
        response = await session.send(forwarded)
        body = await response.read() or b''
        return Response(
            response.status,
            [(b'papayalock-outcome', b'0 DONE')],
            Content(b'application/json', body),
        )

    router.add_get('/items/{item}', handle)
    host, _, port = listen.rpartition(':')
    uvicorn.run(
        Application(router=router),
        host=host,
        port=int(port),
        log_level='error',
        access_log=False,
        http='httptools',
        loop='uvloop',
    )


def main() -> None:
    """Runs one baseline relay."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('kind', choices=('bare', 'blacksheep'))
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', required=True)
    args = parser.parse_args()
    if args.kind == 'blacksheep':
        run_blacksheep(args.listen, args.target)
    else:
        uvloop.install()
        asyncio.run(run_bare(args.listen, args.target))


if __name__ == '__main__':
    main()
