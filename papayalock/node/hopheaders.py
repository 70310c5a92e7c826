"""The messages that nodes pass to each other in headers, long or short.

The short form has the contents of the fields in their order, without names. It
goes only to a node that is known to read it, so that nodes of versions without
it can serve in the same mesh.

The load that it answers: links full of small calls between nodes, of whose
bytes the names were a third.
"""

from typing import Generic, TypeVar

import msgspec

from papayalock.messages import HopOrder, ServerLoad

SHORT_START = b'['
HeaderError = msgspec.MsgspecError
Message = TypeVar('Message', bound=msgspec.Struct)


class HeaderCodec(Generic[Message]):
    """Encodes and decodes one type of message.

    New fields have to come last and have defaults.
    """

    __slots__ = ('_fields', '_long', '_type')

    def __init__(self, message_type: type[Message]) -> None:
        """Prepares for messages of a type."""
        self._type = message_type
        self._fields = message_type.__struct_fields__
        self._long = msgspec.json.Decoder(message_type)

    def encode(self, message: Message, *, short: bool) -> bytes:
        """Returns a message as the content of a header."""
        if short:
            return msgspec.json.encode(msgspec.structs.astuple(message))
        return msgspec.json.encode(message)

    def decode(self, header: bytes) -> Message:
        """Returns the message in a header.

        :raises HeaderError: if it is none
        """
        if not is_short(header):
            return self._long.decode(header)
        contents = msgspec.json.decode(header)
        by_name = dict(zip(self._fields, contents, strict=False))
        return msgspec.convert(by_name, self._type)


def is_short(header: bytes) -> bool:
    """Returns whether a header has the short form."""
    return header.startswith(SHORT_START)


ORDERS = HeaderCodec(HopOrder)
LOADS = HeaderCodec(ServerLoad)
