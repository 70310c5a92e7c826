"""A proxy between a server and its node, which delays messages."""

import asyncio

from standins.wire import encode, read_message


class PingProxy:
    """Passes pings on to a node, each after a delay.

    A message is passed on also if its sender has stopped waiting, as by a
    network that delivers late.
    """

    def __init__(self, target, record):
        """Starts without a delay.

        :param target: address that the pings go to
        """
        self.address = ''
        self.delay_s = 0.0
        self._target = target
        self._record = record
        self._listener = None
        self._tasks = set()

    async def start(self):
        """Opens the listener on a free port of the target's machine."""
        host = self._target.rpartition(':')[0]
        self._listener = await asyncio.start_server(self._accept, host, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def stop(self):
        """Closes the listener and drops what is still held."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._pass_on(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await task
        except (OSError, asyncio.CancelledError):
            pass  # the node is down, or the script ends
        writer.transport.abort()

    async def _pass_on(self, reader, writer):
        message = await read_message(reader)
        delay_s = self.delay_s
        if message is None:
            return
        if delay_s:
            self._record.write(
                'network', f'holds {message.first_line} for {delay_s:.1f} s'
            )
            await asyncio.sleep(delay_s)
        host, _, port = self._target.rpartition(':')
        node_reader, node_writer = await asyncio.open_connection(
            host, int(port)
        )
        headers = [
            pair for pair in message.headers if pair[0] != 'content-length'
        ]
        node_writer.write(encode(message.first_line, headers, message.body))
        response = await read_message(node_reader)
        node_writer.transport.abort()
        if response is None:
            return
        if delay_s:
            self._record.write(
                'network',
                f'delivered {message.first_line}: {response.status}',
            )
        writer.write(encode(response.first_line, [], response.body))
        await writer.drain()
