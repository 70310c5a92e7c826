"""The encoded parts of the kept versions, each stored once."""

from collections.abc import Iterable, Iterator

import msgspec

from papayalock.core.derive import encode_part, encoded_digest, lists_caller
from papayalock.messages import Part

PART_BYTES = 320  # memory of a stored part beside its text
_PART = msgspec.json.Decoder(Part)
DigestedText = tuple[str, bytes]


class PartOwner(msgspec.Struct):
    """The fields of an encoded part that decide who holds it."""

    callers: list[str]
    shared: bool = False


_OWNER = msgspec.json.Decoder(PartOwner)


def _allowed_callers(owner: Part | PartOwner) -> tuple[str, ...]:
    """Returns the services that may call it; () for a shared part."""
    return () if owner.shared else tuple(owner.callers)


class PartText:
    """A part as JSON text, with the digest of it."""

    __slots__ = ('callers', 'digest', 'name', 'text')

    def __init__(self, part: Part) -> None:
        """Encodes a part."""
        self.name = part.service
        self.text = encode_part(part)
        self.digest = encoded_digest(self.text)
        self.callers = _allowed_callers(part)


class StoredPart:
    """An encoded part and the number of version ranges that contain it."""

    __slots__ = ('callers', 'text', 'uses')

    def __init__(self, text: bytes, callers: tuple[str, ...]) -> None:
        """Starts without uses."""
        self.text = text
        self.callers = callers
        self.uses = 0


class PartStore:
    """Parts by the digest of their content, as JSON text.

    Text takes a fraction of the memory of decoded parts, and deltas and
    snapshots copy it as it is. ``size`` is the memory in bytes that the parts
    take up, as estimated from their text.
    """

    __slots__ = ('_parts', 'size')

    def __init__(self) -> None:
        """Starts empty."""
        self._parts: dict[str, StoredPart] = {}
        self.size = 0

    def __len__(self) -> int:
        """Returns the number of parts."""
        return len(self._parts)

    def __getitem__(self, digest: str) -> Part:
        """Returns a part, decoded.

        :raises KeyError: if it is not kept
        """
        return _PART.decode(self._parts[digest].text)

    def keys(self) -> Iterable[str]:
        """Returns the digests of all parts."""
        return self._parts.keys()

    def text(self, digest: str) -> bytes:
        """Returns the JSON text of a part.

        :raises KeyError: if it is not kept
        """
        return self._parts[digest].text

    def add(self, part: Part) -> str:
        """Stores a part unless it is there; returns its digest."""
        return self.add_encoded(PartText(part))

    def add_encoded(self, part: PartText) -> str:
        """Stores an encoded part unless it is there; returns its digest."""
        self._add(part.digest, part.text, part.callers)
        return part.digest

    def restore(self, digest: str, text: bytes) -> None:
        """Stores a part of a snapshot."""
        self._add(digest, text, _allowed_callers(_OWNER.decode(text)))

    def retain(self, digest: str) -> None:
        """Counts a further use of a part."""
        self._parts[digest].uses += 1

    def release(self, digest: str) -> None:
        """Ends a use of a part and drops it after the last one."""
        stored = self._parts[digest]
        stored.uses -= 1
        if stored.uses <= 0:
            self._parts.pop(digest)
            self.size -= len(stored.text) + PART_BYTES

    def in_scope(
        self, name: str, digest: str, service: str, extra: Iterable[str]
    ) -> bool:
        """Whether a node of ``service`` holds the part of another service.

        :param name: the service of the part
        :param extra: services that the node subscribed to on demand
        :raises KeyError: if the part is not kept
        """
        if name == service or name in extra:
            return True
        return lists_caller(self._parts[digest].callers, service)

    def texts(self) -> Iterator[DigestedText]:
        """Yields the digest and the text of each part."""
        for digest, stored in self._parts.items():
            yield digest, stored.text

    def _add(self, digest: str, text: bytes, callers: tuple[str, ...]) -> None:
        if digest not in self._parts:
            self._parts[digest] = StoredPart(text, callers)
            self.size += len(text) + PART_BYTES
