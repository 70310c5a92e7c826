"""The data directory of a control VM."""

import os
from pathlib import Path


class FileDisk:
    """Files in one directory, synced on every write.

    Satisfies ``ports.Disk``.
    """

    def __init__(self, root: Path) -> None:
        """Creates the directory when it is missing.

        :raises OSError: when it cannot be created
        """
        self._root = root
        root.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Returns the contents of a file, or None when it does not exist."""
        try:
            return (self._root / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and syncs it."""
        path = self._root / name
        is_new = not path.exists()
        with path.open('ab') as opened:
            opened.write(data)
            opened.flush()
            os.fsync(opened.fileno())
        if is_new:
            self._sync_directory()

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and syncs it and the directory."""
        path = self._root / name
        replacement = path.with_name(f'{name}.new')
        with replacement.open('wb') as opened:
            opened.write(data)
            opened.flush()
            os.fsync(opened.fileno())
        replacement.replace(path)
        self._sync_directory()

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to ``size`` bytes and syncs it."""
        with (self._root / name).open('r+b') as opened:
            opened.truncate(size)
            os.fsync(opened.fileno())

    def _sync_directory(self) -> None:
        directory = os.open(self._root, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
