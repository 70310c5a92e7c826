"""The data folder of a control VM."""

import os
from pathlib import Path


class FileDisk:
    """Files under one folder, synced on every write; satisfies ``ports.Disk``."""

    def __init__(self, root: Path) -> None:
        """Creates the folder when it is missing.

        :raises OSError: when the folder cannot be made
        """
        self._root = root
        root.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Returns the contents of a file, or None when there is none."""
        try:
            return (self._root / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and syncs it."""
        path = self._root / name
        fresh = not path.exists()
        with path.open('ab') as opened:
            opened.write(data)
            opened.flush()
            os.fsync(opened.fileno())
        if fresh:
            self._sync_folder()

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file as a whole and syncs it and its folder."""
        path = self._root / name
        fresh = path.with_name(f'{name}.new')
        with fresh.open('wb') as opened:
            opened.write(data)
            opened.flush()
            os.fsync(opened.fileno())
        fresh.replace(path)
        self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to ``size`` bytes and syncs it."""
        with (self._root / name).open('r+b') as opened:
            opened.truncate(size)
            os.fsync(opened.fileno())

    def _sync_folder(self) -> None:
        folder = os.open(self._root, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
