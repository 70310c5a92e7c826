"""The newest versions with their parts, bounded in number and in memory."""

from collections import OrderedDict, deque

import msgspec

from papayalock.core.derive import Manifest
from papayalock.core.partstore import PartStore
from papayalock.messages import VersionInfo

VERSION_BYTES = 1024  # memory of a kept version beside its changes
CHANGE_BYTES = 96  # memory of one changed part in a version
MIN_VERSIONS = 2  # kept whatever they weigh: the newest and its base
MAX_REBUILT = 4  # older versions whose manifests are kept for reuse
Undo = dict[str, str]


class HistoryState(msgspec.Struct):
    """A :class:`VersionHistory` as a snapshot stores it.

    Only the newest version has its parts. ``undos`` is empty in snapshots of
    former releases, in which every version has them.
    """

    versions: list[VersionInfo]
    parts: dict[str, msgspec.Raw]
    undos: list[Undo] = msgspec.field(default_factory=list)


class VersionHistory:
    """Versions in order, without gaps; the oldest are dropped first.

    A change of few parts costs little memory, however many parts a version
    has: of all but the newest version, only an undo is kept. It maps the name
    of each part that the next version changed to the digest that it had
    before; '' if there was none.
    """

    __slots__ = (
        '_infos',
        '_max_bytes',
        '_rebuilt',
        '_undo_size',
        '_undos',
        'max_versions',
        'parts',
    )

    def __init__(self, max_versions: int, max_bytes: int) -> None:
        """Starts empty.

        :param max_bytes: memory beyond which the oldest versions are dropped
        """
        self.parts = PartStore()
        self.max_versions = max_versions
        self._max_bytes = max_bytes
        self._infos: deque[VersionInfo] = deque()
        # One for each version: how to get from it to the one before.
        self._undos: deque[Undo] = deque()
        self._undo_size = 0
        self._rebuilt: OrderedDict[int, VersionInfo] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of kept versions."""
        return len(self._infos)

    @property
    def size(self) -> int:
        """The estimated memory of the versions and their parts in bytes."""
        versions = len(self._infos) * VERSION_BYTES + self._undo_size
        newest = len(self.newest_parts) * CHANGE_BYTES
        return self.parts.size + versions + newest

    @property
    def newest(self) -> VersionInfo | None:
        """The newest version, or None before the first."""
        return self._infos[-1] if self._infos else None

    @property
    def newest_parts(self) -> Manifest:
        """The digest of each part of the newest version."""
        return self._infos[-1].parts if self._infos else {}

    @property
    def summaries(self) -> list[VersionInfo]:
        """The kept versions, oldest first, without their parts."""
        return [msgspec.structs.replace(info, parts={}) for info in self._infos]

    def record(self, info: VersionInfo) -> None:
        """Adds the next version, whose parts must be in the store."""
        previous = self.newest_parts
        undo = {
            name: previous.get(name, '')
            for name, digest in info.parts.items()
            if previous.get(name) != digest
        }
        for name in undo:
            self.parts.retain(info.parts[name])
        for name in previous.keys() - info.parts.keys():
            undo[name] = previous[name]
        if self._infos:
            newest = self._infos[-1]
            self._infos[-1] = msgspec.structs.replace(newest, parts={})
        else:
            undo = {}
        self._append(info, undo)
        self._prune()

    def keeps(self, version: int) -> bool:
        """Whether a version is kept."""
        if not self._infos:
            return False
        return self._infos[0].version <= version <= self._infos[-1].version

    def find(self, version: int) -> VersionInfo | None:
        """Returns a kept version with its parts, or None."""
        return self.rebuild(version) if self.keeps(version) else None

    def rebuild(self, version: int) -> VersionInfo:
        """Returns a version that is kept with its parts."""
        return self._with_parts(version - self._infos[0].version)

    def find_by_index(self, index: int) -> VersionInfo | None:
        """Returns the newest version whose log index is at most ``index``."""
        for position in range(len(self._infos) - 1, -1, -1):
            if self._infos[position].index <= index:
                return self._with_parts(position)
        return None

    def dump(self) -> HistoryState:
        """Returns the state for a snapshot."""
        return HistoryState(
            versions=list(self._infos),
            parts={
                digest: msgspec.Raw(text) for digest, text in self.parts.texts()
            },
            undos=list(self._undos),
        )

    def load(self, state: HistoryState) -> None:
        """Replaces the state by a dumped one."""
        self.parts = PartStore()
        self._infos.clear()
        self._undos.clear()
        self._rebuilt.clear()
        self._undo_size = 0
        for digest, text in state.parts.items():
            self.parts.restore(digest, bytes(text))
        if state.undos:
            self._load_undos(state)
        else:
            self._load_whole_versions(state)
        self._prune()

    def _load_undos(self, state: HistoryState) -> None:
        # Equal texts of the snapshot become one object again.
        known = {digest: digest for digest in self.parts.keys()}
        known[''] = ''
        newest = state.versions[-1]
        names = {name: name for name in newest.parts}
        newest.parts = {
            name: known[digest] for name, digest in newest.parts.items()
        }
        for digest in newest.parts.values():
            self.parts.retain(digest)
        for info, undo in zip(state.versions, state.undos, strict=True):
            shared = {
                names.setdefault(name, name): known[digest]
                for name, digest in undo.items()
            }
            for digest in filter(None, shared.values()):
                self.parts.retain(digest)
            self._append(info, shared)

    def _load_whole_versions(self, state: HistoryState) -> None:
        for info in state.versions:
            self.record(info)

    def _append(self, info: VersionInfo, undo: Undo) -> None:
        self._infos.append(info)
        self._undos.append(undo)
        self._undo_size += len(undo) * CHANGE_BYTES

    def _prune(self) -> None:
        while len(self._infos) > self.max_versions or (
            len(self._infos) > MIN_VERSIONS and self.size > self._max_bytes
        ):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self._infos.popleft()
        self._undos.popleft()
        self._rebuilt.pop(oldest.version, None)
        if not self._infos:
            return
        undo = self._undos[0]
        for digest in filter(None, undo.values()):
            self.parts.release(digest)
        self._undo_size -= len(undo) * CHANGE_BYTES
        self._undos[0] = {}

    def _with_parts(self, position: int) -> VersionInfo:
        info = self._infos[position]
        if position == len(self._infos) - 1:
            return info
        rebuilt = self._rebuilt.get(info.version)
        if rebuilt is None:
            manifest = self._manifest_at(position)
            rebuilt = msgspec.structs.replace(info, parts=manifest)
            self._rebuilt[info.version] = rebuilt
            if len(self._rebuilt) > MAX_REBUILT:
                self._rebuilt.popitem(last=False)
        return rebuilt

    def _manifest_at(self, position: int) -> Manifest:
        manifest = dict(self.newest_parts)
        for later in range(len(self._infos) - 1, position, -1):
            for name, digest in self._undos[later].items():
                if digest:
                    manifest[name] = digest
                else:
                    manifest.pop(name, None)
        return manifest
