"""HTTP/1.1 as the stand-ins speak it: requests, responses, one parser."""

import asyncio

MAX_HEAD_BYTES = 65536


class Message:
    """A request or response head with its body."""

    def __init__(self, first_line, headers, body):
        """Sets the parts; header names are in lower case."""
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name):
        """Returns the first value of a header, or ''."""
        return next((text for key, text in self.headers if key == name), '')

    @property
    def status(self):
        """The status of a response."""
        return int(self.first_line.split(' ')[1])


def encode(first_line, headers, body=b''):
    """Returns a message as bytes, with its length."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def read_message(reader):
    """Reads one message with a length; interim responses are passed over.

    :returns: None if the connection ended before a message began
    :raises ConnectionError: if it ended within a message
    """
    while True:
        message = await _read_one(reader)
        if message is None:
            return None
        words = message.first_line.split(' ')
        interim = words[0].startswith('HTTP/') and words[1].startswith('1')
        if not interim:
            return message


async def _read_one(reader):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError('the message has no end') from exc
        return None
    first_line, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = []
    for line in lines:
        name, _, text = line.partition(':')
        headers.append((name.strip().lower(), text.strip()))
    message = Message(first_line, headers, b'')
    length = int(message.header('content-length') or 0)
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError('the body has no end') from exc
    return message


async def exchange(address, data, timeout_s):
    """Sends one request on a new connection and returns its response.

    :raises OSError: if there is no whole response in time
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            response = await read_message(reader)
        finally:
            writer.transport.abort()
    if response is None:
        raise ConnectionError('closed without an answer')
    return response
