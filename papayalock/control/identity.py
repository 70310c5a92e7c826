"""The name of a control VM as a Raft member.

The name is stored on the same disk as the votes cast under it. A VM that lost
its disk joins under a new name, so that it cannot vote twice in a term under
the old one.
"""

import secrets

import msgspec

from papayalock.messages import Member
from papayalock.ports import Disk
from papayalock.result import Code, StorageError

IDENTITY_FILE = 'identity.json'
NAME_BYTES = 4


class Identity(msgspec.Struct):
    """The stored identity of a control VM.

    ``member`` is its name. ``first`` holds the initial members when it is one
    of them, and is empty when it joined later.
    """

    member: str
    first: list[Member] = msgspec.field(default_factory=list)


def founding_member_name(address: str) -> str:
    """Returns the member name of an initial control VM."""
    return address.replace(':', '-')


def load_or_create_identity(
    disk: Disk, address: str, seeds: list[str], *, founding: bool
) -> Identity:
    """Returns the stored identity; creates and stores one on an empty disk.

    :param address: IP and port of this control VM
    :param seeds: addresses of the initial control VMs
    :param founding: whether the group is being created now
    :raises StorageError: when the identity file is damaged
    """
    stored = disk.read(IDENTITY_FILE)
    if stored is not None:
        try:
            return msgspec.json.decode(stored, type=Identity)
        except msgspec.MsgspecError as exc:
            raise StorageError(
                Code.DATA_FORMAT, f'{IDENTITY_FILE}: {exc}'
            ) from exc
    identity = _new_identity(address, seeds, founding=founding)
    disk.replace(IDENTITY_FILE, msgspec.json.encode(identity))
    return identity


def _new_identity(
    address: str, seeds: list[str], *, founding: bool
) -> Identity:
    name = founding_member_name(address)
    if not founding or address not in seeds:
        return Identity(f'{name}-{secrets.token_hex(NAME_BYTES)}')
    first = [
        Member(
            member=founding_member_name(seed), zone='', address=seed, voter=True
        )
        for seed in seeds
    ]
    return Identity(name, first)
