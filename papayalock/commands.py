"""The commands in replicated log entries, and their JSON encoding."""

import msgspec

from papayalock.messages import (
    AcceptVersions,
    Claim,
    Finish,
    Noop,
    OrderRollout,
    Publish,
    Revise,
    SetExistence,
    SetMember,
    StepRollout,
    Submit,
)
from papayalock.result import Code, PapayalockError

Command = (
    AcceptVersions
    | Claim
    | Finish
    | Noop
    | OrderRollout
    | Publish
    | Revise
    | SetExistence
    | SetMember
    | StepRollout
    | Submit
)
Publication = Publish | Revise
RolloutCommand = AcceptVersions | OrderRollout | StepRollout


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
    'rollout': OrderRollout,
    'rollout-step': StepRollout,
    'submit': Submit,
    'versions': AcceptVersions,
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
