"""The commands in replicated log entries, and their JSON encoding."""

import msgspec

from papayalock.messages import (
    Claim,
    Finish,
    Noop,
    Publish,
    Revise,
    SetExistence,
    SetMember,
    Submit,
)
from papayalock.result import Code, PapayalockError

Command = (
    Claim | Finish | Noop | Publish | Revise | SetExistence | SetMember | Submit
)
Publication = Publish | Revise


class _Kind(msgspec.Struct):
    kind: str


_TYPES: dict[str, type[Command]] = {
    'claim': Claim,
    'existence': SetExistence,
    'finish': Finish,
    'member': SetMember,
    'noop': Noop,
    'publish': Publish,
    'revise': Revise,
    'submit': Submit,
}
_KIND_DECODER = msgspec.json.Decoder(_Kind)
_DECODERS = {
    kind: msgspec.json.Decoder(command) for kind, command in _TYPES.items()
}


def encode_command(command: Command) -> str:
    """Encodes a command as JSON text."""
    return msgspec.json.encode(command).decode()


def decode_command(payload: str) -> Command:
    """Decodes a command from JSON text.

    :raises PapayalockError: ``BAD_MESSAGE`` for an unknown kind or invalid
        fields
    """
    try:
        kind = _KIND_DECODER.decode(payload).kind
        command: Command = _DECODERS[kind].decode(payload)
    except (msgspec.MsgspecError, KeyError) as exc:
        raise PapayalockError(Code.BAD_MESSAGE, f'command: {exc}') from exc
    return command
