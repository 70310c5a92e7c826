"""The name under which a control VM takes part in its group.

The name lives on the disk beside the votes given under it. A VM that finds an
empty disk therefore never votes under a name that has voted before: it takes
part under a new one.
"""

import secrets

import msgspec

from papayalock.messages import Member
from papayalock.ports import Disk
from papayalock.result import Code, StorageError

IDENTITY_FILE = 'identity.json'
NAME_BYTES = 4


class Identity(msgspec.Struct):
    """A control VM's name and the first set of members, if it was in it."""

    member: str
    first: list[Member] = msgspec.field(default_factory=list)


def founding_member_name(address: str) -> str:
    """Returns the name of a control VM of the first set."""
    return address.replace(':', '-')


def load_or_create_identity(
    disk: Disk, address: str, seeds: list[str], *, founding: bool
) -> Identity:
    """Returns the identity on the disk, or makes one durable.

    :param seeds: addresses of the first set of control VMs
    :param founding: whether the first set is being founded now
    :raises StorageError: when the file is damaged
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
